#include "schedule.h"

#include <algorithm>

namespace apricotrock::emulator {

namespace {

constexpr double swingRatio = 10;
constexpr Duration rampTime = std::chrono::milliseconds(5);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

Schedule::Schedule(const ScheduleParameters &parameters)
    : m_parameters(parameters), m_peakRate(parameters.rate), m_random(parameters.seed)
{
    if (parameters.shape == ScheduleShape::Swing)
        m_peakRate = parameters.rate * 2 * swingRatio / (swingRatio + 1);
}

std::optional<Duration> Schedule::next()
{
    std::exponential_distribution<double> gap(m_peakRate);
    std::uniform_real_distribution<double> share(0, 1);
    while (m_time < m_parameters.length) {
        m_time +=
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random)));
        // Thinning: arrivals at the peak rate are kept with the probability of the present rate.
        if (share(m_random) * m_peakRate <= rateAt(m_time) && m_time < m_parameters.length)
            return m_time;
    }
    return std::nullopt;
}

double Schedule::rateAt(Duration time) const
{
    if (m_parameters.shape == ScheduleShape::Constant)
        return m_parameters.rate;
    const double low = m_peakRate / swingRatio;
    const Duration half = m_parameters.swingPeriod / 2;
    const Duration phase = time % m_parameters.swingPeriod;
    const bool isHigh = phase < half;
    const Duration sinceSwing = isHigh ? phase : phase - half;
    const double ramp = std::min(1.0, seconds(sinceSwing) / seconds(rampTime));
    return isHigh ? low + (m_peakRate - low) * ramp : m_peakRate - (m_peakRate - low) * ramp;
}

} // namespace apricotrock::emulator
