#pragma once

#include "apricotrock/base.h"

namespace apricotrock::routing {

/// Tokens that requests earn and that retries or hedges spend, so that these stay a share of the
/// requests.
struct ShareBudget
{
    double tokens = 0;
};

/// Credits one request. The tokens kept are bounded, so that a long calm time does not pay for a
/// storm of retries.
void deposit(ShareBudget &budget, double share);
bool hasToken(const ShareBudget &budget);
/// Takes one token; returns false if there is none.
bool withdraw(ShareBudget &budget);

/// A token bucket with a burst of one that is filled by time.
struct RateBudget
{
    double tokens = 0;
    TimePoint refilled;
};

/// Starts empty, so that an instance that restarts often never exceeds the rate.
RateBudget makeRateBudget(TimePoint now);
/// Adds what \a perSecond earned since the last call. Must be called before the rate changes.
void refill(RateBudget &budget, double perSecond, TimePoint now);
bool withdraw(RateBudget &budget);

} // namespace apricotrock::routing
