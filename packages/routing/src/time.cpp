#include "hedge.h"
#include "probes.h"
#include "requests.h"

#include <algorithm>

namespace apricotrock::routing {

namespace {

void expireWaiting(State &state, TimePoint now, Output &output)
{
    while (!state.deadlines.empty() && state.deadlines.begin()->first <= now)
        failRequest(state, state.deadlines.begin()->second, ErrorKind::DeadlineExpired, now,
                    output);
}

void recheckWaiting(State &state, TimePoint now, Output &output)
{
    if (now < state.nextQueueRecheck)
        return;
    state.nextQueueRecheck = TimePoint::max();
    for (const auto &[name, service] : state.services)
        dispatch(state, *service, now, output);
}

} // namespace

void advanceTime(State &state, TimePoint now, Output &output)
{
    expireWaiting(state, now, output);
    startHedges(state, now, output);
    scanEndpoints(state, now, output);
    recheckWaiting(state, now, output);
}

TimePoint nextDeadline(const State &state)
{
    TimePoint next = state.nextQueueRecheck;
    if (!state.endpoints.empty())
        next = std::min(next, state.nextScan);
    if (!state.deadlines.empty())
        next = std::min(next, state.deadlines.begin()->first);
    if (!state.hedges.empty())
        next = std::min(next, state.hedges.begin()->first);
    return next;
}

void resetLearnedState(State &state, TimePoint now)
{
    for (const auto &[name, endpoint] : state.endpoints) {
        endpoint->load = {};
        endpoint->serviceTime = {};
        endpoint->slowness = 1;
        endpoint->limit = {};
        endpoint->limit.value = static_cast<double>(endpoint->server.slots);
        endpoint->outlier = {};
        endpoint->lastHeard = now;
    }
    for (const auto &[name, service] : state.services) {
        service->latencies = {};
        service->averageServiceTime = {};
        service->shedShare = 0;
        service->drainInterval = {};
        service->lastDrain.reset();
    }
}

} // namespace apricotrock::routing
