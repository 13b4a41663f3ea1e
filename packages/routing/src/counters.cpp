#include "state.h"

namespace apricotrock::routing {

std::uint64_t counter(const State &state, Counter counter)
{
    return state.counters.at(static_cast<std::size_t>(counter));
}

std::string_view counterName(Counter counter)
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(Counter::Count)> names =
        {"retry_after_connect_failed",
         "retry_after_shed",
         "retry_after_connection_lost",
         "retry_after_invalid_answer",
         "retry_after_timeout",
         "retry_denied_by_budget",
         "hedge_started",
         "hedge_won",
         "hedge_denied_by_budget",
         "probe_started",
         "probe_denied_by_budget",
         "endpoint_ejected",
         "endpoint_returned",
         "ejection_denied_by_cap",
         "drain_seen"};
    return names.at(static_cast<std::size_t>(counter));
}

} // namespace apricotrock::routing
