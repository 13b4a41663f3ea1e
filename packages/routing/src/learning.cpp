#include "learning.h"

#include <algorithm>

namespace apricotrock::routing {

namespace {

constexpr double shedWeight = 1.0 / 16;

constexpr double serviceAverageWeight = 0.02;
void updateSlowness(ServiceState &service, EndpointState &endpoint)
{
    const Seconds average = endpoint.serviceTime.average;
    Seconds &serviceAverage = service.averageServiceTime;
    serviceAverage +=
        (serviceAverage == Seconds::zero() ? 1 : serviceAverageWeight) * (average - serviceAverage);
    endpoint.slowness = average / serviceAverage;
}

bool isFailure(const AttemptResult &result)
{
    // A shed request indicates load, not a fault.
    if (result.status == AttemptStatus::Shed || result.status == AttemptStatus::Cancelled)
        return false;
    return result.status != AttemptStatus::Answered || result.httpStatus >= 500;
}

void recordAnswer(State &state, ServiceState &service, const AttemptState &attempt,
                  const AttemptResult &result, Duration latency, TimePoint now)
{
    EndpointState &endpoint = *attempt.endpoint;
    const double queued = result.load ? result.load->queued : 0;
    addServiceTimeSample(endpoint.serviceTime, latency,
                         queued / static_cast<double>(endpoint.server.slots));
    updateSlowness(service, endpoint);
    // Other requests may have started or ended while the attempt ran.
    const double concurrency =
        std::max(attempt.concurrency, estimatedLoad(endpoint, service.policy, now) + 1);
    updateConcurrencyLimit(endpoint.limit, latency, concurrency, endpoint.server.slots);
    recordSuccess(endpoint);
    service.latencies.add(latency);
    ejectIfStraggler(state, service, endpoint, now);
}

} // namespace

void recordResult(State &state, ServiceState &service, const AttemptState &attempt,
                  const AttemptResult &result, TimePoint now, Output &output)
{
    EndpointState &endpoint = *attempt.endpoint;
    const bool isShed = result.status == AttemptStatus::Shed;
    endpoint.lastOutcomeTime = now;
    service.shedShare += shedWeight * ((isShed ? 1 : 0) - service.shedShare);
    if (result.load) {
        applyLoadReport(endpoint, *result.load, now);
        endpoint.load.report = *result.load;
        endpoint.load.reported = now;
        endpoint.load.hasReport = true;
    }
    if (isShed) {
        recordShed(endpoint, now);
        decreaseConcurrencyLimit(endpoint.limit);
    }
    if (result.status == AttemptStatus::Answered || isShed)
        endpoint.lastHeard = now;
    const Duration latency =
        result.latency > Duration::zero() ? result.latency : now - attempt.start;
    if (isFailure(result))
        recordFailure(state, service, endpoint, now);
    else if (result.status == AttemptStatus::Answered)
        recordAnswer(state, service, attempt, result, latency, now);
    if (result.isDraining && attempt.start >= endpoint.activated && !endpoint.isLeaving) {
        count(state, Counter::DrainSeen);
        if (endpoint.isConfigured)
            markLeaving(state, endpoint.server.name, now, output);
    }
}

void recordCancelledAttempt(State &state, ServiceState &service, const AttemptState &attempt,
                            TimePoint now)
{
    const Duration elapsed = now - attempt.start;
    addServiceTimeLowerBound(attempt.endpoint->serviceTime, elapsed);
    ejectIfStraggler(state, service, *attempt.endpoint, now);
    // If cancelled slow attempts were left out, the latency quantiles and with them the hedge delay
    // would shrink.
    if (elapsed > service.latencies.quantile(0.5))
        service.latencies.add(elapsed);
}

} // namespace apricotrock::routing
