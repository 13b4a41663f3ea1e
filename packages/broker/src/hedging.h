#pragma once

#include "apricotrock/broker.h"

namespace apricotrock::broker {

/// Counts a first attempt, which increases the limit of hedges.
void countHedgeableRequest(HedgeUse &use, const Policy &policy, TimePoint now);

/// Counts a granted attempt with the slot time that it is expected to take, and returns the slot
/// time in seconds that it is charged with until it ends. A hedge is charged with more than
/// \a expectedSeconds, because some of the running hedges take longer.
double countAttemptStart(HedgeUse &use, const Policy &policy, bool isHedge, double expectedSeconds,
                         TimePoint now);

/// Replaces the slot time that an attempt was charged with by the one that it used, whatever its
/// outcome.
void countAttemptEnd(HedgeUse &use, const Policy &policy, const ActiveAttempt &attempt,
                     Duration used, TimePoint now);

/// Returns the availability zone of the attempt that \a request is a hedge of; nothing if its
/// server is not known.
std::optional<std::uint32_t> zoneOfFirstAttempt(const ServiceState &state,
                                                const AttemptRequest &request);

/// Returns true if the limit of hedges allows a hedge that is expected to take \a expectedSeconds.
/// The more of the limit is used, the longer the first attempt must be overdue.
bool isWithinHedgeLimit(ServiceState &state, const AttemptRequest &request, double expectedSeconds,
                        TimePoint now);

} // namespace apricotrock::broker
