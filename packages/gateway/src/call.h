#pragma once

#include "requestpath.h"

namespace apricotrock::gateway {

/// Forwards one request of a caller to backend servers, with retries and hedging.
class Call : public std::enable_shared_from_this<Call>
{
public:
    Call(RequestPath &path, std::shared_ptr<loop::HttpExchange> exchange);
    ~Call();
    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;

    struct Plan
    {
        std::string requestId;
        std::string service;
        std::uint64_t routeKey = 0;
        std::uint64_t fingerprint = 0;
        std::string routeName;
        std::uint64_t configurationVersion = 0;
        bool isIdempotent = false;
        unsigned priority = 0;
        unsigned maxAttempts = 1;
        /// True if the route needs no API key.
        bool isPublic = false;
        /// True if the headers of API keys and organisations are not passed on as received.
        bool hidesKeys = false;
        /// Organisation of the caller; empty if there is none.
        std::string organisation;
        /// Weight of the organisation among those that share the service; 0 without one.
        double weight = 0;
        /// True if the request needs a token under the quota of the organisation.
        bool needsToken = false;
        Duration objective{};
        TimePoint arrived;
        TimePoint target;
        TimePoint deadline;
    };

    void start(Plan plan);
    /// Ends the call by \a deadline, because the instance stops then.
    void endBy(TimePoint deadline);

private:
    /// One attempt to run the request on a backend server.
    struct Attempt
    {
        SlotTicket ticket;
        fleet::ServerEntry server;
        broker::ServerKey key = 0;
        BackendPool::Connection connection;
        TimePoint started;
        Duration expected{};
        bool isHedge = false;
        bool isRunning = true;
    };

    void requestToken();
    void handleTokenDecision(const QuotaDecision &decision);
    /// Returns the token if no backend server can have received the request.
    void returnUnusedToken();
    void requestSlot(bool isHedge);
    void handleSlotDecision(bool isHedge, const SlotDecision &decision);
    void handleSlotGranted(bool isHedge, const SlotDecision &decision);
    void handleSlotRefused(bool isHedge, const SlotDecision &decision);
    /// Checks the API key again with the configuration in force, which may be newer than the one
    /// that admitted the request. Returns false if it no longer holds the key.
    bool checkKeyAgain();
    /// Ends the call, of which nothing was sent since the key was removed.
    void failWithoutKey();
    void send(std::size_t index);
    void handleAttemptResult(std::size_t index, loop::ClientResult result);
    void endAttempt(std::size_t index, broker::AttemptOutcome outcome,
                    const std::optional<broker::LoadReport> &load, Duration pause = {},
                    bool isLeaving = false);
    /// Returns how long the server wants no requests from this instance, as its response says.
    [[nodiscard]] Duration readPause(const loop::HttpResponse &response) const;
    /// Retries on another backend server, or sends the final response if no retry is possible.
    void retryOrFail(std::string_view failure);
    void scheduleHedge(Duration delay);
    void handleDeadline();
    void handleCallerDisconnect();
    /// Sends the error response of a backend server to the caller. Returns false if there is none.
    bool respondWithServerFailure();
    void respond(std::size_t index, const loop::HttpResponse &response);
    void fail(int status, std::string_view reason, Duration retryAfter);
    /// Writes the buffered log lines of the request to the event log.
    void writeLog(bool isOrdinary);
    void close();
    void cancelAttempts(broker::AttemptOutcome outcome);
    [[nodiscard]] bool hasRunningAttempt() const;
    /// True if a server may have received the request, so that it may have run or may still run.
    [[nodiscard]] bool wasSent() const;
    [[nodiscard]] loop::Headers forwardedHeaders(const Attempt &attempt) const;
    [[nodiscard]] std::string encodeHead(const Attempt &attempt) const;
    [[nodiscard]] broker::AttemptOutcome classifyOutcome(const loop::ClientResult &result) const;

    template <typename Fill>
    void logEvent(EventLog::Level level, std::string_view event, Fill fill)
    {
        m_path.m_context.log.format(m_logLines, level, event, [&](LogLine &line) {
            line.text("request", m_plan.requestId);
            fill(line);
        });
    }

    RequestPath &m_path;
    std::shared_ptr<std::unordered_set<Call *>> m_activeCalls;
    std::shared_ptr<loop::HttpExchange> m_exchange;
    Plan m_plan;
    std::vector<Attempt> m_attempts;
    std::vector<broker::ServerKey> m_excludedServers;
    /// Ticket of the pending request for a token.
    std::optional<std::uint64_t> m_pendingToken;
    std::optional<QuotaToken> m_token;
    std::optional<SlotTicket> m_pendingSlot;
    std::optional<SlotTicket> m_pendingHedgeSlot;
    loop::LoopTimers::Id m_deadlineTimer = 0;
    loop::LoopTimers::Id m_hedgeTimer = 0;
    /// Attempts that may have run the request.
    unsigned m_attemptsSent = 0;
    unsigned m_slotRequests = 0;
    /// Time to send the body of the request on the own link.
    Duration m_sendingTime{};
    unsigned m_pausedGrants = 0;
    unsigned m_hedgeRefusals = 0;
    bool m_mayHaveRun = false;
    /// An attempt has reached a backend server, even if the server did not run the request.
    bool m_hasReachedServer = false;
    /// The deadline is that of a planned stop.
    bool m_endsWithStop = false;
    bool m_isFinished = false;
    /// Error response of a backend server, sent to the caller if no later attempt succeeds.
    std::optional<loop::HttpResponse> m_failureResponse;
    std::string m_logLines;
};

} // namespace apricotrock::gateway
