#pragma once

#include "apricotrock/engine.h"
#include "apricotrock/ledger.h"

namespace apricotrock::engine {

/// Interval of load hints to peers. With the heartbeat that carries them (0.5 s by default) a
/// notice of a leaving backend server reaches every peer within the required 2 s.
inline constexpr Duration hintInterval = std::chrono::milliseconds(500);
/// Maximum load hints per message; 16 entries of about 60 bytes keep a message near 1 KB.
inline constexpr std::size_t maxHintsPerMessage = 16;
/// Time for which each hint message repeats a suspicion, because a message may replace the
/// previous one; receivers ignore duplicates.
inline constexpr Duration suspicionRepeat = std::chrono::seconds(2);
/// Connection losses within this time after a backend server's crash are attributed to that crash.
inline constexpr Duration crashWindow = std::chrono::seconds(1);

/// A request that has not been replied to.
struct Waiter
{
    RequestId id = 0;
    std::string service;
    std::string caller;
    std::shared_ptr<const HttpRequest> request;
    std::optional<IncarnationId> forwardedBy;
    routing::RequestClass requestClass = routing::RequestClass::Lookup;
    bool isStatusQuery = false;
    /// Set for actions with a key.
    std::optional<IdempotencyKey> key;
    std::uint64_t fingerprint = 0;
    TimePoint deadline;
    /// The owner that the request was forwarded to.
    std::optional<IncarnationId> forwardedTo;
};

/// A request that routing knows under the id of its first waiter. It outlives its waiters if an
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
    unsigned attemptsProvenNotRun = 0;
    std::map<AttemptId, std::shared_ptr<const HttpResponse>> answers;

    [[nodiscard]] bool mayHaveRun() const { return startedAttempts > attemptsProvenNotRun; }
};

/// An attempt for which no AttemptFinished event has arrived.
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
    std::map<std::string, TimePoint> lastCrashTimes;
    std::map<std::string, std::uint64_t> counters;
    TimePoint nextHints;
    /// Suspicions of this instance that hints still repeat, with the time of the crash.
    std::deque<std::pair<TimePoint, wire::CrashSuspicionT>> recentSuspicions;
    /// Latest wall clock time seen in an event.
    WallTime wallTime;
    std::uint64_t lastSuspicionExpiry = 0;
    /// The log is assumed available until an event reports otherwise. This is safe because a plain
    /// key is dispatched only after its claim has been read back; a bound key has no claim and is
    /// dispatched at once.
    bool isLogAvailable = true;
    std::size_t sealParts = 0;
    std::set<std::uint32_t> sealPartsRead;
};

/// State, time and effects of the step in progress.
struct Context
{
    State &state;
    TimePoint now;
    std::vector<Effect> &effects;
};

// request.cpp: admission of requests and the end of their wait.

void handleArrival(Context &context, const RequestArrived &event);
void endWait(Context &context, RequestId id, ErrorKind kind);
void expireWaiters(Context &context);
void handleForwardAnswer(Context &context, const ForwardAnswered &event);
/// Replies to \a waiter from the owner's seal, forwards it to the owner, or replies
/// OwnerUnreachable.
void forwardToOwner(Context &context, Waiter waiter, IncarnationId owner);
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
Waiter removeWaiter(Context &context, RequestId id);
void incrementCounter(State &state, std::string_view counter);

// logevents.cpp

void readRecord(Context &context, const LogRecordRead &event);
void setLogState(Context &context, bool isAvailable);
void appendClaim(Context &context, const Waiter &waiter);
void appendRelease(Context &context, const ledger::ScopedKey &key);
void seal(Context &context);

// step.cpp

/// Sends load hints, recent suspicions and \a seals to peers.
void sendHints(Context &context, std::vector<wire::SealT> seals);

// crashes.cpp

/// Records a suspicion against the requests that ran beside a lost attempt.
void recordCrash(Context &context, AttemptId attempt);
/// Refuses executions whose fingerprint has become quarantined.
void enforceQuarantine(Context &context);
bool isQuarantined(const State &state, std::string_view service, std::uint64_t fingerprint);
void receiveSuspicion(Context &context, const SuspicionHintReceived &event);
void clearQuarantineByOperator(Context &context, std::uint64_t fingerprint);
std::vector<QuarantineStatus> quarantineStatus(const State &state);

/// Returns the policy of \a service, or nothing if the configuration does not have it.
const Policy *policyOf(const State &state, std::string_view service);

} // namespace apricotrock::engine
