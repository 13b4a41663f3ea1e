#include "apricotrock/fleet.h"

#include "organisationvalidation.h"

#include <algorithm>
#include <set>

namespace apricotrock::fleet {

RouteTable::RouteTable(std::shared_ptr<const Configuration> configuration)
    : m_configuration(std::move(configuration)), m_organisations(m_configuration)
{
    for (const Route &route : m_configuration->routes)
        m_byHost[route.host].push_back(&route);
    for (auto &[host, routes] : m_byHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *left, const Route *right) {
            return left->pathPrefix.size() > right->pathPrefix.size();
        });
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto matching = m_byHost.find(std::string(host));
    if (matching == m_byHost.end())
        return nullptr;
    for (const Route *route : matching->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

const ServiceSettings *RouteTable::service(std::string_view name) const
{
    if (!m_configuration)
        return nullptr;
    for (const ServiceSettings &each : m_configuration->services) {
        if (each.name == name)
            return &each;
    }
    return nullptr;
}

const Destination &chooseDestination(const Route &route, double random)
{
    double total = 0;
    for (const Destination &each : route.destinations)
        total += each.weight;
    double remaining = random * total;
    const Destination *chosen = &route.destinations.back();
    for (const Destination &each : route.destinations) {
        remaining -= each.weight;
        // Rounding can leave a rest above 0 after the last destination that is not disabled.
        if (each.weight > 0)
            chosen = &each;
        if (remaining < 0)
            break;
    }
    return *chosen;
}

std::vector<std::string> validate(const Configuration &configuration)
{
    std::vector<std::string> problems;
    std::set<std::string> serviceNames;
    for (const ServiceSettings &each : configuration.services)
        serviceNames.insert(each.name);
    for (const Route &route : configuration.routes) {
        const std::string messagePrefix = "route '" + route.name + "': ";
        if (route.host.empty())
            problems.push_back(messagePrefix + "host is empty; name the host that callers use");
        if (!route.pathPrefix.starts_with('/') || !route.pathPrefix.ends_with('/'))
            problems.push_back(messagePrefix + "path prefix '" + route.pathPrefix
                               + "' must begin and end with a slash");
        if (route.timeout <= Duration::zero())
            problems.push_back(messagePrefix + "timeout must be above 0 s");
        if (route.maxAttempts == 0)
            problems.push_back(messagePrefix + "the number of attempts must be at least 1");
        if (route.destinations.empty())
            problems.push_back(messagePrefix + "names no service; name one or a weighted list");
        for (const Destination &each : route.destinations) {
            if (!serviceNames.contains(each.service))
                problems.push_back(messagePrefix + "service '" + each.service
                                   + "' is not defined; define it or correct the name");
            if (each.weight < 0)
                problems.push_back(messagePrefix + "weight of '" + each.service
                                   + "' must not be negative");
        }
    }
    for (std::string &problem : validateOrganisations(configuration.organisations))
        problems.push_back(std::move(problem));
    return problems;
}

} // namespace apricotrock::fleet
