#pragma once

#include "state.h"

namespace apricotrock::routing {

/// Stops new attempts; the first of several signals sets the time.
void setLeaving(EndpointState &endpoint, TimePoint since);
/// Fails the waiting requests of a service that has no usable backend server left.
void failWaitingIfNoneUsable(State &state, ServiceState &service, TimePoint now, Output &output);

} // namespace apricotrock::routing
