#include "plannedstop.h"

#include "logging.h"

namespace apricotrock::daemon {

namespace {

/// Idle connections that send nothing more are closed after this time.
constexpr std::chrono::seconds closingTime{2};
/// Part of the limit kept for the seal.
constexpr int sealShare = 10;
/// Time for which the seal may take longer than the limit, so that a drain limit of zero still
/// tries to seal.
constexpr std::chrono::milliseconds sealPatience{500};

} // namespace

PlannedStop::PlannedStop(Instance &instance, TimePoint now)
    : m_instance(instance), m_started(now), m_limit(now + instance.settings().shutdown.drainLimit),
      m_entered(now)
{
    m_instance.setState(InstanceState::Leaving);
}

void PlannedStop::enter(Step step, TimePoint now)
{
    m_step = step;
    m_entered = now;
}

bool PlannedStop::advance(TimePoint now)
{
    const auto &settings = m_instance.settings();
    const TimePoint answerLimit = m_limit - (m_limit - m_started) / sealShare;
    const bool isLate = now >= answerLimit;
    if (m_step == Step::Leaving
        && (isLate || now >= m_started + settings.callers.addressLifetime)) {
        m_instance.setState(InstanceState::Closing);
        enter(Step::Closing, now);
    }
    if (m_step == Step::Closing
        && (isLate || m_instance.callerConnections() == 0 || now >= m_entered + closingTime)) {
        m_instance.setState(InstanceState::Stopping);
        enter(Step::Finishing, now);
    }
    if (m_step == Step::Finishing && (isLate || m_instance.pendingRequests() == 0)) {
        const std::size_t left = m_instance.pendingRequests();
        m_isClean = left == 0;
        m_instance.abandonRequests();
        logLine(LogLevel::Info, "sealing", {{"abandoned_requests", std::to_string(left)}});
        m_instance.requestSeal();
        enter(Step::Sealing, now);
    }
    if (m_step == Step::Sealing) {
        const bool isSealed = m_instance.isSealed();
        if (!isSealed && now < m_limit + sealPatience)
            return false;
        m_isClean = m_isClean && isSealed;
        m_instance.flushAnswers(now + sealPatience);
        enter(Step::Done, now);
        logLine(isSealed ? LogLevel::Info : LogLevel::Warn, "stopped",
                {{"sealed", isSealed ? "yes" : "no"}});
    }
    return m_step == Step::Done;
}

} // namespace apricotrock::daemon
