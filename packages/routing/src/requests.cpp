#include "requests.h"

#include "attempts.h"
#include "selection.h"

namespace apricotrock::routing {

void enqueue(State &state, RequestState &request)
{
    request.service->queue.entries.insert(queueEntry(request.request));
    state.deadlines.emplace(request.request.deadline, request.request.id);
    request.isWaiting = true;
}

void dequeue(State &state, RequestState &request)
{
    if (!request.isWaiting)
        return;
    request.service->queue.entries.erase(queueEntry(request.request));
    state.deadlines.erase({request.request.deadline, request.request.id});
    request.isWaiting = false;
}

static void endRequest(State &state, RequestId id, Output &output)
{
    const auto found = state.requests.find(id);
    dequeue(state, found->second);
    cancelAttempts(state, found->second, output);
    state.requests.erase(found);
}

void failRequest(State &state, RequestId request, ErrorKind kind, Output &output)
{
    endRequest(state, request, output);
    output.failures.push_back({request, kind});
}

void completeRequest(State &state, RequestId request, AttemptId attempt, Output &output)
{
    endRequest(state, request, output);
    output.completions.emplace_back(request, attempt);
}

void dispatch(State &state, ServiceState &service, TimePoint now, Output &output)
{
    while (!service.queue.entries.empty()) {
        RequestState &request = state.requests.at(service.queue.entries.begin()->id);
        const EndpointPtr endpoint = chooseEndpoint(state, request, now);
        if (!endpoint)
            return;
        dequeue(state, request);
        startAttempt(state, request, endpoint, now, output);
    }
}

void submitRequest(State &state, const Request &request, TimePoint now, Output &output)
{
    const auto service = state.services.find(request.service);
    if (service == state.services.end()) {
        output.failures.push_back({request.id, ErrorKind::UnknownService});
        return;
    }
    if (request.deadline <= now) {
        output.failures.push_back({request.id, ErrorKind::DeadlineExpired});
        return;
    }
    RequestState fresh{request, service->second, {}, 0, false};
    ServiceState &target = *service->second;
    if (target.endpoints.empty()) {
        output.failures.push_back({request.id, ErrorKind::NoBackendServer});
        return;
    }
    RequestState &stored = state.requests.emplace(request.id, std::move(fresh)).first->second;
    enqueue(state, stored);
    dispatch(state, target, now, output);
    if (target.queue.entries.size() > target.policy.queueLimit)
        failRequest(state, target.queue.entries.rbegin()->id, ErrorKind::QueueFull, output);
}

bool cancelRequest(State &state, RequestId request, TimePoint now, Output &output)
{
    const auto found = state.requests.find(request);
    if (found == state.requests.end())
        return false;
    const bool isUnstarted = found->second.attempts == 0;
    const ServicePtr service = found->second.service;
    endRequest(state, request, output);
    dispatch(state, *service, now, output);
    return isUnstarted;
}

std::size_t activeRequests(const State &state)
{
    return state.requests.size();
}

} // namespace apricotrock::routing
