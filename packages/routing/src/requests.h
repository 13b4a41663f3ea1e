#pragma once

#include "state.h"

namespace apricotrock::routing {

/// Puts a request into the queue of its service.
void enqueue(State &state, RequestState &request);
/// Takes a request out of the queue of its service, if it waits.
void dequeue(State &state, RequestState &request);
/// Ends a request without an answer and cancels what still runs.
void failRequest(State &state, RequestId request, ErrorKind kind, TimePoint now, Output &output);
/// Ends a request with the answer of \a attempt.
void completeRequest(State &state, RequestId request, AttemptId attempt, TimePoint now,
                     Output &output);
/// Starts waiting requests of \a service while backend servers have room.
void dispatch(State &state, ServiceState &service, TimePoint now, Output &output);
/// Fails all waiting requests of \a service.
void failWaiting(State &state, ServiceState &service, ErrorKind kind, TimePoint now,
                 Output &output);

} // namespace apricotrock::routing
