#include "apricotrock/ledger.h"

namespace apricotrock::ledger {

namespace {

/// Claims of keys that this ledger no longer remembers must not create entries: a copy that was
/// evicted may have run.
Entry *entryForRecord(Ledger &ledger, const ScopedKey &key)
{
    if (Entry *entry = findEntry(ledger, key))
        return entry;
    if (key.uuid.time() < ledger.watermark || !makeRoom(ledger)
        || key.uuid.time() < ledger.watermark)
        return nullptr;
    Entry &entry = ledger.entries[key];
    entry.state = EntryState::Foreign;
    return &entry;
}

ClaimVerdict applyOwnClaim(const Ledger &ledger, Entry &entry, const ScopedKey &key,
                           WallTime wallTime)
{
    // An earlier claim of the key may have expired from the log unread if the key is too old.
    const bool isTooOld = key.uuid.time() + ledger.parameters.keyMaxAge < wallTime;
    if (entry.state == EntryState::Claiming && !isTooOld && !ledger.isSealed) {
        entry.state = EntryState::Running;
        return ClaimVerdict::Won;
    }
    entry.kind = ErrorKind::DeadlineExpired;
    entry.state = EntryState::Releasing;
    return ClaimVerdict::WonTooLate;
}

} // namespace

ScopedKey keyOf(const wire::KeyId &key, std::uint64_t service)
{
    const IdempotencyKey parsed = wire::toKey(key);
    return {parsed.uuid, parsed.owner, service};
}

bool isOwnLane(const Ledger &ledger, std::uint64_t service)
{
    return service % ledger.parameters.lanes == ledger.parameters.lane;
}

ClaimVerdict readClaim(Ledger &ledger, const wire::ClaimT &claim, IncarnationId from,
                       WallTime wallTime)
{
    if (!claim.key || !isOwnLane(ledger, claim.service_hash))
        return ClaimVerdict::Ignored;
    const ScopedKey key = keyOf(*claim.key, claim.service_hash);
    if (key.owner)
        return ClaimVerdict::Ignored;
    Entry *entry = entryForRecord(ledger, key);
    if (!entry || entry->winner)
        return ClaimVerdict::Ignored;
    entry->winner = from;
    if (from == ledger.parameters.incarnation)
        return applyOwnClaim(ledger, *entry, key, wallTime);
    entry->state = EntryState::Foreign;
    entry->fingerprint = claim.fingerprint;
    return ClaimVerdict::Lost;
}

bool readRelease(Ledger &ledger, const wire::ReleaseT &release, IncarnationId from)
{
    if (!release.key || !isOwnLane(ledger, release.service_hash))
        return false;
    const ScopedKey key = keyOf(*release.key, release.service_hash);
    Entry *entry = entryForRecord(ledger, key);
    // Only the holder of the claim may release it. Without a known claim its record has expired.
    if (!entry || isClosed(entry->state) || (entry->winner && entry->winner != from))
        return false;
    entry->winner = from;
    entry->state = EntryState::NotRun;
    if (!entry->kind)
        entry->kind = ErrorKind::DeadlineExpired;
    return true;
}

} // namespace apricotrock::ledger
