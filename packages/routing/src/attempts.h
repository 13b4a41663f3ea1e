#pragma once

#include "state.h"

namespace apricotrock::routing {

/// Starts an attempt of a request that is not in the queue.
void startAttempt(State &state, RequestState &request, const EndpointPtr &endpoint, TimePoint now,
                  Output &output, bool isHedge = false);
/// Cancels and removes all running attempts of \a request.
void cancelAttempts(State &state, RequestState &request, TimePoint now, Output &output);

} // namespace apricotrock::routing
