#pragma once

#include "apricotrock/engine.h"
#include "apricotrock/ledger.h"

namespace apricotrock::engine {

/// Interval of load hints to peers. With the heartbeat that carries them (0.5 s by default) a
/// leaving mark reaches every peer within the 2 s of the design.
inline constexpr Duration hintInterval = std::chrono::milliseconds(500);
/// Hints in one round; 16 entries of about 60 bytes keep a round near 1 KB.
inline constexpr std::size_t hintsPerRound = 16;
/// Time for which each round of hints repeats a suspicion, because a round may replace the one
/// before it; receivers ignore copies.
inline constexpr Duration suspicionRepeat = std::chrono::seconds(2);
/// Connections that end together within this time after a backend server's crash belong to it.
inline constexpr Duration crashWindow = std::chrono::seconds(1);

/// A request that has not been replied to.
struct Waiter
{
    RequestId id = 0;
    std::string service;
    std::string caller;
    std::shared_ptr<const HttpRequest> request;
    std::optional<IncarnationId> forwardFrom;
    routing::RequestClass requestClass = routing::RequestClass::Lookup;
    bool isStatusQuery = false;
    /// Set for actions with a key.
    std::optional<IdempotencyKey> key;
    std::uint64_t fingerprint = 0;
    TimePoint deadline;
    /// The owner that a ForwardRequest went to.
    std::optional<IncarnationId> askedOwner;
};

/// A request that routing knows under the id of its first waiter. It outlasts its waiters if an
/// action was dispatched.
struct Execution
{
    std::shared_ptr<const HttpRequest> request;
    routing::RequestClass requestClass = routing::RequestClass::Lookup;
    std::string service;
    std::uint64_t fingerprint = 0;
    std::optional<ledger::ScopedKey> key;
    bool isIsolated = false;
    unsigned startedAttempts = 0;
    /// Ended attempts with proof that the backend server ran nothing.
    unsigned provenNotRun = 0;
    std::map<AttemptId, std::shared_ptr<const HttpResponse>> answers;

    [[nodiscard]] bool mayHaveRun() const { return startedAttempts > provenNotRun; }
};

/// An attempt that the backend side has not finished.
struct Attempt
{
    RequestId execution = 0;
    std::string backendServer;
    std::optional<ledger::ScopedKey> key;
    TimePoint started;
};

/// The waiters of one key and its execution, once dispatched.
struct KeyInFlight
{
    std::vector<RequestId> waiters;
    std::optional<RequestId> execution;
};

struct State
{
    Parameters parameters;
    routing::StatePtr routing;
    ledger::Ledger ledger;
    ledger::Seals seals;
    ledger::Quarantine quarantine;
    ledger::SeenRecords seenRecords;
    std::shared_ptr<const AcceptedConfiguration> configuration;
    std::map<RequestId, Waiter> waiters;
    std::set<std::pair<TimePoint, RequestId>> deadlines;
    std::map<RequestId, Execution> executions;
    std::map<AttemptId, Attempt> attempts;
    std::map<ledger::ScopedKey, KeyInFlight> keys;
    std::set<IncarnationId> reachable;
    /// Time of the last crash by backend server.
    std::map<std::string, TimePoint> lastCrash;
    std::map<std::string, std::uint64_t> counters;
    TimePoint nextHints;
    /// Own suspicions that hints still repeat, with the time of the crash.
    std::deque<std::pair<TimePoint, wire::CrashSuspicionT>> toldSuspicions;
    /// Latest wall clock time that an event told.
    WallTime wallTime;
    std::uint64_t lastSuspicionExpiry = 0;
    /// Until an event tells otherwise the log is taken as available; a claim that is not read back
    /// is never dispatched.
    bool isLogAvailable = true;
    std::size_t sealParts = 0;
    std::set<std::uint32_t> sealPartsRead;
};

/// What one step works on.
struct Context
{
    State &state;
    TimePoint now;
    std::vector<Effect> &effects;
};

// request.cpp: intake and the end of the wait.

void arrive(Context &context, const RequestArrived &event);
void leave(Context &context, RequestId id, ErrorKind kind);
void expireWaiters(Context &context);
void finishForward(Context &context, const ForwardAnswered &event);
/// Replies to \a waiter from the owner's seal, asks the owner, or answers OwnerUnreachable.
void askOwner(Context &context, Waiter waiter, IncarnationId owner);
void addWaiter(Context &context, Waiter waiter);

// execution.cpp: dispatch through routing.

void dispatchKey(Context &context, const ledger::ScopedKey &key);
void submit(Context &context, const Waiter &waiter, std::optional<ledger::ScopedKey> key,
            TimePoint deadline);
void applyOutput(Context &context, const routing::Output &output);
/// Ends an execution in routing; its running attempts are cancelled.
void cancelExecution(Context &context, RequestId id);
/// Cancels the executions that \a isRefused chooses and fails them with \a kind.
void refuseExecutions(Context &context, ErrorKind kind,
                      const std::function<bool(const Execution &)> &isRefused);
/// Ends an execution and replies to its waiters.
void failExecution(Context &context, RequestId id, ErrorKind kind);
/// Closes a key that was not run; replies to its waiters now or when its release is read back.
void refuseKey(Context &context, const ledger::ScopedKey &key, ErrorKind kind);
void finishAttempt(Context &context, const AttemptFinished &event);

// reply.cpp

void reply(Context &context, RequestId id, ErrorKind kind, Outcome outcome);
void reply(Context &context, const Waiter &waiter, const ledger::KeyAnswer &answer);
void reply(Context &context, RequestId id, const ledger::KeyAnswer &answer);
/// Replies to every waiter of \a key.
void replyAll(Context &context, const ledger::ScopedKey &key, const ledger::KeyAnswer &answer);
/// Removes a waiter from every index.
Waiter takeWaiter(Context &context, RequestId id);
void count(State &state, std::string_view counter);

// logevents.cpp

void readRecord(Context &context, const LogRecordRead &event);
void setLogState(Context &context, bool isAvailable);
void appendClaim(Context &context, const Waiter &waiter);
void appendRelease(Context &context, const ledger::ScopedKey &key);
void seal(Context &context);

// step.cpp

/// Tells peers the loads and recent suspicions, and \a seals.
void tellPeers(Context &context, std::vector<wire::SealT> seals);

// crashes.cpp

/// Records a suspicion against the requests that ran beside a lost attempt.
void recordCrash(Context &context, AttemptId attempt);
/// Refuses executions whose fingerprint has become quarantined.
void enforceQuarantine(Context &context);
bool isQuarantined(const State &state, std::string_view service, std::uint64_t fingerprint);
void receiveSuspicion(Context &context, const SuspicionHintReceived &event);
void clearByOperator(Context &context, std::uint64_t fingerprint);
std::vector<QuarantineStatus> quarantineStatus(const State &state);

/// Returns the policy of \a service, or nothing if the configuration does not have it.
const Policy *policyOf(const State &state, std::string_view service);

} // namespace apricotrock::engine
