#include "leaving.h"
#include "state.h"

#include <algorithm>

namespace apricotrock::routing {

namespace {

/// Load reports older than this are not sent to peers.
constexpr Duration maxHintAge = std::chrono::seconds(2);
/// Leaving marks are sent to peers for this long. Instances that start later read them from the
/// log.
constexpr Duration maxLeavingMarkAge = std::chrono::minutes(1);

bool isWorthSharing(const EndpointState &endpoint, TimePoint now)
{
    if (endpoint.isLeaving)
        return now - endpoint.leavingSince <= maxLeavingMarkAge;
    return endpoint.load.hasReport && now - endpoint.load.reported <= maxHintAge;
}

/// Time by which hints are ordered, newest first. Leaving marks precede load reports; the name
/// breaks ties.
TimePoint hintTime(const EndpointState &endpoint)
{
    return endpoint.isLeaving ? endpoint.leavingSince : endpoint.load.reported;
}

bool hasHintPriority(const EndpointState *a, const EndpointState *b)
{
    if (a->isLeaving != b->isLeaving)
        return a->isLeaving;
    if (hintTime(*a) != hintTime(*b))
        return hintTime(*a) > hintTime(*b);
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
        // A peer that has not seen the activation yet may still send the earlier leaving mark.
        if (measured >= endpoint.activated)
            setLeaving(endpoint, measured);
        return;
    }
    applyLoadReport(endpoint, hint.load, measured);
    endpoint.lastHeard = std::max(endpoint.lastHeard, measured);
}

std::vector<LoadHint> collectHints(State &state, TimePoint now, std::size_t limit)
{
    std::vector<const EndpointState *> selected;
    for (const auto &[name, endpoint] : state.endpoints) {
        if (isWorthSharing(*endpoint, now))
            selected.push_back(endpoint.get());
    }
    std::sort(selected.begin(), selected.end(), hasHintPriority);
    selected.resize(std::min(selected.size(), limit));
    std::vector<LoadHint> hints;
    hints.reserve(selected.size());
    for (const EndpointState *endpoint : selected) {
        hints.push_back({endpoint->server.name, endpoint->load.report, now - hintTime(*endpoint),
                         endpoint->isLeaving});
    }
    return hints;
}

} // namespace apricotrock::routing
