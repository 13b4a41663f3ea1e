#pragma once

#include "state.h"

namespace apricotrock::routing {

/// Returns this instance's share of the probe rate of a backend server, in probes per second.
double probeRate(const State &state, const Policy &policy);
/// Starts the required probes within the budget and ends expired ejections.
void scanEndpoints(State &state, TimePoint now, Output &output);

} // namespace apricotrock::routing
