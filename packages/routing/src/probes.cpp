#include "probes.h"

#include "requests.h"
#include "selection.h"

#include <algorithm>

namespace apricotrock::routing {

namespace {

constexpr Duration scanInterval = std::chrono::milliseconds(50);
/// Load information is stale after this many half-lives, but not before the minimum age.
constexpr int staleHalfLives = 50;
constexpr Duration minimumStaleAge = std::chrono::seconds(1);
/// Time after a probe's deadline until which its result is still accepted.
constexpr Duration probeResultGrace = std::chrono::seconds(1);

bool isStale(const EndpointState &endpoint, const Policy &policy, TimePoint now)
{
    const Duration age =
        std::max<Duration>(minimumStaleAge, policy.reportHalfLife * staleHalfLives);
    return Seconds(now - endpoint.lastHeard) > Seconds(age) * endpoint.probe.staleAgeFactor;
}

bool needsProbe(const EndpointState &endpoint, const Policy &policy, TimePoint now)
{
    if (!isUsable(endpoint) || endpoint.probe.runningUntil > now)
        return false;
    if (endpoint.outlier.isEjected)
        return endpoint.outlier.ejectedUntil <= now + policy.probeTimeout;
    return isStale(endpoint, policy, now);
}

void startProbe(State &state, const ServiceState &service, EndpointState &endpoint, TimePoint now,
                Output &output)
{
    if (!withdraw(endpoint.probe.budget)) {
        if (!endpoint.probe.isDenialCounted)
            count(state, Counter::ProbeDeniedByBudget);
        endpoint.probe.isDenialCounted = true;
        return;
    }
    endpoint.probe.isDenialCounted = false;
    const TimePoint deadline = now + service.policy.probeTimeout;
    endpoint.probe.runningUntil = deadline + probeResultGrace;
    count(state, Counter::ProbeStarted);
    output.probes.push_back(
        {endpoint.server.name, endpoint.server.address, service.policy.probePath, deadline});
}

void scanEndpoint(State &state, const ServiceState &service, EndpointState &endpoint, TimePoint now,
                  Output &output)
{
    refill(endpoint.probe.budget, probeRate(state, service.policy), now);
    if (!needsProbe(endpoint, service.policy, now))
        endpoint.probe.isDenialCounted = false;
    else
        startProbe(state, service, endpoint, now, output);
    // While a probe is in flight, the ejection lasts until its result.
    const bool isProbed = endpoint.probe.runningUntil > now;
    if (endpoint.outlier.isEjected && endpoint.outlier.ejectedUntil <= now && !isProbed)
        endEjection(state, endpoint, now);
}

} // namespace

double probeRate(const State &state, const Policy &policy)
{
    const auto instances = std::max<std::uint64_t>(1, state.parameters.maxInstances);
    return policy.probeBudget / static_cast<double>(instances);
}

void scanEndpoints(State &state, TimePoint now, Output &output)
{
    if (now < state.nextScan)
        return;
    state.nextScan = now + scanInterval;
    for (const auto &[name, service] : state.services) {
        for (const EndpointPtr &endpoint : service->endpoints)
            scanEndpoint(state, *service, *endpoint, now, output);
        if (!service->queue.entries.empty())
            dispatch(state, *service, now, output);
    }
}

void finishProbe(State &state, const ProbeResult &result, TimePoint now, Output &output)
{
    const auto found = state.endpoints.find(result.backendServer);
    if (found == state.endpoints.end())
        return;
    EndpointState &endpoint = *found->second;
    const bool isExpected = endpoint.probe.runningUntil > now;
    endpoint.probe.runningUntil = now;
    if (!isExpected)
        return;
    if (result.isDraining) {
        count(state, Counter::DrainSeen);
        return markLeaving(state, result.backendServer, now, output);
    }
    ServiceState &service = *state.services.at(endpoint.server.service);
    if (!result.isHealthy) {
        recordFailure(state, service, endpoint, now);
        if (endpoint.outlier.isEjected)
            endpoint.outlier.ejectedUntil = now + service.policy.ejectionTime;
        return;
    }
    endpoint.lastHeard = now;
    if (result.load) {
        applyLoadReport(endpoint, *result.load, now);
        endpoint.load.report = *result.load;
        endpoint.load.reported = now;
        endpoint.load.hasReport = true;
    }
    if (!endpoint.outlier.isEjected
        || endpoint.outlier.ejectedUntil > now + service.policy.probeTimeout)
        return;
    endEjection(state, endpoint, now);
    dispatch(state, service, now, output);
}

} // namespace apricotrock::routing
