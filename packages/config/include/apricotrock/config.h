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

/// Returns a policy that has the default of every key, as the schema states them.
Policy defaultPolicy(const std::string &name);

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
    /// The configuration in force; its version never decreases.
    std::optional<AcceptedConfiguration> current;
    /// Offset of the next record that the fold expects.
    std::uint64_t nextOffset = 0;
    /// Every record below this offset is part of the current configuration. Lower than nextOffset
    /// only if records expired before they were read; the fold then waits for a usable snapshot.
    std::uint64_t appliedOffset = 0;
    /// The pending records are complete from this offset on.
    std::uint64_t pendingFrom = 0;
    /// Records that can be judged only after a usable snapshot; none that the log has dropped.
    std::map<std::uint64_t, std::shared_ptr<const wire::LogRecordT>> pending;
    /// Recent record ids with their first offset. They only tell duplicates from lost races in the
    /// history: a reader that started at a snapshot has not seen the first copy, so that an id must
    /// not decide about acceptance. The base does, and no second copy builds on the same version.
    std::map<RecordId, std::uint64_t> seenIds;
    /// The newest judged publications, oldest first.
    std::deque<PublicationEntry> history;
    /// Largest next_offset of the snapshots in the log that hold the configuration in force; 0
    /// before the first. A snapshot is usable until the record at this offset expires, so the next
    /// one is due at half of the retention after this value changed. Publications do not count: a
    /// new reader cannot judge them without a snapshot.
    std::uint64_t newestSnapshotOffset = 0;
};

/// Returns true if the current configuration reflects every record that was read.
bool isContinuous(const PublicationState &state);

/// Folds one record of the configuration stream. Offsets must not decrease; a record that was
/// folded before is ignored. A reader without a state starts at the first offset that the log
/// holds. \a record is null for a record that could not be decoded; it counts as read.
/// \a firstOffset is the first offset that the log still holds: a fold without a state that
/// starts at offset 0 starts from the empty set.
/// Returns true if the current configuration changed.
bool foldRecord(PublicationState &state, std::uint64_t offset,
                const std::shared_ptr<const wire::LogRecordT> &record, std::uint64_t firstOffset);
/// Adopts the configuration of a peer if its version is higher and its digest is right; returns
/// false if it is the configuration in force already.
/// Returns an error that names the fault otherwise; an older version is an error too.
Result<bool> adoptSnapshot(PublicationState &state, const wire::SnapshotT &snapshot);
/// Returns the configuration in force with the offset up to which it is complete.
wire::SnapshotT makeSnapshot(const PublicationState &state);
/// Version 0, which the first publication builds on.
AcceptedConfiguration emptyConfiguration();
std::string_view verdictName(PublicationVerdict verdict);
/// Builds the entries of a record that starts the configuration anew as version \a baseVersion + 1
/// after the log has lost every snapshot: a publication on the empty set and a snapshot. Readers
/// without a state accept it only at \a nextOffset, the end of the log that the author has read;
/// anywhere else another record came first.
std::vector<std::unique_ptr<wire::LogEntryT>>
makeInitialEntries(std::uint64_t baseVersion, std::uint64_t nextOffset, const ObjectTexts &target,
                   const std::string &author, const std::string &comment, WallTime time);
/// Builds the publication that turns the current version into \a target.
wire::PublicationT makePublication(const AcceptedConfiguration &current, const ObjectTexts &target,
                                   const std::string &author, const std::string &comment,
                                   WallTime time);

} // namespace apricotrock
