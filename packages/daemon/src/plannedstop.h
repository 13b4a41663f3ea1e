#pragma once

#include "instance.h"

namespace apricotrock::daemon {

/// Steps of a planned stop, driven by advance(); takes the time as an argument.
///
/// The instance first says that it leaves and keeps serving until no caller can hold its address,
/// then closes connections between requests, refuses new requests, and seals its ledger.
class PlannedStop
{
public:
    PlannedStop(Instance &instance, TimePoint now);

    /// Does what is due; returns true when the instance can be stopped.
    bool advance(TimePoint now);
    /// True if everything was answered and the ledger was sealed in time.
    [[nodiscard]] bool isClean() const { return m_isClean; }

private:
    enum class Step { Leaving, Closing, Finishing, Sealing, Done };

    void enter(Step step, TimePoint now);

    Instance &m_instance;
    const TimePoint m_started;
    const TimePoint m_limit;
    Step m_step = Step::Leaving;
    TimePoint m_entered;
    bool m_isClean = false;
};

} // namespace apricotrock::daemon
