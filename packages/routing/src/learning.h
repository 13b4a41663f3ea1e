#pragma once

#include "state.h"

namespace apricotrock::routing {

/// Learns load, latency, failures and draining from the end of an attempt.
void recordResult(State &state, ServiceState &service, const AttemptState &attempt,
                  const AttemptResult &result, TimePoint now, Output &output);
/// Learns from an attempt that this instance cancelled: its latency is at least the time it ran.
void recordCancelledAttempt(State &state, ServiceState &service, const AttemptState &attempt,
                            TimePoint now);

} // namespace apricotrock::routing
