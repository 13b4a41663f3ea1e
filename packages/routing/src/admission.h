#pragma once

#include "state.h"

namespace apricotrock::routing {

/// Returns true if a new request can be expected to end before its deadline.
bool canMeetDeadline(const ServiceState &service, const Request &request, TimePoint now);
/// Returns true if it is useless to start a waiting request, because it can't end in time.
bool isDeadlineUnreachable(const ServiceState &service, const Request &request, TimePoint now);
/// Learns the pace at which waiting requests get their turn from the end of an attempt.
void updateDrainInterval(ServiceState &service, TimePoint now);

} // namespace apricotrock::routing
