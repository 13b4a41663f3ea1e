#include "apricotrock/ledger.h"

#include <algorithm>

namespace apricotrock::ledger {

namespace {

/// Record ids stored for each incarnation. Duplicates of a record are fewer records apart, because
/// a writer appends the next record only after the previous append succeeded, failed or was
/// abandoned.
constexpr std::size_t maxRecentSequences = 1024;
/// Incarnations whose record ids are stored; enough for more than two weeks at 240 restarts a day.
constexpr std::size_t maxSeenIncarnations = 4096;

bool isEvictable(const Entry &entry)
{
    return entry.waiters == 0 && entry.state != EntryState::Claiming
        && entry.state != EntryState::Running;
}

void evict(Ledger &ledger, std::map<ScopedKey, Entry>::iterator entry)
{
    // Keys have a resolution of one millisecond, so all keys of the same millisecond expire
    // together.
    ledger.watermark =
        std::max(ledger.watermark, entry->first.uuid.time() + std::chrono::milliseconds(1));
    if (entry->second.answer)
        ledger.retainedBytes -= entry->second.answer->body.size();
    ledger.entries.erase(entry);
}

} // namespace

bool evictIfFull(Ledger &ledger)
{
    if (ledger.entries.size() < ledger.parameters.maxEntries)
        return true;
    const auto oldest = std::find_if(ledger.entries.begin(), ledger.entries.end(),
                                     [](const auto &item) { return isEvictable(item.second); });
    if (oldest == ledger.entries.end())
        return false;
    evict(ledger, oldest);
    return true;
}

void trimRetainedAnswers(Ledger &ledger)
{
    while (ledger.retainedBytes > ledger.parameters.retainedAnswerBytes
           && !ledger.retained.empty()) {
        Entry *entry = findEntry(ledger, ledger.retained.front());
        ledger.retained.pop_front();
        if (!entry || !entry->answer)
            continue;
        ledger.retainedBytes -= entry->answer->body.size();
        entry->answer.reset();
    }
    // The keys of evicted entries remain in the queue, so its length is limited as well.
    while (ledger.retained.size() > ledger.parameters.maxEntries) {
        Entry *entry = findEntry(ledger, ledger.retained.front());
        ledger.retained.pop_front();
        if (entry && entry->answer) {
            ledger.retainedBytes -= entry->answer->body.size();
            entry->answer.reset();
        }
    }
}

bool markSeen(SeenRecords &seen, const RecordId &id)
{
    const auto [item, isNew] = seen.byIncarnation.try_emplace(id.incarnation);
    if (isNew) {
        seen.order.push_back(id.incarnation);
        if (seen.order.size() > maxSeenIncarnations) {
            seen.byIncarnation.erase(seen.order.front());
            seen.order.pop_front();
        }
    }
    SeenRecords::Sequences &sequences = item->second;
    if (id.sequence < sequences.floor || !sequences.recent.insert(id.sequence).second)
        return false;
    if (sequences.recent.size() > maxRecentSequences) {
        sequences.floor = *sequences.recent.begin() + 1;
        sequences.recent.erase(sequences.recent.begin());
    }
    return true;
}

} // namespace apricotrock::ledger
