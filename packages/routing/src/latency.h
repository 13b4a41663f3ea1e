#pragma once

#include "numbers.h"

#include <array>

namespace apricotrock::routing {

/// Latencies of the most recent attempts of one service.
class LatencyWindow
{
public:
    void add(Duration latency);
    [[nodiscard]] bool isUsable() const { return m_count >= minimumSamples; }
    /// Returns the quantile \a fraction, or zero while too few latencies are known.
    [[nodiscard]] Duration quantile(double fraction) const;

private:
    static constexpr std::size_t capacity = 256;
    static constexpr std::size_t minimumSamples = 20;
    /// Number of new latencies after which the sorted copy is refreshed; limits the cost of
    /// sorting.
    static constexpr std::size_t refreshInterval = 16;

    void refresh();

    std::array<float, capacity> m_latencies{};
    std::array<float, capacity> m_sorted{};
    std::size_t m_count = 0;
    std::size_t m_sortedCount = 0;
};

/// Service time of one backend server.
struct ServiceTime
{
    /// Average without the time spent in the backend server's queue; zero if not known.
    Seconds average{};
    /// Moving average over about the last five attempts, also without the queueing time.
    Seconds recent{};
    std::uint64_t samples = 0;
};

/// Adds an attempt that took \a latency while \a queuedPerSlot requests per slot were queued.
void addServiceTimeSample(ServiceTime &time, Duration latency, double queuedPerSlot);
/// Adds an attempt that was cancelled after \a elapsed, a lower bound of its service time.
void addServiceTimeLowerBound(ServiceTime &time, Duration elapsed);

} // namespace apricotrock::routing
