#include "serverranking.h"

#include "coldstart.h"
#include "estimate.h"

#include <algorithm>

namespace apricotrock::broker {

namespace {

/// Weight of the excess failure share of a server in the cost of an attempt.
constexpr double failureCostFactor = 4.0;
/// Part of the work time that is added to the cost of a server in another availability zone, so
/// that traffic crosses availability zones only if the server is faster by more than this.
constexpr double crossZoneCost = 0.15;
/// Part of the work time that is added to the cost of a server in an availability zone that is to
/// be avoided. A server in another zone is used if it costs at most this much more, its distance
/// included.
constexpr double avoidedZoneCost = 0.25;
/// Total delay that an attempt causes to the other attempts on a full server, as a part of its own
/// duration.
constexpr double contentionCost = 0.2;
/// A server with a higher excess failure share is used only if no other server has a free slot.
constexpr double degradedFailureShare = 0.45;

/// Cost in seconds while there is no server; longer than any deadline.
constexpr double noServerCost = 1e6;

bool isExcluded(const ServiceState &state, const AttemptRequest &request, const ServerState &server,
                TimePoint now)
{
    const ServerKey key = server.info.key;
    return (request.isHedge && isCold(server, now))
        || std::find(request.excluded.begin(), request.excluded.end(), key)
        != request.excluded.end()
        || remainingPause(state, request.key.instance, key, now) > Duration(0);
}

/// Order of a heap with the lowest cost on top. Entries of free servers have no wait.
template <typename Entry>
auto costlierFor(double work)
{
    return [work](const Entry &left, const Entry &right) {
        return left.wait + work * left.relativeCost > right.wait + work * right.relativeCost;
    };
}

bool isAvailable(const ServerState &server, TimePoint now)
{
    return server.info.isUsable && now >= server.unreachableUntil;
}

} // namespace

ServerRanking::ServerRanking(ServiceState &state, TimePoint now) : m_state(state), m_now(now)
{
    unsigned free = 0;
    for (auto &[key, server] : state.servers) {
        if (!server.info.isUsable)
            continue;
        if (isCold(server, now)) {
            free += insertCold(server);
            continue;
        }
        m_load.slots += limitOf(server);
        if (isAvailable(server, now))
            free += insert(server);
    }
    state.examinedEntries += state.servers.size();
    m_load.taken = m_load.slots - free;
    m_load.waiting = state.queue.size();
    state.lastLoad = m_load;
}

ServerRanking::Entry ServerRanking::estimate(ServerState &server, unsigned taken) const
{
    Entry entry;
    entry.server = &server;
    entry.attempts = server.activeAttempts.size();
    entry.durationFactor = durationFactor(m_state, server, taken, m_now);
    const double failures = excessFailureShare(m_state, server, m_now);
    double penalty = 1 + failureCostFactor * failures;
    if (failures > degradedFailureShare)
        penalty *= failureCostFactor;
    penalty += contentionCost * taken / std::max(1U, server.info.slots);
    entry.relativeCost = entry.durationFactor * penalty;
    return entry;
}

ServerRanking::Zone &ServerRanking::zone(std::uint32_t key)
{
    for (Zone &each : m_zones) {
        if (each.key == key)
            return each;
    }
    m_zones.push_back({key, {}});
    return m_zones.back();
}

unsigned ServerRanking::limitOf(const ServerState &server)
{
    // Most servers of a service have the same number of slots.
    if (server.info.slots != m_limitSlots) {
        m_limitSlots = server.info.slots;
        m_limit = attemptLimit(m_state, m_limitSlots);
    }
    return m_limit;
}

unsigned ServerRanking::insertCold(ServerState &server)
{
    const Duration wait = coldStartWait(m_state, server, m_now);
    if (isAvailable(server, m_now))
        m_load.coldStartsPerSecond += coldStartRate(m_state, server, m_now);
    if (wait > Duration(0)) {
        ++m_load.delayedColdServers;
        m_load.coldStartWait = std::min(m_load.coldStartWait, wait);
        return 0;
    }
    if (!isAvailable(server, m_now) || insert(server) == 0)
        return 0;
    // Further attempts are delayed, however many slots of the server are free.
    ++m_load.readyColdServers;
    ++m_load.slots;
    return 1;
}

unsigned ServerRanking::insert(ServerState &server)
{
    const unsigned limit = limitOf(server);
    const unsigned taken = takenSlots(m_state, server, m_now);
    if (taken < limit) {
        std::vector<Entry> &heap = zone(server.info.zone).heap;
        heap.push_back(estimate(server, taken));
        std::push_heap(heap.begin(), heap.end(), costlierFor<Entry>(1.0));
        return limit - taken;
    }
    // A request must not wait for a server that may not take it when its slot becomes free.
    if (server.activeAttempts.empty() || isCold(server, m_now))
        return 0;
    TimePoint earliestEnd = TimePoint::max();
    for (const ActiveAttempt &each : server.activeAttempts)
        earliestEnd = std::min(earliestEnd, each.expectedEnd);
    Entry entry = estimate(server, limit - 1);
    entry.wait = std::max(0.0, toSeconds(earliestEnd - m_now));
    m_full.push_back(entry);
    if (m_waitWork > 0)
        std::push_heap(m_full.begin(), m_full.end(), costlierFor<Entry>(m_waitWork));
    return 0;
}

std::optional<ServerRanking::Entry>
ServerRanking::cheapest(std::vector<Entry> &heap, const AttemptRequest &request, double work)
{
    const auto isCostlier = costlierFor<Entry>(work);
    std::vector<Entry> skipped;
    std::optional<Entry> found;
    while (!heap.empty() && !found) {
        ++m_state.examinedEntries;
        const Entry &top = heap.front();
        const bool isOutdated = top.attempts != top.server->activeAttempts.size();
        if (!isOutdated && !isExcluded(m_state, request, *top.server, m_now)) {
            found = top;
            continue;
        }
        if (!isOutdated)
            skipped.push_back(top);
        std::pop_heap(heap.begin(), heap.end(), isCostlier);
        heap.pop_back();
    }
    for (const Entry &each : skipped) {
        heap.push_back(each);
        std::push_heap(heap.begin(), heap.end(), isCostlier);
    }
    return found;
}

std::optional<ServerChoice> ServerRanking::cheapestFree(const AttemptRequest &request, double work,
                                                        std::optional<std::uint32_t> avoidedZone)
{
    std::optional<ServerChoice> best;
    for (Zone &each : m_zones) {
        const auto entry = cheapest(each.heap, request, 1.0);
        if (!entry)
            continue;
        const double distance = each.key == request.zone ? 0 : crossZoneCost;
        const double avoidance = each.key == avoidedZone ? avoidedZoneCost : 0;
        const double cost = work * (entry->relativeCost + distance + avoidance);
        if (!best || cost < best->cost)
            best = {entry->server, work * entry->durationFactor, cost};
    }
    return best;
}

double ServerRanking::lowestCostAfterWait(const AttemptRequest &request, double work)
{
    if (m_waitWork == 0) {
        m_waitWork = work;
        m_state.examinedEntries += m_full.size();
        std::make_heap(m_full.begin(), m_full.end(), costlierFor<Entry>(work));
    }
    const auto entry = cheapest(m_full, request, m_waitWork);
    return entry ? entry->wait + work * entry->relativeCost : noServerCost;
}

void ServerRanking::addAttempt(ServerState &server)
{
    ++m_load.taken;
    if (!isCold(server, m_now))
        insert(server);
}

} // namespace apricotrock::broker
