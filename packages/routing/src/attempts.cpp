#include "attempts.h"

#include "admission.h"
#include "hedge.h"
#include "learning.h"
#include "requests.h"
#include "retry.h"
#include "selection.h"

#include <algorithm>

namespace apricotrock::routing {

namespace {

/// An attempt of a lookup that may be retried gets the remaining time divided by this.
constexpr int remainingTimeDivisor = 2;
/// An attempt gets at least this multiple of the typical latency, if the deadline allows.
constexpr int minLatencyMultiple = 4;
constexpr double typicalQuantile = 0.95;

/// Reserves time for a second attempt of a lookup, because a pooled connection may be dead.
TimePoint attemptDeadline(const RequestState &request, TimePoint now)
{
    const TimePoint deadline = request.request.deadline;
    const bool isLast = request.attempts >= request.service->policy.maxAttempts
        || !hasToken(request.service->retryBudget);
    if (request.request.requestClass == RequestClass::Action || isLast)
        return deadline;
    const Duration typical = request.service->latencies.quantile(typicalQuantile);
    return std::min(
        deadline,
        now + std::max((deadline - now) / remainingTimeDivisor, typical * minLatencyMultiple));
}

void releaseSlot(ServiceState &service, const AttemptState &attempt)
{
    --service.running;
    --attempt.endpoint->outstanding;
    attempt.endpoint->runsIsolated = false;
}

/// Returns true if the answer is returned to the caller without considering a retry.
bool isFinalAnswer(const RequestState &request, const AttemptResult &result)
{
    return result.status == AttemptStatus::Answered
        && (request.request.requestClass == RequestClass::Action
            || !isRetryableStatus(result.httpStatus));
}

void handleAttemptEnd(State &state, RequestId id, const AttemptState &attempt,
                      const AttemptResult &result, TimePoint now, Output &output)
{
    RequestState &request = state.requests.at(id);
    if (isFinalAnswer(request, result)) {
        if (attempt.isHedge)
            count(state, Counter::HedgeWon);
        return completeRequest(state, id, result.attempt, now, output);
    }
    if (!request.running.empty())
        return; // The outcome depends on the other attempt of the hedged lookup.
    const RetryDecision decision = decideRetry(state, request, result, now);
    if (decision.isAllowed) {
        // A lost connection may mean that the request crashed the server. The retry runs alone,
        // which shows whether it did and protects other requests.
        request.request.isIsolated |= result.status == AttemptStatus::ConnectionLost;
        return enqueue(state, request);
    }
    if (result.status == AttemptStatus::Answered)
        return completeRequest(state, id, result.attempt, now, output);
    failRequest(state, id, decision.failure, now, output);
}

} // namespace

void startAttempt(State &state, RequestState &request, const EndpointPtr &endpoint, TimePoint now,
                  Output &output, bool isHedge)
{
    const AttemptId id = state.nextAttempt++;
    ServiceState &service = *request.service;
    ++endpoint->outstanding;
    ++service.running;
    ++request.attempts;
    endpoint->runsIsolated = request.request.isIsolated;
    state.attempts[id] = {request.request.id, endpoint, now,
                          estimatedLoad(*endpoint, service.policy, now), isHedge};
    request.running.push_back(id);
    request.tried.push_back(endpoint);
    AttemptStart start;
    start.attempt = id;
    start.request = request.request.id;
    start.backendServer = endpoint->server.name;
    start.address = endpoint->server.address;
    start.deadline = attemptDeadline(request, now);
    start.useNewConnection = request.request.requestClass == RequestClass::Action;
    start.isHedge = isHedge;
    output.starts.push_back(std::move(start));
    scheduleHedge(state, request, now);
}

void cancelAttempts(State &state, RequestState &request, TimePoint now, Output &output)
{
    unscheduleHedge(state, request);
    for (const AttemptId id : request.running) {
        const AttemptState attempt = state.attempts.at(id);
        state.attempts.erase(id);
        releaseSlot(*request.service, attempt);
        recordCancelledAttempt(state, *request.service, attempt, now);
        output.cancels.push_back(id);
    }
    request.running.clear();
}

void finishAttempt(State &state, const AttemptResult &result, TimePoint now, Output &output)
{
    const auto found = state.attempts.find(result.attempt);
    if (found == state.attempts.end())
        return; // Already cancelled, or a duplicate result.
    const AttemptState attempt = found->second;
    state.attempts.erase(found);
    RequestState &request = state.requests.at(attempt.request);
    const ServicePtr service = request.service;
    releaseSlot(*service, attempt);
    std::erase(request.running, result.attempt);
    unscheduleHedge(state, request);
    recordResult(state, *service, attempt, result, now, output);
    updateDrainInterval(*service, now);
    handleAttemptEnd(state, attempt.request, attempt, result, now, output);
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
