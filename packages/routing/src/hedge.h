#pragma once

#include "state.h"

namespace apricotrock::routing {

/// Schedules a hedge for a lookup that has one running attempt.
void scheduleHedge(State &state, RequestState &request, TimePoint now);
void unscheduleHedge(State &state, RequestState &request);
/// Starts due hedges within the hedge budget, on backend servers with a free slot only.
void startHedges(State &state, TimePoint now, Output &output);

} // namespace apricotrock::routing
