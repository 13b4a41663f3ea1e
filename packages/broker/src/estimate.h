#pragma once

#include "apricotrock/broker.h"

namespace apricotrock::broker {

/// Slots of \a server that are taken, as far as this state knows.
unsigned takenSlots(const ServiceState &state, const ServerState &server, TimePoint now);

/// Factor by which work takes longer on \a server than on an idle machine of usual speed.
double durationFactor(const ServiceState &state, const ServerState &server, unsigned taken,
                      TimePoint now);

/// Mean work of a route at usual speed.
double workSeconds(const ServiceState &state, RouteKey route, Duration objective);

/// Share of attempts that \a server fails, as it is believed now.
double failureShare(const ServerState &server, TimePoint now);

/// Factor by which work takes longer with \a running attempts on a server of \a slots slots.
double occupancyFactor(const ServiceState &state, unsigned running, unsigned slots);

/// Factor by which work takes longer on a server that has as many attempts as it gets.
double loadedFactor(const ServiceState &state);

/// Learns from the duration of an answered attempt.
void learnDuration(ServiceState &state, ServerState &server, const Occupant &occupant,
                   const AttemptEnd &end, TimePoint now);

/// Learns how much of a reported load is not known here.
void learnForeignLoad(ServerState &server, const LoadReport &report, TimePoint now);

/// Learns whether an attempt got a usable answer.
void learnOutcome(ServerState &server, bool isFailure, TimePoint now);

Duration toDuration(double seconds);
double toSeconds(Duration duration);

} // namespace apricotrock::broker
