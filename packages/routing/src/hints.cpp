#include "leaving.h"
#include "state.h"

#include <algorithm>

namespace apricotrock::routing {

namespace {

/// Reports older than this are not worth telling.
constexpr Duration longestHintAge = std::chrono::seconds(2);
/// Leaving marks are told for this long. Instances that start later learn them from the log.
constexpr Duration longestMarkAge = std::chrono::minutes(1);

bool isWorthTelling(const EndpointState &endpoint, TimePoint now)
{
    if (endpoint.isLeaving)
        return now - endpoint.leavingSince <= longestMarkAge;
    return endpoint.load.hasReport && now - endpoint.load.reported <= longestHintAge;
}

/// Leaving marks go first, then the newest reports; the name makes the order unique.
TimePoint tellTime(const EndpointState &endpoint)
{
    return endpoint.isLeaving ? endpoint.leavingSince : endpoint.load.reported;
}

bool isToldFirst(const EndpointState *a, const EndpointState *b)
{
    if (a->isLeaving != b->isLeaving)
        return a->isLeaving;
    if (tellTime(*a) != tellTime(*b))
        return tellTime(*a) > tellTime(*b);
    return a->server.name < b->server.name;
}

} // namespace

void applyLoadHint(State &state, const LoadHint &hint, TimePoint now)
{
    const auto found = state.endpoints.find(hint.backendServer);
    if (found == state.endpoints.end())
        return;
    EndpointState &endpoint = *found->second;
    const TimePoint measured = now - std::max(Duration::zero(), hint.age);
    if (hint.isLeaving) {
        // A peer that does not know of the activation yet still tells the mark from before it.
        if (measured >= endpoint.activated)
            setLeaving(endpoint, measured);
        return;
    }
    learnLoad(endpoint, hint.load, measured);
    endpoint.lastHeard = std::max(endpoint.lastHeard, measured);
}

std::vector<LoadHint> collectHints(State &state, TimePoint now, std::size_t limit)
{
    std::vector<const EndpointState *> told;
    for (const auto &[name, endpoint] : state.endpoints) {
        if (isWorthTelling(*endpoint, now))
            told.push_back(endpoint.get());
    }
    std::sort(told.begin(), told.end(), isToldFirst);
    told.resize(std::min(told.size(), limit));
    std::vector<LoadHint> hints;
    hints.reserve(told.size());
    for (const EndpointState *endpoint : told) {
        hints.push_back({endpoint->server.name, endpoint->load.report, now - tellTime(*endpoint),
                         endpoint->isLeaving});
    }
    return hints;
}

} // namespace apricotrock::routing
