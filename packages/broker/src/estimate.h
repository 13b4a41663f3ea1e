#pragma once

#include "apricotrock/broker.h"

namespace apricotrock::broker {

/// Returns the number of slots of \a server that are taken according to known attempts, untracked
/// load and, shortly after a change of the leader, the load report.
unsigned takenSlots(const ServiceState &state, const ServerState &server, TimePoint now);

/// Returns the factor by which work takes longer on \a server, with \a taken slots in use, than on
/// an idle machine of normal speed.
double durationFactor(const ServiceState &state, const ServerState &server, unsigned taken,
                      TimePoint now);

/// Returns the mean work of a route at normal speed, in seconds. It is derived from \a objective
/// before the first sample.
double workSeconds(const ServiceState &state, RouteKey route, Duration objective);

/// Returns by how much the estimated share of attempts that fail on \a server, decayed to \a now,
/// exceeds that of the service. Which server failed least is chance where all fail alike.
double excessFailureShare(const ServiceState &state, const ServerState &server, TimePoint now);

/// Returns the factor by which work takes longer with \a running attempts on a server of \a slots
/// slots.
double occupancyFactor(const ServiceState &state, unsigned running, unsigned slots);

/// Returns the factor by which work takes longer on a server at its attemptLimit().
double fullLoadFactor(const ServiceState &state);

/// Updates the work, occupancy and bias estimates from the duration of an attempt that was answered
/// or that was cancelled later than its expected end.
void updateDurationEstimates(ServiceState &state, ServerState &server, const ActiveAttempt &attempt,
                             const AttemptEnd &end, TimePoint now);

/// Estimates how much of the reported load comes from attempts that this state doesn't know.
void updateUntrackedLoad(ServerState &server, const LoadReport &report, TimePoint now);

/// Updates the failure shares of \a server and of the service with the outcome of one attempt.
void updateFailureShare(ServiceState &state, ServerState &server, bool isFailure, TimePoint now);

Duration toDuration(double seconds);
double toSeconds(Duration duration);

} // namespace apricotrock::broker
