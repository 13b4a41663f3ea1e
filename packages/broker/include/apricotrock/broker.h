#pragma once

#include "apricotrock/base.h"

#include <array>
#include <unordered_map>

/// Slots of the backend servers of one service: who gets one, who waits, who is refused.
///
/// One instance keeps the slots of a service for the whole fleet, so that it knows each attempt and
/// the newest load report. Every instance can do it; two at the same time cost quality, never a
/// guarantee. All functions are free of I/O and of clock reads.
namespace apricotrock::broker {

using ServerKey = std::uint64_t;
using RouteKey = std::uint64_t;

/// Load that a backend server told about itself.
struct LoadReport
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /// How long work takes on its machine now; 1 is usual.
    double slowdown = 1.0;
};

enum class AttemptOutcome : std::uint8_t {
    Answered,
    /// The backend server answered with an error of its own.
    Failed,
    /// The backend server told that it did not run the request.
    Rejected,
    ConnectFailed,
    /// The connection ended before a complete answer.
    Lost,
    TimedOut,
    /// The attempt was ended from this side.
    Cancelled,
};

enum class Verdict : std::uint8_t { Granted, Queued, Refused };

enum class RefusalReason : std::uint8_t {
    None,
    NoServer,
    DeadlineUnmeetable,
    QueueFull,
    RetryBudget,
    /// A hedge found no server that would answer sooner.
    HedgeNotUseful,
    /// The same request has crashed several servers.
    Quarantined,
};

/// Names the asker of a slot.
struct AskKey
{
    std::uint64_t instance = 0;
    std::uint64_t ticket = 0;

    auto operator<=>(const AskKey &) const = default;
};

inline constexpr std::size_t maxExcludedServers = 3;

/// A request that needs a slot of some backend server.
struct Ask
{
    AskKey key;
    RouteKey route = 0;
    /// Equal for requests that a server can't tell apart; 0 is none.
    std::uint64_t fingerprint = 0;
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// Attempts that were sent before this one.
    unsigned earlierAttempts = 0;
    /// A second attempt beside one that still runs.
    bool isHedge = false;
    /// The latency target of the route, used until work times are known.
    Duration objective{};
    /// When an answer stops to be in time.
    TimePoint target;
    /// When the caller must have its final answer.
    TimePoint deadline;
    std::array<ServerKey, maxExcludedServers> excluded{};
    /// Number of the availability zone of the instance that sends the request.
    std::uint32_t zone = 0;
};

struct Decision
{
    AskKey key;
    Verdict verdict = Verdict::Queued;
    RefusalReason reason = RefusalReason::None;
    ServerKey server = 0;
    /// Expected time to the answer of a granted attempt.
    Duration expected{};
    /// When a refused caller had best come back.
    Duration retryAfter{};
    /// Age of the load report that the choice used; negative if there was none.
    Duration reportAge{};
    /// Slots of the server that was chosen and how many of them are taken now; of all servers of
    /// the service if the ask was refused.
    unsigned slots = 0;
    unsigned taken = 0;
    /// Asks that waited when the ask was refused.
    unsigned waiting = 0;
};

struct AttemptEnd
{
    AskKey key;
    ServerKey server = 0;
    AttemptOutcome outcome = AttemptOutcome::Answered;
    std::optional<LoadReport> load;
    Duration duration{};
};

struct ServerInfo
{
    ServerKey key = 0;
    unsigned slots = 1;
    /// False while the server drains or is gone.
    bool isUsable = true;
    TimePoint coldUntil;
    std::uint32_t zone = 0;
};

struct Policy
{
    /// Retries in a window: ratio * requests + slack, summed over all instances.
    double retryRatio = 0.2;
    double retrySlack = 0;
    Duration retryWindow = std::chrono::seconds(10);
    /// Longest age of a load report before a probe refreshes it.
    Duration probeInterval = std::chrono::milliseconds(50);
    /// Most probes a second for all servers of a service, the share of a small instance.
    double probesPerSecond = 300;
};

/// An attempt that occupies a slot.
struct Occupant
{
    AskKey key;
    RouteKey route = 0;
    std::uint64_t fingerprint = 0;
    TimePoint expectedEnd;
    /// The slot counts as free after this, even if no end was told.
    TimePoint expires;
    /// Factors of the server at the start of the attempt, to normalize its duration.
    double factor = 1.0;
    /// What the server's machine reported at the start; 0 if nothing.
    double slowdown = 0;
};

/// An attempt whose connection ended before an answer.
struct LostAttempt
{
    std::uint64_t fingerprint = 0;
    TimePoint ended;
};

/// Crashes of servers that ran a request with the same fingerprint.
struct CrashSuspect
{
    unsigned crashes = 0;
    TimePoint last;
};

struct ServerState
{
    ServerInfo info;
    std::vector<Occupant> occupants;
    std::vector<LostAttempt> lostAttempts;
    std::optional<LoadReport> report;
    TimePoint reported;
    TimePoint probed;
    /// Load that does not come from attempts known here, as read from reports.
    double foreignLoad = 0;
    TimePoint foreignLoadRead;
    /// Duration of attempts in relation to the estimate.
    double bias = 1.0;
    TimePoint biasChanged;
    /// Moving share of attempts without a usable answer.
    double failureShare = 0;
    TimePoint failureChanged;
    /// No attempts until this; grows with consecutive connection failures.
    TimePoint unreachableUntil;
    unsigned connectFailures = 0;
};

struct RouteState
{
    /// Mean work at usual speed, without neighbours on the server.
    double workSeconds = 0;
    unsigned samples = 0;
};

/// Counts requests and extra attempts in slices of the retry window.
struct RetryBudget
{
    struct Slice
    {
        std::int64_t index = -1;
        unsigned requests = 0;
        unsigned extras = 0;
    };
    static constexpr std::size_t slices = 20;
    std::array<Slice, slices> window{};
};

struct ServiceState
{
    Policy policy;
    std::unordered_map<ServerKey, ServerState> servers;
    std::unordered_map<RouteKey, RouteState> routes;
    /// How much longer work takes when one less than the index of the slots is taken by others;
    /// learned for the number of slots that most servers of the service have.
    std::vector<double> occupancyFactors;
    std::unordered_map<std::uint64_t, CrashSuspect> crashSuspects;
    std::vector<Ask> queue;
    /// When the queue was looked through last.
    TimePoint advanced;
    RetryBudget budget;
    /// Since when this state has seen the asks of the whole fleet.
    TimePoint leadingSince;
    bool isLeading = false;
};

/// Replaces the set of backend servers; knowledge of those that stay is kept.
void setServers(ServiceState &state, const std::vector<ServerInfo> &servers);

/// Takes a request for a slot; the answer may be Queued, and a later advance() decides.
Decision ask(ServiceState &state, const Ask &request, TimePoint now);

/// Withdraws a waiting ask. Returns false if none waits under \a key.
bool withdraw(ServiceState &state, const AskKey &key);

/// Frees the slot of an attempt and learns from its end.
void finish(ServiceState &state, const AttemptEnd &end, TimePoint now);

/// Ends an ask of another instance in whatever state it is: waiting, or granted a slot that the
/// end names, or granted one whose answer did not arrive (no server named).
void release(ServiceState &state, const AttemptEnd &end, TimePoint now);

/// Takes a load report that came with a probe.
void learnLoad(ServiceState &state, ServerKey server, const LoadReport &report, TimePoint now);

/// Takes the result of a probe that got no usable answer.
void learnProbeFailure(ServiceState &state, ServerKey server, TimePoint now);

/// Returns true if advance() is worth its cost now. A long queue is looked through once for each
/// few milliseconds and not for each event, because both grow with the load.
bool isAdvanceDue(const ServiceState &state, TimePoint now);

/// Hands free slots to waiting asks and refuses those that can't be served any more.
std::vector<Decision> advance(ServiceState &state, TimePoint now);

/// Returns how old a load report may become with the number of servers that the service has.
Duration probeInterval(const ServiceState &state);

/// Returns the servers whose load is to be probed now, and counts them as probed.
std::vector<ServerKey> takeDueProbes(ServiceState &state, TimePoint now);

/// Attempts that a server of \a slots slots gets at the same time: as many as give most answers.
unsigned attemptLimit(const ServiceState &state, unsigned slots);

/// Returns true, and counts it, if one more extra attempt fits the retry budget.
bool takeRetry(RetryBudget &budget, const Policy &policy, double slackShare, TimePoint now);
void countRequest(RetryBudget &budget, const Policy &policy, TimePoint now);

std::string_view outcomeName(AttemptOutcome outcome);
std::string_view reasonName(RefusalReason reason);

} // namespace apricotrock::broker
