#pragma once

#include "apricotrock/base.h"
#include "apricotrock/http.h"
#include "apricotrock/wire.h"

#include <set>

/// Idempotency keys, claims, seals and the quarantine of crashing requests: pure functions over
/// plain structs. See docs/guarantees.md for the promises that they carry.
namespace apricotrock::ledger {

/// A key within its service. Ordered by the creation time of the key first, so that the oldest
/// entry of a ledger is its first.
struct ScopedKey
{
    Uuid7 uuid;
    std::optional<IncarnationId> owner;
    /// hash64() of the service name.
    std::uint64_t service = 0;

    auto operator<=>(const ScopedKey &) const = default;
};
ScopedKey scopeKey(const IdempotencyKey &key, std::string_view service);

/// Identifies equal requests: hash of service, method, target and body.
std::uint64_t fingerprintOf(std::string_view service, const HttpRequest &request);

enum class EntryState {
    /// A claim was appended and has not been read back.
    Claiming,
    /// The request was given up before its claim was read back; it will never be dispatched.
    GivenUp,
    /// Another incarnation holds the first claim.
    Foreign,
    /// This incarnation may dispatch, or has dispatched, the request.
    Running,
    /// This incarnation gave up a claim that won; the release has not been read back.
    Releasing,
    Done,
    NotRun,
    Unknown,
};

/// What is known of one key.
struct Entry
{
    EntryState state = EntryState::Running;
    std::uint64_t fingerprint = 0;
    /// Incarnation of the first claim in log order; plain keys only.
    std::optional<IncarnationId> winner;
    /// Reason of a refusal or failure; nothing for Done.
    std::optional<ErrorKind> kind;
    /// HTTP status of the answer, kept longer than the answer.
    int status = 0;
    std::shared_ptr<const HttpResponse> answer;
    /// Requests that wait for this entry; an entry with waiters is never evicted.
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
    /// Every key created before this time that has no entry is answered as expired.
    WallTime watermark{};
    /// Keys in the order in which their answers were retained.
    std::deque<ScopedKey> retained;
    std::size_t retainedBytes = 0;
    /// True after the seal was made; nothing is dispatched from then on.
    bool isSealed = false;
};

/// One copy of a request with a key.
struct Copy
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
    /// The entry is Running now and the caller of receive() dispatches it.
    Dispatch,
    /// The entry is Claiming now and the caller of receive() appends a claim.
    Claim,
    /// An earlier copy is in flight; the copy waits for the same answer.
    Wait,
    /// Only another incarnation can answer.
    AskOwner,
    Answer,
};

struct Decision
{
    Verdict verdict = Verdict::Answer;
    KeyAnswer answer;
    IncarnationId owner;
};

/// Judges one copy of a request. A Dispatch or Claim verdict has created the entry.
Decision receive(Ledger &ledger, const Copy &copy);
Entry *findEntry(Ledger &ledger, const ScopedKey &key);
/// Returns the answer for later copies of a closed entry.
KeyAnswer answerOf(const Entry &entry);
bool isClosed(EntryState state);

void closeDone(Ledger &ledger, const ScopedKey &key, std::shared_ptr<const HttpResponse> answer);
void closeUnknown(Ledger &ledger, const ScopedKey &key, ErrorKind kind);
/// Ends an entry that was not run and never will be. A bound key is closed at once (returns true).
/// A plain key waits for its release (returns false): the caller appends it.
bool closeNotRun(Ledger &ledger, const ScopedKey &key, ErrorKind kind);
/// Gives up a claim that was not read back.
void giveUp(Ledger &ledger, const ScopedKey &key);

enum class ClaimVerdict {
    /// Not the first claim, or a key below the watermark.
    Ignored,
    /// This incarnation may dispatch the key now.
    Won,
    /// This incarnation holds the claim but has given up or may not dispatch any more: release it.
    WonTooLate,
    /// The own claim was read back when the key was too old to tell whether it is the first.
    Expired,
    /// Another incarnation may dispatch the key.
    Lost,
};
/// Applies a claim in log order.
ClaimVerdict readClaim(Ledger &ledger, const wire::ClaimT &claim, IncarnationId from,
                       WallTime wallTime);
/// Applies a release in log order. Returns true if the key is closed by it.
bool readRelease(Ledger &ledger, const wire::ReleaseT &release, IncarnationId from);
/// Returns true if the key's service belongs to the ledger's lane.
bool isOwnLane(const Ledger &ledger, std::uint64_t service);
ScopedKey keyOf(const wire::KeyId &key, std::uint64_t service);

/// Makes room for one more entry by evicting the oldest that is not in flight. Returns false if
/// every entry is in flight.
bool makeRoom(Ledger &ledger);
/// Drops the oldest answers above the limit; their entries stay.
void limitRetained(Ledger &ledger);

/// Entries in one part of a seal: 8,192 entries of 32 bytes are a quarter of the record limit.
inline constexpr std::size_t sealPartEntries = 8192;

/// Closes the ledger for good and returns its seal. Entries in flight are sealed as unknown.
std::vector<wire::SealT> makeSeal(Ledger &ledger);

/// The parts of one incarnation's seal.
struct SealParts
{
    std::uint32_t lanes = 0;
    /// Parts seen, by lane.
    std::map<std::uint32_t, std::set<std::uint32_t>> seen;
    std::map<std::uint32_t, std::uint32_t> parts;
    std::map<std::uint32_t, WallTime> watermarks;
    /// State and HTTP status by service, high and low half of the key.
    std::map<std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>,
             std::pair<wire::KeyState, std::uint16_t>>
        entries;
};

/// Seals of other incarnations, bounded; a dropped seal only makes answers unknown.
struct Seals
{
    std::map<IncarnationId, SealParts> byIncarnation;
    std::deque<IncarnationId> order;
    std::size_t maxEntries = 0;
    std::size_t entryCount = 0;
};

/// Adds one part; parts that are already known are ignored.
void addSealPart(Seals &seals, IncarnationId incarnation, const wire::SealT &seal);
/// Returns the answer for a key that \a owner could have dispatched; nothing without its complete
/// seal.
std::optional<KeyAnswer> answerFromSeal(const Seals &seals, IncarnationId owner,
                                        const ScopedKey &key);

/// One crash of a backend server and the requests that ran on it.
struct Crash
{
    std::set<std::uint64_t> fingerprints;
    /// Fingerprints whose part in this crash an operator has cleared.
    std::set<std::uint64_t> cleared;
    std::string service;
    /// True if every request that the reporting instance ran on the backend server is known. Hints
    /// come one by one, so a crash known from them alone may lack requests.
    bool isComplete = false;
};

/// Backend server and expiry in wall clock milliseconds; tells crashes apart. The expiry is the
/// time of the crash plus a constant, so both copies of a suspicion (log, hint) name one crash.
using CrashId = std::pair<std::string, std::uint64_t>;

struct Quarantine
{
    std::map<CrashId, Crash> crashes;
    /// Fingerprints that isSuspect() reports; follows from \c crashes.
    std::set<std::uint64_t> suspects;
    /// Suspects that were answered since their last crash while they ran alone. They need not run
    /// alone any more, but their crashes still count.
    std::set<std::uint64_t> exonerated;
    std::size_t maxCrashes = 4096;
};

/// Adds the suspicions of one crash or one record. \a isComplete as in Crash.
void addSuspicions(Quarantine &quarantine,
                   const std::vector<const wire::CrashSuspicionT *> &suspicions, bool isComplete);
/// Returns true if the fingerprint took part in a crash that has neither expired nor been cleared,
/// and its isolation has not ended since.
bool isSuspect(const Quarantine &quarantine, std::uint64_t fingerprint);
/// Returns true after \a crashLimit crashes that have no other fingerprint in common.
bool isQuarantined(const Quarantine &quarantine, std::uint64_t fingerprint,
                   std::uint64_t crashLimit);
/// Ends the isolation of a suspect until its next crash. Without this a frequent request that ran
/// beside a crash once would take whole backend servers until the suspicion expires.
void exonerate(Quarantine &quarantine, std::uint64_t fingerprint);
/// Returns true if something was cleared.
bool clearQuarantine(Quarantine &quarantine, std::uint64_t fingerprint);
void expireCrashes(Quarantine &quarantine, WallTime wallTime);

/// Record ids that were read, so that a second copy of a record is ignored. Bounded: of each
/// incarnation the most recent ids are held one by one, and older ids count as seen.
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
