#include "limit.h"

#include <algorithm>

namespace apricotrock::routing {

namespace {

constexpr double recentWeight = 0.2;
constexpr double uncontendedWeight = 0.05;
/// Lets the uncontended latency follow a lasting change when all attempts run under contention.
constexpr double contendedWeight = 0.001;
/// Ratio of recent to uncontended latency above which requests contend. Below 2, because two
/// requests on one effective slot double the latency.
constexpr double contentionRatio = 1.6;
constexpr double decrease = 0.95;
constexpr double increase = 1.03;
constexpr double shedDecrease = 0.7;
/// Attempts before the limit changes; fewer do not give a reliable uncontended latency.
constexpr std::uint64_t minimumSamples = 10;

} // namespace

void updateConcurrencyLimit(ConcurrencyLimit &limit, Duration latency, double concurrency,
                            std::uint64_t slots)
{
    ++limit.samples;
    const double firstWeight = 1.0 / static_cast<double>(limit.samples);
    const bool isUncontended = concurrency <= std::max(1.0, limit.value / 2);
    const double weight = isUncontended ? uncontendedWeight : contendedWeight;
    limit.recent += std::max(recentWeight, firstWeight) * (Seconds(latency) - limit.recent);
    limit.uncontended += std::max(weight, limit.samples < minimumSamples ? firstWeight : 0.0)
        * (Seconds(latency) - limit.uncontended);
    if (limit.samples < minimumSamples)
        return;
    const bool isContended = limit.recent > contentionRatio * limit.uncontended;
    limit.value = std::clamp(limit.value * (isContended ? decrease : increase), 1.0,
                             static_cast<double>(slots));
}

void decreaseConcurrencyLimit(ConcurrencyLimit &limit)
{
    limit.value = std::max(1.0, limit.value * shedDecrease);
}

} // namespace apricotrock::routing
