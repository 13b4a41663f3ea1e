#include "outlier.h"

#include "state.h"

#include <algorithm>

namespace apricotrock::routing {

namespace {

constexpr double failureWeight = 0.1;
/// A backend server whose service time exceeds the median of the others by this factor is a
/// straggler. Below it, the load score sends it less work, which uses its capacity better than an
/// ejection.
constexpr double stragglerRatio = 3;
/// Ratio to the service's average above which the median is computed. Lower than the straggler
/// ratio, because stragglers raise that average.
constexpr double slownessCheckRatio = 1.2;
/// Samples required to eject a straggler; after an earlier ejection one is enough.
constexpr std::uint64_t stragglerSamples = 5;
constexpr std::uint64_t stragglerSamplesAfterEjection = 1;
constexpr std::uint64_t maxEjectionFactor = 16;

bool isCapReached(const ServiceState &service)
{
    const auto ejected = std::count_if(service.endpoints.begin(), service.endpoints.end(),
                                       [](const EndpointPtr &e) { return e->outlier.isEjected; });
    const double allowed =
        service.policy.maxEjected * static_cast<double>(service.endpoints.size());
    return static_cast<double>(ejected + 1) > allowed;
}

void eject(State &state, ServiceState &service, EndpointState &endpoint, TimePoint now)
{
    OutlierState &outlier = endpoint.outlier;
    const bool isNonAdaptive = service.policy.algorithm != PolicyAlgorithm::Adaptive;
    if (isNonAdaptive || outlier.isEjected || !endpoint.isConfigured)
        return;
    if (isCapReached(service)) {
        count(state, Counter::EjectionDeniedByCap);
        return;
    }
    const Duration longest = service.policy.ejectionTime * maxEjectionFactor;
    if (outlier.ejections > 0 && now - outlier.returnedAt > longest)
        outlier.ejections = 0;
    const std::uint64_t factor = std::min(
        std::uint64_t{1} << std::min<std::uint64_t>(outlier.ejections, 10), maxEjectionFactor);
    outlier.isEjected = true;
    outlier.ejectedUntil = now + service.policy.ejectionTime * factor;
    ++outlier.ejections;
    count(state, Counter::EndpointEjected);
}

/// Returns the median service time of the other backend servers, or zero if too few are known.
Seconds medianOfOthers(const ServiceState &service, const EndpointState &endpoint)
{
    std::vector<Seconds> times;
    for (const EndpointPtr &other : service.endpoints) {
        if (other.get() != &endpoint && other->serviceTime.samples >= stragglerSamples)
            times.push_back(other->serviceTime.average);
    }
    if (times.size() < 2)
        return {};
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

} // namespace

void recordSuccess(EndpointState &endpoint)
{
    OutlierState &outlier = endpoint.outlier;
    outlier.consecutiveFailures = 0;
    outlier.failureRate -= failureWeight * outlier.failureRate;
}

void recordFailure(State &state, ServiceState &service, EndpointState &endpoint, TimePoint now)
{
    OutlierState &outlier = endpoint.outlier;
    ++outlier.consecutiveFailures;
    outlier.failureRate += failureWeight * (1 - outlier.failureRate);
    if (outlier.consecutiveFailures >= service.policy.ejectionFailures)
        eject(state, service, endpoint, now);
}

void ejectIfStraggler(State &state, ServiceState &service, EndpointState &endpoint, TimePoint now)
{
    const std::uint64_t requiredSamples =
        endpoint.outlier.ejections > 0 ? stragglerSamplesAfterEjection : stragglerSamples;
    if (endpoint.outlier.isEjected || endpoint.serviceTime.samples < requiredSamples)
        return;
    // Avoids computing the median for servers that are clearly not slow.
    if (endpoint.serviceTime.recent <= service.averageServiceTime * slownessCheckRatio)
        return;
    const Seconds median = medianOfOthers(service, endpoint);
    if (median <= Seconds::zero() || endpoint.serviceTime.recent <= stragglerRatio * median)
        return;
    eject(state, service, endpoint, now);
    endpoint.outlier.isEjectedForSlowness = endpoint.outlier.isEjected;
}

void endEjection(State &state, EndpointState &endpoint, TimePoint now)
{
    OutlierState &outlier = endpoint.outlier;
    outlier.isEjected = false;
    outlier.returnedAt = now;
    outlier.isEjectedForSlowness = false;
    // Resets the sample count, so that the next answer replaces the average from before the
    // ejection.
    endpoint.serviceTime.samples = 0;
    if (outlier.consecutiveFailures > 0)
        --outlier.consecutiveFailures;
    endpoint.slowStartBegin = now;
    count(state, Counter::EndpointReturned);
}

} // namespace apricotrock::routing
