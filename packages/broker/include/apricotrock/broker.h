#pragma once

#include "apricotrock/base.h"

#include <array>
#include <unordered_map>

/// Admission control and server selection for the backend servers of one service: each request for
/// a slot is granted, queued or refused.
///
/// One instance, the leader of the service, assigns the slots for all instances, so that it knows
/// each attempt and the newest load report. Every instance can be the leader. Two leaders at the
/// same time make decisions worse but break no guarantee. All functions are free of I/O and of
/// clock reads.
namespace apricotrock::broker {

using ServerKey = std::uint64_t;
using RouteKey = std::uint64_t;
using OrganisationKey = std::uint64_t;

/// Load that a backend server reports about itself.
struct LoadReport
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /// Factor by which work takes longer on its machine now; 1 is normal.
    double slowdown = 1.0;
};

enum class AttemptOutcome : std::uint8_t {
    Answered,
    /// The backend server answered with an error of its own.
    Failed,
    /// The backend server reported that it did not run the request.
    Rejected,
    ConnectFailed,
    /// The connection ended before a complete answer.
    Lost,
    TimedOut,
    /// The attempt was ended by this system.
    Cancelled,
};

enum class Verdict : std::uint8_t { Granted, Queued, Refused };

enum class RefusalReason : std::uint8_t {
    None,
    NoServer,
    DeadlineUnmeetable,
    QueueFull,
    RetryBudget,
    /// Too few slots were free for a hedge, or no server would answer it before the deadline.
    HedgeNotUseful,
    /// Requests with the same fingerprint have crashed several servers.
    Quarantined,
    /// Every server has told the instance to send nothing until after the deadline.
    ServersPaused,
    /// The hedge would exceed Policy::hedgeLimit, or others gain more by what is left of it.
    HedgeLimit,
};

/// Identifies an attempt by the instance that requests it and the ticket that it has there.
struct AttemptKey
{
    std::uint64_t instance = 0;
    std::uint64_t ticket = 0;

    auto operator<=>(const AttemptKey &) const = default;
};

struct AttemptKeyHash
{
    std::size_t operator()(const AttemptKey &key) const
    {
        return hash64({reinterpret_cast<const char *>(&key), sizeof(key)});
    }
};

inline constexpr std::size_t maxExcludedServers = 3;

/// Request for a slot of any backend server of the service, to send one attempt.
struct AttemptRequest
{
    AttemptKey key;
    RouteKey route = 0;
    /// Equal for requests that a server can't distinguish; 0 if there is none.
    std::uint64_t fingerprint = 0;
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// Attempts that were sent before this one.
    unsigned earlierAttempts = 0;
    /// True for a second attempt that is sent while an earlier one is still running.
    bool isHedge = false;
    /// Latency target of the route; the work is estimated from it until there are samples.
    Duration objective{};
    /// Time until which an answer meets the latency target.
    TimePoint target;
    /// Time by which the caller must have its final answer.
    TimePoint deadline;
    std::array<ServerKey, maxExcludedServers> excluded{};
    /// Number of the availability zone of the instance that sends the request.
    std::uint32_t zone = 0;
    /// Organisation of the caller; 0 is none.
    OrganisationKey organisation = 0;
    /// Weight of the organisation among those that share the service.
    double weight = 0;
};

struct Decision
{
    AttemptKey key;
    Verdict verdict = Verdict::Queued;
    RefusalReason reason = RefusalReason::None;
    ServerKey server = 0;
    /// Expected time to the answer of a granted attempt.
    Duration expected{};
    /// Recommended pause before the caller of a refused request retries.
    Duration retryAfter{};
    /// Age of the load report that the decision is based on; negative if there was none.
    Duration reportAge{};
    /// Number of slots of the chosen server, and how many of them are taken now. Totals of the
    /// service if the request was refused.
    unsigned slots = 0;
    unsigned taken = 0;
    /// Length of the queue when the request was refused.
    unsigned waiting = 0;
};

struct AttemptEnd
{
    AttemptKey key;
    ServerKey server = 0;
    AttemptOutcome outcome = AttemptOutcome::Answered;
    std::optional<LoadReport> load;
    Duration duration{};
    /// Time for which the server wants no requests from the instance of the attempt; 0 if it did
    /// not say so.
    Duration pause{};
};

struct ServerInfo
{
    ServerKey key = 0;
    unsigned slots = 1;
    /// False while the server drains or is gone.
    bool isUsable = true;
    TimePoint slowStartUntil;
    std::uint32_t zone = 0;
    /// Distinguishes processes of the server that have the same key.
    std::uint64_t process = 0;
    /// Limit of the attempts per second that are started while the server is cold; 0 is none.
    double coldStartsPerSecond = 0;
};

struct Policy
{
    /// Limit of retries in a window: ratio * requests + slack, summed over all instances.
    double retryRatio = 0.2;
    double retrySlack = 0;
    Duration retryWindow = std::chrono::seconds(10);
    /// Limit of hedges in a window, from 0 to 1, as a share of the requests of a service and of
    /// their slot time; applies in addition to the limit of retries. Without a value, only that one
    /// applies.
    std::optional<double> hedgeLimit;
    /// Age of a load report at which a probe refreshes it.
    Duration probeInterval = std::chrono::milliseconds(50);
    /// Limit of probes per second to all servers of a service, such that a small instance can
    /// carry it.
    double probesPerSecond = 300;
};

/// An attempt that occupies a slot.
struct ActiveAttempt
{
    AttemptKey key;
    RouteKey route = 0;
    std::uint64_t fingerprint = 0;
    TimePoint expectedEnd;
    /// The slot counts as free after this, even if the end of the attempt was not reported.
    TimePoint expires;
    /// Expected duration in relation to the work of the route, as of the start of the attempt; used
    /// to normalize its duration.
    double factor = 1.0;
    /// Slowdown that the server reported at the start of the attempt; 0 if there was no report.
    double slowdown = 0;
    OrganisationKey organisation = 0;
    /// Duration in seconds that was expected at the start; the organisation was charged with it.
    double expectedSeconds = 0;
    bool isHedge = false;
    /// Slot time in seconds by which HedgeUse was increased at the start.
    double hedgeUseSeconds = 0;
};

/// An attempt whose connection ended before an answer.
struct LostAttempt
{
    std::uint64_t fingerprint = 0;
    TimePoint ended;
};

/// Crashes of servers that were running requests with the same fingerprint.
struct CrashSuspect
{
    /// Identifies the crashed processes, so that each counts once, whoever reports it. Limited to
    /// the number that matters.
    std::vector<std::uint64_t> processes;
    TimePoint last;
};

/// What one instance tells others about the crashes of one fingerprint.
struct CrashReport
{
    std::uint64_t fingerprint = 0;
    /// As CrashSuspect::processes; empty if a server has answered such a request since.
    std::vector<std::uint64_t> processes;
    /// Time since the last of the crashes.
    Duration age{};
};

struct ServerState
{
    ServerInfo info;
    std::vector<ActiveAttempt> activeAttempts;
    std::vector<LostAttempt> lostAttempts;
    std::optional<LoadReport> report;
    TimePoint reported;
    TimePoint lastProbed;
    /// Attempts since the last probe beyond ServerInfo::coldStartsPerSecond, as of the second
    /// value.
    double uncheckedStarts = 0;
    TimePoint uncheckedStartsUpdated;
    /// Load from attempts that this state doesn't know, estimated from load reports.
    double untrackedLoad = 0;
    TimePoint untrackedLoadUpdated;
    /// Moving ratio of the duration of attempts to the estimate.
    double bias = 1.0;
    TimePoint biasUpdated;
    /// Moving average of the share of attempts without a usable answer.
    double failureShare = 0;
    TimePoint failureShareUpdated;
    /// The server gets no attempts until this; the pause grows with consecutive connection
    /// failures.
    TimePoint unreachableUntil;
    unsigned connectFailures = 0;
    /// ServerInfo::slowStartUntil as last passed to setServers(); learnCold() may have changed it
    /// since.
    TimePoint recordedSlowStart;
    /// Attempts that may be started while the server is cold, as of the second value.
    double coldStarts = 0;
    TimePoint coldStartsUpdated;
    /// True if this process of the server has answered a probe or an attempt.
    bool hasAnswered = false;
};

struct RouteState
{
    /// Mean duration at normal speed, without other attempts on the server.
    double workSeconds = 0;
    unsigned samples = 0;
};

/// A server that wants no requests from one instance for some time. Other instances may send to it.
struct ServerPause
{
    ServerKey server = 0;
    TimePoint until;
};

/// Counts requests and extra attempts (retries and hedges) in slices of the retry window.
struct RetryBudget
{
    struct Slice
    {
        std::int64_t index = -1;
        unsigned requests = 0;
        unsigned extraAttempts = 0;
    };
    static constexpr std::size_t slices = 20;
    std::array<Slice, slices> window{};
};

/// Counts requests, hedges and their slot time in slices of the retry window.
struct HedgeUse
{
    struct Slice
    {
        std::int64_t index = -1;
        unsigned requests = 0;
        unsigned hedges = 0;
        /// Slot time of all attempts that are not hedges.
        double requestSeconds = 0;
        double hedgeSeconds = 0;
    };
    static constexpr std::size_t slices = RetryBudget::slices;
    std::array<Slice, slices> window{};
    /// Time of the last refusal, because of the limit, of a hedge that could have met its target.
    TimePoint lastUsefulRefusal{};
};

/// Recent use of a service by one organisation.
struct OrganisationUse
{
    /// Slot time in seconds as of the second value; it decays exponentially.
    double seconds = 0;
    TimePoint updated;
    TimePoint lastRequest;
    double weight = 0;
};

/// Use of a service by the organisations that sent requests lately.
struct Sharing
{
    std::unordered_map<OrganisationKey, OrganisationUse> organisations;
    /// Sum of OrganisationUse::seconds as of the second value.
    double totalSeconds = 0;
    TimePoint updated;
    double totalWeight = 0;
    TimePoint lastCleanup;
};

/// Expected work in seconds of the queued requests that can meet their target.
struct QueuedWork
{
    double total = 0;
    /// Work of the requests whose organisation is within its share.
    double withinShare = 0;
};
inline constexpr std::size_t queuedWorkPriorities = 8;

/// Slots and queue length of a service.
struct ServiceLoad
{
    unsigned slots = 0;
    unsigned taken = 0;
    std::size_t waiting = 0;
    /// Cold servers that may get an attempt now. Each counts as one of the slots.
    unsigned readyColdServers = 0;
    /// Cold servers that may get none now; the slots don't include theirs.
    unsigned delayedColdServers = 0;
    /// Attempts per second that may be started on all cold servers.
    double coldStartsPerSecond = 0;
    /// Shortest time until one of the delayed servers may get an attempt.
    Duration coldStartWait = Duration::max();
};

/// Placement of a request that is queued.
inline constexpr ServerKey queuedPlacement = 0;

struct ServiceState
{
    Policy policy;
    std::unordered_map<ServerKey, ServerState> servers;
    std::unordered_map<RouteKey, RouteState> routes;
    /// Factors by which work takes longer, by the number of attempts that run on the server,
    /// including the measured one; 0 if not learned yet. Learned for the number of slots that most
    /// servers of the service have.
    std::vector<double> occupancyFactors;
    /// Moving average of the bias of servers over attempts. The work of a route is estimated such
    /// that it stays near 1; otherwise work and bias could drift apart without limit, because the
    /// attempts show their product only.
    double meanBias = 1.0;
    /// Moving average over attempts of the share without a usable answer. A server counts as worse
    /// than others only by what its own share exceeds this.
    double meanFailureShare = 0;
    std::unordered_map<std::uint64_t, CrashSuspect> crashSuspects;
    /// Fingerprints whose crashes the other instances have to learn of; see takeCrashReports().
    std::vector<std::uint64_t> changedSuspects;
    /// Pauses by the instance (AttemptKey::instance) that they apply to; one for each server.
    std::unordered_map<std::uint64_t, std::vector<ServerPause>> pauses;
    std::vector<AttemptRequest> queue;
    /// The server of each attempt that occupies a slot, and queuedPlacement for each queued
    /// request.
    std::unordered_map<AttemptKey, ServerKey, AttemptKeyHash> placements;
    /// The load when the servers were last looked at: at each decision while no request is queued,
    /// otherwise at each pass over the queue.
    ServiceLoad lastLoad;
    /// Time of the last pass over the queue.
    TimePoint lastQueuePass;
    RetryBudget budget;
    HedgeUse hedgeUse;
    Sharing sharing;
    /// Work of the queued requests by priority, as of the last pass and with those queued since.
    /// The last element holds all less urgent priorities. Kept only while organisations share the
    /// service.
    std::array<QueuedWork, queuedWorkPriorities> queuedWork;
    /// Time since which this state has received the requests of all instances.
    TimePoint leadingSince;
    bool isLeading = false;
    /// Part of the limit for cold servers that this state may use; less than 1 while it can't reach
    /// the whole fleet, because other parts may have leaders too.
    double coldStartShare = 1.0;
    /// Requests that were queued or refused while a cold server was not allowed to get them.
    std::uint64_t delayedColdStarts = 0;
    /// Servers and queued requests that all decisions so far have examined, with repetitions. In
    /// proportion to their processor time, but the same on every machine.
    std::uint64_t examinedEntries = 0;
};

/// Replaces the set of backend servers and keeps the state of those that remain in it.
void setServers(ServiceState &state, const std::vector<ServerInfo> &servers);

/// Decides about a request for a slot. If the verdict is Queued, a later processQueue() decides.
Decision requestAttempt(ServiceState &state, const AttemptRequest &request, TimePoint now);

/// Removes a request from the queue. Returns false if none with \a key is queued.
bool withdraw(ServiceState &state, const AttemptKey &key);

/// Returns how long \a server wants no requests from \a instance from now on; 0 if it takes them.
Duration remainingPause(const ServiceState &state, std::uint64_t instance, ServerKey server,
                        TimePoint now);

/// Frees the slot of an attempt and updates the estimates from its outcome.
void recordAttemptEnd(ServiceState &state, const AttemptEnd &end, TimePoint now);

/// Ends a request of another instance in any state: queued, granted a slot of the server that
/// \a end names, or granted a slot by a decision that did not arrive (\a end names no server).
void release(ServiceState &state, const AttemptEnd &end, TimePoint now);

/// Records a load report of a backend server.
void learnLoad(ServiceState &state, ServerKey server, const LoadReport &report, TimePoint now);

/// Records for how long a server stays cold from now on, longer or shorter than known before; 0 if
/// it is not cold. Holds until setServers() passes another process or another end of the slow
/// start. Does nothing if the server has no limit for attempts while cold. Returns true if the
/// server became cold or ceased to be.
bool learnCold(ServiceState &state, ServerKey server, Duration remaining, TimePoint now);

/// Returns the number of servers with a limit for cold starts that are cold.
std::size_t coldServerCount(const ServiceState &state, TimePoint now);

/// Records a probe without a usable answer.
void recordProbeFailure(ServiceState &state, ServerKey server, TimePoint now);

/// Returns the crashes that the next leader has to know and that are new since the last call.
/// Single crashes are not reported: most are those of requests that only ran beside the cause.
std::vector<CrashReport> takeCrashReports(ServiceState &state, TimePoint now);
/// Returns all crashes that the next leader has to know.
std::vector<CrashReport> allCrashReports(const ServiceState &state, TimePoint now);
/// Adds what another instance reported. Reports may arrive more than once and in any order.
void applyCrashReport(ServiceState &state, const CrashReport &report, TimePoint now);

/// Returns the shortest time between two passes over the queue: 0 if the service is small,
/// otherwise in proportion to the number of servers and queued requests, because the number of
/// events grows with both.
Duration queuePassInterval(const ServiceState &state);
/// Returns true if processQueue() is due now; see queuePassInterval().
bool isQueuePassDue(const ServiceState &state, TimePoint now);

/// Grants free slots to queued requests and refuses those that can no longer be served.
std::vector<Decision> processQueue(ServiceState &state, TimePoint now);

/// Returns the age of a load report at which it is refreshed: Policy::probeInterval, or longer if
/// the service has so many servers that Policy::probesPerSecond would be exceeded.
Duration probeInterval(const ServiceState &state);

/// Returns the servers whose load must be probed now and marks them as probed.
std::vector<ServerKey> takeDueProbes(ServiceState &state, TimePoint now);

/// Returns the limit of concurrent attempts on a server of \a slots slots: the number with the
/// highest estimated throughput.
unsigned attemptLimit(const ServiceState &state, unsigned slots);

/// Counts one more extra attempt and returns true if it is within the retry budget.
bool tryConsumeRetry(RetryBudget &budget, const Policy &policy, double slackShare, TimePoint now);
/// Counts a first attempt, which increases the retry budget.
void countRequest(RetryBudget &budget, const Policy &policy, TimePoint now);

/// Returns the pause before a hedge is requested again that was refused \a refusals times. It
/// grows, so that requests for hedges do not grow with the duration of attempts.
Duration hedgeRetryDelay(unsigned refusals);

/// Returns the share of hedges in the requests or in the slot time of the last window, whichever is
/// larger, as far as \a state knows them.
double hedgeShare(const ServiceState &state, TimePoint now);
/// Returns false if \a policy switches hedges off.
bool allowsHedges(const Policy &policy);

std::string_view outcomeName(AttemptOutcome outcome);
std::string_view reasonName(RefusalReason reason);

} // namespace apricotrock::broker
