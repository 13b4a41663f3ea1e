#pragma once

#include "apricotrock/base.h"
#include "apricotrock/fields.h"
#include "apricotrock/objects_generated.h"
#include "apricotrock/wire.h"

namespace apricotrock {

/// Identifies one configuration object.
struct ObjectId
{
    /// `availability-zone`, `policy`, `service` or `backend-server`.
    std::string kind;
    std::string name;

    auto operator<=>(const ObjectId &) const = default;
};

/// The text form of a whole set: canonical "key = value" lines by object. Sorted, so that equal
/// sets have equal digests.
using ObjectTexts = std::map<ObjectId, std::string>;

/// A validated, typed set of objects.
struct Configuration
{
    std::map<std::string, AvailabilityZone> availabilityZones;
    std::map<std::string, Policy> policies;
    std::map<std::string, Service> services;
    std::map<std::string, BackendServer> backendServers;
};

/// A version of the configuration that won its place in the log.
struct AcceptedConfiguration
{
    /// Counts the accepted publications; 0 is the empty set before the first one.
    std::uint64_t version = 0;
    std::string digest;
    ObjectTexts objects;
    Configuration configuration;
};

/// Reads objects from INI text. Sections are `[KIND NAME]`.
ObjectTexts readObjects(const std::string &file, const std::string &text,
                        std::vector<Problem> &problems);
/// Checks every object and every reference of the whole set and adds each problem. The result is
/// usable only if no problem was added.
Configuration validate(const ObjectTexts &objects, std::vector<Problem> &problems);
/// Returns INI text that reads back as \a objects.
std::string formatObjects(const ObjectTexts &objects);
std::string configurationDigest(const ObjectTexts &objects);

/// Returns the changes that turn \a from into \a to, sorted by object.
std::vector<wire::ChangeT> diffObjects(const ObjectTexts &from, const ObjectTexts &to);
ObjectTexts applyChanges(ObjectTexts objects,
                         const std::vector<std::unique_ptr<wire::ChangeT>> &changes);

/// How a publication ended in log order.
enum class PublicationVerdict { Accepted, LostRace, WrongDigest, InvalidSet, Duplicate };

/// One publication as it was judged; kept for `history`.
struct PublicationEntry
{
    std::uint64_t offset = 0;
    RecordId id;
    PublicationVerdict verdict = PublicationVerdict::Accepted;
    /// Version that an accepted publication created.
    std::uint64_t version = 0;
    std::uint64_t baseVersion = 0;
    std::string author;
    std::string comment;
    std::uint64_t timeMs = 0;
    std::size_t changeCount = 0;
};

/// State of the fold over the configuration stream. Plain data; see foldRecord().
struct PublicationState
{
    std::optional<AcceptedConfiguration> current;
    /// Offset of the next record that the fold expects.
    std::uint64_t nextOffset = 0;
    /// Records read before any usable snapshot or first publication was seen.
    std::map<std::uint64_t, std::shared_ptr<const wire::LogRecordT>> pending;
    std::map<RecordId, std::uint64_t> seenIds;
    std::deque<PublicationEntry> history;
    /// Offset of the newest snapshot or accepted publication, whichever is newer.
    std::uint64_t newestSnapshotOffset = 0;
};

/// Folds one record of the configuration stream. Offsets must not decrease; a record that was
/// folded before is ignored. \a firstOffset is the first offset that the log still holds: a fold
/// without a state that starts at offset 0 starts from the empty set.
/// Returns true if the current configuration changed.
bool foldRecord(PublicationState &state, std::uint64_t offset,
                const std::shared_ptr<const wire::LogRecordT> &record, std::uint64_t firstOffset);
/// Adopts the configuration of a peer if its version is higher and its digest is right.
/// Returns an error that names the fault otherwise; an older version is an error too.
Result<bool> adoptSnapshot(PublicationState &state, const wire::SnapshotT &snapshot);
wire::SnapshotT makeSnapshot(const PublicationState &state);
/// Builds the publication that turns the current version into \a target.
wire::PublicationT makePublication(const AcceptedConfiguration &current, const ObjectTexts &target,
                                   const std::string &author, const std::string &comment,
                                   WallTime time);

} // namespace apricotrock
