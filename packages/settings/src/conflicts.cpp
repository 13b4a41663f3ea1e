#include "conflicts.h"

#include <array>

namespace apricotrock {

namespace {

constexpr std::chrono::microseconds unread{0};

bool isWildcard(const Endpoint &endpoint)
{
    return endpoint.ip == "0.0.0.0" || endpoint.ip == "::";
}

void checkKeyAge(const Settings &settings, std::vector<Problem> &problems)
{
    const KeysSettings &keys = settings.keys;
    const auto retention = settings.platform.logRetention;
    if (keys.maxAge == unread || retention == unread)
        return;
    const auto needed = keys.maxAge + 2 * keys.clockTolerance;
    if (needed < retention)
        return;
    problems.push_back({"", "keys", "max_age", formatDuration(keys.maxAge),
                        "max_age + 2 * clock_tolerance is " + formatDuration(needed)
                            + ", not below platform.log_retention " + formatDuration(retention)
                            + ", so that the log could lose the claim of a key that is accepted",
                        "lower keys.max_age or raise platform.log_retention"});
}

void checkHeartbeat(const PeersSettings &peers, std::vector<Problem> &problems)
{
    const bool isRead = peers.heartbeatInterval != unread && peers.heartbeatTimeout != unread;
    if (!isRead || peers.heartbeatTimeout > peers.heartbeatInterval)
        return;
    problems.push_back({"", "peers", "heartbeat_timeout", formatDuration(peers.heartbeatTimeout),
                        "not above heartbeat_interval " + formatDuration(peers.heartbeatInterval)
                            + ", so that working links would be replaced",
                        "use several times heartbeat_interval"});
}

void checkDeadlines(const CallersSettings &callers, std::vector<Problem> &problems)
{
    const bool isRead = callers.defaultDeadline != unread && callers.maxDeadline != unread;
    if (!isRead || callers.defaultDeadline <= callers.maxDeadline)
        return;
    problems.push_back({"", "callers", "default_deadline", formatDuration(callers.defaultDeadline),
                        "above max_deadline " + formatDuration(callers.maxDeadline),
                        "lower default_deadline or raise max_deadline"});
}

void checkListeners(const ListenSettings &listen, std::vector<Problem> &problems)
{
    const std::array<std::pair<std::string_view, const Endpoint *>, 3> listeners = {
        {{"callers", &listen.callers}, {"operators", &listen.operators}, {"peers", &listen.peers}}};
    for (std::size_t i = 0; i < listeners.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            const auto &[key, endpoint] = listeners[i];
            // Port 0 lets the system choose a free port.
            if (endpoint->port == 0 || *endpoint != *listeners[j].second)
                continue;
            problems.push_back({"", "listen", std::string(key), endpoint->toString(),
                                "the same address as " + std::string(listeners[j].first),
                                "use a port of its own for each listener"});
        }
    }
    if (isWildcard(listen.callers) && listen.advertise.ip.empty())
        problems.push_back({"", "listen", "advertise", "",
                            "callers listens on all addresses, which callers cannot connect to",
                            "set advertise to the address that callers reach"});
}

} // namespace

void checkConflicts(const Settings &settings, std::vector<Problem> &problems)
{
    checkKeyAge(settings, problems);
    checkHeartbeat(settings.peers, problems);
    checkDeadlines(settings.callers, problems);
    checkListeners(settings.listen, problems);
}

} // namespace apricotrock
