#include "snapshot.h"

#include <algorithm>
#include <array>

namespace apricotrock {

namespace {

constexpr std::size_t maxHistory = 1000;
constexpr std::size_t maxSeenIds = 4096;

PublicationVerdict judge(const AcceptedConfiguration &current,
                         const wire::PublicationT &publication, AcceptedConfiguration &next)
{
    if (publication.base_version != current.version || publication.base_digest != current.digest)
        return PublicationVerdict::LostRace;
    next.objects = applyChanges(current.objects, publication.changes);
    next.digest = configurationDigest(next.objects);
    if (next.digest != publication.digest)
        return PublicationVerdict::WrongDigest;
    std::vector<Problem> problems;
    next.configuration = validate(next.objects, problems);
    if (!problems.empty())
        return PublicationVerdict::InvalidSet;
    next.version = current.version + 1;
    return PublicationVerdict::Accepted;
}

PublicationEntry makeEntry(const wire::PublicationT &publication, std::uint64_t offset, RecordId id)
{
    PublicationEntry entry;
    entry.offset = offset;
    entry.id = id;
    entry.baseVersion = publication.base_version;
    entry.author = publication.author;
    entry.comment = publication.comment;
    entry.timeMs = publication.time_ms;
    entry.changeCount = publication.changes.size();
    return entry;
}

bool applyPublication(PublicationState &state, const wire::PublicationT &publication,
                      std::uint64_t offset, RecordId id, bool isRepeated)
{
    AcceptedConfiguration next;
    PublicationEntry entry = makeEntry(publication, offset, id);
    entry.verdict = judge(*state.current, publication, next);
    const bool isAccepted = entry.verdict == PublicationVerdict::Accepted;
    if (!isAccepted && isRepeated)
        entry.verdict = PublicationVerdict::Duplicate;
    if (isAccepted) {
        entry.version = next.version;
        state.current = std::move(next);
    }
    state.history.push_back(std::move(entry));
    if (state.history.size() > maxHistory)
        state.history.pop_front();
    return isAccepted;
}

/// Counts a snapshot only if a new reader would get the configuration in force from it.
void noteSnapshot(PublicationState &state, const wire::SnapshotT &snapshot, std::uint64_t offset)
{
    const bool isCurrent = snapshot.version == state.current->version
        && snapshot.digest == state.current->digest && snapshot.next_offset <= offset;
    if (isCurrent)
        state.newestSnapshotOffset = std::max(state.newestSnapshotOffset, snapshot.next_offset);
}

/// Returns true if the record with \a id was seen before, and remembers it.
bool isRepeatedId(PublicationState &state, RecordId id, std::uint64_t offset)
{
    if (state.seenIds.size() >= maxSeenIds) {
        std::vector<std::uint64_t> offsets;
        for (const auto &[seenId, seenOffset] : state.seenIds)
            offsets.push_back(seenOffset);
        const auto middle = offsets.begin() + maxSeenIds / 2;
        std::nth_element(offsets.begin(), middle, offsets.end());
        std::erase_if(state.seenIds, [&](const auto &seen) { return seen.second < *middle; });
    }
    return !state.seenIds.emplace(id, offset).second;
}

bool applyRecord(PublicationState &state, std::uint64_t offset, const wire::LogRecordT &record)
{
    const RecordId id{{record.incarnation}, record.sequence};
    const bool isRepeated = isRepeatedId(state, id, offset);
    bool isChanged = false;
    for (const auto &holder : record.entries) {
        if (const wire::PublicationT *publication = holder->entry.AsPublication())
            isChanged |= applyPublication(state, *publication, offset, id, isRepeated);
        else if (const wire::SnapshotT *snapshot = holder->entry.AsSnapshot())
            noteSnapshot(state, *snapshot, offset);
    }
    return isChanged;
}

bool isInitial(const wire::LogRecordT &record)
{
    static const std::string emptyDigest = emptyConfiguration().digest;
    return std::any_of(record.entries.begin(), record.entries.end(), [](const auto &holder) {
        const wire::PublicationT *publication = holder->entry.AsPublication();
        return publication != nullptr && publication->base_digest == emptyDigest;
    });
}

/// Corrects the history after an initial record: its publication was judged on its own result.
void acceptInitial(PublicationState &state, std::uint64_t offset, std::uint64_t version)
{
    for (PublicationEntry &entry : state.history) {
        if (entry.offset != offset)
            continue;
        entry.verdict = PublicationVerdict::Accepted;
        entry.version = version;
    }
}

/// Starts the fold from a snapshot in the record at \a offset if it is usable.
void loadSnapshot(PublicationState &state, std::uint64_t offset, const wire::LogRecordT &record)
{
    // Two initial publications can race, and a new reader may not see the first one any more. Only
    // the one that stands exactly where its author saw the end of the log can be the first.
    const bool isFirst = isInitial(record);
    const std::uint64_t lowest = isFirst ? offset : state.pendingFrom;
    for (const auto &holder : record.entries) {
        const wire::SnapshotT *snapshot = holder->entry.AsSnapshot();
        if (snapshot == nullptr || snapshot->next_offset < lowest || snapshot->next_offset > offset)
            continue;
        if (state.current && snapshot->version < state.current->version)
            continue;
        auto configuration = readSnapshot(*snapshot);
        if (!configuration)
            continue;
        startFrom(state, std::move(*configuration), snapshot->next_offset);
        state.newestSnapshotOffset = std::max(state.newestSnapshotOffset, snapshot->next_offset);
        if (isFirst)
            acceptInitial(state, offset, snapshot->version);
        return;
    }
}

/// Drops pending records that the log has dropped, and finds out whether unread records expired.
void noteExpired(PublicationState &state, std::uint64_t firstOffset)
{
    if (firstOffset > state.nextOffset) {
        state.nextOffset = firstOffset;
        state.pending.clear();
    }
    state.pending.erase(state.pending.begin(), state.pending.lower_bound(firstOffset));
    state.pendingFrom = std::max(state.pendingFrom, firstOffset);
}

bool isSame(const std::optional<AcceptedConfiguration> &current, std::uint64_t version,
            const std::string &digest)
{
    return current && current->version == version && current->digest == digest;
}

} // namespace

std::string_view verdictName(PublicationVerdict verdict)
{
    static constexpr std::array<std::string_view, 5> names = {
        "accepted", "lost-race", "wrong-digest", "invalid-set", "duplicate"};
    return names.at(static_cast<std::size_t>(verdict));
}

AcceptedConfiguration emptyConfiguration()
{
    AcceptedConfiguration empty;
    empty.digest = configurationDigest({});
    return empty;
}

bool isContinuous(const PublicationState &state)
{
    return state.current && state.appliedOffset == state.nextOffset;
}

void startFrom(PublicationState &state, AcceptedConfiguration configuration,
               std::uint64_t nextOffset)
{
    state.current = std::move(configuration);
    for (const auto &[offset, record] : state.pending) {
        if (offset >= nextOffset)
            applyRecord(state, offset, *record);
    }
    state.pending.clear();
    state.nextOffset = std::max(state.nextOffset, nextOffset);
    state.appliedOffset = state.nextOffset;
}

bool foldRecord(PublicationState &state, std::uint64_t offset,
                const std::shared_ptr<const wire::LogRecordT> &record, std::uint64_t firstOffset)
{
    if (offset < state.nextOffset)
        return false;
    if (!state.current && state.nextOffset == 0 && firstOffset == 0)
        state.current = emptyConfiguration();
    noteExpired(state, std::min(firstOffset, offset));
    const bool wasContinuous = isContinuous(state);
    state.nextOffset = offset + 1;
    if (wasContinuous) {
        state.appliedOffset = state.nextOffset;
        return record && applyRecord(state, offset, *record);
    }
    if (!record)
        return false;
    const std::uint64_t version = state.current ? state.current->version : 0;
    const std::string digest = state.current ? state.current->digest : "";
    state.pending.emplace(offset, record);
    loadSnapshot(state, offset, *record);
    return state.current && !isSame(state.current, version, digest);
}

} // namespace apricotrock
