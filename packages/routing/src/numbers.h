#pragma once

#include "apricotrock/base.h"

#include <random>

namespace apricotrock::routing {

/// Floating-point duration for averages and ratios.
using Seconds = std::chrono::duration<double>;

inline Duration toDuration(Seconds seconds)
{
    return std::chrono::duration_cast<Duration>(seconds);
}

/// Returns a uniformly distributed number in [0, 1). The standard distributions differ between
/// libraries, which would break the replay of traces.
inline double randomFraction(std::mt19937_64 &random)
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(random() >> 11) * scale;
}

inline std::size_t randomIndex(std::mt19937_64 &random, std::size_t size)
{
    return static_cast<std::size_t>(randomFraction(random) * static_cast<double>(size));
}

} // namespace apricotrock::routing
