#include "selection.h"

#include <algorithm>

namespace apricotrock::routing {

namespace {

/// Larger services are sampled at random, which bounds the cost of a selection.
constexpr std::size_t maxScannedEndpoints = 32;
/// Selection weight of a backend server at the start of its slow start, relative to 1 at the end.
constexpr double minSlowStartWeight = 0.1;

using Candidates = std::vector<const EndpointPtr *>;

bool isAdaptive(const Policy &policy)
{
    return policy.algorithm == PolicyAlgorithm::Adaptive;
}

double slowStartWeight(const EndpointState &endpoint, const Policy &policy, TimePoint now)
{
    const Duration age = now - endpoint.slowStartBegin;
    if (endpoint.slowStartBegin == TimePoint() || age >= policy.slowStart)
        return 1;
    return std::max(minSlowStartWeight, Seconds(age) / Seconds(policy.slowStart));
}

bool hasLoadCapacity(const State &state, const Policy &policy, const EndpointState &endpoint,
                     TimePoint now)
{
    if (endpoint.outstanding >= static_cast<std::uint64_t>(endpoint.limit.value))
        return false;
    const double maxLoad = state.tuning.maxLoadPerSlot * endpoint.limit.value;
    return estimatedLoad(endpoint, policy, now) < maxLoad;
}

bool hasCapacity(const State &state, const RequestState &request, const EndpointState &endpoint,
                 TimePoint now)
{
    const RequestId id = request.request.id;
    if (endpoint.runsIsolated || (endpoint.reservedFor != 0 && endpoint.reservedFor != id))
        return false;
    if (request.request.isIsolated && endpoint.outstanding > 0)
        return false;
    if (endpoint.outstanding >= connectionShare(state, endpoint))
        return false;
    const Policy &policy = request.service->policy;
    return !isAdaptive(policy) || hasLoadCapacity(state, policy, endpoint, now);
}

bool hasAttemptOn(const State &state, const RequestState &request, const EndpointPtr &endpoint)
{
    return std::any_of(request.running.begin(), request.running.end(),
                       [&](AttemptId id) { return state.attempts.at(id).endpoint == endpoint; });
}

bool hasTried(const RequestState &request, const EndpointPtr &endpoint)
{
    return std::find(request.tried.begin(), request.tried.end(), endpoint) != request.tried.end();
}

/// Returns true if a backend server is left that this request has not tried. A retry waits for
/// such a server rather than going back to one that failed it.
bool hasUntriedEndpoint(const RequestState &request)
{
    const auto &endpoints = request.service->endpoints;
    return std::any_of(endpoints.begin(), endpoints.end(), [&](const EndpointPtr &endpoint) {
        return isUsable(*endpoint) && !endpoint->outlier.isEjected && !hasTried(request, endpoint);
    });
}

/// Which ejected backend servers are eligible: none, those ejected for slowness, or all.
enum class EjectedInclusion { None, Slow, All };

bool isSelectable(const EndpointState &endpoint, EjectedInclusion ejected)
{
    if (!endpoint.outlier.isEjected || ejected == EjectedInclusion::All)
        return true;
    return endpoint.outlier.isEjectedForSlowness && ejected == EjectedInclusion::Slow;
}

void addIfEligible(State &state, const RequestState &request, const EndpointPtr &endpoint,
                   EjectedInclusion ejected, TimePoint now)
{
    if (!isUsable(*endpoint) || !isSelectable(*endpoint, ejected))
        return;
    if (hasTried(request, endpoint) && hasUntriedEndpoint(request))
        return;
    if (hasAttemptOn(state, request, endpoint) || !hasCapacity(state, request, *endpoint, now))
        return;
    state.candidates.push_back(&endpoint);
}

void addAllEligible(State &state, const RequestState &request, EjectedInclusion ejected,
                    TimePoint now)
{
    for (const EndpointPtr &endpoint : request.service->endpoints)
        addIfEligible(state, request, endpoint, ejected, now);
}

void addSampledEndpoints(State &state, const RequestState &request, TimePoint now)
{
    const auto &endpoints = request.service->endpoints;
    for (std::size_t i = 0; i < maxScannedEndpoints; ++i)
        addIfEligible(state, request, endpoints[randomIndex(state.random, endpoints.size())],
                      EjectedInclusion::None, now);
}

/// Returns true if every usable backend server is ejected.
bool areAllUsableEjected(const ServiceState &service)
{
    return std::none_of(service.endpoints.begin(), service.endpoints.end(),
                        [](const EndpointPtr &e) { return isUsable(*e) && !e->outlier.isEjected; });
}

/// Falls back to backend servers ejected for slowness rather than queueing the request, and to
/// those ejected for failures only if no usable backend server is left.
void collectCandidates(State &state, const RequestState &request, TimePoint now)
{
    state.candidates.clear();
    if (request.service->endpoints.size() > maxScannedEndpoints)
        addSampledEndpoints(state, request, now);
    if (state.candidates.empty())
        addAllEligible(state, request, EjectedInclusion::None, now);
    if (state.candidates.empty() && request.running.empty())
        addAllEligible(state, request, EjectedInclusion::Slow, now);
    if (state.candidates.empty() && areAllUsableEjected(*request.service))
        addAllEligible(state, request, EjectedInclusion::All, now);
}

/// Keeps only the candidates that \a condition accepts, if there are any.
template <typename Condition>
void keepMatchingIfAny(Candidates &candidates, const Condition &condition)
{
    const auto end = std::partition(candidates.begin(), candidates.end(), condition);
    if (end != candidates.begin())
        candidates.erase(end, candidates.end());
}

/// Restricts the candidates to this instance's availability zone while one of them there has spare
/// capacity. The threshold is below full load, because load estimates lag behind.
void preferOwnZone(State &state, const Policy &policy, TimePoint now)
{
    const std::string &zone = state.parameters.availabilityZone;
    keepMatchingIfAny(state.candidates, [&](const EndpointPtr *e) {
        const auto &endpoint = **e;
        const double maxLoad = policy.zoneSpill * static_cast<double>(endpoint.server.slots);
        return endpoint.server.availabilityZone == zone
            && estimatedLoad(endpoint, policy, now) < maxLoad;
    });
}

/// Removes and returns a random candidate, weighted by slow start.
const EndpointPtr *drawCandidate(State &state, const Policy &policy, TimePoint now)
{
    Candidates &candidates = state.candidates;
    double total = 0;
    for (const EndpointPtr *endpoint : candidates)
        total += slowStartWeight(**endpoint, policy, now);
    double rest = randomFraction(state.random) * total;
    std::size_t index = 0;
    for (; index + 1 < candidates.size(); ++index) {
        rest -= slowStartWeight(**candidates[index], policy, now);
        if (rest < 0)
            break;
    }
    std::swap(candidates[index], candidates.back());
    const EndpointPtr *drawn = candidates.back();
    candidates.pop_back();
    return drawn;
}

EndpointPtr chooseAdaptive(State &state, const RequestState &request, TimePoint now)
{
    const Policy &policy = request.service->policy;
    preferOwnZone(state, policy, now);
    // If all candidates were compared, instances with the same load reports would all select the
    // same backend server.
    const std::size_t half = std::max<std::size_t>(2, state.candidates.size() / 2);
    const std::size_t draws = std::min({state.tuning.draws, half, state.candidates.size()});
    const EndpointPtr *best = nullptr;
    double bestScore = 0;
    for (std::size_t i = 0; i < draws; ++i) {
        const EndpointPtr *drawn = drawCandidate(state, policy, now);
        const double score = state.tuning.score(**drawn, policy, now);
        if (best == nullptr || score < bestScore) {
            best = drawn;
            bestScore = score;
        }
    }
    return *best;
}

EndpointPtr chooseP2c(State &state)
{
    Candidates &candidates = state.candidates;
    const std::size_t first = randomIndex(state.random, candidates.size());
    if (candidates.size() == 1)
        return *candidates[first];
    std::size_t second = randomIndex(state.random, candidates.size() - 1);
    if (second >= first)
        ++second;
    const bool isSecondBetter =
        (*candidates[second])->outstanding < (*candidates[first])->outstanding;
    return *candidates[isSecondBetter ? second : first];
}

EndpointPtr chooseLeastOutstanding(State &state)
{
    Candidates &candidates = state.candidates;
    // Starts at a random offset, so that ties do not favour the first backend server.
    const std::size_t offset = randomIndex(state.random, candidates.size());
    std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(offset),
                candidates.end());
    return **std::min_element(candidates.begin(), candidates.end(),
                              [](const EndpointPtr *a, const EndpointPtr *b) {
                                  return (*a)->outstanding < (*b)->outstanding;
                              });
}

EndpointPtr chooseRoundRobin(State &state, ServiceState &service)
{
    return *state.candidates[service.nextRoundRobin++ % state.candidates.size()];
}

} // namespace

bool isUsable(const EndpointState &endpoint)
{
    return endpoint.isConfigured && !endpoint.isLeaving
        && endpoint.server.state == BackendServerState::Active;
}

bool hasUsableEndpoint(const ServiceState &service)
{
    return std::any_of(service.endpoints.begin(), service.endpoints.end(),
                       [](const EndpointPtr &endpoint) { return isUsable(*endpoint); });
}

std::uint64_t connectionShare(const State &state, const EndpointState &endpoint)
{
    const std::uint64_t instances = std::max<std::uint64_t>(1, state.parameters.maxInstances);
    return std::max<std::uint64_t>(1, endpoint.server.connections / instances);
}

EndpointPtr chooseEndpoint(State &state, const RequestState &request, TimePoint now)
{
    collectCandidates(state, request, now);
    if (state.candidates.empty())
        return nullptr;
    switch (request.service->policy.algorithm) {
    case PolicyAlgorithm::Adaptive:
        break;
    case PolicyAlgorithm::P2c:
        return chooseP2c(state);
    case PolicyAlgorithm::LeastOutstanding:
        return chooseLeastOutstanding(state);
    case PolicyAlgorithm::RoundRobin:
        return chooseRoundRobin(state, *request.service);
    case PolicyAlgorithm::Random:
        return *state.candidates[randomIndex(state.random, state.candidates.size())];
    }
    return chooseAdaptive(state, request, now);
}

void reserveEndpoint(RequestState &request)
{
    if (request.reserved && isUsable(*request.reserved) && !request.reserved->outlier.isEjected)
        return;
    releaseReservation(request);
    for (const EndpointPtr &endpoint : request.service->endpoints) {
        if (!isUsable(*endpoint) || endpoint->outlier.isEjected || endpoint->reservedFor != 0)
            continue;
        if (hasTried(request, endpoint) && hasUntriedEndpoint(request))
            continue;
        if (!request.reserved || endpoint->outstanding < request.reserved->outstanding)
            request.reserved = endpoint;
    }
    if (request.reserved)
        request.reserved->reservedFor = request.request.id;
}

void releaseReservation(RequestState &request)
{
    if (request.reserved)
        request.reserved->reservedFor = 0;
    request.reserved.reset();
}

} // namespace apricotrock::routing
