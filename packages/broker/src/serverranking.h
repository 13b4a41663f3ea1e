#pragma once

#include "apricotrock/broker.h"

namespace apricotrock::broker {

/// A free server for one attempt.
struct ServerChoice
{
    ServerState *server = nullptr;
    /// Expected duration of the attempt.
    double seconds = 0;
    /// Expected duration, increased by the failure share of the server, by the delay of the other
    /// attempts there, and by the distance to the instance that sends it.
    double cost = 0;
};

/// The servers of a service as of one moment, ordered by the cost of an attempt. A pass over the
/// queue estimates every server once; a decision then looks at the cheapest servers only, so that
/// its cost does not grow with the number of servers.
class ServerRanking
{
public:
    ServerRanking(ServiceState &state, TimePoint now);

    /// Returns the number of slots, how many are taken, and the length of the queue.
    [[nodiscard]] const ServiceLoad &load() const { return m_load; }
    /// Returns the free server with the lowest cost. \a work is the expected work of the route in
    /// seconds. A server in \a avoidedZone is chosen only if those in other availability zones cost
    /// notably more.
    std::optional<ServerChoice> cheapestFree(const AttemptRequest &request, double work,
                                             std::optional<std::uint32_t> avoidedZone = {});
    /// Returns the lowest cost, including the wait, of an attempt on a server that is full now.
    double lowestCostAfterWait(const AttemptRequest &request, double work);
    /// Updates the order after a slot of \a server was granted.
    void addAttempt(ServerState &server);

private:
    struct Entry
    {
        ServerState *server = nullptr;
        /// Value of ServerState::activeAttempts at the time of the estimate; the entry is outdated
        /// if it differs.
        std::size_t attempts = 0;
        /// Expected duration and cost in relation to the work of the route.
        double durationFactor = 1;
        double relativeCost = 1;
        /// Seconds until an attempt ends on a full server.
        double wait = 0;
    };
    struct Zone
    {
        std::uint32_t key = 0;
        std::vector<Entry> heap;
    };

    Entry estimate(ServerState &server, unsigned taken) const;
    unsigned limitOf(const ServerState &server);
    /// Adds an entry for \a server and returns the number of its free slots.
    unsigned insert(ServerState &server);
    /// The same for a cold server, which counts with one slot if it may get an attempt now.
    unsigned insertCold(ServerState &server);
    Zone &zone(std::uint32_t key);
    /// Returns the entry with the lowest cost for \a work whose server \a request may use.
    std::optional<Entry> cheapest(std::vector<Entry> &heap, const AttemptRequest &request,
                                  double work);

    ServiceState &m_state;
    TimePoint m_now;
    ServiceLoad m_load;
    unsigned m_limitSlots = 0;
    unsigned m_limit = 1;
    std::vector<Zone> m_zones;
    std::vector<Entry> m_full;
    /// Work for which the full servers are ordered; 0 before the first use.
    double m_waitWork = 0;
};

} // namespace apricotrock::broker
