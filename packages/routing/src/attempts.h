#pragma once

#include "state.h"

namespace apricotrock::routing {

/// Starts one attempt of a request that does not wait.
void startAttempt(State &state, RequestState &request, const EndpointPtr &endpoint, TimePoint now,
                  Output &output, bool isHedge = false);
/// Cancels all running attempts of \a request and forgets them.
void cancelAttempts(State &state, RequestState &request, TimePoint now, Output &output);

} // namespace apricotrock::routing
