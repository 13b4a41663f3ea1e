#pragma once

#include "state.h"

namespace apricotrock::routing {

/// Returns true if the backend server may get new work at all.
bool isUsable(const EndpointState &endpoint);
/// Returns true if any backend server of the service may get new work.
bool hasUsableEndpoint(const ServiceState &service);
/// Returns this instance's share of the connections of \a endpoint, at least 1.
std::uint64_t connectionShare(const State &state, const EndpointState &endpoint);
/// Returns the backend server for the next attempt of \a request, or null if none has room.
EndpointPtr chooseEndpoint(State &state, const RequestState &request, TimePoint now);
/// Makes a backend server empty for an isolated request that finds none.
void reserveEndpoint(RequestState &request);
void releaseReservation(RequestState &request);

} // namespace apricotrock::routing
