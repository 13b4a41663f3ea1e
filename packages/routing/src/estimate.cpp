#include "estimate.h"

#include "state.h"

#include <algorithm>
#include <cmath>

namespace apricotrock::routing {

namespace {

/// Weight of one report in the moving average of the load from other instances.
constexpr double otherLoadWeight = 0.1;
/// The number of local attempts is exact and current, while the load from other instances is an
/// estimate. Counting local attempts twice gave the lowest tail latency in bench/estimatebench.cpp.
constexpr double localWeight = 2;
/// Backend servers whose service times differ by a smaller ratio count as equally fast. The
/// averages are noisy; otherwise an idle fleet would send all requests to the one that looks
/// fastest.
constexpr double equalRatio = 1.5;
/// Failure rates below this value are ignored for the same reason.
constexpr double forgottenFailures = 0.02;
/// Multiple of the score that is added when all recent attempts failed, so that a backend server
/// that fails quickly is not taken for a fast one.
constexpr double failurePenalty = 20;

} // namespace

void applyLoadReport(EndpointState &endpoint, const LoadReport &report, TimePoint measured)
{
    LoadEstimate &load = endpoint.load;
    if (load.isKnown && measured < load.measured)
        return;
    const double total = static_cast<double>(report.outstanding) + report.queued;
    load.otherLoad = std::max(0.0, total - static_cast<double>(endpoint.outstanding));
    load.averageOtherLoad = load.isKnown
        ? load.averageOtherLoad + otherLoadWeight * (load.otherLoad - load.averageOtherLoad)
        : load.otherLoad;
    load.measured = measured;
    load.isKnown = true;
}

void recordShed(EndpointState &endpoint, TimePoint now)
{
    LoadEstimate &load = endpoint.load;
    load.otherLoad = std::max(load.otherLoad, 2.0 * static_cast<double>(endpoint.server.slots));
    load.measured = now;
    load.isKnown = true;
}

double estimatedOtherLoad(const EndpointState &endpoint, const Policy &policy, TimePoint now)
{
    const LoadEstimate &load = endpoint.load;
    if (!load.isKnown)
        return 0;
    const Seconds age = std::max(Duration::zero(), now - load.measured);
    // Requests counted in a report have ended after about one service time.
    Seconds halfLife = policy.reportHalfLife;
    if (endpoint.serviceTime.samples > 0)
        halfLife = std::min(halfLife, endpoint.serviceTime.average);
    const double trust = std::exp2(-age / halfLife);
    return load.averageOtherLoad + (load.otherLoad - load.averageOtherLoad) * trust;
}

double estimatedLoad(const EndpointState &endpoint, const Policy &policy, TimePoint now)
{
    return static_cast<double>(endpoint.outstanding) + estimatedOtherLoad(endpoint, policy, now);
}

double loadScore(const EndpointState &endpoint, const Policy &policy, TimePoint now)
{
    const double load = localWeight * static_cast<double>(endpoint.outstanding)
        + estimatedOtherLoad(endpoint, policy, now);
    // The adaptive limit is not used here: it recovers only while attempts run.
    const auto slots = static_cast<double>(endpoint.server.slots);
    // Penalties decay, so that a backend server avoided for past results is tried again.
    const Seconds age = std::max(Duration::zero(), now - endpoint.lastOutcomeTime);
    const double trust = std::exp2(-age / Seconds(policy.ejectionTime));
    double slowness = 1 + (endpoint.slowness - 1) * trust;
    if (slowness < equalRatio && slowness * equalRatio > 1)
        slowness = 1;
    double failureRate = endpoint.outlier.failureRate * trust;
    if (failureRate < forgottenFailures)
        failureRate = 0;
    const double failures = 1 + failurePenalty * failureRate;
    return (load + 1) / slots * slowness * failures;
}

} // namespace apricotrock::routing
