#include "hedging.h"

#include "estimate.h"

#include <algorithm>

namespace apricotrock::broker {

namespace {

/// Part of the limit that is used. The rest covers the running hedges that take longer than they
/// are charged with, and windows that start within a slice.
constexpr double usedLimitShare = 0.85;
/// Slot time that a running hedge is charged with, in relation to the expected one.
constexpr double hedgeChargeFactor = 1.5;
/// Up to this part of the limit, a hedge is granted whenever it can meet the target.
constexpr double unrestrictedUse = 0.5;
/// Time that a first attempt must have run, in relation to the expected time, when the limit is
/// nearly used. Callers request the first hedge at 1.6.
constexpr double maxRequiredOverdue = 3.0;
/// A hedge that would miss the target when requested again after this time is not deferred. Covers
/// the first two values of hedgeRetryDelay().
constexpr Duration deferralTime = std::chrono::milliseconds(80);
/// Part of the limit up to which hedges that can't meet the target are granted.
constexpr double maxUseForLate = 0.8;

HedgeUse::Slice &currentSlice(HedgeUse &use, const Policy &policy, TimePoint now)
{
    const auto length = policy.retryWindow / HedgeUse::slices;
    const std::int64_t index = now.time_since_epoch() / length;
    HedgeUse::Slice &slice = use.window[static_cast<std::size_t>(index) % HedgeUse::slices];
    if (slice.index != index)
        slice = {index};
    return slice;
}

HedgeUse::Slice sumOfWindow(const HedgeUse &use, const Policy &policy, TimePoint now)
{
    const auto length = policy.retryWindow / HedgeUse::slices;
    const std::int64_t index = now.time_since_epoch() / length;
    HedgeUse::Slice sum{index};
    for (const HedgeUse::Slice &each : use.window) {
        if (each.index <= index - std::int64_t(HedgeUse::slices))
            continue;
        sum.requests += each.requests;
        sum.hedges += each.hedges;
        sum.requestSeconds += each.requestSeconds;
        sum.hedgeSeconds += each.hedgeSeconds;
    }
    // Corrections of attempts that started before the window can exceed what started in it.
    sum.requestSeconds = std::max(0.0, sum.requestSeconds);
    sum.hedgeSeconds = std::max(0.0, sum.hedgeSeconds);
    return sum;
}

/// Returns the larger one of the shares of requests and of slot time; 0 if there are no hedges.
double shareOf(const HedgeUse::Slice &sum)
{
    const auto share = [](double part, double whole) {
        if (part <= 0)
            return 0.0;
        return whole > 0 ? part / whole : 1.0;
    };
    return std::max(share(sum.hedges, sum.requests), share(sum.hedgeSeconds, sum.requestSeconds));
}

/// Returns the running attempt that \a request is a hedge of. The fingerprint distinguishes it from
/// other attempts of the same instance on the same server.
const ActiveAttempt *findFirstAttempt(const ServiceState &state, const AttemptRequest &request)
{
    const auto server = state.servers.find(request.excluded.front());
    if (server == state.servers.end())
        return nullptr;
    for (const ActiveAttempt &each : server->second.activeAttempts) {
        if (each.key.instance == request.key.instance && each.route == request.route
            && each.fingerprint == request.fingerprint && !each.isHedge)
            return &each;
    }
    return nullptr;
}

/// Returns the time that the first attempt has run in relation to the expected one. If it is not
/// known, as after a change of the leader, the time since the request arrived counts.
double overdueRatio(const ServiceState &state, const AttemptRequest &request, TimePoint now)
{
    const ActiveAttempt *first = findFirstAttempt(state, request);
    const double expected =
        first ? first->expectedSeconds : workSeconds(state, request.route, request.objective);
    const TimePoint started =
        first ? first->expectedEnd - toDuration(expected) : request.target - request.objective;
    return expected > 0 ? toSeconds(now - started) / expected : maxRequiredOverdue;
}

/// Returns the least overdueRatio() of a hedge while \a use of the limit is used.
double requiredOverdue(double use)
{
    return maxRequiredOverdue * std::max(0.0, use - unrestrictedUse) / (1 - unrestrictedUse);
}

} // namespace

void countHedgeableRequest(HedgeUse &use, const Policy &policy, TimePoint now)
{
    ++currentSlice(use, policy, now).requests;
}

double countAttemptStart(HedgeUse &use, const Policy &policy, bool isHedge, double expectedSeconds,
                         TimePoint now)
{
    HedgeUse::Slice &slice = currentSlice(use, policy, now);
    if (!isHedge) {
        slice.requestSeconds += expectedSeconds;
        return expectedSeconds;
    }
    const double charged = expectedSeconds * hedgeChargeFactor;
    ++slice.hedges;
    slice.hedgeSeconds += charged;
    return charged;
}

void countAttemptEnd(HedgeUse &use, const Policy &policy, const ActiveAttempt &attempt,
                     Duration used, TimePoint now)
{
    HedgeUse::Slice &slice = currentSlice(use, policy, now);
    double &seconds = attempt.isHedge ? slice.hedgeSeconds : slice.requestSeconds;
    seconds += toSeconds(used) - attempt.hedgeUseSeconds;
}

double hedgeShare(const ServiceState &state, TimePoint now)
{
    return shareOf(sumOfWindow(state.hedgeUse, state.policy, now));
}

bool allowsHedges(const Policy &policy)
{
    return !policy.hedgeLimit || *policy.hedgeLimit > 0;
}

std::optional<std::uint32_t> zoneOfFirstAttempt(const ServiceState &state,
                                                const AttemptRequest &request)
{
    const auto server = state.servers.find(request.excluded.front());
    if (server == state.servers.end())
        return std::nullopt;
    return server->second.info.zone;
}

bool isWithinHedgeLimit(ServiceState &state, const AttemptRequest &request, double expectedSeconds,
                        TimePoint now)
{
    if (!allowsHedges(state.policy))
        return false;
    // An instance that does not lead knows too few requests. The retry slack limits its hedges.
    if (!state.policy.hedgeLimit || !state.isLeading)
        return true;
    const double limit = usedLimitShare * *state.policy.hedgeLimit;
    HedgeUse::Slice sum = sumOfWindow(state.hedgeUse, state.policy, now);
    const double usedBefore = shareOf(sum) / limit;
    ++sum.hedges;
    sum.hedgeSeconds += expectedSeconds * hedgeChargeFactor;
    const bool isWithin = shareOf(sum) <= limit;
    const TimePoint expectedEnd = now + toDuration(expectedSeconds);
    if (expectedEnd > request.target) {
        const bool isWanted = now - state.hedgeUse.lastUsefulRefusal < state.policy.retryWindow;
        return isWithin && !isWanted && usedBefore < maxUseForLate;
    }
    if (!isWithin) {
        state.hedgeUse.lastUsefulRefusal = now;
        return false;
    }
    const bool isLastChance = expectedEnd + deferralTime > request.target;
    return isLastChance || overdueRatio(state, request, now) >= requiredOverdue(usedBefore);
}

} // namespace apricotrock::broker
