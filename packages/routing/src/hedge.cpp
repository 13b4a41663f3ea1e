#include "hedge.h"

#include "attempts.h"
#include "selection.h"

namespace apricotrock::routing {

namespace {

void startHedge(State &state, RequestState &request, TimePoint now, Output &output)
{
    ServiceState &service = *request.service;
    if (!service.queue.entries.empty())
        return;
    const EndpointPtr endpoint = chooseEndpoint(state, request, now);
    if (!endpoint)
        return;
    const double load = estimatedLoad(*endpoint, service.policy, now);
    if (load >= static_cast<double>(endpoint->server.slots))
        return;
    if (!withdraw(service.hedgeBudget)) {
        count(state, Counter::HedgeDeniedByBudget);
        return;
    }
    count(state, Counter::HedgeStarted);
    startAttempt(state, request, endpoint, now, output, true);
}

} // namespace

void scheduleHedge(State &state, RequestState &request, TimePoint now)
{
    const ServiceState &service = *request.service;
    const Policy &policy = service.policy;
    const bool isHedgeable = request.request.requestClass == RequestClass::Lookup
        && !request.request.isIsolated && request.running.size() == 1
        && request.attempts < policy.maxAttempts;
    if (!isHedgeable || policy.hedgeQuantile >= 1 || policy.hedgeBudget <= 0
        || policy.algorithm != PolicyAlgorithm::Adaptive || !service.latencies.isUsable())
        return;
    request.hedgeAt = now + service.latencies.quantile(policy.hedgeQuantile);
    state.hedges.emplace(*request.hedgeAt, request.request.id);
}

void unscheduleHedge(State &state, RequestState &request)
{
    if (request.hedgeAt)
        state.hedges.erase({*request.hedgeAt, request.request.id});
    request.hedgeAt.reset();
}

void startHedges(State &state, TimePoint now, Output &output)
{
    while (!state.hedges.empty() && state.hedges.begin()->first <= now) {
        RequestState &request = state.requests.at(state.hedges.begin()->second);
        unscheduleHedge(state, request);
        startHedge(state, request, now, output);
    }
}

} // namespace apricotrock::routing
