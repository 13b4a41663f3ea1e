#pragma once

#include "apricotrock/broker.h"

namespace apricotrock::broker {

/// Returns true while the number of attempts that are started on \a server is limited.
bool isCold(const ServerState &server, TimePoint now);

/// Returns the time until this state may start an attempt on the cold \a server; 0 if it may now.
/// For a state that may start none, it is the time between two starts by the leader.
Duration coldStartWait(const ServiceState &state, const ServerState &server, TimePoint now);

/// Returns the attempts per second that this state may start on the cold \a server.
double coldStartRate(const ServiceState &state, const ServerState &server, TimePoint now);

/// Counts the start of an attempt on the cold \a server. It is not taken back if the server rejects
/// the attempt, because the bound holds for requests that reach the server.
void countColdStart(const ServiceState &state, ServerState &server, TimePoint now);

/// Sets ServerState::info and keeps the end of the cold period that a probe told, unless \a info
/// is of another process or of a newer record.
void updateInfo(ServerState &server, const ServerInfo &info);

/// Returns the interval of probes of \a server, which has a limit for cold starts, that holds even
/// if attempts report its load: only probes tell that it has become cold again, or is no longer.
/// It is \a shortest if more attempts have been started on the server than it may get while cold.
Duration coldProbePause(const ServerState &server, Duration shortest, TimePoint now);

/// Counts the start of an attempt since the last probe of \a server.
void countUncheckedStart(ServerState &server, TimePoint now);

/// Returns true if the starts on cold servers that are allowed before \a request must be sent
/// suffice for it and for all queued requests. Applies while no other server is left.
bool canWaitForColdServer(const ServiceState &state, const ServiceLoad &load,
                          const AttemptRequest &request, double work, TimePoint now);

} // namespace apricotrock::broker
