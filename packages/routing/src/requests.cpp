#include "requests.h"

#include "admission.h"
#include "attempts.h"
#include "selection.h"

#include <algorithm>

namespace apricotrock::routing {

namespace {

/// Number of isolated requests at the front of the queue that later requests may overtake while
/// they wait for an empty backend server.
constexpr std::size_t maxBypassedIsolated = 8;
/// Interval at which waiting requests are tried again, because load estimates decay with age.
constexpr Duration recheckInterval = std::chrono::milliseconds(1);

void endRequest(State &state, RequestId id, TimePoint now, Output &output)
{
    const auto found = state.requests.find(id);
    dequeue(state, found->second);
    releaseReservation(found->second);
    cancelAttempts(state, found->second, now, output);
    state.requests.erase(found);
}

/// Starts the first waiting request that a backend server has capacity for, or fails one whose
/// deadline can no longer be met. Returns false if nothing was done.
bool dispatchOne(State &state, ServiceState &service, TimePoint now, Output &output)
{
    for (const RequestId id : dispatchOrder(service.queue, service.policy, maxBypassedIsolated)) {
        RequestState &request = state.requests.at(id);
        if (isDeadlineUnreachable(service, request.request, now)) {
            failRequest(state, id, ErrorKind::DeadlineUnmeetable, now, output);
            return true;
        }
        if (const EndpointPtr endpoint = chooseEndpoint(state, request, now)) {
            dequeue(state, request);
            releaseReservation(request);
            recordDispatch(service.queue, request.request.caller);
            startAttempt(state, request, endpoint, now, output);
            return true;
        }
        if (!request.request.isIsolated)
            return false;
        reserveEndpoint(request);
    }
    return false;
}

/// Decides whether a new request may be queued; evicts a waiting request for it if necessary.
std::optional<ErrorKind> admit(State &state, ServiceState &service, const Request &request,
                               TimePoint now, Output &output)
{
    if (!canMeetDeadline(service, request, now))
        return ErrorKind::DeadlineUnmeetable;
    const QueueDecision decision = decideQueueing(service.queue, service.policy, request);
    if (!decision.refusal && decision.evicted != 0)
        failRequest(state, decision.evicted, decision.evictionError, now, output);
    return decision.refusal;
}

/// Starts a new request without queueing if no waiting request precedes it.
bool startWithoutQueueing(State &state, ServiceState &service, RequestState &request, TimePoint now,
                          Output &output)
{
    const bool isAction = request.request.requestClass == RequestClass::Action;
    const std::size_t ahead = isAction ? service.queue.actions : service.queue.entries.size();
    if (ahead > 0 || isDeadlineUnreachable(service, request.request, now))
        return false;
    const EndpointPtr endpoint = chooseEndpoint(state, request, now);
    if (!endpoint)
        return false;
    startAttempt(state, request, endpoint, now, output);
    return true;
}

} // namespace

void enqueue(State &state, RequestState &request)
{
    pushWaiting(request.service->queue, request.request);
    state.deadlines.emplace(request.request.deadline, request.request.id);
    request.isWaiting = true;
}

void dequeue(State &state, RequestState &request)
{
    if (!request.isWaiting)
        return;
    removeWaiting(request.service->queue, request.request);
    state.deadlines.erase({request.request.deadline, request.request.id});
    request.isWaiting = false;
}

void failRequest(State &state, RequestId request, ErrorKind kind, TimePoint now, Output &output)
{
    endRequest(state, request, now, output);
    output.failures.push_back({request, kind});
}

void completeRequest(State &state, RequestId request, AttemptId attempt, TimePoint now,
                     Output &output)
{
    endRequest(state, request, now, output);
    output.completions.emplace_back(request, attempt);
}

void dispatch(State &state, ServiceState &service, TimePoint now, Output &output)
{
    while (dispatchOne(state, service, now, output)) { }
    if (!service.queue.entries.empty())
        state.nextQueueRecheck = std::min(state.nextQueueRecheck, now + recheckInterval);
}

void failWaiting(State &state, ServiceState &service, ErrorKind kind, TimePoint now, Output &output)
{
    while (!service.queue.entries.empty())
        failRequest(state, service.queue.entries.begin()->first.id, kind, now, output);
}

void submitRequest(State &state, const Request &request, TimePoint now, Output &output)
{
    const auto refuse = [&](ErrorKind kind) { output.failures.push_back({request.id, kind}); };
    const auto found = state.services.find(request.service);
    if (found == state.services.end())
        return refuse(ErrorKind::UnknownService);
    if (state.requests.contains(request.id))
        return; // Duplicate submission; only the first one produces a result.
    if (request.deadline <= now)
        return refuse(ErrorKind::DeadlineExpired);
    ServiceState &service = *found->second;
    if (!hasUsableEndpoint(service))
        return refuse(ErrorKind::NoBackendServer);
    deposit(service.retryBudget, service.policy.retryBudget);
    if (request.requestClass == RequestClass::Lookup)
        deposit(service.hedgeBudget, service.policy.hedgeBudget);
    RequestState newRequest;
    newRequest.request = request;
    newRequest.service = found->second;
    RequestState &stored = state.requests.emplace(request.id, std::move(newRequest)).first->second;
    if (startWithoutQueueing(state, service, stored, now, output))
        return;
    if (const auto refusal = admit(state, service, request, now, output)) {
        state.requests.erase(request.id);
        return refuse(*refusal);
    }
    enqueue(state, state.requests.at(request.id));
    dispatch(state, service, now, output);
}

bool cancelRequest(State &state, RequestId request, TimePoint now, Output &output)
{
    const auto found = state.requests.find(request);
    if (found == state.requests.end())
        return false;
    const bool isUnstarted = found->second.attempts == 0;
    const ServicePtr service = found->second.service;
    endRequest(state, request, now, output);
    dispatch(state, *service, now, output);
    return isUnstarted;
}

std::size_t activeRequests(const State &state)
{
    return state.requests.size();
}

} // namespace apricotrock::routing
