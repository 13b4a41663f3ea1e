#pragma once

#include "state.h"

namespace apricotrock::routing {

/// Plans a second attempt for a lookup that runs alone.
void scheduleHedge(State &state, RequestState &request, TimePoint now);
void unscheduleHedge(State &state, RequestState &request);
/// Starts the hedges that are due, within the budget and only on spare capacity.
void startHedges(State &state, TimePoint now, Output &output);

} // namespace apricotrock::routing
