#include "hintboard.h"

namespace apricotrock::daemon {

namespace {

/// Sequence numbers of suspicions told as hints; records of the log count from 0.
constexpr std::uint64_t firstHintSequence = std::uint64_t(1) << 62;
constexpr std::uint64_t longestAge = std::chrono::microseconds(std::chrono::hours(24)).count();

std::unique_ptr<wire::LoadHintT> toWire(const routing::LoadHint &hint)
{
    auto result = std::make_unique<wire::LoadHintT>();
    result->backend_server = hint.backendServer;
    result->outstanding = hint.load.outstanding;
    result->queued = hint.load.queued;
    result->slots = hint.load.slots;
    result->age_us = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(hint.age).count());
    result->leaving = hint.isLeaving;
    return result;
}

} // namespace

wire::HintsT HintBoard::update(std::uint32_t lane, const engine::SendHints &tell)
{
    const std::lock_guard lock(m_mutex);
    m_loads[lane] = tell.loads;
    wire::HintsT hints;
    for (const auto &[number, loads] : m_loads) {
        for (const routing::LoadHint &hint : loads)
            hints.loads.push_back(toWire(hint));
    }
    for (const wire::CrashSuspicionT &suspicion : tell.suspicions) {
        auto hint = std::make_unique<wire::SuspicionHintT>();
        hint->suspicion = std::make_unique<wire::CrashSuspicionT>(suspicion);
        hint->incarnation = m_incarnation.value;
        hint->sequence = firstHintSequence + m_nextSuspicion++;
        hints.suspicions.push_back(std::move(hint));
    }
    return hints;
}

routing::LoadHint readLoadHint(const wire::LoadHintT &hint)
{
    routing::LoadHint result;
    result.backendServer = hint.backend_server;
    result.load = {hint.outstanding, hint.queued, hint.slots};
    result.age = std::chrono::microseconds(std::min(hint.age_us, longestAge));
    result.isLeaving = hint.leaving;
    return result;
}

} // namespace apricotrock::daemon
