#include "summaryprivate.h"

#include <limits>

namespace apricotrock::metrics {

namespace {

/// The extended P-square algorithm starts with 2 * quantiles + 3 markers; before that many samples
/// its estimate is meaningless.
constexpr std::size_t minimumSamples = 2 * quantiles.size() + 3;

} // namespace

Summary::Summary() : m_private(std::make_unique<Private>()) { }

Summary::~Summary() = default;

void Summary::add(Duration duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    const std::lock_guard lock(m_private->mutex);
    m_private->accumulator(seconds);
}

SummaryValues Summary::Private::values() const
{
    const std::lock_guard lock(mutex);
    SummaryValues result;
    result.count = boost::accumulators::count(accumulator);
    result.sum = boost::accumulators::sum(accumulator);
    const auto estimates = boost::accumulators::extended_p_square(accumulator);
    for (std::size_t i = 0; i < quantiles.size(); ++i) {
        result.values[i] = result.count < minimumSamples
            ? std::numeric_limits<double>::quiet_NaN()
            : estimates[static_cast<std::ptrdiff_t>(i)];
    }
    return result;
}

} // namespace apricotrock::metrics
