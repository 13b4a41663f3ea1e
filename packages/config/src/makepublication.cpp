#include "snapshot.h"

namespace apricotrock {

wire::PublicationT makePublication(const AcceptedConfiguration &current, const ObjectTexts &target,
                                   const std::string &author, const std::string &comment,
                                   WallTime time)
{
    wire::PublicationT publication;
    publication.base_version = current.version;
    publication.base_digest = current.digest;
    for (wire::ChangeT &change : diffObjects(current.objects, target))
        publication.changes.push_back(std::make_unique<wire::ChangeT>(std::move(change)));
    publication.digest = configurationDigest(target);
    publication.author = author;
    publication.comment = comment;
    publication.time_ms = static_cast<std::uint64_t>(time.time_since_epoch().count());
    return publication;
}

std::vector<std::unique_ptr<wire::LogEntryT>>
makeInitialEntries(std::uint64_t baseVersion, std::uint64_t nextOffset, const ObjectTexts &target,
                   const std::string &author, const std::string &comment, WallTime time)
{
    AcceptedConfiguration base = emptyConfiguration();
    base.version = baseVersion;
    AcceptedConfiguration result;
    result.version = baseVersion + 1;
    result.digest = configurationDigest(target);
    result.objects = target;
    std::vector<std::unique_ptr<wire::LogEntryT>> entries;
    entries.push_back(wire::holdEntry(makePublication(base, target, author, comment, time)));
    entries.push_back(wire::holdEntry(snapshotOf(result, nextOffset)));
    return entries;
}

} // namespace apricotrock
