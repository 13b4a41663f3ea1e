#include "requests.h"

namespace apricotrock::routing {

void advanceTime(State &state, TimePoint now, Output &output)
{
    while (!state.deadlines.empty() && state.deadlines.begin()->first <= now)
        failRequest(state, state.deadlines.begin()->second, ErrorKind::DeadlineExpired, output);
}

TimePoint nextDeadline(const State &state)
{
    return state.deadlines.empty() ? TimePoint::max() : state.deadlines.begin()->first;
}

void finishProbe(State & /*state*/, const ProbeResult & /*result*/, TimePoint /*now*/,
                 Output & /*output*/)
{ }

void applyLoadHint(State & /*state*/, const LoadHint & /*hint*/, TimePoint /*now*/) { }

void forgetLearned(State & /*state*/, TimePoint /*now*/) { }

std::vector<LoadHint> collectHints(State & /*state*/, TimePoint /*now*/, std::size_t /*limit*/)
{
    return {};
}

} // namespace apricotrock::routing
