#include "estimate.h"

#include "state.h"

#include <algorithm>
#include <cmath>

namespace apricotrock::routing {

namespace {

/// Weight of one report in the usual load.
constexpr double usualWeight = 0.1;
/// Service time assumed while none is known. Only ratios matter.
constexpr Seconds assumedServiceTime{0.005};
/// Expected latency grows by this factor when every recent attempt failed, so that fast failures
/// don't look like a fast backend server.
constexpr double failurePenalty = 20;

} // namespace

void learnLoad(EndpointState &endpoint, const LoadReport &report, TimePoint measured)
{
    LoadKnowledge &load = endpoint.load;
    if (load.isKnown && measured < load.measured)
        return;
    const double total = static_cast<double>(report.outstanding) + report.queued;
    load.others = std::max(0.0, total - static_cast<double>(endpoint.outstanding));
    load.usualOthers = load.isKnown
        ? load.usualOthers + usualWeight * (load.others - load.usualOthers)
        : load.others;
    load.measured = measured;
    load.isKnown = true;
}

void learnShed(EndpointState &endpoint, TimePoint now)
{
    LoadKnowledge &load = endpoint.load;
    load.others = std::max(load.others, 2.0 * static_cast<double>(endpoint.server.slots));
    load.measured = now;
    load.isKnown = true;
}

double othersLoad(const EndpointState &endpoint, const Policy &policy, TimePoint now)
{
    const LoadKnowledge &load = endpoint.load;
    if (!load.isKnown)
        return 0;
    const Seconds age = std::max(Duration::zero(), now - load.measured);
    const double trust = std::exp2(-age / Seconds(policy.reportHalfLife));
    return load.usualOthers + (load.others - load.usualOthers) * trust;
}

double estimatedLoad(const EndpointState &endpoint, const Policy &policy, TimePoint now)
{
    return static_cast<double>(endpoint.outstanding) + othersLoad(endpoint, policy, now);
}

Seconds expectedLatency(const EndpointState &endpoint, const Policy &policy, TimePoint now)
{
    const Seconds service =
        endpoint.serviceTime.samples > 0 ? endpoint.serviceTime.average : assumedServiceTime;
    const auto slots = std::max(1.0, endpoint.limit.value);
    const double load = estimatedLoad(endpoint, policy, now);
    const double failures = 1 + failurePenalty * endpoint.outlier.failureShare;
    return service * ((load + 1) / slots) * failures;
}

} // namespace apricotrock::routing
