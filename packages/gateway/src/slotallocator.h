#pragma once

#include "peerchannel.h"

namespace apricotrock::gateway {

/// Where the decision about a slot was made; goes into logs.
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
    broker::Ask attempt;
};

/// Names a slot that was granted, or an ask that waits.
struct SlotTicket
{
    std::uint64_t number = 0;
    std::string service;
};

/// Gets slots of backend servers, from the instance that keeps those of the service or from the
/// own books, and keeps the books of the services that fall to this instance.
class SlotAllocator
{
public:
    using Callback = std::function<void(const SlotDecision &)>;

    SlotAllocator(Context &context, PeerChannel &peers);

    /// Asks for a slot. \a callback is called once with a grant or a refusal, maybe at once.
    SlotTicket requestSlot(AllocationRequest request, Callback callback);
    /// Withdraws an ask, or gives a slot back that is granted meanwhile.
    void cancel(const SlotTicket &ticket);
    /// Tells the end of an attempt in a granted slot.
    void finishAttempt(const SlotTicket &ticket, broker::AttemptEnd end);
    /// Takes the load report of a probe.
    void learnLoad(const std::string &service, broker::ServerKey server,
                   const broker::LoadReport &load);
    void learnProbeFailure(const std::string &service, broker::ServerKey server);

    /// Tells that the set of backend servers or of instances has changed.
    void updateServers();
    void updateLeaders();

    /// Returns a backend server by its key, or nullptr.
    [[nodiscard]] const fleet::KnownServer *findServer(broker::ServerKey key) const;

    struct DueProbe
    {
        std::string service;
        broker::ServerKey server = 0;
    };
    /// Returns the probes that are due for the services kept here.
    std::vector<DueProbe> takeDueProbes();

    void handleRequest(const std::string &ip, const wire::SlotAsk &ask);
    void handleResponse(const std::string &ip, const wire::SlotAnswer &answer);
    void handleRelease(const std::string &ip, const wire::SlotEnd &end);

private:
    struct ServiceSlots
    {
        std::string name;
        broker::ServiceState state;
        std::string leader;
        /// Last ask of another instance.
        TimePoint lastPeerRequest;
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
    void sendRequest(std::uint64_t ticket);
    void handleRequestTimeout(std::uint64_t ticket);
    void fallBackToLocal(std::uint64_t ticket);
    void decideLocally(std::uint64_t ticket, DecidedBy by);
    void complete(std::uint64_t ticket, const SlotDecision &decision);
    void processQueue(ServiceSlots &service);
    void deliver(const broker::Decision &decision);
    void sendSlotResponse(const std::string &ip, const broker::Decision &decision);

    Context &m_context;
    PeerChannel &m_peers;
    std::unordered_map<std::uint64_t, ServiceSlots> m_services;
    /// The directory keeps its entries in place, so that they can be referred to.
    std::unordered_map<broker::ServerKey, const fleet::KnownServer *> m_servers;
    std::unordered_map<std::uint64_t, PendingRequest> m_pendingRequests;
    /// Tickets whose slot is kept by another instance.
    std::unordered_map<std::uint64_t, std::string> m_remoteGrants;
    /// IP numbers of instances by the number under which the books know them.
    std::unordered_map<std::uint64_t, std::string> m_instanceIps;
    std::uint64_t m_nextTicket = 1;
    metrics::Counter &m_localRequests;
    metrics::Counter &m_remoteRequests;
    metrics::Counter &m_fallbackRequests;
    metrics::Counter &m_lateGrants;
};

} // namespace apricotrock::gateway
