#include "apricotrock/broker.h"

#include "crashes.h"
#include "estimate.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace apricotrock::broker {

namespace {

using std::chrono::milliseconds;

/// An ask is in time while its expected duration, times this, fits before its target; most answers
/// come within it.
constexpr double inTimeMargin = 1.15;
/// Weight of a server's failure share in its cost.
constexpr double failureCost = 4.0;
/// A server in another availability zone must be faster by this part: its bytes cross zones.
constexpr double otherZoneCost = 0.15;
/// Part of its duration by which an attempt delays the others on a full server, all together.
constexpr double neighbourCost = 0.2;
/// A server above this failure share is used only if no other one has room.
constexpr double grayFailureShare = 0.45;
/// A request waits for a better server if that takes at most this part of the time.
constexpr double waitGain = 0.9;
/// The same for one that is late in any case; a slot left free helps nobody.
constexpr double lateWaitGain = 0.35;
/// Share of slots that must stay free for a hedge to be granted.
constexpr double hedgeFreeShare = 0.25;
/// Slots are counted as taken this long after the deadline if the end of an attempt is not told.
constexpr Duration occupantGrace = milliseconds(300);
/// Largest number of waiting asks for each slot.
constexpr std::size_t queuePerSlot = 6;
/// Largest number of waiting asks for each slot that can't be in time any more. They are served
/// when nothing else waits; more of them would only wait in vain.
constexpr double latePerSlot = 0.5;
/// Waiting asks that are looked through at every event.
constexpr std::size_t shortQueue = 32;
/// Interval in which a longer queue is looked through; little beside the time that a request takes.
constexpr Duration longQueueInterval = milliseconds(4);
/// Limits of Retry-After: shorter ones repeat the same overload, longer ones pass most deadlines.
constexpr Duration minRetryAfter = milliseconds(50);
constexpr Duration maxRetryAfter = milliseconds(1500);
/// Retry slack in the first window after taking over, when earlier attempts are not known.
constexpr double newLeaderSlackShare = 0.3;
/// Share of the retry slack for an instance that decides alone for a moment.
constexpr double followerSlackShare = 0.03;

struct Choice
{
    ServerState *server = nullptr;
    double seconds = std::numeric_limits<double>::max();
    double cost = std::numeric_limits<double>::max();
};

/// attemptLimit() for the servers of a service, most of which have the same number of slots.
class AttemptLimits
{
public:
    explicit AttemptLimits(const ServiceState &state) : m_state(state) { }

    unsigned operator()(const ServerState &server)
    {
        if (server.info.slots != m_slots) {
            m_slots = server.info.slots;
            m_limit = attemptLimit(m_state, m_slots);
        }
        return m_limit;
    }

private:
    const ServiceState &m_state;
    unsigned m_slots = 0;
    unsigned m_limit = 1;
};

bool isExcluded(const Ask &request, ServerKey key)
{
    return std::find(request.excluded.begin(), request.excluded.end(), key)
        != request.excluded.end();
}

bool isAvailable(const ServerState &server, TimePoint now)
{
    return server.info.isUsable && now >= server.unreachableUntil;
}

/// Cost of an attempt on \a server that starts with \a taken slots in use.
double costOf(const ServerState &server, double seconds, unsigned taken, TimePoint now)
{
    const double failures = failureShare(server, now);
    double cost = seconds * (1 + failureCost * failures);
    if (failures > grayFailureShare)
        cost *= failureCost;
    cost += neighbourCost * seconds * taken / std::max(1U, server.info.slots);
    return cost;
}

Choice chooseFree(ServiceState &state, const Ask &request, TimePoint now)
{
    Choice best;
    AttemptLimits limits(state);
    const double work = workSeconds(state, request.route, request.objective);
    for (auto &[key, server] : state.servers) {
        if (!isAvailable(server, now) || isExcluded(request, key))
            continue;
        const unsigned taken = takenSlots(state, server, now);
        if (taken >= limits(server))
            continue;
        const double seconds = work * durationFactor(state, server, taken, now);
        double cost = costOf(server, seconds, taken, now);
        if (server.info.zone != request.zone)
            cost += otherZoneCost * work;
        if (cost < best.cost)
            best = {&server, seconds, cost};
    }
    return best;
}

/// Shortest time to an answer by waiting for a slot of a server that is full now.
double bestAfterWait(ServiceState &state, const Ask &request, TimePoint now)
{
    double best = std::numeric_limits<double>::max();
    AttemptLimits limits(state);
    const double work = workSeconds(state, request.route, request.objective);
    for (auto &[key, server] : state.servers) {
        if (!isAvailable(server, now) || isExcluded(request, key) || server.occupants.empty())
            continue;
        const unsigned limit = limits(server);
        if (takenSlots(state, server, now) < limit)
            continue;
        TimePoint firstEnd = TimePoint::max();
        for (const Occupant &each : server.occupants)
            firstEnd = std::min(firstEnd, each.expectedEnd);
        const double wait = std::max(0.0, toSeconds(firstEnd - now));
        const double seconds = work * durationFactor(state, server, limit - 1, now);
        best = std::min(best, wait + costOf(server, seconds, limit - 1, now));
    }
    return best;
}

Decision grant(ServiceState &state, const Ask &request, const Choice &choice, TimePoint now)
{
    ServerState &server = *choice.server;
    Occupant occupant;
    occupant.key = request.key;
    occupant.route = request.route;
    occupant.fingerprint = request.fingerprint;
    occupant.expectedEnd = now + toDuration(choice.seconds);
    occupant.expires = request.deadline + occupantGrace;
    occupant.factor = choice.seconds / workSeconds(state, request.route, request.objective);
    occupant.slowdown = server.report ? server.report->slowdown : 0;
    server.occupants.push_back(occupant);
    Decision decision;
    decision.key = request.key;
    decision.verdict = Verdict::Granted;
    decision.server = server.info.key;
    decision.expected = toDuration(choice.seconds);
    decision.reportAge = server.report ? now - server.reported : Duration(-1);
    decision.slots = server.info.slots;
    decision.taken = static_cast<unsigned>(server.occupants.size());
    return decision;
}

unsigned usableSlots(const ServiceState &state)
{
    unsigned slots = 0;
    AttemptLimits limits(state);
    for (const auto &[key, server] : state.servers) {
        if (server.info.isUsable)
            slots += limits(server);
    }
    return slots;
}

unsigned freeSlots(const ServiceState &state, TimePoint now)
{
    unsigned slots = 0;
    AttemptLimits limits(state);
    for (const auto &[key, server] : state.servers) {
        const unsigned limit = limits(server);
        const unsigned taken = takenSlots(state, server, now);
        if (isAvailable(server, now) && taken < limit)
            slots += limit - taken;
    }
    return slots;
}

/// What the slots of a service carry.
struct ServiceLoad
{
    unsigned slots = 0;
    unsigned taken = 0;
    std::size_t waiting = 0;
};

ServiceLoad currentLoad(const ServiceState &state, TimePoint now)
{
    const unsigned slots = usableSlots(state);
    return {slots, slots - freeSlots(state, now), state.queue.size()};
}

Decision refuse(const Ask &request, RefusalReason reason, Duration retryAfter,
                const ServiceLoad &load)
{
    Decision decision;
    decision.key = request.key;
    decision.verdict = Verdict::Refused;
    decision.reason = reason;
    decision.retryAfter = std::clamp(retryAfter, minRetryAfter, maxRetryAfter);
    decision.slots = load.slots;
    decision.taken = load.taken;
    decision.waiting = static_cast<unsigned>(load.waiting);
    return decision;
}

/// Expected work of asks on servers that run as many attempts as they get. Made once for each pass
/// over the queue.
class LoadedWork
{
public:
    explicit LoadedWork(const ServiceState &state) : m_state(state), m_factor(loadedFactor(state))
    { }

    double seconds(const Ask &request) const
    {
        return workSeconds(m_state, request.route, request.objective) * m_factor;
    }
    bool isInTime(const Ask &request, TimePoint now) const
    {
        return now + toDuration(seconds(request) * inTimeMargin) < request.target;
    }

private:
    const ServiceState &m_state;
    double m_factor;
};

/// Time until the waiting asks have been started, if no further ones come.
Duration drainTime(const ServiceState &state, unsigned slots)
{
    const LoadedWork loaded(state);
    double work = 0;
    for (const Ask &each : state.queue)
        work += loaded.seconds(each);
    return toDuration(work / std::max(1U, slots));
}

std::size_t lateLimit(unsigned slots)
{
    return static_cast<std::size_t>(std::ceil(latePerSlot * slots));
}

/// Asks that can still be in time go first: urgent ones, then those with the earliest target.
/// Among the late ones the one with the most time left goes first, because it is the likeliest to
/// be answered before its deadline.
void sortQueue(ServiceState &state, TimePoint now)
{
    struct Rank
    {
        bool isLate;
        unsigned priority;
        TimePoint::rep order;
        std::size_t index;
    };
    const LoadedWork loaded(state);
    std::vector<Rank> ranks;
    ranks.reserve(state.queue.size());
    for (std::size_t i = 0; i < state.queue.size(); ++i) {
        const Ask &each = state.queue[i];
        const bool isLate = !loaded.isInTime(each, now);
        const auto order = isLate ? -each.deadline.time_since_epoch().count()
                                  : each.target.time_since_epoch().count();
        ranks.push_back({isLate, each.priority, order, i});
    }
    std::sort(ranks.begin(), ranks.end(), [](const Rank &left, const Rank &right) {
        return std::tie(left.isLate, left.priority, left.order, left.index)
            < std::tie(right.isLate, right.priority, right.order, right.index);
    });
    std::vector<Ask> sorted;
    sorted.reserve(state.queue.size());
    for (const Rank &rank : ranks)
        sorted.push_back(state.queue[rank.index]);
    state.queue = std::move(sorted);
}

std::optional<Decision> tryStart(ServiceState &state, const Ask &request, TimePoint now)
{
    const Choice choice = chooseFree(state, request, now);
    if (!choice.server)
        return std::nullopt;
    if (now + toDuration(choice.seconds) > request.target) {
        const double afterWait = bestAfterWait(state, request, now);
        const bool wouldBeInTime = now + toDuration(afterWait) < request.target;
        if (afterWait < (wouldBeInTime ? waitGain : lateWaitGain) * choice.cost)
            return std::nullopt;
    }
    return grant(state, request, choice, now);
}

bool fitsDeadline(const ServiceState &state, const Ask &request, TimePoint now)
{
    const double work = workSeconds(state, request.route, request.objective);
    return now + toDuration(work) < request.deadline;
}

void expireOccupants(ServiceState &state, TimePoint now)
{
    for (auto &[key, server] : state.servers) {
        std::erase_if(server.occupants,
                      [now](const Occupant &each) { return each.expires <= now; });
    }
}

double slackShare(const ServiceState &state, TimePoint now)
{
    if (!state.isLeading)
        return followerSlackShare;
    return now - state.leadingSince < state.policy.retryWindow ? newLeaderSlackShare : 1.0;
}

Decision askHedge(ServiceState &state, const Ask &request, TimePoint now)
{
    const Choice choice = chooseFree(state, request, now);
    const ServiceLoad load = currentLoad(state, now);
    const bool hasRoom = load.slots - load.taken > hedgeFreeShare * load.slots;
    const bool isUseful = choice.server && now + toDuration(choice.seconds) < request.deadline;
    if (!hasRoom || !isUseful)
        return refuse(request, RefusalReason::HedgeNotUseful, {}, load);
    if (!takeRetry(state.budget, state.policy, slackShare(state, now), now))
        return refuse(request, RefusalReason::RetryBudget, {}, load);
    return grant(state, request, choice, now);
}

/// An ask that is sent again gets the answer that it has already.
std::optional<Decision> repeatedAnswer(const ServiceState &state, const Ask &request, TimePoint now)
{
    for (const Ask &each : state.queue) {
        if (each.key != request.key)
            continue;
        Decision decision;
        decision.key = request.key;
        return decision;
    }
    for (const auto &[key, server] : state.servers) {
        for (const Occupant &each : server.occupants) {
            if (each.key != request.key)
                continue;
            Decision decision;
            decision.key = request.key;
            decision.verdict = Verdict::Granted;
            decision.server = key;
            decision.expected = each.expectedEnd - now;
            return decision;
        }
    }
    return std::nullopt;
}

} // namespace

Decision ask(ServiceState &state, const Ask &request, TimePoint now)
{
    if (const auto repeated = repeatedAnswer(state, request, now))
        return *repeated;
    if (isQuarantined(state, request.fingerprint, now))
        return refuse(request, RefusalReason::Quarantined, maxRetryAfter, currentLoad(state, now));
    if (request.isHedge)
        return askHedge(state, request, now);
    if (request.earlierAttempts == 0)
        countRequest(state.budget, state.policy, now);
    const unsigned slots = usableSlots(state);
    if (slots == 0)
        return refuse(request, RefusalReason::NoServer, maxRetryAfter, currentLoad(state, now));
    if (!fitsDeadline(state, request, now))
        return refuse(request, RefusalReason::DeadlineUnmeetable, minRetryAfter,
                      currentLoad(state, now));
    if (request.earlierAttempts > 0
        && !takeRetry(state.budget, state.policy, slackShare(state, now), now))
        return refuse(request, RefusalReason::RetryBudget, drainTime(state, slots),
                      currentLoad(state, now));
    expireOccupants(state, now);
    if (state.queue.empty()) {
        if (const auto decision = tryStart(state, request, now))
            return *decision;
    }
    if (state.queue.size() >= queuePerSlot * slots)
        return refuse(request, RefusalReason::QueueFull, drainTime(state, slots),
                      currentLoad(state, now));
    state.queue.push_back(request);
    Decision decision;
    decision.key = request.key;
    return decision;
}

bool isAdvanceDue(const ServiceState &state, TimePoint now)
{
    return state.queue.size() <= shortQueue || now - state.advanced >= longQueueInterval;
}

std::vector<Decision> advance(ServiceState &state, TimePoint now)
{
    state.advanced = now;
    std::vector<Decision> decisions;
    expireOccupants(state, now);
    if (state.queue.empty())
        return decisions;
    sortQueue(state, now);
    std::vector<Ask> waiting;
    std::size_t late = 0;
    ServiceLoad load = currentLoad(state, now);
    const std::size_t maxLate = lateLimit(load.slots);
    const LoadedWork loaded(state);
    const Duration untilEmpty = drainTime(state, load.slots);
    for (const Ask &each : state.queue) {
        if (!fitsDeadline(state, each, now)) {
            decisions.push_back(
                refuse(each, RefusalReason::DeadlineUnmeetable, untilEmpty / 2, load));
            continue;
        }
        std::optional<Decision> decision;
        if (load.taken < load.slots)
            decision = tryStart(state, each, now);
        if (decision) {
            ++load.taken;
            decisions.push_back(*decision);
        } else if (!loaded.isInTime(each, now) && ++late > maxLate) {
            decisions.push_back(refuse(each, RefusalReason::QueueFull, untilEmpty, load));
        } else {
            waiting.push_back(each);
        }
    }
    state.queue = std::move(waiting);
    return decisions;
}

} // namespace apricotrock::broker
