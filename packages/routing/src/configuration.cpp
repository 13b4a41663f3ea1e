#include "leaving.h"
#include "requests.h"

#include <algorithm>

namespace apricotrock::routing {

namespace {

using Services = std::map<std::string, ServicePtr>;
using Endpoints = std::map<std::string, EndpointPtr>;

/// Slow start applies only to backend servers that join existing ones. A new instance has none, and
/// would otherwise start all of them slowly.
bool hasExistingEndpoints(const State &state, const std::string &service)
{
    const auto found = state.services.find(service);
    return found != state.services.end() && !found->second->endpoints.empty();
}

/// Limit of the remembered names of removed backend servers. For a name beyond it, a leaving mark
/// from before the removal would be applied to the new backend server.
constexpr std::size_t maxRemovedNames = 10000;

EndpointPtr makeEndpoint(State &state, const BackendServer &server, TimePoint now)
{
    auto endpoint = std::make_shared<EndpointState>();
    endpoint->server = server;
    endpoint->limit.value = static_cast<double>(server.slots);
    endpoint->lastHeard = now;
    endpoint->probe.budget = makeRateBudget(now);
    endpoint->probe.staleAgeFactor = 1 + randomFraction(state.random);
    if (state.removedNames.erase(server.name) > 0)
        endpoint->activated = now;
    if (hasExistingEndpoints(state, server.service))
        endpoint->slowStartBegin = now;
    return endpoint;
}

/// A backend server with a changed address or service is another process, so its state is not kept.
bool isSameProcess(const BackendServer &a, const BackendServer &b)
{
    return a.address == b.address && a.service == b.service;
}

void updateEndpoint(EndpointState &endpoint, const BackendServer &server, TimePoint now)
{
    const bool isActivated = endpoint.server.state == BackendServerState::Draining
        && server.state == BackendServerState::Active;
    if (isActivated) {
        endpoint.isLeaving = false;
        endpoint.activated = now;
        endpoint.slowStartBegin = now;
    }
    if (server.slots != endpoint.server.slots)
        endpoint.limit.value = static_cast<double>(server.slots);
    endpoint.server = server;
}

Services updateServices(State &state, const Configuration &configuration)
{
    Services services;
    for (const auto &[name, service] : configuration.services) {
        const auto old = state.services.find(name);
        const bool isNew = old == state.services.end();
        const ServicePtr entry = isNew ? std::make_shared<ServiceState>() : old->second;
        entry->name = name;
        entry->policy = configuration.policies.at(service.policy);
        // Lets a service with little traffic retry its first request.
        if (isNew && entry->policy.retryBudget > 0)
            entry->retryBudget.tokens = 1;
        services[name] = entry;
    }
    return services;
}

void removeEndpoint(State &state, const EndpointPtr &endpoint)
{
    endpoint->isConfigured = false;
    if (state.removedNames.size() < maxRemovedNames)
        state.removedNames.insert(endpoint->server.name);
}

Endpoints updateEndpoints(State &state, const Configuration &configuration, TimePoint now)
{
    Endpoints endpoints;
    for (const auto &[name, old] : state.endpoints) {
        const auto server = configuration.backendServers.find(name);
        if (server == configuration.backendServers.end()
            || !isSameProcess(old->server, server->second)) {
            removeEndpoint(state, old);
            continue;
        }
        updateEndpoint(*old, server->second, now);
        endpoints[name] = old;
    }
    for (const auto &[name, server] : configuration.backendServers) {
        if (!endpoints.contains(name))
            endpoints[name] = makeEndpoint(state, server, now);
    }
    return endpoints;
}

/// Fills the list of backend servers of each service, ordered by name.
void assignEndpoints(const Configuration &configuration, Services &services,
                     const Endpoints &endpoints)
{
    for (const auto &[name, service] : services)
        service->endpoints.clear();
    for (const auto &[name, server] : configuration.backendServers)
        services.at(server.service)->endpoints.push_back(endpoints.at(name));
}

} // namespace

void StateDeleter::operator()(State *state) const
{
    delete state;
}

StatePtr makeState(const InstanceParameters &parameters, TimePoint now)
{
    StatePtr state(new State);
    state->parameters = parameters;
    state->random.seed(parameters.seed);
    state->nextScan = now;
    return state;
}

void applyConfiguration(State &state, const Configuration &configuration, TimePoint now,
                        Output &output)
{
    Services services = updateServices(state, configuration);
    Endpoints endpoints = updateEndpoints(state, configuration, now);
    assignEndpoints(configuration, services, endpoints);
    state.services.swap(services);
    state.endpoints.swap(endpoints);
    for (const auto &[name, service] : services) {
        if (!state.services.contains(name)) {
            service->endpoints.clear();
            failWaiting(state, *service, ErrorKind::UnknownService, now, output);
        }
    }
    for (const auto &[name, service] : state.services) {
        failWaitingIfNoneUsable(state, *service, now, output);
        dispatch(state, *service, now, output);
    }
}

} // namespace apricotrock::routing
