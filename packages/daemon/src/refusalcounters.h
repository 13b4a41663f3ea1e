#pragma once

#include "apricotrock/metrics.h"

#include <array>

namespace apricotrock::daemon {

/// A counter for each error kind and outcome.
class RefusalCounters
{
public:
    explicit RefusalCounters(metrics::Registry &registry)
    {
        for (const ErrorInfo &info : errorTable()) {
            for (const Outcome outcome : {Outcome::Done, Outcome::NotRun, Outcome::Unknown})
                m_counters.push_back(&registry.counter(
                    "apricotrock_refusals_total", "Requests that no backend server answered.",
                    {{"kind", std::string(info.name)},
                     {"outcome", std::string(outcomeName(outcome))}}));
        }
    }

    void count(ErrorKind kind, Outcome outcome)
    {
        constexpr std::size_t outcomes = 3;
        m_counters
            .at(static_cast<std::size_t>(kind) * outcomes + static_cast<std::size_t>(outcome))
            ->add();
    }

private:
    std::vector<metrics::Counter *> m_counters;
};

} // namespace apricotrock::daemon
