#include "apricotrock/engine.h"

#include <algorithm>

namespace apricotrock::engine {

/// One request that has not been answered.
struct ActiveRequest
{
    RequestArrived arrival;
    routing::RequestClass requestClass = routing::RequestClass::Lookup;
    std::shared_ptr<const HttpRequest> request;
};

struct State
{
    Parameters parameters;
    routing::StatePtr routing;
    std::shared_ptr<const AcceptedConfiguration> configuration;
    std::map<RequestId, ActiveRequest> active;
    std::map<AttemptId, std::pair<RequestId, std::string>> attempts;
    std::map<std::string, std::uint64_t> counters;
    bool isStopping = false;
    bool isSealed = false;
};

void StateDeleter::operator()(State *state) const
{
    delete state;
}

StatePtr makeState(const Parameters &parameters, TimePoint now)
{
    StatePtr state(new State);
    state->parameters = parameters;
    state->routing = routing::makeState(parameters.instance, now);
    return state;
}

namespace {

struct Context
{
    State &state;
    TimePoint now;
    std::vector<Effect> &effects;
};

void replyError(Context &context, const RequestArrived &arrival, ErrorKind kind)
{
    Outcome outcome = errorInfo(kind).outcome;
    if (arrival.key && outcome == Outcome::NotRun)
        outcome = Outcome::Unknown;
    Reply reply;
    reply.id = arrival.id;
    reply.response = std::make_shared<const HttpResponse>(errorResponse(kind, outcome));
    reply.error = kind;
    reply.outcome = outcome;
    reply.forwardFrom = arrival.forwardFrom;
    context.effects.emplace_back(std::move(reply));
}

void complete(Context &context, RequestId id, const HttpResponse &response,
              const std::string &backendServer)
{
    const auto found = context.state.active.find(id);
    if (found == context.state.active.end())
        return;
    HttpResponse copy = response;
    copy.headers.push_back({std::string(headername::requestOutcome), "done"});
    copy.headers.push_back({std::string(headername::backendServer), backendServer});
    Reply reply;
    reply.id = id;
    reply.response = std::make_shared<const HttpResponse>(std::move(copy));
    reply.outcome = Outcome::Done;
    reply.forwardFrom = found->second.arrival.forwardFrom;
    reply.requestClass = found->second.requestClass;
    context.state.active.erase(found);
    context.effects.emplace_back(std::move(reply));
}

void applyOutput(Context &context, const routing::Output &output, const AttemptFinished *finished)
{
    for (const auto &start : output.starts) {
        context.state.attempts[start.attempt] = {start.request, start.backendServer};
        const auto &active = context.state.active.at(start.request);
        context.effects.emplace_back(StartAttempt{start, active.request});
    }
    for (const AttemptId attempt : output.cancels)
        context.effects.emplace_back(CancelAttempt{attempt});
    for (const auto &probe : output.probes)
        context.effects.emplace_back(SendProbe{probe});
    for (const auto &[request, attempt] : output.completions) {
        if (finished && finished->result.attempt == attempt && finished->response)
            complete(context, request, *finished->response, context.state.attempts[attempt].second);
    }
    for (const auto &failure : output.failures) {
        const auto found = context.state.active.find(failure.request);
        if (found == context.state.active.end())
            continue;
        replyError(context, found->second.arrival, failure.kind);
        context.state.active.erase(found);
    }
}

void handle(Context &context, const RequestArrived &event)
{
    State &state = context.state;
    if (!state.configuration)
        return replyError(context, event, ErrorKind::NotReady);
    if (state.isStopping)
        return replyError(context, event, ErrorKind::Stopping);
    if (!state.configuration->configuration.services.contains(event.service))
        return replyError(context, event, ErrorKind::UnknownService);
    ActiveRequest active;
    active.arrival = event;
    active.request = std::make_shared<const HttpRequest>(event.request);
    if (!isLookupMethod(event.request.method))
        active.requestClass = routing::RequestClass::Action;
    const Duration timeLeft = std::min(event.timeLeft.value_or(state.parameters.defaultDeadline),
                                       state.parameters.maxDeadline);
    const routing::Request request{event.id,     event.service,          active.requestClass,
                                   event.caller, context.now + timeLeft, false};
    state.active.emplace(event.id, std::move(active));
    routing::Output output;
    routing::submitRequest(*state.routing, request, context.now, output);
    applyOutput(context, output, nullptr);
}

void handle(Context &context, const CallerGone &event)
{
    const auto found = context.state.active.find(event.id);
    if (found == context.state.active.end())
        return;
    routing::Output output;
    routing::cancelRequest(*context.state.routing, event.id, context.now, output);
    applyOutput(context, output, nullptr);
    replyError(context, found->second.arrival, ErrorKind::CallerGone);
    context.state.active.erase(found);
}

void handle(Context &context, const AttemptFinished &event)
{
    routing::Output output;
    routing::finishAttempt(*context.state.routing, event.result, context.now, output);
    applyOutput(context, output, &event);
    context.state.attempts.erase(event.result.attempt);
}

void handle(Context &context, const ProbeFinished &event)
{
    routing::Output output;
    routing::finishProbe(*context.state.routing, event.result, context.now, output);
    applyOutput(context, output, nullptr);
}

void handle(Context &context, const TimeAdvanced &)
{
    routing::Output output;
    routing::advanceTime(*context.state.routing, context.now, output);
    applyOutput(context, output, nullptr);
}

void handle(Context &context, const ConfigurationAccepted &event)
{
    context.state.configuration = event.configuration;
    routing::Output output;
    routing::applyConfiguration(*context.state.routing, event.configuration->configuration,
                                context.now, output);
    applyOutput(context, output, nullptr);
}

void handle(Context &context, const LoadHintReceived &event)
{
    routing::applyLoadHint(*context.state.routing, event.hint, context.now);
}

void handle(Context &context, const BackendServerLeaving &event)
{
    routing::Output output;
    routing::markLeaving(*context.state.routing, event.backendServer, context.now, output);
    applyOutput(context, output, nullptr);
}

void handle(Context &context, const PauseDetected &)
{
    routing::forgetLearned(*context.state.routing, context.now);
}

void handle(Context &context, const SealRequested &)
{
    context.state.isStopping = true;
    context.state.isSealed = true;
}

void handle(Context &, const auto &) { }

} // namespace

void step(State &state, const Event &event, TimePoint now, std::vector<Effect> &effects)
{
    Context context{state, now, effects};
    std::visit([&context](const auto &concrete) { handle(context, concrete); }, event);
}

TimePoint nextDeadline(const State &state)
{
    return routing::nextDeadline(*state.routing);
}

std::uint32_t laneOf(std::string_view service, std::uint32_t lanes)
{
    return static_cast<std::uint32_t>(hash64(service) % std::max(1U, lanes));
}

Status status(const State &state, TimePoint now)
{
    Status result;
    if (state.configuration)
        result.configurationVersion = state.configuration->version;
    result.backendServers = routing::backendStatus(*state.routing, now);
    result.counters = state.counters;
    result.activeRequests = state.active.size();
    result.isSealed = state.isSealed;
    return result;
}

} // namespace apricotrock::engine
