#include "state.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace apricotrock::engine {

namespace {

std::shared_ptr<const HttpResponse> statusResponse(const Waiter &waiter,
                                                   const ledger::KeyAnswer &answer)
{
    nlohmann::json body = {{"key", waiter.key ? waiter.key->toString() : std::string()},
                           {"outcome", outcomeName(answer.outcome)}};
    if (answer.kind)
        body["error"] = errorInfo(*answer.kind).name;
    if (answer.status != 0)
        body["status"] = answer.status;
    HttpResponse response;
    response.status = 200;
    response.headers = {
        {"Content-Type", "application/json"},
        {std::string(headername::requestOutcome), std::string(outcomeName(answer.outcome))},
    };
    response.body = body.dump() + '\n';
    return std::make_shared<const HttpResponse>(std::move(response));
}

} // namespace

void incrementCounter(State &state, std::string_view counter)
{
    ++state.counters[std::string(counter)];
}

Waiter removeWaiter(Context &context, RequestId id)
{
    State &state = context.state;
    const auto found = state.waiters.find(id);
    Waiter waiter = std::move(found->second);
    state.waiters.erase(found);
    state.deadlines.erase({waiter.deadline, id});
    if (!waiter.key)
        return waiter;
    const auto key = ledger::scopeKey(*waiter.key, waiter.service);
    const auto inFlight = state.keys.find(key);
    if (inFlight == state.keys.end() || std::erase(inFlight->second.waiters, id) == 0)
        return waiter;
    if (ledger::Entry *entry = ledger::findEntry(state.ledger, key))
        entry->waiters = inFlight->second.waiters.size();
    if (inFlight->second.waiters.empty() && !inFlight->second.execution)
        state.keys.erase(inFlight);
    return waiter;
}

void reply(Context &context, const Waiter &waiter, const ledger::KeyAnswer &answer)
{
    Reply effect;
    effect.id = waiter.id;
    effect.outcome = answer.outcome;
    effect.forwardedBy = waiter.forwardedBy;
    effect.requestClass = waiter.requestClass;
    if (waiter.isStatusQuery) {
        effect.response = statusResponse(waiter, answer);
    } else if (answer.response) {
        effect.response = answer.response;
        effect.error = answer.kind;
    } else {
        effect.error = answer.kind.value_or(ErrorKind::RequestInProgress);
        effect.response =
            std::make_shared<const HttpResponse>(errorResponse(*effect.error, answer.outcome));
    }
    if (effect.error)
        incrementCounter(context.state, "refused_" + std::string(errorInfo(*effect.error).name));
    context.effects.emplace_back(std::move(effect));
}

void reply(Context &context, RequestId id, const ledger::KeyAnswer &answer)
{
    if (context.state.waiters.contains(id))
        reply(context, removeWaiter(context, id), answer);
}

void reply(Context &context, RequestId id, ErrorKind kind, Outcome outcome)
{
    ledger::KeyAnswer answer;
    answer.kind = kind;
    answer.outcome = outcome;
    reply(context, id, answer);
}

void replyAll(Context &context, const ledger::ScopedKey &key, const ledger::KeyAnswer &answer)
{
    const auto found = context.state.keys.find(key);
    if (found == context.state.keys.end())
        return;
    const std::vector<RequestId> waiters = found->second.waiters;
    for (const RequestId id : waiters)
        reply(context, id, answer);
}

} // namespace apricotrock::engine
