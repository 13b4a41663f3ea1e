#include "state.h"

#include <algorithm>

namespace apricotrock::engine {

namespace {

/// Returns true for headers that the system sets itself or that only the system evaluates.
bool isSystemHeader(const std::string &name)
{
    return equalsIgnoringCase(name, headername::requestOutcome)
        || equalsIgnoringCase(name, headername::backendServer)
        || equalsIgnoringCase(name, headername::errorKind)
        || equalsIgnoringCase(name, headername::servedBy)
        || equalsIgnoringCase(name, headername::loadReport)
        || equalsIgnoringCase(name, headername::serverState);
}

std::shared_ptr<const HttpResponse> answerForCaller(const HttpResponse &response,
                                                    const std::string &backendServer)
{
    HttpResponse answer = response;
    std::erase_if(answer.headers,
                  [](const HttpHeader &header) { return isSystemHeader(header.name); });
    answer.headers.push_back(
        {std::string(headername::requestOutcome), std::string(outcomeName(Outcome::Done))});
    answer.headers.push_back({std::string(headername::backendServer), backendServer});
    return std::make_shared<const HttpResponse>(std::move(answer));
}

bool provesNotRun(routing::AttemptStatus status)
{
    return status == routing::AttemptStatus::ConnectFailed
        || status == routing::AttemptStatus::Shed;
}

ledger::KeyAnswer doneAnswer(std::shared_ptr<const HttpResponse> response)
{
    ledger::KeyAnswer answer;
    answer.outcome = Outcome::Done;
    answer.status = response->status;
    answer.response = std::move(response);
    return answer;
}

/// Removes an execution that routing has ended.
Execution removeExecution(State &state, RequestId id)
{
    const auto found = state.executions.find(id);
    Execution execution = std::move(found->second);
    state.executions.erase(found);
    if (execution.key) {
        KeyInFlight &inFlight = state.keys.at(*execution.key);
        inFlight.execution.reset();
        if (inFlight.waiters.empty())
            state.keys.erase(*execution.key);
    }
    return execution;
}

void completeExecution(Context &context, RequestId id, AttemptId attempt)
{
    State &state = context.state;
    const auto found = state.executions.find(id);
    if (found == state.executions.end())
        return;
    const auto answer = found->second.answers.find(attempt);
    if (answer == found->second.answers.end())
        return failExecution(context, id, ErrorKind::BackendAnswerInvalid);
    const auto response = answer->second;
    const Execution execution = removeExecution(state, id);
    if (execution.isIsolated)
        ledger::endIsolation(state.quarantine, execution.fingerprint);
    if (!execution.key)
        return reply(context, id, doneAnswer(response));
    ledger::closeDone(state.ledger, *execution.key, response);
    replyAll(context, *execution.key, doneAnswer(response));
}

void startAttempt(Context &context, const routing::AttemptStart &start)
{
    State &state = context.state;
    // When sealing ends a request, routing may start the next one in its slot; it must not be sent.
    if (state.ledger.isSealed)
        return;
    Execution &execution = state.executions.at(start.request);
    ++execution.startedAttempts;
    state.attempts[start.attempt] = {start.request, start.backendServer, execution.key,
                                     context.now};
    context.effects.emplace_back(StartAttempt{start, execution.request});
}

} // namespace

const Policy *policyOf(const State &state, std::string_view service)
{
    if (!state.configuration)
        return nullptr;
    const Configuration &configuration = state.configuration->configuration;
    const auto found = configuration.services.find(std::string(service));
    if (found == configuration.services.end())
        return nullptr;
    const auto policy = configuration.policies.find(found->second.policy);
    return policy == configuration.policies.end() ? nullptr : &policy->second;
}

void submit(Context &context, const Waiter &waiter, std::optional<ledger::ScopedKey> key,
            TimePoint deadline)
{
    State &state = context.state;
    Execution execution;
    execution.request = waiter.request;
    execution.requestClass = waiter.requestClass;
    execution.service = waiter.service;
    execution.fingerprint = waiter.fingerprint;
    execution.key = key;
    execution.isIsolated = ledger::isSuspect(state.quarantine, waiter.fingerprint);
    const bool isIsolated = execution.isIsolated;
    state.executions.emplace(waiter.id, std::move(execution));
    routing::Request request;
    request.id = waiter.id;
    request.service = waiter.service;
    request.requestClass = waiter.requestClass;
    request.caller = waiter.caller;
    request.deadline = deadline;
    request.isIsolated = isIsolated;
    routing::Output output;
    routing::submitRequest(*state.routing, request, context.now, output);
    applyOutput(context, output);
}

void dispatchKey(Context &context, const ledger::ScopedKey &key)
{
    State &state = context.state;
    KeyInFlight &inFlight = state.keys.at(key);
    const Waiter waiter = state.waiters.at(inFlight.waiters.front());
    if (!policyOf(state, waiter.service))
        return refuseKey(context, key, ErrorKind::UnknownService);
    if (isQuarantined(state, waiter.service, waiter.fingerprint))
        return refuseKey(context, key, ErrorKind::RequestQuarantined);
    TimePoint deadline = waiter.deadline;
    for (const RequestId id : inFlight.waiters)
        deadline = std::max(deadline, state.waiters.at(id).deadline);
    inFlight.execution = waiter.id;
    submit(context, waiter, key, deadline);
}

void refuseKey(Context &context, const ledger::ScopedKey &key, ErrorKind kind)
{
    State &state = context.state;
    if (ledger::closeNotRun(state.ledger, key, kind))
        return replyAll(context, key, ledger::answerOf(*ledger::findEntry(state.ledger, key)));
    appendRelease(context, key);
    if (state.isLogAvailable)
        return;
    ledger::KeyAnswer answer;
    answer.kind = kind;
    replyAll(context, key, answer);
}

void failExecution(Context &context, RequestId id, ErrorKind kind)
{
    State &state = context.state;
    if (!state.executions.contains(id))
        return;
    const Execution execution = removeExecution(state, id);
    const bool mayHaveRun = execution.mayHaveRun();
    if (mayHaveRun && kind == ErrorKind::DeadlineExpired)
        kind = ErrorKind::BackendTimeout;
    const bool isNotRun = !mayHaveRun && errorInfo(kind).outcome == Outcome::NotRun;
    const Outcome outcome = isNotRun ? Outcome::NotRun : Outcome::Unknown;
    if (!execution.key)
        return reply(context, id, kind, outcome);
    if (isNotRun)
        return refuseKey(context, *execution.key, kind);
    ledger::closeUnknown(state.ledger, *execution.key, kind);
    ledger::KeyAnswer answer;
    answer.kind = kind;
    replyAll(context, *execution.key, answer);
}

void cancelExecution(Context &context, RequestId id)
{
    routing::Output output;
    routing::cancelRequest(*context.state.routing, id, context.now, output);
    removeExecution(context.state, id);
    applyOutput(context, output);
}

void refuseExecutions(Context &context, ErrorKind kind,
                      const std::function<bool(const Execution &)> &isRefused)
{
    State &state = context.state;
    std::vector<RequestId> refused;
    for (const auto &[id, execution] : state.executions) {
        if (isRefused(execution))
            refused.push_back(id);
    }
    for (const RequestId id : refused) {
        if (!state.executions.contains(id))
            continue;
        routing::Output output;
        routing::cancelRequest(*state.routing, id, context.now, output);
        failExecution(context, id, kind);
        applyOutput(context, output);
    }
}

void applyOutput(Context &context, const routing::Output &output)
{
    for (const auto &start : output.starts)
        startAttempt(context, start);
    for (const AttemptId attempt : output.cancels) {
        if (context.state.attempts.contains(attempt))
            context.effects.emplace_back(CancelAttempt{attempt});
    }
    for (const auto &probe : output.probes)
        context.effects.emplace_back(SendProbe{probe});
    for (const auto &[request, attempt] : output.completions)
        completeExecution(context, request, attempt);
    for (const auto &failure : output.failures)
        failExecution(context, failure.request, failure.kind);
}

void finishAttempt(Context &context, const AttemptFinished &event)
{
    State &state = context.state;
    const auto found = state.attempts.find(event.result.attempt);
    if (found == state.attempts.end())
        return;
    if (event.result.status == routing::AttemptStatus::ConnectionLost)
        recordCrash(context, event.result.attempt);
    const Attempt attempt = found->second;
    state.attempts.erase(found);
    std::shared_ptr<const HttpResponse> answer;
    if (event.response)
        answer = answerForCaller(*event.response, attempt.backendServer);
    const auto execution = state.executions.find(attempt.execution);
    if (execution != state.executions.end()) {
        // After a lost connection, routing runs the retry in isolation.
        if (event.result.status == routing::AttemptStatus::ConnectionLost)
            execution->second.isIsolated = true;
        if (provesNotRun(event.result.status))
            ++execution->second.attemptsProvenNotRun;
        if (answer)
            execution->second.answers[event.result.attempt] = answer;
    } else if (attempt.key && answer && event.result.status == routing::AttemptStatus::Answered) {
        // The answer came after the request was closed as unknown; later requests with the key can
        // still get it.
        ledger::closeDone(state.ledger, *attempt.key, answer);
    }
    routing::Output output;
    routing::finishAttempt(*state.routing, event.result, context.now, output);
    applyOutput(context, output);
}

} // namespace apricotrock::engine
