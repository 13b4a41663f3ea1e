#include "latency.h"

#include <algorithm>

namespace apricotrock::routing {

namespace {

constexpr double averageWeight = 0.05;
/// Higher than averageWeight, so that four consecutive slow attempts reveal a straggler.
constexpr double recentWeight = 0.2;

void addWeightedSample(ServiceTime &time, Seconds sample)
{
    ++time.samples;
    const double firstWeight = 1.0 / static_cast<double>(time.samples);
    time.average += std::max(averageWeight, firstWeight) * (sample - time.average);
    time.recent += std::max(recentWeight, firstWeight) * (sample - time.recent);
}

} // namespace

void LatencyWindow::add(Duration latency)
{
    m_latencies.at(m_count % capacity) = static_cast<float>(Seconds(latency).count());
    ++m_count;
    if (m_count == minimumSamples || m_count % refreshInterval == 0)
        refresh();
}

void LatencyWindow::refresh()
{
    m_sortedCount = std::min(m_count, capacity);
    m_sorted = m_latencies;
    std::sort(m_sorted.begin(), m_sorted.begin() + static_cast<std::ptrdiff_t>(m_sortedCount));
}

Duration LatencyWindow::quantile(double fraction) const
{
    if (!isUsable())
        return {};
    const auto last = static_cast<double>(m_sortedCount - 1);
    const auto index = static_cast<std::size_t>(fraction * last);
    return toDuration(Seconds(m_sorted.at(index)));
}

void addServiceTimeSample(ServiceTime &time, Duration latency, double queuedPerSlot)
{
    // A request waits for about one service time per request queued per slot. The queue length in
    // the answer approximates the queue length when the request arrived.
    addWeightedSample(time, Seconds(latency) / (1 + queuedPerSlot));
}

void addServiceTimeLowerBound(ServiceTime &time, Duration elapsed)
{
    if (Seconds(elapsed) > time.average)
        addWeightedSample(time, elapsed);
}

} // namespace apricotrock::routing
