#include "apricotrock/broker.h"

#include "crashes.h"
#include "estimate.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace apricotrock::broker {

namespace {

using std::chrono::milliseconds;

/// A queued request can meet its target while its expected duration times this factor ends before
/// the target. Most attempts are answered within the margin.
constexpr double targetMargin = 1.15;
/// Weight of the failure share of a server in the cost of an attempt.
constexpr double failureCostFactor = 4.0;
/// Part of the work time that is added to the cost of a server in another availability zone, so
/// that traffic crosses availability zones only if the server is faster by more than this.
constexpr double crossZoneCost = 0.15;
/// Total delay that an attempt causes to the other attempts on a full server, as a part of its own
/// duration.
constexpr double contentionCost = 0.2;
/// A server with a higher failure share is used only if no other server has a free slot.
constexpr double degradedFailureShare = 0.45;
/// A request that would miss its target waits for a full server if the cost after the wait is
/// below this part of the cost on the best free server.
constexpr double maxWaitCostRatio = 0.9;
/// The same for a request that misses its target in any case. The ratio is lower because a slot
/// that is left free for a late request is wasted capacity.
constexpr double lateMaxWaitCostRatio = 0.35;
/// Share of slots that must stay free for a hedge to be granted.
constexpr double minFreeShareForHedge = 0.25;
/// Time after the deadline for which a slot still counts as taken if the end of its attempt is
/// not reported.
constexpr Duration attemptEndGrace = milliseconds(300);
/// Limit of the queue length per slot.
constexpr std::size_t maxQueuedPerSlot = 6;
/// Limit of queued requests per slot that can no longer meet their target. They are served when
/// no other request is queued; more of them would only wait without being served.
constexpr double maxLatePerSlot = 0.5;
/// Up to this length the queue is processed at every event.
constexpr std::size_t shortQueueLength = 32;
/// Interval between passes over a longer queue; short in relation to the duration of a request.
constexpr Duration longQueuePassInterval = milliseconds(4);
/// Limits of Retry-After. After a shorter pause the retry meets the same overload; a longer pause
/// ends after the deadline of most requests.
constexpr Duration minRetryAfter = milliseconds(50);
constexpr Duration maxRetryAfter = milliseconds(1500);
/// Share of the retry slack in the first window of a new leader, which doesn't know the attempts
/// that were sent before.
constexpr double newLeaderSlackShare = 0.3;
/// Share of the retry slack for an instance that decides temporarily without being the leader.
constexpr double followerSlackShare = 0.03;

struct ServerChoice
{
    ServerState *server = nullptr;
    double seconds = std::numeric_limits<double>::max();
    double cost = std::numeric_limits<double>::max();
};

/// Caches attemptLimit() for the last number of slots, because most servers of a service have the
/// same number.
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

bool isExcluded(const AttemptRequest &request, ServerKey key)
{
    return std::find(request.excluded.begin(), request.excluded.end(), key)
        != request.excluded.end();
}

bool isAvailable(const ServerState &server, TimePoint now)
{
    return server.info.isUsable && now >= server.unreachableUntil;
}

/// Returns the cost of an attempt that starts on \a server while \a taken slots are in use: its
/// expected duration, increased by the failure share and by the delay of other attempts.
double attemptCost(const ServerState &server, double seconds, unsigned taken, TimePoint now)
{
    const double failures = failureShare(server, now);
    double cost = seconds * (1 + failureCostFactor * failures);
    if (failures > degradedFailureShare)
        cost *= failureCostFactor;
    cost += contentionCost * seconds * taken / std::max(1U, server.info.slots);
    return cost;
}

ServerChoice chooseFreeServer(ServiceState &state, const AttemptRequest &request, TimePoint now)
{
    ServerChoice best;
    AttemptLimits limits(state);
    const double work = workSeconds(state, request.route, request.objective);
    state.examinedEntries += state.servers.size();
    for (auto &[key, server] : state.servers) {
        if (!isAvailable(server, now) || isExcluded(request, key))
            continue;
        const unsigned taken = takenSlots(state, server, now);
        if (taken >= limits(server))
            continue;
        const double seconds = work * durationFactor(state, server, taken, now);
        double cost = attemptCost(server, seconds, taken, now);
        if (server.info.zone != request.zone)
            cost += crossZoneCost * work;
        if (cost < best.cost)
            best = {&server, seconds, cost};
    }
    return best;
}

/// Returns the lowest cost, including the wait, of an attempt on a server that is full now.
double lowestCostAfterWait(ServiceState &state, const AttemptRequest &request, TimePoint now)
{
    double best = std::numeric_limits<double>::max();
    AttemptLimits limits(state);
    const double work = workSeconds(state, request.route, request.objective);
    state.examinedEntries += state.servers.size();
    for (auto &[key, server] : state.servers) {
        if (!isAvailable(server, now) || isExcluded(request, key) || server.activeAttempts.empty())
            continue;
        const unsigned limit = limits(server);
        if (takenSlots(state, server, now) < limit)
            continue;
        TimePoint earliestEnd = TimePoint::max();
        for (const ActiveAttempt &each : server.activeAttempts)
            earliestEnd = std::min(earliestEnd, each.expectedEnd);
        const double wait = std::max(0.0, toSeconds(earliestEnd - now));
        const double seconds = work * durationFactor(state, server, limit - 1, now);
        best = std::min(best, wait + attemptCost(server, seconds, limit - 1, now));
    }
    return best;
}

Decision grant(ServiceState &state, const AttemptRequest &request, const ServerChoice &choice,
               TimePoint now)
{
    ServerState &server = *choice.server;
    ActiveAttempt attempt;
    attempt.key = request.key;
    attempt.route = request.route;
    attempt.fingerprint = request.fingerprint;
    attempt.expectedEnd = now + toDuration(choice.seconds);
    attempt.expires = request.deadline + attemptEndGrace;
    attempt.factor = choice.seconds / workSeconds(state, request.route, request.objective);
    attempt.slowdown = server.report ? server.report->slowdown : 0;
    server.activeAttempts.push_back(attempt);
    Decision decision;
    decision.key = request.key;
    decision.verdict = Verdict::Granted;
    decision.server = server.info.key;
    decision.expected = toDuration(choice.seconds);
    decision.reportAge = server.report ? now - server.reported : Duration(-1);
    decision.slots = server.info.slots;
    decision.taken = static_cast<unsigned>(server.activeAttempts.size());
    return decision;
}

unsigned totalSlots(ServiceState &state)
{
    unsigned slots = 0;
    state.examinedEntries += state.servers.size();
    AttemptLimits limits(state);
    for (const auto &[key, server] : state.servers) {
        if (server.info.isUsable)
            slots += limits(server);
    }
    return slots;
}

unsigned freeSlots(ServiceState &state, TimePoint now)
{
    unsigned slots = 0;
    state.examinedEntries += state.servers.size();
    AttemptLimits limits(state);
    for (const auto &[key, server] : state.servers) {
        const unsigned limit = limits(server);
        const unsigned taken = takenSlots(state, server, now);
        if (isAvailable(server, now) && taken < limit)
            slots += limit - taken;
    }
    return slots;
}

/// Slots and queue length of a service.
struct ServiceLoad
{
    unsigned slots = 0;
    unsigned taken = 0;
    std::size_t waiting = 0;
};

ServiceLoad currentLoad(ServiceState &state, TimePoint now)
{
    const unsigned slots = totalSlots(state);
    return {slots, slots - freeSlots(state, now), state.queue.size()};
}

Decision refuse(const AttemptRequest &request, RefusalReason reason, Duration retryAfter,
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

/// Expected work of queued requests on servers that run as many attempts as their limit allows.
/// Constructed once for each pass over the queue.
class FullLoadWork
{
public:
    explicit FullLoadWork(const ServiceState &state)
        : m_state(state), m_factor(fullLoadFactor(state))
    { }

    double seconds(const AttemptRequest &request) const
    {
        return workSeconds(m_state, request.route, request.objective) * m_factor;
    }
    bool canMeetTarget(const AttemptRequest &request, TimePoint now) const
    {
        return now + toDuration(seconds(request) * targetMargin) < request.target;
    }

private:
    const ServiceState &m_state;
    double m_factor;
};

/// Returns the time until all queued requests have been started if no further ones arrive.
Duration queueDrainTime(ServiceState &state, unsigned slots)
{
    state.examinedEntries += state.queue.size();
    const FullLoadWork fullLoadWork(state);
    double work = 0;
    for (const AttemptRequest &each : state.queue)
        work += fullLoadWork.seconds(each);
    return toDuration(work / std::max(1U, slots));
}

std::size_t lateLimit(unsigned slots)
{
    return static_cast<std::size_t>(std::ceil(maxLatePerSlot * slots));
}

/// Sorts requests that can still meet their target first, by priority and then by earliest target.
/// Late requests follow, by priority and then by latest deadline, because the request with the most
/// time left is the likeliest to be answered before its deadline.
void sortQueue(ServiceState &state, TimePoint now)
{
    struct Rank
    {
        bool isLate;
        unsigned priority;
        TimePoint::rep order;
        std::size_t index;
    };
    state.examinedEntries += state.queue.size();
    const FullLoadWork fullLoadWork(state);
    std::vector<Rank> ranks;
    ranks.reserve(state.queue.size());
    for (std::size_t i = 0; i < state.queue.size(); ++i) {
        const AttemptRequest &each = state.queue[i];
        const bool isLate = !fullLoadWork.canMeetTarget(each, now);
        const auto order = isLate ? -each.deadline.time_since_epoch().count()
                                  : each.target.time_since_epoch().count();
        ranks.push_back({isLate, each.priority, order, i});
    }
    std::sort(ranks.begin(), ranks.end(), [](const Rank &left, const Rank &right) {
        return std::tie(left.isLate, left.priority, left.order, left.index)
            < std::tie(right.isLate, right.priority, right.order, right.index);
    });
    std::vector<AttemptRequest> sorted;
    sorted.reserve(state.queue.size());
    for (const Rank &rank : ranks)
        sorted.push_back(state.queue[rank.index]);
    state.queue = std::move(sorted);
}

std::optional<Decision> tryGrant(ServiceState &state, const AttemptRequest &request, TimePoint now)
{
    const ServerChoice choice = chooseFreeServer(state, request, now);
    if (!choice.server)
        return std::nullopt;
    if (now + toDuration(choice.seconds) > request.target) {
        const double costAfterWait = lowestCostAfterWait(state, request, now);
        const bool wouldMeetTarget = now + toDuration(costAfterWait) < request.target;
        if (costAfterWait
            < (wouldMeetTarget ? maxWaitCostRatio : lateMaxWaitCostRatio) * choice.cost)
            return std::nullopt;
    }
    return grant(state, request, choice, now);
}

bool canMeetDeadline(const ServiceState &state, const AttemptRequest &request, TimePoint now)
{
    const double work = workSeconds(state, request.route, request.objective);
    return now + toDuration(work) < request.deadline;
}

void removeExpiredAttempts(ServiceState &state, TimePoint now)
{
    state.examinedEntries += state.servers.size();
    for (auto &[key, server] : state.servers) {
        std::erase_if(server.activeAttempts,
                      [now](const ActiveAttempt &each) { return each.expires <= now; });
    }
}

double slackShare(const ServiceState &state, TimePoint now)
{
    if (!state.isLeading)
        return followerSlackShare;
    return now - state.leadingSince < state.policy.retryWindow ? newLeaderSlackShare : 1.0;
}

Decision requestHedge(ServiceState &state, const AttemptRequest &request, TimePoint now)
{
    const ServerChoice choice = chooseFreeServer(state, request, now);
    const ServiceLoad load = currentLoad(state, now);
    const bool hasRoom = load.slots - load.taken > minFreeShareForHedge * load.slots;
    const bool canAnswerInTime =
        choice.server && now + toDuration(choice.seconds) < request.deadline;
    if (!hasRoom || !canAnswerInTime)
        return refuse(request, RefusalReason::HedgeNotUseful, {}, load);
    if (!tryConsumeRetry(state.budget, state.policy, slackShare(state, now), now))
        return refuse(request, RefusalReason::RetryBudget, {}, load);
    return grant(state, request, choice, now);
}

/// Returns the current decision of a request that was received before, so that a repeated message
/// takes no second slot.
std::optional<Decision> findExistingDecision(ServiceState &state, const AttemptRequest &request,
                                             TimePoint now)
{
    state.examinedEntries += state.queue.size() + state.servers.size();
    for (const AttemptRequest &each : state.queue) {
        if (each.key != request.key)
            continue;
        Decision decision;
        decision.key = request.key;
        return decision;
    }
    for (const auto &[key, server] : state.servers) {
        for (const ActiveAttempt &each : server.activeAttempts) {
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

Decision requestAttempt(ServiceState &state, const AttemptRequest &request, TimePoint now)
{
    if (const auto existing = findExistingDecision(state, request, now))
        return *existing;
    if (isQuarantined(state, request.fingerprint, now))
        return refuse(request, RefusalReason::Quarantined, maxRetryAfter, currentLoad(state, now));
    if (request.isHedge)
        return requestHedge(state, request, now);
    if (request.earlierAttempts == 0)
        countRequest(state.budget, state.policy, now);
    const unsigned slots = totalSlots(state);
    if (slots == 0)
        return refuse(request, RefusalReason::NoServer, maxRetryAfter, currentLoad(state, now));
    if (!canMeetDeadline(state, request, now))
        return refuse(request, RefusalReason::DeadlineUnmeetable, minRetryAfter,
                      currentLoad(state, now));
    if (request.earlierAttempts > 0
        && !tryConsumeRetry(state.budget, state.policy, slackShare(state, now), now))
        return refuse(request, RefusalReason::RetryBudget, queueDrainTime(state, slots),
                      currentLoad(state, now));
    removeExpiredAttempts(state, now);
    if (state.queue.empty()) {
        if (const auto decision = tryGrant(state, request, now))
            return *decision;
    }
    if (state.queue.size() >= maxQueuedPerSlot * slots)
        return refuse(request, RefusalReason::QueueFull, queueDrainTime(state, slots),
                      currentLoad(state, now));
    state.queue.push_back(request);
    Decision decision;
    decision.key = request.key;
    return decision;
}

bool isQueuePassDue(const ServiceState &state, TimePoint now)
{
    return state.queue.size() <= shortQueueLength
        || now - state.lastQueuePass >= longQueuePassInterval;
}

std::vector<Decision> processQueue(ServiceState &state, TimePoint now)
{
    state.lastQueuePass = now;
    std::vector<Decision> decisions;
    removeExpiredAttempts(state, now);
    if (state.queue.empty())
        return decisions;
    sortQueue(state, now);
    std::vector<AttemptRequest> waiting;
    std::size_t late = 0;
    ServiceLoad load = currentLoad(state, now);
    const std::size_t maxLate = lateLimit(load.slots);
    const FullLoadWork fullLoadWork(state);
    const Duration timeToDrain = queueDrainTime(state, load.slots);
    for (const AttemptRequest &each : state.queue) {
        if (!canMeetDeadline(state, each, now)) {
            decisions.push_back(
                refuse(each, RefusalReason::DeadlineUnmeetable, timeToDrain / 2, load));
            continue;
        }
        std::optional<Decision> decision;
        if (load.taken < load.slots)
            decision = tryGrant(state, each, now);
        if (decision) {
            ++load.taken;
            decisions.push_back(*decision);
        } else if (!fullLoadWork.canMeetTarget(each, now) && ++late > maxLate) {
            decisions.push_back(refuse(each, RefusalReason::QueueFull, timeToDrain, load));
        } else {
            waiting.push_back(each);
        }
    }
    state.queue = std::move(waiting);
    return decisions;
}

} // namespace apricotrock::broker
