#include "apricotrock/ledger.h"

namespace apricotrock::ledger {

namespace {

Decision answerWith(ErrorKind kind, Outcome outcome)
{
    Decision decision;
    decision.answer.kind = kind;
    decision.answer.outcome = outcome;
    return decision;
}

bool isInFlight(EntryState state)
{
    return state == EntryState::Claiming || state == EntryState::Running;
}

/// Refuses keys outside the accepted age range, for which the ledger has no reliable record.
std::optional<ErrorKind> checkAge(const Ledger &ledger, const KeyedRequest &copy)
{
    const WallTime created = copy.key.uuid.time();
    if (created < ledger.watermark || created + ledger.parameters.keyMaxAge < copy.wallTime)
        return ErrorKind::KeyExpired;
    // The claim of a key with a creation time in the future would expire from the log before the
    // key does.
    if (created > copy.wallTime + ledger.parameters.clockTolerance)
        return ErrorKind::KeyMalformed;
    return std::nullopt;
}

Decision evaluateKnownKey(const Entry &entry, const KeyedRequest &copy, bool isSealed)
{
    if (copy.isStatusQuery) {
        if (entry.state == EntryState::Foreign && entry.winner)
            return {Verdict::ForwardToOwner, {}, *entry.winner};
        return {Verdict::Answer, answerOf(entry), {}};
    }
    // A different request with the same key is never dispatched, but the key's own request may
    // have run.
    if (entry.fingerprint != copy.fingerprint && entry.fingerprint != 0) {
        const bool isNotRun = entry.state == EntryState::NotRun;
        return answerWith(ErrorKind::KeyReused, isNotRun ? Outcome::NotRun : Outcome::Unknown);
    }
    if (entry.state == EntryState::Foreign)
        return {Verdict::ForwardToOwner, {}, entry.winner.value_or(IncarnationId{})};
    if (isClosed(entry.state))
        return {Verdict::Answer, answerOf(entry), {}};
    if (isSealed)
        return answerWith(ErrorKind::Stopping, Outcome::Unknown);
    const bool needsLog =
        entry.state == EntryState::Abandoned || entry.state == EntryState::Releasing;
    if (needsLog && !copy.isLogAvailable)
        return answerWith(ErrorKind::ClaimLogUnavailable, Outcome::Unknown);
    return {Verdict::Wait, {}, {}};
}

Entry &addEntry(Ledger &ledger, const ScopedKey &key, const KeyedRequest &copy, EntryState state)
{
    Entry &entry = ledger.entries[key];
    entry.state = state;
    entry.fingerprint = copy.fingerprint;
    return entry;
}

Decision evaluateNewBoundKey(Ledger &ledger, const ScopedKey &key, const KeyedRequest &copy)
{
    if (ledger.isSealed)
        return answerWith(ErrorKind::Stopping, Outcome::NotRun);
    if (copy.isStatusQuery) {
        Entry &entry = addEntry(ledger, key, copy, EntryState::NotRun);
        entry.kind = ErrorKind::DeadlineExpired;
        return {Verdict::Answer, answerOf(entry), {}};
    }
    addEntry(ledger, key, copy, EntryState::Running);
    return {Verdict::Dispatch, {}, {}};
}

Decision evaluateNewPlainKey(Ledger &ledger, const ScopedKey &key, const KeyedRequest &copy)
{
    if (copy.isStatusQuery)
        return {};
    // The instance that forwarded the request read a claim of this incarnation whose entry this
    // ledger has since evicted.
    if (copy.isForwarded)
        return answerWith(ErrorKind::OwnerUnreachable, Outcome::Unknown);
    if (ledger.isSealed)
        return answerWith(ErrorKind::Stopping, Outcome::Unknown);
    if (!copy.isLogAvailable)
        return answerWith(ErrorKind::ClaimLogUnavailable, Outcome::Unknown);
    addEntry(ledger, key, copy, EntryState::Claiming);
    return {Verdict::Claim, {}, {}};
}

} // namespace

ScopedKey scopeKey(const IdempotencyKey &key, std::string_view service)
{
    return {key.uuid, key.owner, hash64(service)};
}

std::uint64_t fingerprintOf(std::string_view service, const HttpRequest &request)
{
    // The hash of the preceding parts seeds the hash of each part, so that moving text from one
    // part to the next changes the fingerprint.
    const std::uint64_t prefix = hash64(request.method, hash64(service));
    return hash64(request.body, hash64(request.target, prefix));
}

bool isClosed(EntryState state)
{
    return state == EntryState::Done || state == EntryState::NotRun || state == EntryState::Unknown;
}

Entry *findEntry(Ledger &ledger, const ScopedKey &key)
{
    const auto found = ledger.entries.find(key);
    return found == ledger.entries.end() ? nullptr : &found->second;
}

KeyAnswer answerOf(const Entry &entry)
{
    KeyAnswer answer;
    answer.status = entry.status;
    answer.kind = entry.kind;
    if (entry.state == EntryState::Done) {
        answer.outcome = Outcome::Done;
        answer.response = entry.answer;
        if (!entry.answer)
            answer.kind = ErrorKind::AnswerNotRetained;
    } else if (entry.state == EntryState::NotRun) {
        answer.outcome = Outcome::NotRun;
    } else if (!isClosed(entry.state)) {
        answer.kind = ErrorKind::RequestInProgress;
    }
    return answer;
}

Decision receive(Ledger &ledger, const KeyedRequest &copy)
{
    const bool isOwn = copy.key.owner == ledger.parameters.incarnation;
    if (copy.key.owner && !isOwn)
        return {Verdict::ForwardToOwner, {}, *copy.key.owner};
    const ScopedKey key = scopeKey(copy.key, copy.service);
    if (const Entry *entry = findEntry(ledger, key))
        return evaluateKnownKey(*entry, copy, ledger.isSealed);
    if (const auto kind = checkAge(ledger, copy))
        return answerWith(*kind, Outcome::Unknown);
    if (!evictIfFull(ledger))
        return answerWith(ErrorKind::QueueFull, Outcome::Unknown);
    // Eviction may have raised the watermark above this key.
    if (const auto kind = checkAge(ledger, copy))
        return answerWith(*kind, Outcome::Unknown);
    return isOwn ? evaluateNewBoundKey(ledger, key, copy) : evaluateNewPlainKey(ledger, key, copy);
}

void closeDone(Ledger &ledger, const ScopedKey &key, std::shared_ptr<const HttpResponse> answer)
{
    Entry *entry = findEntry(ledger, key);
    if (!entry || entry->state == EntryState::NotRun || entry->state == EntryState::Done)
        return;
    entry->state = EntryState::Done;
    entry->kind.reset();
    entry->status = answer->status;
    entry->answer = std::move(answer);
    ledger.retainedBytes += entry->answer->body.size();
    ledger.retained.push_back(key);
    trimRetainedAnswers(ledger);
}

void closeUnknown(Ledger &ledger, const ScopedKey &key, ErrorKind kind)
{
    Entry *entry = findEntry(ledger, key);
    if (!entry || !isInFlight(entry->state))
        return;
    entry->state = EntryState::Unknown;
    entry->kind = kind;
}

bool closeNotRun(Ledger &ledger, const ScopedKey &key, ErrorKind kind)
{
    Entry *entry = findEntry(ledger, key);
    if (!entry || entry->state != EntryState::Running)
        return false;
    entry->kind = kind;
    entry->state = key.owner ? EntryState::NotRun : EntryState::Releasing;
    return entry->state == EntryState::NotRun;
}

void abandonClaim(Ledger &ledger, const ScopedKey &key)
{
    Entry *entry = findEntry(ledger, key);
    if (entry && entry->state == EntryState::Claiming)
        entry->state = EntryState::Abandoned;
}

} // namespace apricotrock::ledger
