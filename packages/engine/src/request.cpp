#include "state.h"

#include <algorithm>

namespace apricotrock::engine {

namespace {

TimePoint deadlineOf(const Context &context, const RequestArrived &event, bool isLookup)
{
    const Parameters &parameters = context.state.parameters;
    Duration timeLeft = parameters.defaultDeadline;
    if (const Policy *policy = policyOf(context.state, event.service))
        timeLeft = isLookup ? policy->lookupDeadline : policy->actionDeadline;
    timeLeft = std::min(event.timeLeft.value_or(timeLeft), parameters.maxDeadline);
    return context.now + timeLeft;
}

Waiter makeWaiter(const Context &context, const RequestArrived &event)
{
    const bool isLookup = !event.isStatusQuery && isLookupMethod(event.request.method);
    Waiter waiter;
    waiter.id = event.id;
    waiter.service = event.service;
    waiter.caller = event.caller;
    waiter.request = std::make_shared<const HttpRequest>(event.request);
    waiter.forwardedBy = event.forwardedBy;
    waiter.requestClass = isLookup ? routing::RequestClass::Lookup : routing::RequestClass::Action;
    waiter.isStatusQuery = event.isStatusQuery;
    if (!isLookup)
        waiter.key = event.key;
    if (!event.isStatusQuery)
        waiter.fingerprint = ledger::fingerprintOf(event.service, event.request);
    waiter.deadline = deadlineOf(context, event, isLookup);
    return waiter;
}

void refuseRequest(Context &context, const Waiter &waiter, ErrorKind kind)
{
    ledger::KeyAnswer answer;
    answer.kind = kind;
    answer.outcome = errorInfo(kind).outcome;
    // Another request with the key may have run, and the owner of the key does not record this
    // refusal, so the outcome is unknown.
    if (waiter.key)
        answer.outcome = Outcome::Unknown;
    reply(context, waiter, answer);
}

/// Returns the reason to refuse a request before its key is looked up, if any.
std::optional<ErrorKind> checkService(const State &state, const Waiter &waiter)
{
    const bool isForeign =
        waiter.key && waiter.key->owner && waiter.key->owner != state.parameters.incarnation;
    if (waiter.isStatusQuery || isForeign)
        return std::nullopt;
    if (!state.configuration)
        return ErrorKind::NotReady;
    if (waiter.key)
        return !waiter.key->owner && !policyOf(state, waiter.service)
            ? std::optional(ErrorKind::UnknownService)
            : std::nullopt;
    if (state.ledger.isSealed)
        return ErrorKind::Stopping;
    const Policy *policy = policyOf(state, waiter.service);
    if (!policy)
        return ErrorKind::UnknownService;
    if (waiter.requestClass == routing::RequestClass::Action
        && policy->requireKey == PolicyRequireKey::Yes)
        return ErrorKind::KeyRequired;
    if (isQuarantined(state, waiter.service, waiter.fingerprint))
        return ErrorKind::RequestQuarantined;
    return std::nullopt;
}

void handleKeyedArrival(Context &context, Waiter waiter, WallTime wallTime)
{
    State &state = context.state;
    ledger::KeyedRequest copy;
    copy.key = *waiter.key;
    copy.service = waiter.service;
    copy.fingerprint = waiter.fingerprint;
    copy.wallTime = wallTime;
    copy.isForwarded = waiter.forwardedBy.has_value();
    copy.isStatusQuery = waiter.isStatusQuery;
    copy.isLogAvailable = state.isLogAvailable;
    const auto key = ledger::scopeKey(copy.key, copy.service);
    const ledger::Decision decision = ledger::receive(state.ledger, copy);
    switch (decision.verdict) {
    case ledger::Verdict::Answer:
        return reply(context, waiter, decision.answer);
    case ledger::Verdict::ForwardToOwner:
        return forwardToOwner(context, std::move(waiter), decision.owner);
    case ledger::Verdict::Wait:
        return addWaiter(context, std::move(waiter));
    case ledger::Verdict::Claim:
        appendClaim(context, waiter);
        return addWaiter(context, std::move(waiter));
    case ledger::Verdict::Dispatch:
        addWaiter(context, std::move(waiter));
        return dispatchKey(context, key);
    }
}

/// Abandons a key when its last waiter ends, unless the request may have run. Returns the outcome
/// to reply.
Outcome endKeyWait(Context &context, const ledger::ScopedKey &key, ErrorKind kind)
{
    State &state = context.state;
    const KeyInFlight &inFlight = state.keys.at(key);
    ledger::Entry *entry = ledger::findEntry(state.ledger, key);
    if (inFlight.waiters.size() > 1 || !entry)
        return Outcome::Unknown;
    if (entry->state == ledger::EntryState::Claiming) {
        ledger::abandonClaim(state.ledger, key);
        return Outcome::Unknown;
    }
    if (!inFlight.execution || state.executions.at(*inFlight.execution).mayHaveRun())
        return Outcome::Unknown;
    cancelExecution(context, *inFlight.execution);
    if (ledger::closeNotRun(state.ledger, key, kind))
        return Outcome::NotRun;
    appendRelease(context, key);
    return Outcome::Unknown;
}

/// Ends the wait of a request without a key, or of a lookup.
Outcome endKeylessWait(Context &context, RequestId id)
{
    const auto found = context.state.executions.find(id);
    if (found == context.state.executions.end())
        return Outcome::Unknown;
    const bool mayHaveRun = found->second.mayHaveRun();
    const bool isLookup = found->second.requestClass == routing::RequestClass::Lookup;
    // A dispatched action is not cancelled: cancellation would not show whether it ran.
    if (isLookup || !mayHaveRun)
        cancelExecution(context, id);
    return mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
}

/// Returns BackendTimeout for a deadline that expires while the request may be running, and
/// RequestInProgress for a duplicate whose deadline expires while others still wait for the key.
ErrorKind refineDeadlineError(ErrorKind kind, const State &state, RequestId id,
                              bool isWaitingForKey)
{
    if (kind != ErrorKind::DeadlineExpired)
        return kind;
    const auto found = state.executions.find(id);
    if (found != state.executions.end() && found->second.mayHaveRun())
        return ErrorKind::BackendTimeout;
    return isWaitingForKey ? ErrorKind::RequestInProgress : kind;
}

} // namespace

void addWaiter(Context &context, Waiter waiter)
{
    State &state = context.state;
    state.deadlines.emplace(waiter.deadline, waiter.id);
    if (waiter.key && !waiter.forwardedTo) {
        const auto key = ledger::scopeKey(*waiter.key, waiter.service);
        KeyInFlight &inFlight = state.keys[key];
        inFlight.waiters.push_back(waiter.id);
        if (ledger::Entry *entry = ledger::findEntry(state.ledger, key))
            entry->waiters = inFlight.waiters.size();
    }
    state.waiters.emplace(waiter.id, std::move(waiter));
}

void handleArrival(Context &context, const RequestArrived &event)
{
    context.state.wallTime = std::max(context.state.wallTime, event.wallTime);
    Waiter waiter = makeWaiter(context, event);
    if (const auto kind = checkService(context.state, waiter))
        return refuseRequest(context, waiter, *kind);
    if (waiter.key)
        return handleKeyedArrival(context, std::move(waiter), event.wallTime);
    const RequestId id = waiter.id;
    addWaiter(context, std::move(waiter));
    const Waiter copy = context.state.waiters.at(id);
    submit(context, copy, std::nullopt, copy.deadline);
}

void forwardToOwner(Context &context, Waiter waiter, IncarnationId owner)
{
    const auto key = ledger::scopeKey(*waiter.key, waiter.service);
    if (const auto answer = ledger::answerFromSeal(context.state.seals, owner, key))
        return reply(context, waiter, *answer);
    // The process exits soon after sealing, which would abort a pending forward.
    if (context.state.ledger.isSealed)
        return refuseRequest(context, waiter, ErrorKind::Stopping);
    // A forwarded request is not forwarded again: its sender has read the same log, and a second
    // hop could cause a loop.
    if (waiter.forwardedBy || !context.state.reachable.contains(owner))
        return refuseRequest(context, waiter, ErrorKind::OwnerUnreachable);
    ForwardRequest forward;
    forward.id = waiter.id;
    forward.owner = owner;
    forward.service = waiter.service;
    forward.key = *waiter.key;
    forward.request = waiter.request;
    forward.caller = waiter.caller;
    forward.deadline = waiter.deadline;
    forward.isStatusQuery = waiter.isStatusQuery;
    waiter.forwardedTo = owner;
    addWaiter(context, std::move(waiter));
    context.effects.emplace_back(std::move(forward));
}

void handleForwardAnswer(Context &context, const ForwardAnswered &event)
{
    State &state = context.state;
    const auto found = state.waiters.find(event.id);
    if (found == state.waiters.end() || !found->second.forwardedTo)
        return;
    Waiter waiter = removeWaiter(context, event.id);
    if (!event.response) {
        const auto key = ledger::scopeKey(*waiter.key, waiter.service);
        const auto sealed = ledger::answerFromSeal(state.seals, *waiter.forwardedTo, key);
        return sealed ? reply(context, waiter, *sealed)
                      : refuseRequest(context, waiter, ErrorKind::OwnerUnreachable);
    }
    const HttpHeaders &headers = event.response->headers;
    Reply effect;
    effect.id = waiter.id;
    effect.response = event.response;
    effect.requestClass = waiter.requestClass;
    const auto outcome = findHeader(headers, headername::requestOutcome);
    effect.outcome = parseOutcome(outcome.value_or("")).value_or(Outcome::Unknown);
    const auto kind = findHeader(headers, headername::errorKind);
    for (const ErrorInfo &info : errorTable()) {
        if (kind == info.name)
            effect.error = info.kind;
    }
    context.effects.emplace_back(std::move(effect));
}

void endWait(Context &context, RequestId id, ErrorKind kind)
{
    State &state = context.state;
    const auto found = state.waiters.find(id);
    if (found == state.waiters.end())
        return;
    const Waiter &waiter = found->second;
    if (waiter.forwardedTo) {
        const bool isExpired = kind == ErrorKind::DeadlineExpired;
        return reply(context, id, isExpired ? ErrorKind::OwnerUnreachable : kind, Outcome::Unknown);
    }
    if (!waiter.key) {
        const ErrorKind refined = refineDeadlineError(kind, state, id, false);
        return reply(context, id, refined, endKeylessWait(context, id));
    }
    const auto key = ledger::scopeKey(*waiter.key, waiter.service);
    const bool isLast = state.keys.at(key).waiters.size() == 1;
    const ErrorKind refined = refineDeadlineError(kind, state, id, !isLast);
    reply(context, id, refined, endKeyWait(context, key, kind));
}

void expireWaiters(Context &context)
{
    auto &deadlines = context.state.deadlines;
    while (!deadlines.empty() && deadlines.begin()->first <= context.now)
        endWait(context, deadlines.begin()->second, ErrorKind::DeadlineExpired);
}

} // namespace apricotrock::engine
