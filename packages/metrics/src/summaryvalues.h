#pragma once

#include "apricotrock/metrics.h"

#include <array>

namespace apricotrock::metrics {

inline constexpr std::array<double, 4> quantiles = {0.5, 0.9, 0.99, 0.999};

/// What a summary holds at one moment; all times in seconds.
struct SummaryValues
{
    /// NaN until enough samples are there for an estimate.
    std::array<double, quantiles.size()> values{};
    double sum = 0;
    std::uint64_t count = 0;
};

} // namespace apricotrock::metrics
