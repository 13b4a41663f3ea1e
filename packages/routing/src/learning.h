#pragma once

#include "state.h"

namespace apricotrock::routing {

/// Updates load, latency, failure and draining state from the result of an attempt.
void recordResult(State &state, ServiceState &service, const AttemptState &attempt,
                  const AttemptResult &result, TimePoint now, Output &output);
/// Updates latencies from an attempt that this instance cancelled: its latency is at least the time
/// it ran.
void recordCancelledAttempt(State &state, ServiceState &service, const AttemptState &attempt,
                            TimePoint now);

} // namespace apricotrock::routing
