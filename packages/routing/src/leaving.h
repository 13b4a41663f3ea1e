#pragma once

#include "state.h"

namespace apricotrock::routing {

/// Marks the backend server as leaving; if it already is, the time of the first signal is kept.
void setLeaving(EndpointState &endpoint, TimePoint since);
/// Fails the waiting requests of a service that has no usable backend server left.
void failWaitingIfNoneUsable(State &state, ServiceState &service, TimePoint now, Output &output);

} // namespace apricotrock::routing
