#include "budget.h"

#include "numbers.h"

#include <algorithm>

namespace apricotrock::routing {

namespace {

/// Bounds the saved tokens to the share that this number of requests earns.
constexpr double burstRequests = 100;
/// Tolerance for the rounding errors of many small deposits.
constexpr double roundingSlack = 1e-9;

} // namespace

void deposit(ShareBudget &budget, double share)
{
    const double burst = share > 0 ? std::max(1.0, share * burstRequests) : 0;
    budget.tokens = std::min(budget.tokens + share, burst);
}

bool hasToken(const ShareBudget &budget)
{
    return budget.tokens >= 1 - roundingSlack;
}

bool withdraw(ShareBudget &budget)
{
    if (!hasToken(budget))
        return false;
    budget.tokens -= 1;
    return true;
}

RateBudget makeRateBudget(TimePoint now)
{
    return {0, now};
}

void refill(RateBudget &budget, double perSecond, TimePoint now)
{
    if (now <= budget.refilled)
        return;
    const double earned = perSecond * Seconds(now - budget.refilled).count();
    budget.tokens = std::min(1.0, budget.tokens + earned);
    budget.refilled = now;
}

bool withdraw(RateBudget &budget)
{
    if (budget.tokens < 1)
        return false;
    budget.tokens = 0;
    return true;
}

} // namespace apricotrock::routing
