#include "admission.h"

namespace apricotrock::routing {

namespace {

constexpr double paceWeight = 0.1;
/// Quantile of recent latency that a new request is expected to need.
constexpr double typicalQuantile = 0.5;
/// A waiting request is given up only if even a fast attempt would end too late.
constexpr double fastQuantile = 0.1;

bool isJudged(const ServiceState &service)
{
    // Without an attempt in flight nothing would correct an estimate that is too high.
    return service.running > 0 && service.policy.algorithm == PolicyAlgorithm::Adaptive;
}

} // namespace

bool canMeetDeadline(const ServiceState &service, const Request &request, TimePoint now)
{
    if (!isJudged(service))
        return true;
    const bool isAction = request.requestClass == RequestClass::Action;
    const std::size_t ahead = isAction ? service.queue.actions : service.queue.entries.size();
    const Seconds wait = service.drainInterval * static_cast<double>(ahead);
    return now + toDuration(wait) + service.latencies.quantile(typicalQuantile) <= request.deadline;
}

bool isHopeless(const ServiceState &service, const Request &request, TimePoint now)
{
    return isJudged(service) && now + service.latencies.quantile(fastQuantile) > request.deadline;
}

void learnPace(ServiceState &service, TimePoint now)
{
    if (service.queue.entries.empty()) {
        service.lastDrain.reset();
        return;
    }
    if (service.lastDrain) {
        const Seconds interval = now - *service.lastDrain;
        const bool isFirst = service.drainInterval == Seconds::zero();
        service.drainInterval += (isFirst ? 1 : paceWeight) * (interval - service.drainInterval);
    }
    service.lastDrain = now;
}

} // namespace apricotrock::routing
