#include "selection.h"

namespace apricotrock::routing {

namespace {

bool isUsable(const EndpointState &endpoint)
{
    return endpoint.server.state == BackendServerState::Active && !endpoint.isLeaving;
}

bool hasRoom(const EndpointState &endpoint, const Request &request)
{
    if (request.isIsolated)
        return endpoint.outstanding == 0;
    return endpoint.outstanding < endpoint.server.slots && !endpoint.runsIsolated;
}

} // namespace

EndpointPtr chooseEndpoint(State & /*state*/, const RequestState &request, TimePoint /*now*/)
{
    EndpointPtr best;
    for (const EndpointPtr &endpoint : request.service->endpoints) {
        if (!isUsable(*endpoint) || !hasRoom(*endpoint, request.request))
            continue;
        if (!best || endpoint->outstanding < best->outstanding)
            best = endpoint;
    }
    return best;
}

} // namespace apricotrock::routing
