#include "requests.h"

namespace apricotrock::routing {

void StateDeleter::operator()(State *state) const
{
    delete state;
}

StatePtr makeState(const InstanceParameters &parameters, TimePoint /*now*/)
{
    StatePtr state(new State);
    state->parameters = parameters;
    state->random.seed(parameters.seed);
    return state;
}

void applyConfiguration(State &state, const Configuration &configuration, TimePoint now,
                        Output &output)
{
    std::unordered_map<std::string, ServicePtr> services;
    for (const auto &[name, service] : configuration.services) {
        ServicePtr &entry = services[name];
        const auto old = state.services.find(name);
        entry = old == state.services.end() ? std::make_shared<ServiceState>() : old->second;
        entry->name = name;
        entry->policy = configuration.policies.at(service.policy);
        entry->endpoints.clear();
    }
    std::unordered_map<std::string, EndpointPtr> endpoints;
    for (const auto &[name, server] : configuration.backendServers) {
        EndpointPtr &entry = endpoints[name];
        const auto old = state.endpoints.find(name);
        entry = old == state.endpoints.end() ? std::make_shared<EndpointState>() : old->second;
        entry->server = server;
        services.at(server.service)->endpoints.push_back(entry);
    }
    std::vector<RequestId> orphans;
    for (const auto &[name, service] : state.services) {
        if (services.contains(name))
            continue;
        for (const QueueEntry &waiting : service->queue.entries)
            orphans.push_back(waiting.id);
    }
    state.services.swap(services);
    state.endpoints.swap(endpoints);
    for (const RequestId id : orphans)
        failRequest(state, id, ErrorKind::UnknownService, output);
    for (const auto &[name, service] : state.services)
        dispatch(state, *service, now, output);
}

void markLeaving(State &state, const std::string &backendServer, TimePoint /*now*/,
                 Output & /*output*/)
{
    const auto found = state.endpoints.find(backendServer);
    if (found != state.endpoints.end())
        found->second->isLeaving = true;
}

} // namespace apricotrock::routing
