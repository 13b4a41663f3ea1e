#pragma once

#include "state.h"

namespace apricotrock::routing {

/// Returns the probes a second that this instance may send to one backend server.
double probeRate(const State &state, const Policy &policy);
/// Starts the probes that are needed and within the budget, and ends ejections that are over.
void scanEndpoints(State &state, TimePoint now, Output &output);

} // namespace apricotrock::routing
