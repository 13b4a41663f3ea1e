#pragma once

#include "apricotrock/base.h"
#include "apricotrock/http.h"
#include "apricotrock/wire.h"

#include <set>

/// Idempotency keys, claims, seals and the quarantine of crashing requests: pure functions over
/// plain structs. See docs/guarantees.md for the guarantees that they implement.
namespace apricotrock::ledger {

/// An idempotency key within the scope of its service. The creation time of the key is compared
/// first, so that the first entry of a ledger is its oldest.
struct ScopedKey
{
    Uuid7 uuid;
    std::optional<IncarnationId> owner;
    /// hash64() of the service name.
    std::uint64_t service = 0;

    auto operator<=>(const ScopedKey &) const = default;
};
ScopedKey scopeKey(const IdempotencyKey &key, std::string_view service);

/// Returns a hash of service, method, target and body. Equal requests have equal fingerprints.
std::uint64_t fingerprintOf(std::string_view service, const HttpRequest &request);

enum class EntryState {
    /// A claim was appended and has not been read back.
    Claiming,
    /// The request was abandoned before its claim was read back; it will never be dispatched.
    Abandoned,
    /// Another incarnation holds the first claim.
    Foreign,
    /// This incarnation may dispatch, or has dispatched, the request.
    Running,
    /// This incarnation holds the first claim but will not dispatch the request; its release has
    /// not been read back.
    Releasing,
    Done,
    NotRun,
    Unknown,
};

/// The state of one key.
struct Entry
{
    EntryState state = EntryState::Running;
    std::uint64_t fingerprint = 0;
    /// Incarnation of the first claim in log order; plain keys only.
    std::optional<IncarnationId> winner;
    /// Reason for a refusal or failure; empty for Done.
    std::optional<ErrorKind> kind;
    /// HTTP status of the answer; stays after the answer is dropped.
    int status = 0;
    std::shared_ptr<const HttpResponse> answer;
    /// Number of requests that wait for this entry; an entry with waiters is never evicted.
    std::size_t waiters = 0;
};

struct Parameters
{
    IncarnationId incarnation;
    std::uint32_t lane = 0;
    std::uint32_t lanes = 1;
    std::chrono::milliseconds keyMaxAge{};
    std::chrono::milliseconds clockTolerance{};
    std::size_t maxEntries = 0;
    std::size_t retainedAnswerBytes = 0;
};

struct Ledger
{
    Parameters parameters;
    std::map<ScopedKey, Entry> entries;
    /// A key that was created before this time and has no entry is answered as expired.
    WallTime watermark{};
    /// Keys in the order in which their answers were retained.
    std::deque<ScopedKey> retained;
    std::size_t retainedBytes = 0;
    /// True once the seal was made. A sealed ledger dispatches nothing.
    bool isSealed = false;
};

/// One copy (the first or a retry) of a request with an idempotency key.
struct KeyedRequest
{
    IdempotencyKey key;
    std::string_view service;
    std::uint64_t fingerprint = 0;
    WallTime wallTime;
    bool isForwarded = false;
    bool isStatusQuery = false;
    bool isLogAvailable = false;
};

/// The answer that a ledger or a seal gives for a key.
struct KeyAnswer
{
    Outcome outcome = Outcome::Unknown;
    std::optional<ErrorKind> kind;
    std::shared_ptr<const HttpResponse> response;
    int status = 0;
};

enum class Verdict {
    /// The entry is now Running; the code that called evaluateRequest() dispatches the request.
    Dispatch,
    /// The entry is now Claiming; the code that called evaluateRequest() appends a claim.
    Claim,
    /// An earlier copy is in flight; the copy waits for the same answer.
    Wait,
    /// Only another incarnation can answer.
    ForwardToOwner,
    Answer,
};

struct Decision
{
    Verdict verdict = Verdict::Answer;
    KeyAnswer answer;
    IncarnationId owner;
};

/// Decides how to handle one copy of a request. Creates the entry if the verdict is Dispatch or
/// Claim.
Decision receive(Ledger &ledger, const KeyedRequest &copy);
Entry *findEntry(Ledger &ledger, const ScopedKey &key);
/// Returns the answer that later copies of the request get. For an entry that is not closed its
/// kind is ErrorKind::RequestInProgress.
KeyAnswer answerOf(const Entry &entry);
bool isClosed(EntryState state);

void closeDone(Ledger &ledger, const ScopedKey &key, std::shared_ptr<const HttpResponse> answer);
void closeUnknown(Ledger &ledger, const ScopedKey &key, ErrorKind kind);
/// Ends a Running entry whose request was not dispatched and never will be. A bound key is closed
/// immediately (returns true). A plain key is closed when its release is read back (returns
/// false); the calling code appends the release.
bool closeNotRun(Ledger &ledger, const ScopedKey &key, ErrorKind kind);
/// Abandons a request whose claim has not been read back; the claim is released if it wins.
void abandonClaim(Ledger &ledger, const ScopedKey &key);

enum class ClaimVerdict {
    /// Has no effect, for example because it is not the first claim or the key is below the
    /// watermark.
    Ignored,
    /// This incarnation may dispatch the key now.
    Won,
    /// This incarnation holds the claim but abandoned the request or is sealed, and must release
    /// the claim.
    WonMustRelease,
    /// The claim of this incarnation was read back after the key's maximum age, when it is no
    /// longer certain that it is the first.
    Expired,
    /// Another incarnation may dispatch the key.
    Lost,
};
/// Applies a claim. Must be called in log order.
ClaimVerdict processClaim(Ledger &ledger, const wire::ClaimT &claim, IncarnationId from,
                          WallTime wallTime);
/// Applies a release. Must be called in log order. Returns true if the release closes the key.
bool processRelease(Ledger &ledger, const wire::ReleaseT &release, IncarnationId from);
/// Returns true if the key's service belongs to the ledger's lane.
bool belongsToLane(const Ledger &ledger, std::uint64_t service);
ScopedKey keyOf(const wire::KeyId &key, std::uint64_t service);

/// Evicts the oldest evictable entry if the ledger is full. Entries that are in flight or have
/// waiters are not evictable. Returns false if there is no space for one more entry.
bool evictIfFull(Ledger &ledger);
/// Drops the oldest answers until the rest fits the limits of the parameters. Their entries stay.
void trimRetainedAnswers(Ledger &ledger);

/// Entries in one part of a seal: 8,192 entries of 32 bytes are a quarter of the record limit.
inline constexpr std::size_t sealPartEntries = 8192;

/// Ends all dispatching by this ledger and returns the parts of its seal, which lists the outcome
/// of each key that it holds. Running requests are listed as Unknown.
std::vector<wire::SealT> makeSeal(Ledger &ledger);

/// The parts of one incarnation's seal that have been read.
struct SealParts
{
    std::uint32_t lanes = 0;
    /// Numbers of the parts read, by lane.
    std::map<std::uint32_t, std::set<std::uint32_t>> seen;
    std::map<std::uint32_t, std::uint32_t> parts;
    std::map<std::uint32_t, WallTime> watermarks;
    /// State and HTTP status, by service hash and high and low half of the key.
    std::map<std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>,
             std::pair<wire::KeyState, std::uint16_t>>
        entries;
};

/// Seals of other incarnations, bounded in number and size. Dropping a seal is safe: its keys are
/// then answered as unknown.
struct Seals
{
    std::map<IncarnationId, SealParts> byIncarnation;
    std::deque<IncarnationId> order;
    std::size_t maxEntries = 0;
    std::size_t entryCount = 0;
};

/// Adds one part; parts that are already known are ignored.
void addSealPart(Seals &seals, IncarnationId incarnation, const wire::SealT &seal);
/// Returns the answer for a key that only \a owner could have dispatched, or nothing if the seal of
/// \a owner is missing or incomplete.
std::optional<KeyAnswer> answerFromSeal(const Seals &seals, IncarnationId owner,
                                        const ScopedKey &key);

/// One crash of a backend server and the requests that were running on it.
struct Crash
{
    std::set<std::uint64_t> fingerprints;
    /// Fingerprints that an operator has cleared of this crash.
    std::set<std::uint64_t> cleared;
    std::string service;
    /// True if every request that the reporting instance ran on the backend server is known. Hints
    /// arrive one by one, so a crash known only from hints may lack requests.
    bool isComplete = false;
};

/// Identifies a crash by backend server and expiry time in wall clock milliseconds. The expiry is
/// the time of the crash plus a constant, so that the copies of a suspicion in the log and in a
/// hint refer to the same crash.
using CrashId = std::pair<std::string, std::uint64_t>;

struct Quarantine
{
    std::map<CrashId, Crash> crashes;
    /// Fingerprints with a crash that has not been cleared; derived from \c crashes.
    std::set<std::uint64_t> suspects;
    /// Suspects that ran alone and were answered after their last crash. They are no longer
    /// isolated, but their crashes still count towards quarantine.
    std::set<std::uint64_t> isolationExempt;
    std::size_t maxCrashes = 4096;
};

/// Adds the suspicions of one crash or one record. \a isComplete sets Crash::isComplete.
void addSuspicions(Quarantine &quarantine,
                   const std::vector<const wire::CrashSuspicionT *> &suspicions, bool isComplete);
/// Returns true if the fingerprint took part in a crash that has neither expired nor been cleared,
/// and its isolation has not ended since.
bool isSuspect(const Quarantine &quarantine, std::uint64_t fingerprint);
/// Returns true if the fingerprint took part in at least \a crashLimit complete crashes and is the
/// only one that they have in common.
bool isQuarantined(const Quarantine &quarantine, std::uint64_t fingerprint,
                   std::uint64_t crashLimit);
/// Ends the isolation of a suspect until its next crash. Otherwise a frequent request that was once
/// running during a crash would occupy whole backend servers until the suspicion expires.
void endIsolation(Quarantine &quarantine, std::uint64_t fingerprint);
/// Clears the fingerprint of all known crashes. Returns true if there was one to clear.
bool clearQuarantine(Quarantine &quarantine, std::uint64_t fingerprint);
void expireCrashes(Quarantine &quarantine, WallTime wallTime);

/// Ids of the records that were read, used to ignore duplicates. Bounded: only the most recent ids
/// of each incarnation are stored, and all older ones count as seen.
struct SeenRecords
{
    struct Sequences
    {
        std::set<std::uint64_t> recent;
        std::uint64_t floor = 0;
    };
    std::map<IncarnationId, Sequences> byIncarnation;
    std::deque<IncarnationId> order;
};
/// Returns false if the record was seen before.
bool markSeen(SeenRecords &seen, const RecordId &id);

} // namespace apricotrock::ledger
