#include "snapshot.h"

#include "canonical.h"

namespace apricotrock {

namespace {

std::string versionLabel(std::uint64_t version)
{
    return "configuration version " + std::to_string(version);
}

/// Returns the reason for which \a offered must not replace the current configuration.
std::optional<std::string> refusal(const PublicationState &state,
                                   const AcceptedConfiguration &offered, std::uint64_t nextOffset)
{
    if (!state.current)
        return std::nullopt;
    const AcceptedConfiguration &current = *state.current;
    if (offered.version < current.version)
        return versionLabel(offered.version) + " of a peer is older than version "
            + std::to_string(current.version) + " in force; the peer is behind";
    if (offered.version == current.version)
        return versionLabel(offered.version)
            + " of a peer has another digest than the one in force; compare both instances with "
              "the log (apricotrock history)";
    if (isContinuous(state) && nextOffset <= state.nextOffset)
        return versionLabel(offered.version) + " of a peer ends at offset "
            + std::to_string(nextOffset)
            + ", where the log holds an older version; the peer has a state of another log";
    return std::nullopt;
}

} // namespace

Result<AcceptedConfiguration> readSnapshot(const wire::SnapshotT &snapshot)
{
    if (snapshot.version == 0)
        return makeError("snapshot has version 0, which stands for no configuration; ignore it");
    AcceptedConfiguration result;
    result.version = snapshot.version;
    result.digest = snapshot.digest;
    for (const auto &object : snapshot.objects) {
        if (!object || object->removed)
            return makeError(versionLabel(snapshot.version)
                             + " in a snapshot holds a removed object; its author is faulty");
        result.objects.insert_or_assign(ObjectId{object->kind, object->name}, object->text);
    }
    if (configurationDigest(result.objects) != snapshot.digest)
        return makeError(versionLabel(snapshot.version)
                         + " in a snapshot does not match its digest; ask another peer");
    std::vector<Problem> problems;
    result.configuration = validate(result.objects, problems);
    if (!problems.empty())
        return makeError(versionLabel(snapshot.version)
                         + " in a snapshot is invalid: " + problems.front().toString());
    return result;
}

wire::SnapshotT snapshotOf(const AcceptedConfiguration &configuration, std::uint64_t nextOffset)
{
    wire::SnapshotT snapshot;
    snapshot.version = configuration.version;
    snapshot.digest = configuration.digest;
    snapshot.next_offset = nextOffset;
    for (wire::ChangeT &change : diffObjects({}, configuration.objects))
        snapshot.objects.push_back(std::make_unique<wire::ChangeT>(std::move(change)));
    return snapshot;
}

wire::SnapshotT makeSnapshot(const PublicationState &state)
{
    return snapshotOf(state.current ? *state.current : emptyConfiguration(), state.appliedOffset);
}

Result<bool> adoptSnapshot(PublicationState &state, const wire::SnapshotT &snapshot)
{
    const bool isKnown = state.current && state.current->version == snapshot.version
        && state.current->digest == snapshot.digest;
    if (isKnown)
        return false;
    Result<AcceptedConfiguration> offered = readSnapshot(snapshot);
    if (!offered)
        return tl::make_unexpected(offered.error());
    if (const auto reason = refusal(state, *offered, snapshot.next_offset))
        return makeError(*reason);
    if (isContinuous(state) || snapshot.next_offset >= state.pendingFrom) {
        startFrom(state, std::move(*offered), snapshot.next_offset);
        return true;
    }
    // Records between the snapshot and the pending ones are lost. The configuration is the newest
    // known, but only a later snapshot can say what became of the pending publications.
    state.current = std::move(*offered);
    state.appliedOffset = snapshot.next_offset;
    return true;
}

} // namespace apricotrock
