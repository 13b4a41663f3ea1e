#include "apricotrock/broker.h"

#include "coldstart.h"
#include "crashes.h"
#include "estimate.h"
#include "hedging.h"
#include "serverranking.h"
#include "sharing.h"

#include <algorithm>
#include <cmath>

namespace apricotrock::broker {

namespace {

using std::chrono::milliseconds;

/// A queued request can meet its target while its expected duration times this factor ends before
/// the target. Most attempts are answered within the margin.
constexpr double targetMargin = 1.15;
/// The same for requests of organisations, but no longer than the second value as a part of the
/// objective. During an overload nearly every request gets its slot at the last moment at which it
/// counts as able to meet its target, so that a narrow margin wastes the slots of those that take
/// longer than the mean.
constexpr double sharedTargetMargin = 2.0;
constexpr double maxSharedMarginShare = 0.7;
/// A request of an organisation gets no server on which its expected duration times this factor
/// ends after the target while queued requests can meet theirs.
constexpr double usefulGrantMargin = 1.3;
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
/// Additional length for requests of organisations within their share. The next pass over the queue
/// refuses as many of other organisations.
constexpr std::size_t reservedPerSlot = 1;
/// Limit of queued requests per slot that can no longer meet their target. They are served when
/// no other request is queued; more of them would only wait without being served.
constexpr double maxLatePerSlot = 0.5;
/// A pass over the queue costs time for each server and each queued request. Up to this sum the
/// queue is processed at every event.
constexpr std::int64_t shortPassEntries = 64;
/// Interval between longer passes for each entry, so that passes leave most of the processor time
/// of a small instance to messages.
constexpr Duration passIntervalPerEntry = std::chrono::microseconds(10);
/// Limits of Retry-After. After a shorter pause the retry meets the same overload; a longer pause
/// ends after the deadline of most requests.
constexpr Duration minRetryAfter = milliseconds(50);
constexpr Duration maxRetryAfter = milliseconds(1500);
/// The same while all servers have paused the instance, who said how long: a retry before that is
/// refused again.
constexpr Duration maxPausedRetryAfter = std::chrono::seconds(60);
/// Share of the retry slack in the first window of a new leader, which doesn't know the attempts
/// that were sent before.
constexpr double newLeaderSlackShare = 0.3;
/// Share of the retry slack for an instance that decides temporarily without being the leader.
constexpr double followerSlackShare = 0.03;

Decision grant(ServiceState &state, const AttemptRequest &request, const ServerChoice &choice,
               TimePoint now)
{
    ServerState &server = *choice.server;
    if (isCold(server, now))
        countColdStart(state, server, now);
    countUncheckedStart(server, now);
    ActiveAttempt attempt;
    attempt.key = request.key;
    attempt.route = request.route;
    attempt.fingerprint = request.fingerprint;
    attempt.expectedEnd = now + toDuration(choice.seconds);
    attempt.expires = request.deadline + attemptEndGrace;
    attempt.factor = choice.seconds / workSeconds(state, request.route, request.objective);
    attempt.slowdown = server.report ? server.report->slowdown : 0;
    attempt.organisation = request.organisation;
    attempt.expectedSeconds = choice.seconds;
    attempt.isHedge = request.isHedge;
    attempt.hedgeUseSeconds =
        countAttemptStart(state.hedgeUse, state.policy, request.isHedge, choice.seconds, now);
    if (request.organisation != 0)
        addSlotTime(state.sharing, request.organisation, choice.seconds, now);
    server.activeAttempts.push_back(attempt);
    state.placements[request.key] = server.info.key;
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

Decision refuse(const AttemptRequest &request, RefusalReason reason, Duration retryAfter,
                const ServiceLoad &load)
{
    Decision decision;
    decision.key = request.key;
    decision.verdict = Verdict::Refused;
    decision.reason = reason;
    const bool isPaused = reason == RefusalReason::ServersPaused;
    decision.retryAfter =
        std::clamp(retryAfter, minRetryAfter, isPaused ? maxPausedRetryAfter : maxRetryAfter);
    if (request.organisation != 0 && !isPaused)
        decision.retryAfter = spreadRetryAfter(request.key, decision.retryAfter, maxRetryAfter);
    decision.slots = load.slots;
    decision.taken = load.taken;
    decision.waiting = static_cast<unsigned>(load.waiting);
    return decision;
}

/// Refuses a request because no server is left, except for cold ones that may not get it.
Decision refuseWithoutServer(ServiceState &state, const AttemptRequest &request,
                             const ServiceLoad &load)
{
    const bool hasColdServer = load.delayedColdServers > 0;
    state.delayedColdStarts += hasColdServer ? 1 : 0;
    return refuse(request, RefusalReason::NoServer,
                  hasColdServer ? load.coldStartWait : maxRetryAfter, load);
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
        const double expected = seconds(request);
        double needed = expected * targetMargin;
        if (request.organisation != 0)
            needed = std::max(needed,
                              std::min(expected * sharedTargetMargin,
                                       toSeconds(request.objective) * maxSharedMarginShare));
        return now + toDuration(needed) < request.target;
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

/// Sorts requests that can still meet their target first, by priority, then those within the share
/// of their organisation, then by earliest target.
/// Late requests follow, by priority and then by latest deadline, because the request with the most
/// time left is the likeliest to be answered before its deadline.
void sortQueue(ServiceState &state, TimePoint now)
{
    struct Rank
    {
        bool isLate;
        unsigned priority;
        bool isBeyondShare;
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
        const bool isBeyond =
            !isLate && isBeyondShare(state.sharing, each, fullLoadWork.seconds(each), now);
        ranks.push_back({isLate, each.priority, isBeyond, order, i});
    }
    std::sort(ranks.begin(), ranks.end(), [](const Rank &left, const Rank &right) {
        return std::tie(left.isLate, left.priority, left.isBeyondShare, left.order, left.index)
            < std::tie(right.isLate, right.priority, right.isBeyondShare, right.order, right.index);
    });
    std::vector<AttemptRequest> sorted;
    sorted.reserve(state.queue.size());
    for (const Rank &rank : ranks)
        sorted.push_back(state.queue[rank.index]);
    state.queue = std::move(sorted);
}

std::size_t queuedWorkIndex(const AttemptRequest &request)
{
    return std::min<std::size_t>(request.priority, queuedWorkPriorities - 1);
}

/// Adds a queued request to the work that precedes others, if it can meet its target.
void addQueuedWork(ServiceState &state, const FullLoadWork &fullLoadWork,
                   const AttemptRequest &request, TimePoint now)
{
    if (!fullLoadWork.canMeetTarget(request, now))
        return;
    const double seconds = fullLoadWork.seconds(request);
    const bool isBeyond = isBeyondShare(state.sharing, request, seconds, now);
    QueuedWork &work = state.queuedWork[queuedWorkIndex(request)];
    work.total += seconds;
    work.withinShare += isBeyond ? 0 : seconds;
}

void updateQueuedWork(ServiceState &state, TimePoint now)
{
    state.queuedWork = {};
    state.examinedEntries += state.queue.size();
    const FullLoadWork fullLoadWork(state);
    for (const AttemptRequest &each : state.queue)
        addQueuedWork(state, fullLoadWork, each, now);
}

/// Returns the work in seconds of the queued requests that are served before \a request.
double workBefore(const ServiceState &state, const AttemptRequest &request, bool isBeyond)
{
    if (state.queue.empty())
        return 0;
    const std::size_t index = queuedWorkIndex(request);
    const QueuedWork &same = state.queuedWork[index];
    double work = isBeyond ? same.total : same.withinShare;
    for (std::size_t i = 0; i < index; ++i)
        work += state.queuedWork[i].total;
    return work;
}

bool hasQueuedWork(const ServiceState &state)
{
    return !state.queue.empty()
        && std::any_of(state.queuedWork.begin(), state.queuedWork.end(),
                       [](const QueuedWork &each) { return each.total > 0; });
}

/// Returns true if a new request of an organisation will miss its target in the queue, because too
/// much work precedes it. Such a request would take a slot from one that can meet its target, and
/// its caller can use the time for a retry. If nothing precedes it, it may wait although it is
/// late.
bool wouldQueueTooLong(const ServiceState &state, const AttemptRequest &request, bool isBeyond,
                       unsigned slots, TimePoint now)
{
    if (request.organisation == 0)
        return false;
    const double before = workBefore(state, request, isBeyond);
    return before > 0
        && !FullLoadWork(state).canMeetTarget(request,
                                              now + toDuration(before / std::max(1U, slots)));
}

/// Refuses requests of organisations beyond their share, the last ones first, while the queue is
/// longer than its limit.
template <typename Refuse>
void shortenQueue(ServiceState &state, std::size_t limit, TimePoint now, const Refuse &refuseQueued)
{
    if (state.queue.size() <= limit)
        return;
    const FullLoadWork fullLoadWork(state);
    std::size_t excess = state.queue.size() - limit;
    std::vector<AttemptRequest> kept;
    for (auto each = state.queue.rbegin(); each != state.queue.rend(); ++each) {
        ++state.examinedEntries;
        if (excess > 0 && isBeyondShare(state.sharing, *each, fullLoadWork.seconds(*each), now)) {
            --excess;
            refuseQueued(*each);
        } else {
            kept.push_back(*each);
        }
    }
    std::reverse(kept.begin(), kept.end());
    state.queue = std::move(kept);
}

std::optional<Decision> tryGrant(ServiceState &state, ServerRanking &ranking,
                                 const AttemptRequest &request, TimePoint now)
{
    const double work = workSeconds(state, request.route, request.objective);
    const auto choice = ranking.cheapestFree(request, work);
    if (!choice)
        return std::nullopt;
    if (request.organisation != 0 && hasQueuedWork(state)
        && now + toDuration(choice->seconds * usefulGrantMargin) > request.target)
        return std::nullopt;
    if (now + toDuration(choice->seconds) > request.target) {
        const double costAfterWait = ranking.lowestCostAfterWait(request, work);
        const bool wouldMeetTarget = now + toDuration(costAfterWait) < request.target;
        if (costAfterWait
            < (wouldMeetTarget ? maxWaitCostRatio : lateMaxWaitCostRatio) * choice->cost)
            return std::nullopt;
    }
    const Decision decision = grant(state, request, *choice, now);
    ranking.addAttempt(*choice->server);
    return decision;
}

/// Returns the time until the first server takes requests from the instance of \a request again,
/// or 0 if one takes them now.
Duration pauseOfAllServers(const ServiceState &state, const AttemptRequest &request, TimePoint now)
{
    const auto found = state.pauses.find(request.key.instance);
    if (found == state.pauses.end() || found->second.size() < state.servers.size())
        return {};
    Duration shortest = Duration::max();
    for (const auto &[key, server] : state.servers) {
        if (server.info.isUsable)
            shortest = std::min(shortest, remainingPause(state, request.key.instance, key, now));
    }
    return shortest == Duration::max() ? Duration(0) : shortest;
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
        std::erase_if(server.activeAttempts, [&state, now](const ActiveAttempt &each) {
            const bool isExpired = each.expires <= now;
            if (isExpired) {
                state.placements.erase(each.key);
                const TimePoint started = each.expectedEnd - toDuration(each.expectedSeconds);
                countAttemptEnd(state.hedgeUse, state.policy, each, now - started, now);
            }
            return isExpired;
        });
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
    if (!allowsHedges(state.policy))
        return refuse(request, RefusalReason::HedgeLimit, {}, state.lastLoad);
    const auto hasRoom = [](const ServiceLoad &load) {
        return load.slots - load.taken > minFreeShareForHedge * load.slots;
    };
    // Under load, when hedges are requested most often, this avoids a look at the servers.
    ServiceLoad known = state.lastLoad;
    known.taken =
        std::min(known.slots, static_cast<unsigned>(state.placements.size() - state.queue.size()));
    if (!state.queue.empty() && !hasRoom(known))
        return refuse(request, RefusalReason::HedgeNotUseful, {}, known);
    ServerRanking ranking(state, now);
    const auto avoidedZone =
        state.policy.hedgeLimit ? zoneOfFirstAttempt(state, request) : std::nullopt;
    const auto choice = ranking.cheapestFree(
        request, workSeconds(state, request.route, request.objective), avoidedZone);
    const bool canAnswerInTime = choice && now + toDuration(choice->seconds) < request.deadline;
    if (!hasRoom(ranking.load()) || !canAnswerInTime)
        return refuse(request, RefusalReason::HedgeNotUseful, {}, ranking.load());
    if (!isWithinHedgeLimit(state, request, choice->seconds, now))
        return refuse(request, RefusalReason::HedgeLimit, {}, ranking.load());
    if (!tryConsumeRetry(state.budget, state.policy, slackShare(state, now), now))
        return refuse(request, RefusalReason::RetryBudget, {}, ranking.load());
    return grant(state, request, *choice, now);
}

/// Returns the current decision of a request that was received before, so that a repeated message
/// takes no second slot.
std::optional<Decision> findExistingDecision(const ServiceState &state,
                                             const AttemptRequest &request, TimePoint now)
{
    const auto placement = state.placements.find(request.key);
    if (placement == state.placements.end())
        return std::nullopt;
    Decision decision;
    decision.key = request.key;
    if (placement->second == queuedPlacement)
        return decision;
    const auto server = state.servers.find(placement->second);
    if (server == state.servers.end())
        return std::nullopt;
    decision.verdict = Verdict::Granted;
    decision.server = server->first;
    for (const ActiveAttempt &each : server->second.activeAttempts) {
        if (each.key == request.key)
            decision.expected = each.expectedEnd - now;
    }
    return decision;
}

} // namespace

Decision requestAttempt(ServiceState &state, const AttemptRequest &request, TimePoint now)
{
    if (const auto existing = findExistingDecision(state, request, now))
        return *existing;
    if (isQuarantined(state, request.fingerprint, now))
        return refuse(request, RefusalReason::Quarantined, maxRetryAfter, state.lastLoad);
    if (request.isHedge)
        return requestHedge(state, request, now);
    recordDemand(state.sharing, request, now);
    if (request.earlierAttempts == 0) {
        countRequest(state.budget, state.policy, now);
        countHedgeableRequest(state.hedgeUse, state.policy, now);
    }
    // While requests are queued, the last pass over the queue tells the load.
    std::optional<ServerRanking> ranking;
    if (state.queue.empty()) {
        removeExpiredAttempts(state, now);
        ranking.emplace(state, now);
    }
    const double work = workSeconds(state, request.route, request.objective);
    const unsigned slots = state.lastLoad.slots;
    ServiceLoad load = state.lastLoad;
    load.waiting = state.queue.size();
    const bool hasOnlyColdServers = slots == load.readyColdServers;
    const bool canWait =
        !hasOnlyColdServers || canWaitForColdServer(state, load, request, work, now);
    if (slots == 0 && !canWait)
        return refuseWithoutServer(state, request, load);
    if (!canMeetDeadline(state, request, now))
        return refuse(request, RefusalReason::DeadlineUnmeetable, minRetryAfter, load);
    const Duration pause = pauseOfAllServers(state, request, now);
    if (!canMeetDeadline(state, request, now + pause))
        return refuse(request, RefusalReason::ServersPaused, pause, load);
    if (request.earlierAttempts > 0
        && !tryConsumeRetry(state.budget, state.policy, slackShare(state, now), now))
        return refuse(request, RefusalReason::RetryBudget, queueDrainTime(state, slots), load);
    if (ranking) {
        if (const auto decision = tryGrant(state, *ranking, request, now))
            return *decision;
    }
    state.delayedColdStarts += load.delayedColdServers > 0 ? 1 : 0;
    const FullLoadWork fullLoadWork(state);
    const bool isBeyond = isBeyondShare(state.sharing, request, fullLoadWork.seconds(request), now);
    // A single organisation must leave the reserve to the next one, whose request makes it exceed
    // its share.
    const bool hasReserve =
        request.organisation != 0 && !isBeyond && state.sharing.organisations.size() > 1;
    const std::size_t maxQueued = (maxQueuedPerSlot + (hasReserve ? reservedPerSlot : 0)) * slots;
    if (!canWait || (!hasOnlyColdServers && state.queue.size() >= maxQueued)
        || wouldQueueTooLong(state, request, isBeyond, slots, now))
        return refuse(request, RefusalReason::QueueFull, queueDrainTime(state, slots), load);
    if (!state.sharing.organisations.empty())
        addQueuedWork(state, fullLoadWork, request, now);
    state.queue.push_back(request);
    state.placements[request.key] = queuedPlacement;
    Decision decision;
    decision.key = request.key;
    return decision;
}

Duration queuePassInterval(const ServiceState &state)
{
    const auto entries = static_cast<std::int64_t>(state.servers.size() + state.queue.size());
    return entries <= shortPassEntries ? Duration(0) : Duration(passIntervalPerEntry * entries);
}

bool isQueuePassDue(const ServiceState &state, TimePoint now)
{
    return now - state.lastQueuePass >= queuePassInterval(state);
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
    ServerRanking ranking(state, now);
    const ServiceLoad &load = ranking.load();
    const std::size_t maxLate = lateLimit(load.slots);
    const FullLoadWork fullLoadWork(state);
    const Duration timeToDrain = queueDrainTime(state, load.slots);
    const auto refuseQueued = [&](const AttemptRequest &request, RefusalReason reason,
                                  Duration retryAfter) {
        state.placements.erase(request.key);
        decisions.push_back(refuse(request, reason, retryAfter, load));
    };
    for (const AttemptRequest &each : state.queue) {
        ++state.examinedEntries;
        if (!canMeetDeadline(state, each, now)) {
            refuseQueued(each, RefusalReason::DeadlineUnmeetable, timeToDrain / 2);
            continue;
        }
        if (load.slots == 0 && load.delayedColdServers > 0 && !state.isLeading) {
            state.placements.erase(each.key);
            decisions.push_back(refuseWithoutServer(state, each, load));
            continue;
        }
        std::optional<Decision> decision;
        if (load.taken < load.slots)
            decision = tryGrant(state, ranking, each, now);
        if (decision)
            decisions.push_back(*decision);
        else if (!fullLoadWork.canMeetTarget(each, now) && ++late > maxLate)
            refuseQueued(each, RefusalReason::QueueFull, timeToDrain);
        else
            waiting.push_back(each);
    }
    state.queue = std::move(waiting);
    if (state.sharing.organisations.empty())
        return decisions;
    if (load.slots > load.readyColdServers)
        shortenQueue(state, maxQueuedPerSlot * load.slots, now, [&](const AttemptRequest &each) {
            refuseQueued(each, RefusalReason::QueueFull, timeToDrain);
        });
    updateQueuedWork(state, now);
    return decisions;
}

} // namespace apricotrock::broker
