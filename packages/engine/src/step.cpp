#include "state.h"

#include <algorithm>

namespace apricotrock::engine {

namespace {

ledger::Parameters ledgerParameters(const Parameters &parameters)
{
    ledger::Parameters result;
    result.incarnation = parameters.incarnation;
    result.lane = parameters.lane;
    result.lanes = std::max(1U, parameters.lanes);
    result.keyMaxAge = parameters.keyMaxAge;
    result.clockTolerance = parameters.clockTolerance;
    result.maxEntries = parameters.ledgerEntries;
    result.retainedAnswerBytes = parameters.retainedAnswerBytes;
    return result;
}

void sendPeriodicHints(Context &context)
{
    if (context.now < context.state.nextHints)
        return;
    context.state.nextHints = context.now + hintInterval;
    sendHints(context, {});
}

void handle(Context &context, const RequestArrived &event)
{
    handleArrival(context, event);
}

void handle(Context &context, const CallerGone &event)
{
    endWait(context, event.id, ErrorKind::CallerGone);
}

void handle(Context &context, const AttemptFinished &event)
{
    finishAttempt(context, event);
}

void handle(Context &context, const ProbeFinished &event)
{
    routing::Output output;
    routing::finishProbe(*context.state.routing, event.result, context.now, output);
    applyOutput(context, output);
}

void handle(Context &context, const TimeAdvanced &event)
{
    State &state = context.state;
    state.wallTime = std::max(state.wallTime, event.wallTime);
    routing::Output output;
    routing::advanceTime(*state.routing, context.now, output);
    applyOutput(context, output);
    expireWaiters(context);
    ledger::expireCrashes(state.quarantine, state.wallTime);
    sendPeriodicHints(context);
}

void handle(Context &context, const ConfigurationAccepted &event)
{
    context.state.configuration = event.configuration;
    routing::Output output;
    routing::applyConfiguration(*context.state.routing, event.configuration->configuration,
                                context.now, output);
    applyOutput(context, output);
}

void handle(Context &context, const LogRecordRead &event)
{
    readRecord(context, event);
}

void handle(Context &context, const LogStateChanged &event)
{
    setLogState(context, event.isAvailable);
}

void handle(Context &context, const LoadHintReceived &event)
{
    routing::applyLoadHint(*context.state.routing, event.hint, context.now);
}

void handle(Context &context, const SuspicionHintReceived &event)
{
    receiveSuspicion(context, event);
}

void handle(Context &context, const SealHintReceived &event)
{
    if (event.incarnation != context.state.parameters.incarnation)
        ledger::addSealPart(context.state.seals, event.incarnation, event.seal);
}

void handle(Context &context, const ForwardAnswered &event)
{
    handleForwardAnswer(context, event);
}

void handle(Context &context, const PeersChanged &event)
{
    context.state.reachable = {event.reachable.begin(), event.reachable.end()};
}

void handle(Context &context, const BackendServerLeaving &event)
{
    routing::Output output;
    routing::markLeaving(*context.state.routing, event.backendServer, context.now, output);
    applyOutput(context, output);
}

void handle(Context &context, const QuarantineClearRequested &event)
{
    clearQuarantineByOperator(context, event.fingerprint);
}

void handle(Context &context, const PauseDetected &)
{
    routing::resetLearnedState(*context.state.routing, context.now);
    expireWaiters(context);
}

void handle(Context &context, const SealRequested &)
{
    seal(context);
}

} // namespace

void sendHints(Context &context, std::vector<wire::SealT> seals)
{
    State &state = context.state;
    auto &suspicions = state.recentSuspicions;
    while (!suspicions.empty() && suspicions.front().first + suspicionRepeat < context.now)
        suspicions.pop_front();
    SendHints hints;
    hints.loads = routing::collectHints(*state.routing, context.now, maxHintsPerMessage);
    for (const auto &[time, suspicion] : suspicions)
        hints.suspicions.push_back(suspicion);
    hints.seals = std::move(seals);
    if (!hints.loads.empty() || !hints.suspicions.empty() || !hints.seals.empty())
        context.effects.emplace_back(std::move(hints));
}

void StateDeleter::operator()(State *state) const
{
    delete state;
}

StatePtr makeState(const Parameters &parameters, TimePoint now)
{
    StatePtr state(new State);
    state->parameters = parameters;
    state->routing = routing::makeState(parameters.instance, now);
    state->ledger.parameters = ledgerParameters(parameters);
    state->seals.maxEntries = parameters.ledgerEntries;
    state->nextHints = now + hintInterval;
    return state;
}

void step(State &state, const Event &event, TimePoint now, std::vector<Effect> &effects)
{
    Context context{state, now, effects};
    std::visit([&context](const auto &concrete) { handle(context, concrete); }, event);
}

TimePoint nextDeadline(const State &state)
{
    TimePoint next = std::min(routing::nextDeadline(*state.routing), state.nextHints);
    if (!state.deadlines.empty())
        next = std::min(next, state.deadlines.begin()->first);
    return next;
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
    result.quarantines = quarantineStatus(state);
    result.counters = state.counters;
    for (int i = 0; i < static_cast<int>(routing::Counter::Count); ++i) {
        const auto counter = static_cast<routing::Counter>(i);
        result.counters[std::string(routing::counterName(counter))] =
            routing::counter(*state.routing, counter);
    }
    result.ledgerEntries = state.ledger.entries.size();
    result.activeRequests = state.waiters.size();
    result.isSealed = state.ledger.isSealed && state.sealParts > 0
        && state.sealPartsRead.size() == state.sealParts;
    return result;
}

} // namespace apricotrock::engine
