#pragma once

#include "requestpath.h"

namespace apricotrock::gateway {

/// One request of a caller on its way to a backend server.
class Call : public std::enable_shared_from_this<Call>
{
public:
    Call(RequestPath &path, std::shared_ptr<loop::HttpServerConnection> connection);
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
        Duration objective{};
        TimePoint arrived;
        TimePoint target;
        TimePoint deadline;
    };

    void start(Plan plan);

private:
    /// One sending of the request to a backend server.
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

    void requestSlot(bool isHedge);
    void handleSlotDecision(bool isHedge, const SlotDecision &decision);
    void handleSlotGranted(bool isHedge, const SlotDecision &decision);
    void handleSlotRefused(bool isHedge, const SlotDecision &decision);
    void send(std::size_t index);
    void handleAttemptResult(std::size_t index, loop::ClientResult result);
    void endAttempt(std::size_t index, broker::AttemptOutcome outcome,
                    const std::optional<broker::LoadReport> &load);
    /// Tries another backend server, or gives the final answer if that can't be done.
    void retryOrFail(std::string_view failure);
    void scheduleHedge(Duration delay);
    void handleDeadline();
    void handleCallerDisconnect();
    /// Delivers a failure that a backend server answered. Returns false if there is none.
    bool respondWithServerFailure();
    void respond(std::size_t index, const loop::HttpResponse &response);
    void fail(int status, std::string_view reason, Duration retryAfter);
    /// Hands the lines of the request to the log.
    void writeLog(bool isOrdinary);
    void close();
    void cancelAttempts(broker::AttemptOutcome outcome);
    [[nodiscard]] bool hasRunningAttempt() const;
    [[nodiscard]] loop::Headers forwardedHeaders(const Attempt &attempt) const;
    [[nodiscard]] std::string encode(const Attempt &attempt) const;
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
    std::shared_ptr<std::size_t> m_activeCalls;
    std::shared_ptr<loop::HttpServerConnection> m_connection;
    Plan m_plan;
    std::vector<Attempt> m_attempts;
    std::vector<broker::ServerKey> m_excludedServers;
    std::optional<SlotTicket> m_pendingSlot;
    std::optional<SlotTicket> m_pendingHedgeSlot;
    loop::LoopTimers::Id m_deadlineTimer = 0;
    loop::LoopTimers::Id m_hedgeTimer = 0;
    /// Attempts that may have run the request.
    unsigned m_attemptsSent = 0;
    unsigned m_slotRequests = 0;
    bool m_mayHaveRun = false;
    bool m_isFinished = false;
    /// The backend server's own failure, delivered if nothing better comes.
    std::optional<loop::HttpResponse> m_failureResponse;
    std::string m_logLines;
};

} // namespace apricotrock::gateway
