#pragma once

#include "state.h"

namespace apricotrock::routing {

/// Returns the backend server for the next attempt of \a request, or null if none has room.
EndpointPtr chooseEndpoint(State &state, const RequestState &request, TimePoint now);

} // namespace apricotrock::routing
