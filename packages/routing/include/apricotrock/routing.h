#pragma once

#include "apricotrock/base.h"
#include "apricotrock/config.h"
#include "apricotrock/http.h"

#include <random>
#include <set>
#include <unordered_map>

namespace apricotrock::routing {

enum class RequestClass { Lookup, Action };

/// A request that waits for a backend server or runs on one.
struct Request
{
    RequestId id = 0;
    std::string service;
    RequestClass requestClass = RequestClass::Lookup;
    /// Identifies the caller for fair queueing; its address if it sends no name.
    std::string caller;
    TimePoint deadline;
    /// Runs alone on its backend server, because it is suspected of crashing servers.
    bool isIsolated = false;
};

/// Instructs the caller of a routing function to send one attempt of a request.
struct AttemptStart
{
    AttemptId attempt = 0;
    RequestId request = 0;
    std::string backendServer;
    Endpoint address;
    TimePoint deadline;
    /// Actions never use a pooled connection.
    bool useNewConnection = false;
    bool isHedge = false;
};

enum class AttemptStatus {
    /// A complete answer arrived.
    Answered,
    /// The backend server refused with proof that nothing ran (429 or 503 with
    /// `Request-Outcome: not-run`).
    Shed,
    /// No byte of the request was written.
    ConnectFailed,
    /// The connection ended before a complete answer.
    ConnectionLost,
    /// Truncated, oversized or malformed answer.
    AnswerInvalid,
    Timeout,
    Cancelled,
};

/// Result of one attempt, as seen by the connection to the backend server.
struct AttemptResult
{
    AttemptId attempt = 0;
    AttemptStatus status = AttemptStatus::Answered;
    /// HTTP status of a complete answer.
    int httpStatus = 0;
    Duration latency{};
    std::optional<LoadReport> load;
    bool isDraining = false;
};

/// Instructs the caller of a routing function to probe a backend server.
struct ProbeStart
{
    std::string backendServer;
    Endpoint address;
    std::string path;
    TimePoint deadline;
};

struct ProbeResult
{
    std::string backendServer;
    bool isHealthy = false;
    Duration latency{};
    std::optional<LoadReport> load;
    bool isDraining = false;
};

/// Load of a backend server as measured by a peer instance.
struct LoadHint
{
    std::string backendServer;
    LoadReport load;
    /// Age at the time of the call.
    Duration age{};
    bool isLeaving = false;
};

/// The request ended without a usable answer.
struct RequestFailure
{
    RequestId request = 0;
    ErrorKind kind = ErrorKind::NoBackendServer;
};

/// What the caller of a routing function has to do.
struct Output
{
    std::vector<AttemptStart> starts;
    std::vector<AttemptId> cancels;
    std::vector<ProbeStart> probes;
    /// Requests whose answered attempt is the one to return.
    std::vector<std::pair<RequestId, AttemptId>> completions;
    std::vector<RequestFailure> failures;
};

/// Reasons counted by the routing functions; see counters() for their names.
enum class Counter {
    RetryAfterConnectFailed,
    RetryAfterShed,
    RetryAfterConnectionLost,
    RetryAfterInvalidAnswer,
    RetryAfterTimeout,
    RetryDeniedByBudget,
    HedgeStarted,
    HedgeWon,
    HedgeDeniedByBudget,
    ProbeStarted,
    ProbeDeniedByBudget,
    EndpointEjected,
    EndpointReturned,
    EjectionDeniedByCap,
    DrainSeen,
    Count,
};

struct State;

/// Parameters of an instance that all services share.
struct InstanceParameters
{
    std::string instance;
    std::string availabilityZone;
    /// Divides the probe budget and the connections of each backend server.
    std::uint64_t maxInstances = 20;
    std::uint64_t seed = 0;
};

/// The state is owned through a pointer so that its layout stays private to this library.
struct StateDeleter
{
    void operator()(State *state) const;
};
using StatePtr = std::unique_ptr<State, StateDeleter>;

StatePtr makeState(const InstanceParameters &parameters, TimePoint now);

/// Replaces the services and backend servers. Requests in flight continue; waiting requests of a
/// removed service fail.
void applyConfiguration(State &state, const Configuration &configuration, TimePoint now,
                        Output &output);
/// Starts the request on a backend server, queues it or refuses it.
void submitRequest(State &state, const Request &request, TimePoint now, Output &output);
/// Ends a request whose caller has disconnected. Returns true if no attempt of it was ever started.
bool cancelRequest(State &state, RequestId request, TimePoint now, Output &output);
void finishAttempt(State &state, const AttemptResult &result, TimePoint now, Output &output);
void finishProbe(State &state, const ProbeResult &result, TimePoint now, Output &output);
/// Expires deadlines, starts hedges and probes, and returns ejected backend servers to service.
void advanceTime(State &state, TimePoint now, Output &output);
/// Returns the time at which advanceTime() must be called next.
TimePoint nextDeadline(const State &state);
void applyLoadHint(State &state, const LoadHint &hint, TimePoint now);
/// Excludes the backend server from new attempts. Older reports or probes do not undo this.
void markLeaving(State &state, const std::string &backendServer, TimePoint now, Output &output);
/// Discards loads and failures measured before a pause of the process.
void resetLearnedState(State &state, TimePoint now);

/// Returns at most \a limit recent load reports and leaving marks for the peers: leaving marks
/// first, each kind newest first.
std::vector<LoadHint> collectHints(State &state, TimePoint now, std::size_t limit);
std::uint64_t counter(const State &state, Counter counter);
std::string_view counterName(Counter counter);

/// One backend server in the status document.
struct BackendStatus
{
    std::string name;
    std::string service;
    std::string state;
    std::uint64_t outstanding = 0;
    double estimatedLoad = 0;
    double concurrencyLimit = 0;
};
std::vector<BackendStatus> backendStatus(const State &state, TimePoint now);
/// Returns the names of the backend servers that have attempts in flight together with \a attempt's
/// and the requests running on the same backend server, the request of \a attempt included.
std::vector<RequestId> requestsSharingServer(const State &state, AttemptId attempt);
/// Returns the number of requests that wait or run.
std::size_t activeRequests(const State &state);

} // namespace apricotrock::routing
