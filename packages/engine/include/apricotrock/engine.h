#pragma once

#include "apricotrock/base.h"
#include "apricotrock/config.h"
#include "apricotrock/http.h"
#include "apricotrock/routing.h"
#include "apricotrock/wire.h"

#include <variant>

namespace apricotrock::engine {

/// Events that drive the engine. The time of an event is an argument of step().

/// A request of a caller, or a forwarded request of a peer (then \c forwardedBy is set).
struct RequestArrived
{
    RequestId id = 0;
    std::string service;
    std::string caller;
    HttpRequest request;
    /// Not set for a request without a key.
    std::optional<IdempotencyKey> key;
    /// Time left, as requested by the caller; if not set, the deadline of the policy applies.
    std::optional<Duration> timeLeft;
    /// Asks for the outcome of the key only; nothing is run.
    bool isStatusQuery = false;
    /// The peer that forwarded the request; its answer goes back there.
    std::optional<IncarnationId> forwardedBy;
    /// Wall clock time at arrival, for the age of the key.
    WallTime wallTime;
};

/// The caller closed its connection.
struct CallerGone
{
    RequestId id = 0;
};

/// Occurs exactly once for each StartAttempt, including cancelled ones.
struct AttemptFinished
{
    routing::AttemptResult result;
    /// Complete answer; set if the status is Answered or Shed.
    std::shared_ptr<const HttpResponse> response;
};

struct ProbeFinished
{
    routing::ProbeResult result;
};

struct TimeAdvanced
{
    WallTime wallTime;
};

struct ConfigurationAccepted
{
    std::shared_ptr<const AcceptedConfiguration> configuration;
};

/// A record of the events stream, in log order from the first record that the log still holds. The
/// engine ignores a record id that it has already processed.
struct LogRecordRead
{
    std::uint64_t offset = 0;
    std::shared_ptr<const wire::LogRecordT> record;
    WallTime wallTime;
};

/// The events stream could not be read or appended to, or can be again. The engine assumes
/// that it is available until the first such event.
struct LogStateChanged
{
    bool isAvailable = false;
};

struct LoadHintReceived
{
    routing::LoadHint hint;
};

/// A crash suspicion received directly from a peer, not through the log.
struct SuspicionHintReceived
{
    RecordId id;
    wire::CrashSuspicionT suspicion;
};

/// A part of a seal received directly from a peer, not through the log.
struct SealHintReceived
{
    IncarnationId incarnation;
    wire::SealT seal;
};

/// Answer to a ForwardRequest.
struct ForwardAnswered
{
    RequestId id = 0;
    /// Null if the peer could not be reached or did not answer in time.
    std::shared_ptr<const HttpResponse> response;
};

/// The incarnations that this instance can reach now.
struct PeersChanged
{
    std::vector<IncarnationId> reachable;
};

struct BackendServerLeaving
{
    std::string backendServer;
};

/// An operator clears the quarantine of a request.
struct QuarantineClearRequested
{
    std::uint64_t fingerprint = 0;
};

/// The process detected that it was suspended or got no CPU time.
struct PauseDetected
{
    Duration length{};
};

/// Seal the ledger: no request is left, and none will be accepted.
struct SealRequested
{ };

using Event =
    std::variant<RequestArrived, CallerGone, AttemptFinished, ProbeFinished, TimeAdvanced,
                 ConfigurationAccepted, LogRecordRead, LogStateChanged, LoadHintReceived,
                 SuspicionHintReceived, SealHintReceived, ForwardAnswered, PeersChanged,
                 BackendServerLeaving, QuarantineClearRequested, PauseDetected, SealRequested>;

/// Effects that step() asks for.

struct StartAttempt
{
    routing::AttemptStart start;
    std::shared_ptr<const HttpRequest> request;
};

struct CancelAttempt
{
    AttemptId attempt = 0;
};

/// Ends a request; sent exactly once for each RequestArrived, also after CallerGone.
struct Reply
{
    RequestId id = 0;
    std::shared_ptr<const HttpResponse> response;
    /// Set for answers that no backend server gave.
    std::optional<ErrorKind> error;
    Outcome outcome = Outcome::Unknown;
    std::optional<IncarnationId> forwardedBy;
    routing::RequestClass requestClass = routing::RequestClass::Lookup;
};

/// Appends entries to the events stream; the platform side gives the record its id.
struct AppendEntries
{
    std::vector<std::shared_ptr<const wire::LogEntryT>> entries;
    /// An append that has not been sent by this time is dropped, as it no longer has any use.
    TimePoint deadline;
};

/// Forwards a request to the owner of its key.
struct ForwardRequest
{
    RequestId id = 0;
    IncarnationId owner;
    std::string service;
    IdempotencyKey key;
    std::shared_ptr<const HttpRequest> request;
    std::string caller;
    TimePoint deadline;
    bool isStatusQuery = false;
};

struct SendProbe
{
    routing::ProbeStart probe;
};

struct SendHints
{
    std::vector<routing::LoadHint> loads;
    std::vector<wire::CrashSuspicionT> suspicions;
    std::vector<wire::SealT> seals;
};

using Effect = std::variant<StartAttempt, CancelAttempt, Reply, AppendEntries, ForwardRequest,
                            SendProbe, SendHints>;

/// Fixed parameters of one lane's engine.
struct Parameters
{
    routing::InstanceParameters instance;
    IncarnationId incarnation;
    std::uint32_t lane = 0;
    std::uint32_t lanes = 1;
    std::chrono::milliseconds keyMaxAge{};
    std::chrono::milliseconds clockTolerance{};
    std::size_t ledgerEntries = 0;
    std::size_t retainedAnswerBytes = 0;
    Duration defaultDeadline{};
    Duration maxDeadline{};
};

struct State;

struct StateDeleter
{
    void operator()(State *state) const;
};
using StatePtr = std::unique_ptr<State, StateDeleter>;

StatePtr makeState(const Parameters &parameters, TimePoint now);

/// Applies one event and appends the effects that follow from it. Does no I/O and reads no clock.
void step(State &state, const Event &event, TimePoint now, std::vector<Effect> &effects);

/// Returns the time at which a TimeAdvanced event must come next.
TimePoint nextDeadline(const State &state);

/// Returns the lane that runs \a service.
std::uint32_t laneOf(std::string_view service, std::uint32_t lanes);

/// One quarantined or suspected request.
struct QuarantineStatus
{
    std::uint64_t fingerprint = 0;
    std::string service;
    std::uint64_t crashes = 0;
    bool isQuarantined = false;
    std::chrono::milliseconds timeLeft{};
};

/// Snapshot of one lane for metrics and the status document.
struct Status
{
    std::uint64_t configurationVersion = 0;
    std::vector<routing::BackendStatus> backendServers;
    std::vector<QuarantineStatus> quarantines;
    std::map<std::string, std::uint64_t> counters;
    std::size_t ledgerEntries = 0;
    std::size_t activeRequests = 0;
    /// True after the seal was written and read back from the log.
    bool isSealed = false;
};
Status status(const State &state, TimePoint now);

/// One line of a trace: an event or an effect with the time since the start of the trace.
/// JSON lines; the format is documented in docs/traces.md.
std::string formatEvent(const Event &event, Duration time);
std::string formatEffect(const Effect &effect, Duration time);
Result<std::pair<Event, Duration>> parseEvent(const std::string &line);
/// The first line of a trace: what makeState() needs.
std::string formatParameters(const Parameters &parameters);
Result<Parameters> parseParameters(const std::string &line);

/// Returns the first lines of a trace that is recorded from now on: parameters, configuration,
/// peers and the state of the log. The ledger and requests in flight are not part of it.
std::string formatTraceStart(const State &state, Duration time);

/// Result of replaying a trace.
struct ReplayReport
{
    /// Number of events passed to step().
    std::size_t events = 0;
    /// Number of effects, including load hints and probes.
    std::size_t effects = 0;
    /// Number of expectations checked.
    std::size_t expectations = 0;
    /// One message for each expectation that does not hold, with its line number.
    std::vector<std::string> failures;
    /// The effects in trace format, without load hints and probes.
    std::string output;
};

/// Runs the events of a trace through step() and checks its expectations. Effect lines of the
/// trace are ignored. Returns an error that names the line if the trace is malformed.
Result<ReplayReport> replayTrace(const std::string &text);

} // namespace apricotrock::engine
