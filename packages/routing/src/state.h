#pragma once

#include "apricotrock/routing.h"
#include "budget.h"
#include "estimate.h"
#include "latency.h"
#include "limit.h"
#include "outlier.h"
#include "queue.h"

#include <array>

namespace apricotrock::routing {

/// Probes of one backend server by this instance.
struct ProbeState
{
    RateBudget budget;
    /// A probe runs until its result or this time.
    TimePoint runningUntil;
    /// Set once a denial by the budget was counted, until a probe is sent or no longer needed.
    bool isDenialCounted = false;
    /// Random factor of the stale age. Differs between instances, so that they do not all probe at
    /// the same time when traffic stops.
    double staleAgeFactor = 1;
};

/// State that one instance keeps for one backend server.
struct EndpointState
{
    BackendServer server;
    /// Attempts of this instance in flight.
    std::uint64_t outstanding = 0;
    /// Set until the configuration changes the state of the backend server.
    bool isLeaving = false;
    /// False after the configuration dropped the backend server; attempts in flight still refer to
    /// this state.
    bool isConfigured = true;
    bool runsIsolated = false;
    /// Isolated request that the backend server drains for; 0 for none.
    RequestId reservedFor = 0;
    /// Time of the first leaving signal.
    TimePoint leavingSince;
    /// Time at which a change of the configuration made the backend server active; the epoch if it
    /// was active from the start. Signals from before are about its former state.
    TimePoint activated;
    /// Start of the slow start; the epoch for a backend server that had none.
    TimePoint slowStartBegin;
    /// Time of the last evidence that the backend server responds.
    TimePoint lastHeard;
    LoadEstimate load;
    ServiceTime serviceTime;
    /// Ratio of its service time to the service's average.
    double slowness = 1;
    /// Time of the last attempt result, of any status.
    TimePoint lastOutcomeTime;
    ConcurrencyLimit limit;
    OutlierState outlier;
    ProbeState probe;
};

using EndpointPtr = std::shared_ptr<EndpointState>;

struct ServiceState
{
    std::string name;
    Policy policy;
    std::vector<EndpointPtr> endpoints;
    WaitingQueue queue;
    LatencyWindow latencies;
    /// Average service time of all backend servers; zero if not known.
    Seconds averageServiceTime{};
    ShareBudget retryBudget;
    ShareBudget hedgeBudget;
    /// Share of about the last 16 attempts that were shed.
    double shedShare = 0;
    /// Attempts of all requests in flight.
    std::uint64_t running = 0;
    /// Average time between two ends of attempts while requests wait.
    Seconds drainInterval{};
    /// Last end of an attempt, if requests have waited since then.
    std::optional<TimePoint> lastDrain;
    std::size_t nextRoundRobin = 0;
};

using ServicePtr = std::shared_ptr<ServiceState>;

struct RequestState
{
    Request request;
    ServicePtr service;
    std::vector<AttemptId> running;
    /// Backend servers that had an attempt; at most Policy::maxAttempts.
    std::vector<EndpointPtr> tried;
    std::uint64_t attempts = 0;
    bool isWaiting = false;
    std::optional<TimePoint> hedgeAt;
    EndpointPtr reserved;
};

struct AttemptState
{
    RequestId request = 0;
    EndpointPtr endpoint;
    TimePoint start;
    /// Requests expected on the backend server at the start, this one included.
    double concurrency = 1;
    bool isHedge = false;
};

/// Returns the cost of sending one more request to a backend server; lower is better.
using ScoreFunction = double (*)(const EndpointState &, const Policy &, TimePoint);

/// Parameters of the adaptive algorithm that bench/estimatebench.cpp compares.
struct Tuning
{
    ScoreFunction score = loadScore;
    /// Candidates drawn for one choice, at most half of them but at least two.
    std::size_t draws = 4;
    /// Estimated load per slot up to which requests are sent; above, they wait in the instance.
    double maxLoadPerSlot = 2;
};

struct State
{
    InstanceParameters parameters;
    Tuning tuning;
    std::mt19937_64 random;
    /// Ordered, so that a replayed trace visits them in the same order.
    std::map<std::string, ServicePtr> services;
    std::map<std::string, EndpointPtr> endpoints;
    /// Backend servers that the configuration removed or gave another address.
    std::set<std::string> removedNames;
    std::unordered_map<RequestId, RequestState> requests;
    std::unordered_map<AttemptId, AttemptState> attempts;
    /// Deadlines of the waiting requests.
    std::set<std::pair<TimePoint, RequestId>> deadlines;
    /// Times at which hedges of running lookups are due.
    std::set<std::pair<TimePoint, RequestId>> hedges;
    /// Time of the next scan for due probes and expired ejections.
    TimePoint nextScan;
    /// Time at which waiting requests are tried again, because load estimates decay with age.
    TimePoint nextQueueRecheck = TimePoint::max();
    AttemptId nextAttempt = 1;
    std::array<std::uint64_t, static_cast<std::size_t>(Counter::Count)> counters{};
    /// Scratch buffer for the candidates of one selection, reused to avoid allocations.
    std::vector<const EndpointPtr *> candidates;
};

inline void count(State &state, Counter counter)
{
    ++state.counters.at(static_cast<std::size_t>(counter));
}

} // namespace apricotrock::routing
