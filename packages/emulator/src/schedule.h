#pragma once

#include "apricotrock/base.h"

#include <random>

namespace apricotrock::emulator {

enum class ScheduleShape { Constant, Swing };

struct ScheduleParameters
{
    ScheduleShape shape = ScheduleShape::Constant;
    /// Mean calls a second.
    double rate = 100;
    /// Time of one high and one low phase together.
    Duration swingPeriod = std::chrono::milliseconds(400);
    Duration length = std::chrono::seconds(10);
    std::uint64_t seed = 1;
};

/// Poisson arrivals whose rate is constant, or swings 10 to 1 with ramps of 5 ms. The times depend
/// on the parameters only, so that runs with the same seed offer the same load.
class Schedule
{
public:
    explicit Schedule(const ScheduleParameters &parameters);

    /// Returns the time of the next call since the start, or nothing at the end.
    std::optional<Duration> next();
    /// Calls a second at \a time.
    [[nodiscard]] double rateAt(Duration time) const;

private:
    const ScheduleParameters m_parameters;
    double m_peakRate = 0;
    Duration m_time{};
    std::mt19937_64 m_random;
};

} // namespace apricotrock::emulator
