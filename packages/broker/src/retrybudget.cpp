#include "apricotrock/broker.h"

#include <algorithm>

namespace apricotrock::broker {

namespace {

/// Share of the retry budget that is used. The rest is a reserve for attempts in flight.
constexpr double usedBudgetShare = 0.85;

/// Pause after the first refusal of a hedge; each further refusal doubles it.
constexpr Duration initialHedgeRetryDelay = std::chrono::milliseconds(40);
constexpr unsigned maxHedgeRetryDoublings = 6;

RetryBudget::Slice &currentSlice(RetryBudget &budget, const Policy &policy, TimePoint now)
{
    const auto length = policy.retryWindow / RetryBudget::slices;
    const std::int64_t index = now.time_since_epoch() / length;
    RetryBudget::Slice &slice =
        budget.window[static_cast<std::size_t>(index) % RetryBudget::slices];
    if (slice.index != index)
        slice = {index, 0, 0};
    return slice;
}

} // namespace

void countRequest(RetryBudget &budget, const Policy &policy, TimePoint now)
{
    ++currentSlice(budget, policy, now).requests;
}

bool tryConsumeRetry(RetryBudget &budget, const Policy &policy, double slackShare, TimePoint now)
{
    RetryBudget::Slice &current = currentSlice(budget, policy, now);
    double requests = 0;
    double extraAttempts = 0;
    for (const RetryBudget::Slice &slice : budget.window) {
        if (slice.index <= current.index - std::int64_t(RetryBudget::slices))
            continue;
        requests += slice.requests;
        extraAttempts += slice.extraAttempts;
    }
    const double allowed =
        usedBudgetShare * (policy.retryRatio * requests + policy.retrySlack * slackShare);
    if (extraAttempts + 1 > allowed)
        return false;
    ++current.extraAttempts;
    return true;
}

Duration hedgeRetryDelay(unsigned refusals)
{
    const unsigned doublings = std::min(std::max(refusals, 1U) - 1, maxHedgeRetryDoublings);
    return initialHedgeRetryDelay * (1U << doublings);
}

} // namespace apricotrock::broker
