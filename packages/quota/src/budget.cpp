#include "apricotrock/quota.h"

#include <algorithm>
#include <cmath>

namespace apricotrock::quota {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

constexpr Duration minRetryAfter = milliseconds(50);
constexpr Duration maxRetryAfter = milliseconds(1500);
constexpr Duration maxHoldOff = milliseconds(50);
/// Refusals are counted with this decay time.
constexpr Seconds refusalMemory{1};
/// Time in which the tokens are refilled that late requests leave for those in time.
constexpr Seconds lateReserveTime{0.1};
/// A displaced owner and the next one grant tokens at the same time until all instances know the
/// next one, which takes about 1 s. Its lower rate keeps both within the bound, and suffices for
/// an organisation at its usual rate, because a part of the instances asks the next one.
constexpr double displacedRateFactor = 0.5;
/// An instance that begins to decide refills at this part of the rate for this long, because the
/// previous owner may still be at work for other instances. With the start level, it grants half of
/// the quota in this time, and both together stay within an overage of 10%.
constexpr double settlingRateFactor = 0.3;
constexpr Duration settlingTime = std::chrono::seconds(1);
/// An owner needs up to 4.5 s to notice that instances are cut off, and grants the whole quota
/// until then. With 35% of the fleet cut off, this factor of the share keeps the sum within an
/// overage of 10%, also if they are cut off in one direction only, which no owner notices.
constexpr double uncertainFactor = 0.25;
/// The owner of a part of the fleet below this share can't tell whether an owner elsewhere counts
/// the instances of the part as its own.
constexpr double minCertainShare = 0.5;
/// A few lost instances do not reduce the quota, because instances are restarted all the time.
constexpr double wholeShare = 0.95;

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::max(0.0, Seconds(to - from).count());
}

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

double refillRate(const Budget &budget)
{
    const double factor = budget.standing == Standing::Displaced ? displacedRateFactor : 1;
    return budget.limit.rate * budget.share * factor;
}

/// At least one token, because no request would ever be granted otherwise.
double capacityOf(const Budget &budget)
{
    const double whole = budget.standing == Standing::Owner
        ? std::max(1.0, budget.limit.burst)
        : startLevel(budget.limit, budget.bounds);
    return std::max(1.0, whole * budget.share);
}

void refill(Budget &budget, TimePoint now)
{
    // Senders that disagree on the owner ask several stand-ins at the same time.
    const TimePoint settlingUntil =
        budget.standing == Standing::StandIn ? TimePoint::max() : budget.settlingUntil;
    const TimePoint settled =
        std::clamp(settlingUntil, budget.updated, std::max(budget.updated, now));
    const double seconds =
        secondsBetween(budget.updated, settled) * settlingRateFactor + secondsBetween(settled, now);
    const double added = seconds * refillRate(budget);
    budget.level = std::min(budget.level + added, capacityOf(budget));
    budget.updated = std::max(budget.updated, now);
}

/// Called when \a budget is needed, as the owner or as a stand-in.
void beginSettling(Budget &budget, TimePoint now)
{
    if (now - budget.lastAsked >= settlingTime && now >= budget.settlingUntil)
        budget.settlingUntil = now + settlingTime;
}

double recentRefusals(const Budget &budget, TimePoint now)
{
    const double age = secondsBetween(budget.refusalsUpdated, now);
    return budget.refusals * std::exp(-age / refusalMemory.count());
}

bool isAtLimit(const Budget &budget, TimePoint now)
{
    return recentRefusals(budget, now) >= 1;
}

/// Leaves at least one token of the capacity to late requests, so that they are served when nobody
/// else asks.
double lateReserve(const Budget &budget)
{
    return std::min(capacityOf(budget) - 1, refillRate(budget) * lateReserveTime.count());
}

double countRefusal(Budget &budget, TimePoint now)
{
    budget.refusals = recentRefusals(budget, now) + 1;
    budget.refusalsUpdated = now;
    return budget.refusals;
}

} // namespace

double startLevel(const Limit &limit, const Bounds &bounds)
{
    const double requests = limit.rate * Seconds(bounds.window).count() + limit.burst;
    const double half = (requests * bounds.overage + bounds.slack) / 2;
    return std::clamp(limit.burst, 1.0, std::max(1.0, half));
}

Budget makeBudget(const Limit &limit, const Bounds &bounds, TimePoint now)
{
    Budget budget;
    budget.limit = limit;
    budget.bounds = bounds;
    budget.level = startLevel(limit, bounds);
    budget.updated = now;
    budget.refusalsUpdated = now;
    return budget;
}

Answer takeToken(Budget &budget, Timeliness timeliness, double random, TimePoint now)
{
    refill(budget, now);
    if (budget.standing == Standing::StandIn)
        beginSettling(budget, now);
    budget.lastAsked = now;
    const double reserve =
        timeliness == Timeliness::Late && isAtLimit(budget, now) ? lateReserve(budget) : 0;
    if (budget.level >= 1 + reserve) {
        budget.level -= 1;
        return {};
    }
    const double refusals = countRefusal(budget, now);
    const double rate = std::max(refillRate(budget), 1e-3);
    const Duration needed = std::clamp(toDuration(std::min(60.0, (refusals - budget.level) / rate)),
                                       minRetryAfter, maxRetryAfter);
    Answer answer;
    answer.verdict = Verdict::Exceeded;
    answer.retryAfter =
        minRetryAfter + std::chrono::duration_cast<Duration>((needed - minRetryAfter) * random);
    // Only an organisation that asks for more than twice its quota costs the owner more than the
    // hold-off could cost the organisation.
    if (refusals > std::max(rate, 1.0))
        answer.holdOff = std::min(maxHoldOff, toDuration(capacityOf(budget) / rate / 2));
    return answer;
}

void giveBack(Budget &budget, TimePoint now)
{
    refill(budget, now);
    budget.level = std::min(budget.level + 1, capacityOf(budget));
}

void setLimit(Budget &budget, const Limit &limit, TimePoint now)
{
    refill(budget, now);
    budget.limit = limit;
    budget.level = std::min(budget.level, capacityOf(budget));
}

void setStanding(Budget &budget, Standing standing, TimePoint now)
{
    refill(budget, now);
    if (standing == Standing::Owner && budget.standing == Standing::StandIn)
        beginSettling(budget, now);
    budget.standing = standing;
    budget.level = std::min(budget.level, capacityOf(budget));
}

void setShare(Budget &budget, double share, TimePoint now)
{
    refill(budget, now);
    // A part of the tokens belongs to the instances that are out of contact.
    if (share < budget.share)
        budget.level *= share / budget.share;
    budget.share = share;
}

void skipRefill(Budget &budget, TimePoint now)
{
    budget.updated = std::max(budget.updated, now);
}

void skipPause(Budget &budget, TimePoint now)
{
    budget.updated = now;
    budget.level = std::min(budget.level, startLevel(budget.limit, budget.bounds));
}

double shareOf(std::size_t alive, std::size_t known)
{
    const double share =
        static_cast<double>(alive) / static_cast<double>(std::max<std::size_t>(known, 1));
    if (share >= wholeShare)
        return 1;
    return share >= minCertainShare ? share : share * uncertainFactor;
}

bool takeLocalToken(LocalBudget &budget, const Limit &limit, std::size_t knownFleet, TimePoint now)
{
    const auto count = static_cast<double>(std::max<std::size_t>(knownFleet, 1));
    const double rate = limit.rate * uncertainFactor / count;
    const double capacity = std::max(1.0, limit.burst / count);
    budget.level = std::min(budget.level + secondsBetween(budget.updated, now) * rate, capacity);
    budget.updated = now;
    if (budget.level < 1)
        return false;
    budget.level -= 1;
    return true;
}

} // namespace apricotrock::quota
