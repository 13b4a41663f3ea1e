#pragma once

#include "apricotrock/base.h"

namespace apricotrock::routing {

/// Token budget that limits retries or hedges to a share of the requests: each request adds a
/// fraction of a token, each retry or hedge takes one.
struct ShareBudget
{
    double tokens = 0;
};

/// Adds \a share of a token for one request. The balance is bounded, so that a long period without
/// failures does not allow a retry storm.
void deposit(ShareBudget &budget, double share);
bool hasToken(const ShareBudget &budget);
/// Takes one token; returns false if there is none.
bool withdraw(ShareBudget &budget);

/// Token bucket with a capacity of one token, refilled at a constant rate.
struct RateBudget
{
    double tokens = 0;
    TimePoint refilled;
};

/// Returns an empty bucket, so that an instance that restarts often does not exceed the rate.
RateBudget makeRateBudget(TimePoint now);
/// Adds the tokens accrued at the rate \a perSecond since the last call. Must be called before the
/// rate changes.
void refill(RateBudget &budget, double perSecond, TimePoint now);
bool withdraw(RateBudget &budget);

} // namespace apricotrock::routing
