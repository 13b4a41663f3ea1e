#pragma once

#include "apricotrock/engine.h"

namespace apricotrock::daemon {

/// Merges what the lanes tell peers into one message. Thread safe.
class HintBoard
{
public:
    explicit HintBoard(IncarnationId incarnation) : m_incarnation(incarnation) { }

    /// Replaces the loads of \a lane; suspicions are in the returned message once.
    wire::HintsT update(std::uint32_t lane, const engine::SendHints &tell);

private:
    const IncarnationId m_incarnation;
    std::mutex m_mutex;
    std::map<std::uint32_t, std::vector<routing::LoadHint>> m_loads;
    std::uint64_t m_nextSuspicion = 0;
};

routing::LoadHint readLoadHint(const wire::LoadHintT &hint);

} // namespace apricotrock::daemon
