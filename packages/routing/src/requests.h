#pragma once

#include "state.h"

namespace apricotrock::routing {

/// Adds a request to the queue of its service.
void enqueue(State &state, RequestState &request);
/// Removes a request from the queue of its service, if it is waiting.
void dequeue(State &state, RequestState &request);
/// Ends a request without an answer and cancels its running attempts.
void failRequest(State &state, RequestId request, ErrorKind kind, TimePoint now, Output &output);
/// Ends a request with the answer of \a attempt and cancels its other attempts.
void completeRequest(State &state, RequestId request, AttemptId attempt, TimePoint now,
                     Output &output);
/// Starts waiting requests of \a service while backend servers have capacity.
void dispatch(State &state, ServiceState &service, TimePoint now, Output &output);
/// Fails all waiting requests of \a service.
void failWaiting(State &state, ServiceState &service, ErrorKind kind, TimePoint now,
                 Output &output);

} // namespace apricotrock::routing
