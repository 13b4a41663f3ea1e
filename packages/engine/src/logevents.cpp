#include "state.h"

#include <algorithm>

namespace apricotrock::engine {

namespace {

template <typename EntryType>
void append(Context &context, EntryType entry, TimePoint deadline)
{
    AppendEntries effect;
    effect.entries.push_back(wire::holdEntry(std::move(entry)));
    effect.deadline = deadline;
    context.effects.emplace_back(std::move(effect));
}

void applyClaim(Context &context, const wire::ClaimT &claim, IncarnationId from)
{
    State &state = context.state;
    const auto verdict = ledger::processClaim(state.ledger, claim, from, state.wallTime);
    if (verdict == ledger::ClaimVerdict::Ignored)
        return;
    const auto key = ledger::keyOf(*claim.key, claim.service_hash);
    if (verdict == ledger::ClaimVerdict::Won)
        return dispatchKey(context, key);
    if (verdict == ledger::ClaimVerdict::WonMustRelease)
        return appendRelease(context, key);
    if (verdict == ledger::ClaimVerdict::Expired)
        return replyAll(context, key, ledger::answerOf(*ledger::findEntry(state.ledger, key)));
    const auto inFlight = state.keys.find(key);
    if (inFlight == state.keys.end())
        return;
    const std::vector<RequestId> waiters = inFlight->second.waiters;
    for (const RequestId id : waiters)
        forwardToOwner(context, removeWaiter(context, id), from);
}

void applyRelease(Context &context, const wire::ReleaseT &release, IncarnationId from)
{
    State &state = context.state;
    if (!ledger::processRelease(state.ledger, release, from))
        return;
    const auto key = ledger::keyOf(*release.key, release.service_hash);
    replyAll(context, key, ledger::answerOf(*ledger::findEntry(state.ledger, key)));
}

void applySeal(State &state, const wire::SealT &part, IncarnationId from)
{
    if (from != state.parameters.incarnation)
        return ledger::addSealPart(state.seals, from, part);
    if (part.lane == state.parameters.lane)
        state.sealPartsRead.insert(part.part);
}

void applyEntry(Context &context, const wire::EntryUnion &entry, IncarnationId from)
{
    State &state = context.state;
    if (const auto *claim = entry.AsClaim()) {
        applyClaim(context, *claim, from);
    } else if (const auto *release = entry.AsRelease()) {
        applyRelease(context, *release, from);
    } else if (const auto *part = entry.AsSeal()) {
        applySeal(state, *part, from);
    } else if (const auto *cleared = entry.AsQuarantineCleared()) {
        ledger::clearQuarantine(state.quarantine, cleared->fingerprint);
    } else if (const auto *mark = entry.AsLeavingMark()) {
        routing::Output output;
        routing::markLeaving(*state.routing, mark->backend_server, context.now, output);
        applyOutput(context, output);
    }
}

} // namespace

void appendClaim(Context &context, const Waiter &waiter)
{
    wire::ClaimT claim;
    claim.key = std::make_unique<wire::KeyId>(wire::fromKey(*waiter.key));
    claim.service_hash = hash64(waiter.service);
    claim.fingerprint = waiter.fingerprint;
    append(context, std::move(claim), waiter.deadline);
}

void appendRelease(Context &context, const ledger::ScopedKey &key)
{
    wire::ReleaseT release;
    release.key = std::make_unique<wire::KeyId>(wire::fromKey({key.owner, key.uuid}));
    release.service_hash = key.service;
    // A release is only needed until the key expires.
    append(context, std::move(release), context.now + context.state.parameters.keyMaxAge);
}

void readRecord(Context &context, const LogRecordRead &event)
{
    State &state = context.state;
    const wire::LogRecordT &record = *event.record;
    const IncarnationId from{record.incarnation};
    state.wallTime = std::max(state.wallTime, event.wallTime);
    if (!ledger::markSeen(state.seenRecords, {from, record.sequence}))
        return;
    // A claim must not win for a request whose deadline has passed.
    expireWaiters(context);
    std::vector<const wire::CrashSuspicionT *> suspicions;
    for (const auto &holder : record.entries) {
        const auto *suspicion = holder->entry.AsCrashSuspicion();
        if (suspicion && ledger::belongsToLane(state.ledger, hash64(suspicion->service)))
            suspicions.push_back(suspicion);
        else
            applyEntry(context, holder->entry, from);
    }
    if (suspicions.empty())
        return;
    ledger::addSuspicions(state.quarantine, suspicions, true);
    ledger::expireCrashes(state.quarantine, state.wallTime);
    enforceQuarantine(context);
}

void setLogState(Context &context, bool isAvailable)
{
    State &state = context.state;
    state.isLogAvailable = isAvailable;
    if (isAvailable)
        return;
    std::vector<ledger::ScopedKey> keys;
    for (const auto &[key, inFlight] : state.keys) {
        const ledger::Entry *entry = ledger::findEntry(state.ledger, key);
        if (entry && entry->state == ledger::EntryState::Releasing)
            keys.push_back(key);
    }
    for (const auto &key : keys) {
        ledger::KeyAnswer answer;
        answer.kind = ledger::findEntry(state.ledger, key)->kind;
        replyAll(context, key, answer);
    }
}

namespace {

void endAllRequests(Context &context)
{
    State &state = context.state;
    // Requests that have not run are refused first: cancelling an attempt would free its slot and
    // start them.
    refuseExecutions(context, ErrorKind::Stopping,
                     [](const Execution &execution) { return !execution.mayHaveRun(); });
    while (!state.waiters.empty())
        endWait(context, state.waiters.begin()->first, ErrorKind::Stopping);
    while (!state.executions.empty()) {
        const RequestId id = state.executions.begin()->first;
        const auto key = state.executions.begin()->second.key;
        if (key)
            ledger::closeUnknown(state.ledger, *key, ErrorKind::Stopping);
        cancelExecution(context, id);
    }
}

} // namespace

void seal(Context &context)
{
    State &state = context.state;
    if (state.ledger.isSealed)
        return;
    // From here on the ledger refuses every dispatch.
    state.ledger.isSealed = true;
    endAllRequests(context);
    std::vector<wire::SealT> parts = ledger::makeSeal(state.ledger);
    state.sealParts = parts.size();
    for (const wire::SealT &part : parts)
        append(context, part, context.now + state.parameters.keyMaxAge);
    sendHints(context, std::move(parts));
}

} // namespace apricotrock::engine
