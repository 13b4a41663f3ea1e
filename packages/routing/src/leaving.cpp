#include "leaving.h"

#include "requests.h"
#include "selection.h"

namespace apricotrock::routing {

void setLeaving(EndpointState &endpoint, TimePoint since)
{
    if (endpoint.isLeaving)
        return;
    endpoint.isLeaving = true;
    endpoint.leavingSince = since;
}

void failWaitingIfNoneUsable(State &state, ServiceState &service, TimePoint now, Output &output)
{
    if (!hasUsableEndpoint(service))
        failWaiting(state, service, ErrorKind::NoBackendServer, now, output);
}

void markLeaving(State &state, const std::string &backendServer, TimePoint now, Output &output)
{
    const auto found = state.endpoints.find(backendServer);
    if (found == state.endpoints.end())
        return;
    setLeaving(*found->second, now);
    failWaitingIfNoneUsable(state, *state.services.at(found->second->server.service), now, output);
}

} // namespace apricotrock::routing
