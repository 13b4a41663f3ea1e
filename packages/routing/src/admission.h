#pragma once

#include "state.h"

namespace apricotrock::routing {

/// Returns true if a new request is expected to complete before its deadline, given the queue
/// ahead of it and recent latencies.
bool canMeetDeadline(const ServiceState &service, const Request &request, TimePoint now);
/// Returns true if a request would miss its deadline even if it started now and ran fast.
bool isDeadlineUnreachable(const ServiceState &service, const Request &request, TimePoint now);
/// Updates the average interval at which waiting requests are dispatched. Called at the end of
/// each attempt.
void updateDrainInterval(ServiceState &service, TimePoint now);

} // namespace apricotrock::routing
