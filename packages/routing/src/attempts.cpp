#include "attempts.h"

#include "requests.h"

#include <algorithm>

namespace apricotrock::routing {

namespace {

ErrorKind failureKind(AttemptStatus status)
{
    switch (status) {
    case AttemptStatus::Shed:
        return ErrorKind::BackendShed;
    case AttemptStatus::ConnectFailed:
        return ErrorKind::ConnectFailed;
    case AttemptStatus::ConnectionLost:
        return ErrorKind::BackendConnectionLost;
    case AttemptStatus::AnswerInvalid:
        return ErrorKind::BackendAnswerInvalid;
    case AttemptStatus::Answered:
    case AttemptStatus::Timeout:
    case AttemptStatus::Cancelled:
        break;
    }
    return ErrorKind::BackendTimeout;
}

void releaseEndpoint(EndpointState &endpoint)
{
    --endpoint.outstanding;
    endpoint.runsIsolated = false;
}

} // namespace

void startAttempt(State &state, RequestState &request, const EndpointPtr &endpoint, TimePoint now,
                  Output &output)
{
    const AttemptId id = state.nextAttempt++;
    state.attempts[id] = {request.request.id, endpoint, now, false};
    request.running.push_back(id);
    ++request.attempts;
    ++endpoint->outstanding;
    endpoint->runsIsolated = request.request.isIsolated;
    AttemptStart start;
    start.attempt = id;
    start.request = request.request.id;
    start.backendServer = endpoint->server.name;
    start.address = endpoint->server.address;
    start.deadline = request.request.deadline;
    start.useNewConnection = request.request.requestClass == RequestClass::Action;
    output.starts.push_back(std::move(start));
}

void cancelAttempts(State &state, RequestState &request, Output &output)
{
    for (const AttemptId id : request.running) {
        releaseEndpoint(*state.attempts.at(id).endpoint);
        state.attempts.erase(id);
        output.cancels.push_back(id);
    }
    request.running.clear();
}

void finishAttempt(State &state, const AttemptResult &result, TimePoint now, Output &output)
{
    const auto found = state.attempts.find(result.attempt);
    if (found == state.attempts.end())
        return;
    const AttemptState attempt = found->second;
    state.attempts.erase(found);
    releaseEndpoint(*attempt.endpoint);
    RequestState &request = state.requests.at(attempt.request);
    std::erase(request.running, result.attempt);
    const ServicePtr service = request.service;
    if (result.status == AttemptStatus::Answered)
        completeRequest(state, attempt.request, result.attempt, output);
    else
        failRequest(state, attempt.request, failureKind(result.status), output);
    dispatch(state, *service, now, output);
}

std::vector<RequestId> requestsSharingServer(const State &state, AttemptId attempt)
{
    std::vector<RequestId> requests;
    const auto found = state.attempts.find(attempt);
    if (found == state.attempts.end())
        return requests;
    for (const auto &[id, other] : state.attempts) {
        if (other.endpoint == found->second.endpoint)
            requests.push_back(other.request);
    }
    std::sort(requests.begin(), requests.end());
    return requests;
}

} // namespace apricotrock::routing
