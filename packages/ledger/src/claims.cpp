#include "apricotrock/ledger.h"

#include <algorithm>

namespace apricotrock::ledger {

namespace {

/// Returns the entry for the key of a record and creates it if necessary. Returns null for a key
/// below the watermark, because an evicted entry of it may have run. If the ledger is full, raises
/// the watermark above the key, because its claim would be lost otherwise.
Entry *findOrCreateEntry(Ledger &ledger, const ScopedKey &key)
{
    if (Entry *entry = findEntry(ledger, key))
        return entry;
    if (!evictIfFull(ledger))
        ledger.watermark =
            std::max(ledger.watermark, key.uuid.time() + std::chrono::milliseconds(1));
    if (key.uuid.time() < ledger.watermark)
        return nullptr;
    Entry &entry = ledger.entries[key];
    entry.state = EntryState::Foreign;
    return &entry;
}

ClaimVerdict applyOwnClaim(const Ledger &ledger, Entry &entry)
{
    entry.winner = ledger.parameters.incarnation;
    if (entry.state == EntryState::Claiming && !ledger.isSealed) {
        entry.state = EntryState::Running;
        return ClaimVerdict::Won;
    }
    entry.kind = ErrorKind::DeadlineExpired;
    entry.state = EntryState::Releasing;
    return ClaimVerdict::WonMustRelease;
}

/// Applies a claim of a key past its maximum age. An earlier claim may have expired from the log
/// before it was read, so this one need not be the first: the request is not dispatched, and its
/// outcome is unknown.
ClaimVerdict applyExpiredClaim(const Ledger &ledger, Entry &entry, IncarnationId from)
{
    const bool isOwn = from == ledger.parameters.incarnation;
    if (!isOwn || (entry.state != EntryState::Claiming && entry.state != EntryState::Abandoned))
        return ClaimVerdict::Ignored;
    entry.state = EntryState::Unknown;
    entry.kind = ErrorKind::KeyExpired;
    return ClaimVerdict::Expired;
}

} // namespace

ScopedKey keyOf(const wire::KeyId &key, std::uint64_t service)
{
    const IdempotencyKey parsed = wire::toKey(key);
    return {parsed.uuid, parsed.owner, service};
}

bool belongsToLane(const Ledger &ledger, std::uint64_t service)
{
    return service % ledger.parameters.lanes == ledger.parameters.lane;
}

ClaimVerdict processClaim(Ledger &ledger, const wire::ClaimT &claim, IncarnationId from,
                          WallTime wallTime)
{
    if (!claim.key || !belongsToLane(ledger, claim.service_hash))
        return ClaimVerdict::Ignored;
    const ScopedKey key = keyOf(*claim.key, claim.service_hash);
    if (key.owner)
        return ClaimVerdict::Ignored;
    if (key.uuid.time() + ledger.parameters.keyMaxAge < wallTime) {
        Entry *known = findEntry(ledger, key);
        return known ? applyExpiredClaim(ledger, *known, from) : ClaimVerdict::Ignored;
    }
    Entry *entry = findOrCreateEntry(ledger, key);
    if (!entry || entry->winner)
        return ClaimVerdict::Ignored;
    if (from == ledger.parameters.incarnation)
        return applyOwnClaim(ledger, *entry);
    entry->winner = from;
    entry->state = EntryState::Foreign;
    entry->fingerprint = claim.fingerprint;
    return ClaimVerdict::Lost;
}

bool processRelease(Ledger &ledger, const wire::ReleaseT &release, IncarnationId from)
{
    if (!release.key || !belongsToLane(ledger, release.service_hash))
        return false;
    const ScopedKey key = keyOf(*release.key, release.service_hash);
    Entry *entry = findOrCreateEntry(ledger, key);
    // Only the holder of the claim may release it. If no claim is known, its record has expired
    // from the log. A Running entry is held by this incarnation, which has not released it.
    if (!entry || isClosed(entry->state) || entry->state == EntryState::Running
        || (entry->winner && entry->winner != from))
        return false;
    entry->winner = from;
    entry->state = EntryState::NotRun;
    if (!entry->kind)
        entry->kind = ErrorKind::DeadlineExpired;
    return true;
}

} // namespace apricotrock::ledger
