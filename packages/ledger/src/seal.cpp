#include "apricotrock/ledger.h"

#include <algorithm>

namespace apricotrock::ledger {

namespace {

/// Incarnations whose seals are stored. At the design size there are 240 planned stops a day.
constexpr std::size_t maxSeals = 1024;

wire::KeyState sealedState(EntryState state)
{
    if (state == EntryState::Done)
        return wire::KeyState::Done;
    // No instance dispatches a request that was abandoned or whose claim is being released.
    if (state == EntryState::NotRun || state == EntryState::Releasing
        || state == EntryState::Abandoned || state == EntryState::Claiming)
        return wire::KeyState::NotRun;
    return wire::KeyState::Unknown;
}

/// Returns true for keys that only this incarnation could dispatch.
bool isOwned(const Ledger &ledger, const ScopedKey &key, const Entry &entry)
{
    if (key.owner)
        return key.owner == ledger.parameters.incarnation;
    return entry.winner == ledger.parameters.incarnation;
}

using SealKey = std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>;

std::map<SealKey, wire::SealEntry> collectEntries(const Ledger &ledger)
{
    std::map<SealKey, wire::SealEntry> entries;
    for (const auto &[key, entry] : ledger.entries) {
        if (!isOwned(ledger, key, entry))
            continue;
        const auto state = sealedState(entry.state);
        const wire::SealEntry sealed(key.service, key.uuid.high, key.uuid.low,
                                     static_cast<std::uint16_t>(entry.status), state);
        const auto [item, isNew] =
            entries.emplace(SealKey{key.service, key.uuid.high, key.uuid.low}, sealed);
        // A seal does not distinguish a bound key from a plain key with the same UUID. If their
        // states differ, the outcome is listed as unknown.
        if (!isNew && item->second.state() != state)
            item->second = wire::SealEntry(key.service, key.uuid.high, key.uuid.low, 0,
                                           wire::KeyState::Unknown);
    }
    return entries;
}

bool isComplete(const SealParts &parts)
{
    if (parts.lanes == 0 || parts.seen.size() != parts.lanes)
        return false;
    return std::all_of(parts.seen.begin(), parts.seen.end(), [&parts](const auto &lane) {
        return lane.second.size() == parts.parts.at(lane.first);
    });
}

void evictOldestSeal(Seals &seals)
{
    const auto oldest = seals.byIncarnation.find(seals.order.front());
    seals.entryCount -= oldest->second.entries.size();
    seals.byIncarnation.erase(oldest);
    seals.order.pop_front();
}

KeyAnswer sealedAnswer(wire::KeyState state, int status)
{
    KeyAnswer answer;
    answer.status = status;
    answer.kind = ErrorKind::OwnerUnreachable;
    if (state == wire::KeyState::Done) {
        answer.outcome = Outcome::Done;
        answer.kind = ErrorKind::AnswerNotRetained;
    } else if (state == wire::KeyState::NotRun) {
        answer.outcome = Outcome::NotRun;
        answer.kind = ErrorKind::Stopping;
    }
    return answer;
}

} // namespace

std::vector<wire::SealT> makeSeal(Ledger &ledger)
{
    ledger.isSealed = true;
    const auto entries = collectEntries(ledger);
    const std::size_t parts =
        std::max<std::size_t>(1, (entries.size() + sealPartEntries - 1) / sealPartEntries);
    std::vector<wire::SealT> seals(parts);
    for (std::size_t part = 0; part < parts; ++part) {
        seals[part].lane = ledger.parameters.lane;
        seals[part].lanes = ledger.parameters.lanes;
        seals[part].part = static_cast<std::uint32_t>(part);
        seals[part].parts = static_cast<std::uint32_t>(parts);
        seals[part].watermark_ms =
            static_cast<std::uint64_t>(ledger.watermark.time_since_epoch().count());
    }
    std::size_t index = 0;
    for (const auto &[key, entry] : entries)
        seals[index++ / sealPartEntries].entries.push_back(entry);
    return seals;
}

void addSealPart(Seals &seals, IncarnationId incarnation, const wire::SealT &seal)
{
    if (seal.lanes == 0 || seal.lane >= seal.lanes || seal.part >= seal.parts)
        return;
    const auto [item, isNew] = seals.byIncarnation.try_emplace(incarnation);
    if (isNew)
        seals.order.push_back(incarnation);
    SealParts &parts = item->second;
    parts.lanes = seal.lanes;
    parts.parts[seal.lane] = seal.parts;
    if (!parts.seen[seal.lane].insert(seal.part).second)
        return;
    parts.watermarks[seal.lane] = WallTime(std::chrono::milliseconds(seal.watermark_ms));
    const std::size_t before = parts.entries.size();
    for (const wire::SealEntry &entry : seal.entries)
        parts.entries[{entry.service_hash(), entry.high(), entry.low()}] = {entry.state(),
                                                                            entry.status()};
    seals.entryCount += parts.entries.size() - before;
    while (seals.order.size() > 1
           && (seals.order.size() > maxSeals || seals.entryCount > seals.maxEntries))
        evictOldestSeal(seals);
}

std::optional<KeyAnswer> answerFromSeal(const Seals &seals, IncarnationId owner,
                                        const ScopedKey &key)
{
    const auto found = seals.byIncarnation.find(owner);
    if (found == seals.byIncarnation.end() || !isComplete(found->second))
        return std::nullopt;
    const SealParts &parts = found->second;
    const auto entry = parts.entries.find({key.service, key.uuid.high, key.uuid.low});
    if (entry != parts.entries.end())
        return sealedAnswer(entry->second.first, entry->second.second);
    const auto lane = static_cast<std::uint32_t>(key.service % parts.lanes);
    if (key.uuid.time() >= parts.watermarks.at(lane))
        return sealedAnswer(wire::KeyState::NotRun, 0);
    KeyAnswer answer;
    answer.kind = ErrorKind::KeyExpired;
    return answer;
}

} // namespace apricotrock::ledger
