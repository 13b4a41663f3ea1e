#include "state.h"

#include <algorithm>

namespace apricotrock::routing {

namespace {

std::string stateName(const EndpointState &endpoint, const Policy &policy, TimePoint now)
{
    if (endpoint.server.state == BackendServerState::Draining)
        return "draining";
    if (endpoint.isLeaving)
        return "leaving";
    if (endpoint.outlier.isEjected)
        return "ejected";
    const bool hasSlowStart = endpoint.slowStartBegin != TimePoint();
    return hasSlowStart && now - endpoint.slowStartBegin < policy.slowStart ? "slow-start"
                                                                            : "active";
}

} // namespace

std::vector<BackendStatus> backendStatus(const State &state, TimePoint now)
{
    std::vector<BackendStatus> status;
    for (const auto &[name, endpoint] : state.endpoints) {
        const Policy &policy = state.services.at(endpoint->server.service)->policy;
        status.push_back({name, endpoint->server.service, stateName(*endpoint, policy, now),
                          endpoint->outstanding, estimatedLoad(*endpoint, policy, now),
                          endpoint->limit.value});
    }
    std::sort(status.begin(), status.end(),
              [](const BackendStatus &a, const BackendStatus &b) { return a.name < b.name; });
    return status;
}

} // namespace apricotrock::routing
