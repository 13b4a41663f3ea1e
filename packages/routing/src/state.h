#pragma once

#include "apricotrock/routing.h"
#include "queue.h"

#include <array>

namespace apricotrock::routing {

/// What one instance knows about one backend server.
struct EndpointState
{
    BackendServer server;
    /// Attempts of this instance in flight.
    std::uint64_t outstanding = 0;
    /// Set until the configuration removes and adds the backend server again.
    bool isLeaving = false;
    /// False after the configuration dropped the backend server; attempts in flight still refer to
    /// this state.
    bool isConfigured = true;
    bool runsIsolated = false;
};

using EndpointPtr = std::shared_ptr<EndpointState>;

struct ServiceState
{
    std::string name;
    Policy policy;
    std::vector<EndpointPtr> endpoints;
    WaitingQueue queue;
};

using ServicePtr = std::shared_ptr<ServiceState>;

struct RequestState
{
    Request request;
    ServicePtr service;
    std::vector<AttemptId> running;
    std::uint64_t attempts = 0;
    bool isWaiting = false;
};

struct AttemptState
{
    RequestId request = 0;
    EndpointPtr endpoint;
    TimePoint start;
    bool isHedge = false;
};

struct State
{
    InstanceParameters parameters;
    std::mt19937_64 random;
    std::unordered_map<std::string, ServicePtr> services;
    std::unordered_map<std::string, EndpointPtr> endpoints;
    std::unordered_map<RequestId, RequestState> requests;
    std::unordered_map<AttemptId, AttemptState> attempts;
    /// Deadlines of the waiting requests.
    std::set<std::pair<TimePoint, RequestId>> deadlines;
    AttemptId nextAttempt = 1;
    std::array<std::uint64_t, static_cast<std::size_t>(Counter::Count)> counters{};
};

} // namespace apricotrock::routing
