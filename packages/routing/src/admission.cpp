#include "admission.h"

namespace apricotrock::routing {

namespace {

/// Weight of a new sample in the average drain interval.
constexpr double drainIntervalWeight = 0.1;
/// Quantile of recent latencies that estimates the service time of a new request.
constexpr double typicalQuantile = 0.5;
/// A waiting request is dropped only if even a fast attempt would miss the deadline.
constexpr double fastQuantile = 0.1;

bool isDeadlineCheckEnabled(const ServiceState &service)
{
    // Without an attempt in flight, no new sample could correct an estimate that is too high, and
    // requests would be refused for ever.
    return service.running > 0 && service.policy.algorithm == PolicyAlgorithm::Adaptive;
}

} // namespace

bool canMeetDeadline(const ServiceState &service, const Request &request, TimePoint now)
{
    if (!isDeadlineCheckEnabled(service))
        return true;
    const bool isAction = request.requestClass == RequestClass::Action;
    const std::size_t ahead = isAction ? service.queue.actions : service.queue.entries.size();
    const Seconds wait = service.drainInterval * static_cast<double>(ahead);
    return now + toDuration(wait) + service.latencies.quantile(typicalQuantile) <= request.deadline;
}

bool isDeadlineUnreachable(const ServiceState &service, const Request &request, TimePoint now)
{
    return isDeadlineCheckEnabled(service)
        && now + service.latencies.quantile(fastQuantile) > request.deadline;
}

void updateDrainInterval(ServiceState &service, TimePoint now)
{
    if (service.queue.entries.empty()) {
        service.lastDrain.reset();
        return;
    }
    if (service.lastDrain) {
        const Seconds interval = now - *service.lastDrain;
        const bool isFirst = service.drainInterval == Seconds::zero();
        service.drainInterval +=
            (isFirst ? 1 : drainIntervalWeight) * (interval - service.drainInterval);
    }
    service.lastDrain = now;
}

} // namespace apricotrock::routing
