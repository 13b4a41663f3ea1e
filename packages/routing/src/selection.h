#pragma once

#include "state.h"

namespace apricotrock::routing {

/// Returns true if the backend server is configured, active and not leaving. Ignores load and
/// ejection.
bool isUsable(const EndpointState &endpoint);
/// Returns true if any backend server of the service is usable.
bool hasUsableEndpoint(const ServiceState &service);
/// Returns this instance's share of the connections of \a endpoint, at least 1.
std::uint64_t connectionShare(const State &state, const EndpointState &endpoint);
/// Selects the backend server for the next attempt of \a request; null if none has capacity.
EndpointPtr chooseEndpoint(State &state, const RequestState &request, TimePoint now);
/// Reserves a backend server for an isolated request, so that it drains until the request can run
/// on it alone.
void reserveEndpoint(RequestState &request);
void releaseReservation(RequestState &request);

} // namespace apricotrock::routing
