#pragma once

#include "peerchannel.h"

namespace apricotrock::gateway {

/// Where the decision about a slot request was made; written to the log.
enum class DecidedBy : std::uint8_t { Self, Peer, Fallback };

struct SlotDecision
{
    broker::Decision decision;
    DecidedBy by = DecidedBy::Self;
    std::string leader;
};

struct AllocationRequest
{
    std::string service;
    broker::AttemptRequest attempt;
};

/// Identifies a granted slot or a pending slot request.
struct SlotTicket
{
    /// Used only once by all processes of an instance, because leaders remember the slot requests
    /// of a process that is gone.
    std::uint64_t number = 0;
    std::string service;
};

/// Allocates slots of backend servers.
///
/// Requests slots from the leader of each service, or decides locally if the leader does not
/// answer, and allocates the slots of the services that this instance leads.
class SlotAllocator
{
public:
    using Callback = std::function<void(const SlotDecision &)>;

    SlotAllocator(Context &context, PeerChannel &peers);

    /// Requests a slot. \a callback is called once with a grant or a refusal, possibly before this
    /// function returns.
    SlotTicket requestSlot(AllocationRequest request, Callback callback);
    /// Withdraws a pending request, or releases the slot if the leader has granted it meanwhile.
    void cancel(const SlotTicket &ticket);
    /// Records the end of an attempt and releases its slot. \a leaving is the server if it said
    /// that it leaves, otherwise nullptr.
    void finishAttempt(const SlotTicket &ticket, broker::AttemptEnd end,
                       const fleet::ServerEntry *leaving = nullptr);
    /// Returns how long \a server wants no requests from this instance from now on.
    [[nodiscard]] Duration remainingPause(const std::string &service, broker::ServerKey server);
    /// Records the load report that a probe returned.
    void learnLoad(const std::string &service, broker::ServerKey server,
                   const broker::LoadReport &load);
    /// Records for how long a server stays cold according to a probe; 0 if it is not cold.
    void learnCold(const std::string &service, broker::ServerKey server, Duration remaining);
    void recordProbeFailure(const std::string &service, broker::ServerKey server);

    /// Returns the number of requests without a decision.
    [[nodiscard]] std::size_t pendingRequests() const { return m_pendingRequests.size(); }

    /// Called when the set of backend servers or their settings have changed.
    void updateServers();
    /// Called when the set of instances may have changed, and from time to time.
    void updateLeaders();
    /// Called when the instance \a ip has not answered a request in time. Excludes it from roles
    /// for a while and returns true, unless another message from it arrived meanwhile.
    bool suspectIfSilent(const std::string &ip);

    /// Returns a backend server by its key, or nullptr.
    [[nodiscard]] const fleet::KnownServer *findServer(broker::ServerKey key) const;

    /// Logs the load of each service that this instance led since the last call, and starts a new
    /// period. \a loopDelay is the longest delay of the event loop in the period.
    void logLeaderLoad(Duration loopDelay);

    struct DueProbe
    {
        std::string service;
        broker::ServerKey server = 0;
    };
    /// Returns the due probes of the services that this instance leads.
    std::vector<DueProbe> takeDueProbes();

    /// Returns the crashes that an instance has to know when it becomes the leader of a service.
    [[nodiscard]] std::vector<wire::CrashReportT> crashReports() const;

    void handleCrashReport(const wire::CrashReportT &report);
    void handleRequest(const std::string &ip, const wire::SlotRequest &ask);
    void handleResponse(const std::string &ip, const wire::SlotResponse &answer);
    void handleRelease(const std::string &ip, const wire::SlotRelease &end);

private:
    /// What one service cost its leader since the last call of logLeaderLoad().
    struct LeaderLoad
    {
        unsigned requests = 0;
        unsigned releases = 0;
        std::size_t maxQueued = 0;
        std::uint64_t examinedBefore = 0;
        Duration decisionTime{};
    };
    /// Adds the cost of the decisions in its scope to the metrics of a service.
    class DecisionTimer;
    struct ServiceSlots
    {
        std::string name;
        broker::ServiceState state;
        std::string leader;
        /// Time of the last slot request of another instance.
        TimePoint lastPeerRequest;
        /// Time of the last slot request that was decided here.
        TimePoint lastRequest;
        LeaderLoad load;
        bool isQueuePassScheduled = false;
    };
    struct PendingRequest
    {
        AllocationRequest request;
        Callback callback;
        std::string leader;
        loop::LoopTimers::Id timer = 0;
        unsigned sendCount = 0;
    };

    ServiceSlots &serviceSlots(const std::string &service);
    ServiceSlots *findServiceSlots(std::uint64_t key);
    void updateServers(ServiceSlots &service);
    void updateLeader(ServiceSlots &service, TimePoint now);
    /// Returns the part of the limits for cold servers that a leader with the contacts of this
    /// instance may use.
    [[nodiscard]] double coldStartShare(TimePoint now) const;
    /// Tells the other instances of new crashes in a service that this instance leads.
    void shareCrashes(ServiceSlots &service);
    /// Tells them again, in case a datagram was lost.
    void repeatCrashReports(std::uint64_t service, const std::vector<broker::CrashReport> &reports);
    void sendRequest(std::uint64_t ticket);
    void handleRequestTimeout(std::uint64_t ticket);
    void fallBackToLocal(std::uint64_t ticket);
    void decideLocally(std::uint64_t ticket, DecidedBy by);
    broker::Decision decide(ServiceSlots &service, const broker::AttemptRequest &request);
    void complete(std::uint64_t ticket, const SlotDecision &decision);
    void processQueue(ServiceSlots &service);
    void deliver(const broker::Decision &decision);
    /// Releases a slot that the leader at \a ip granted to a request that does not wait for it:
    /// it was abandoned, or belongs to an earlier process of this instance.
    void releaseUnclaimed(const std::string &ip, const broker::Decision &decision);
    void sendSlotResponse(const std::string &ip, const broker::Decision &decision);

    Context &m_context;
    PeerChannel &m_peers;
    std::unordered_map<std::uint64_t, ServiceSlots> m_services;
    /// Pointers into the server directory, whose entries have stable addresses.
    std::unordered_map<broker::ServerKey, const fleet::KnownServer *> m_servers;
    std::unordered_map<std::uint64_t, PendingRequest> m_pendingRequests;
    /// IP addresses of the leaders that granted the slots, by ticket.
    std::unordered_map<std::uint64_t, std::string> m_remoteGrants;
    /// Reports about services that are not known yet.
    std::vector<wire::CrashReportT> m_earlyCrashReports;
    /// IP addresses of instances by instanceKey().
    std::unordered_map<std::uint64_t, std::string> m_instanceIps;
    std::uint64_t m_nextTicket;
    double m_coldStartShare = 1.0;
    metrics::Counter &m_localRequests;
    metrics::Counter &m_remoteRequests;
    metrics::Counter &m_fallbackRequests;
    metrics::Counter &m_lateGrants;
    metrics::Counter &m_receivedRequests;
    metrics::Counter &m_receivedReleases;
    metrics::Counter &m_decisionMicroseconds;
    metrics::Counter &m_examinedEntries;
    metrics::Counter &m_delayedColdStarts;
};

} // namespace apricotrock::gateway
