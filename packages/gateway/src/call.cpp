#include "call.h"

#include <algorithm>

// Course of a call: slots, hedges, retries and the end. callcredentials.cpp holds API keys and
// tokens, callattempt.cpp the attempts on backend servers, callresponse.cpp responses and failures.
namespace apricotrock::gateway {

namespace {

using std::chrono::milliseconds;

/// Maximum number of slot requests for one call, including those after attempts that were refused
/// without running.
constexpr unsigned maxSlotRequests = 6;
/// Maximum number of granted slots that one call does not use because their servers have paused
/// this instance or are in an evacuated zone. Only a leader that does not know it yet grants such
/// slots.
constexpr unsigned maxPausedGrants = 20;
/// No attempt is started with less time than this before the deadline.
constexpr Duration minAttemptTime = milliseconds(10);

std::string_view deciderName(DecidedBy by)
{
    switch (by) {
    case DecidedBy::Self:
        return "self";
    case DecidedBy::Peer:
        return "peer";
    case DecidedBy::Fallback:
        return "fallback";
    }
    return "";
}

} // namespace

Duration sendingTime(std::size_t bodyBytes, double linkBytesPerSecond)
{
    if (bodyBytes <= minUploadBytes || linkBytesPerSecond <= 0)
        return {};
    const std::chrono::duration<double> time(static_cast<double>(bodyBytes) / linkBytesPerSecond);
    return time < maxSendingTime ? std::chrono::duration_cast<Duration>(time) : maxSendingTime;
}

Call::Call(RequestPath &path, std::shared_ptr<loop::HttpExchange> exchange)
    : m_path(path), m_activeCalls(path.m_activeCalls), m_exchange(std::move(exchange))
{
    m_activeCalls->insert(this);
}

Call::~Call()
{
    m_activeCalls->erase(this);
}

void Call::start(Plan plan)
{
    m_plan = std::move(plan);
    m_sendingTime = sendingTime(m_exchange->request().body.size(),
                                m_path.m_context.settings.linkBytesPerSecond);
    logEvent(EventLog::Level::Info, "request_routed", [this](LogLine &line) {
        line.text("route", m_plan.routeName)
            .text("service", m_plan.service)
            .number("configuration_version", static_cast<std::int64_t>(m_plan.configurationVersion))
            .flag("idempotent", m_plan.isIdempotent)
            .milliseconds("deadline", m_plan.deadline - m_plan.arrived)
            .milliseconds("target", m_plan.target - m_plan.arrived);
    });
    const auto self = shared_from_this();
    m_exchange->onCallerDisconnect([weak = weak_from_this()] {
        if (const auto call = weak.lock())
            call->handleCallerDisconnect();
    });
    m_deadlineTimer =
        m_path.m_context.timers.callAt(m_plan.deadline, [self] { self->handleDeadline(); });
    if (m_plan.needsToken)
        requestToken();
    else
        requestSlot(false);
}

void Call::endBy(TimePoint deadline)
{
    if (m_isFinished || m_plan.deadline <= deadline)
        return;
    m_plan.deadline = deadline;
    m_endsWithStop = true;
    logEvent(EventLog::Level::Info, "deadline_shortened", [this](LogLine &line) {
        line.milliseconds("deadline", m_plan.deadline - m_plan.arrived)
            .flag("waiting", m_pendingSlot.has_value() || m_pendingToken.has_value());
    });
    const auto self = shared_from_this();
    m_path.m_context.timers.cancel(m_deadlineTimer);
    m_deadlineTimer =
        m_path.m_context.timers.callAt(m_plan.deadline, [self] { self->handleDeadline(); });
    if (!m_pendingSlot)
        return;
    // The leader refuses the request as soon as no server can answer it in the time that is left,
    // so that the caller can send it to another instance.
    m_path.m_slotAllocator.cancel(*m_pendingSlot);
    m_pendingSlot.reset();
    --m_slotRequests;
    requestSlot(false);
}

void Call::requestSlot(bool isHedge)
{
    AllocationRequest request;
    request.service = m_plan.service;
    broker::AttemptRequest &attempt = request.attempt;
    attempt.route = m_plan.routeKey;
    attempt.fingerprint = m_plan.fingerprint;
    attempt.priority = m_plan.priority;
    attempt.earlierAttempts = m_attemptsSent;
    attempt.isHedge = isHedge;
    attempt.objective = m_plan.objective;
    // The leader's expected duration does not cover the time to send a large body.
    attempt.target = m_plan.target - m_sendingTime;
    attempt.deadline = m_plan.deadline - m_sendingTime;
    if (!m_plan.organisation.empty())
        attempt.organisation = organisationKey(m_plan.organisation);
    attempt.weight = m_plan.weight;
    const std::size_t count = std::min(m_excludedServers.size(), broker::maxExcludedServers);
    std::copy_n(m_excludedServers.rbegin(), count, attempt.excluded.begin());
    ++m_slotRequests;
    std::optional<SlotTicket> &pendingSlot = isHedge ? m_pendingHedgeSlot : m_pendingSlot;
    // The callback may run before requestSlot() returns.
    auto isAnswered = std::make_shared<bool>(false);
    const SlotTicket ticket = m_path.m_slotAllocator.requestSlot(
        std::move(request),
        [self = shared_from_this(), isHedge, isAnswered](const SlotDecision &decision) {
            *isAnswered = true;
            (isHedge ? self->m_pendingHedgeSlot : self->m_pendingSlot).reset();
            self->handleSlotDecision(isHedge, decision);
        });
    if (!*isAnswered)
        pendingSlot = ticket;
}

void Call::handleSlotDecision(bool isHedge, const SlotDecision &decision)
{
    if (decision.decision.verdict == broker::Verdict::Granted)
        handleSlotGranted(isHedge, decision);
    else
        handleSlotRefused(isHedge, decision);
}

void Call::handleSlotGranted(bool isHedge, const SlotDecision &decision)
{
    const broker::Decision &slot = decision.decision;
    Attempt attempt;
    attempt.ticket = {slot.key.ticket, m_plan.service};
    attempt.key = slot.server;
    attempt.expected = slot.expected;
    attempt.isHedge = isHedge;
    attempt.started = Clock::now();
    const fleet::KnownServer *server = m_path.m_slotAllocator.findServer(slot.server);
    if (server && isUsable(m_path.m_context, *server, attempt.started))
        attempt.server = *server->entry;
    const bool isKnown = !attempt.server.id.empty();
    logEvent(EventLog::Level::Info, "slot_granted", [&](LogLine &line) {
        line.text("server", isKnown ? attempt.server.id : "unknown")
            .text("server_service", attempt.server.service)
            .number("ticket", static_cast<std::int64_t>(slot.key.ticket))
            .text("holder", decision.leader)
            .text("decided", deciderName(decision.by))
            .flag("hedge", isHedge)
            .number("taken", slot.taken)
            .number("slots", slot.slots)
            .milliseconds("expected", slot.expected)
            .milliseconds("report_age", slot.reportAge)
            .milliseconds("waited", attempt.started - m_plan.arrived)
            .number("server_position",
                    static_cast<std::int64_t>(m_path.m_context.servers.position().offset));
    });
    m_attempts.push_back(std::move(attempt));
    const std::size_t index = m_attempts.size() - 1;
    const bool isExhausted = m_attemptsSent >= m_plan.maxAttempts;
    if (m_isFinished || isExhausted || m_plan.deadline - Clock::now() < minAttemptTime) {
        endAttempt(index, broker::AttemptOutcome::Cancelled, std::nullopt);
        return;
    }
    const Duration pause = m_path.m_slotAllocator.remainingPause(m_plan.service, slot.server);
    if (pause > Duration(0)) {
        // The leader does not know of the pause; the release tells it.
        m_excludedServers.push_back(slot.server);
        if (++m_pausedGrants <= maxPausedGrants)
            --m_slotRequests;
        endAttempt(index, broker::AttemptOutcome::Cancelled, std::nullopt, pause);
        if (!isHedge)
            retryOrFail("server_paused");
        return;
    }
    // The leader's table can be older than that of this instance: the server may be leaving, or may
    // have registered again for another service.
    const bool isOfService = isKnown && m_attempts[index].server.service == m_plan.service;
    if (!isOfService) {
        m_excludedServers.push_back(slot.server);
        // A leader that does not know of an evacuation yet grants slots in the same zone again.
        const bool isInEvacuatedZone =
            server && server->entry && isEvacuated(m_path.m_context, *server->entry, Clock::now());
        if (isInEvacuatedZone && ++m_pausedGrants <= maxPausedGrants)
            --m_slotRequests;
        endAttempt(index, broker::AttemptOutcome::Cancelled, std::nullopt);
        if (!isHedge)
            retryOrFail(isKnown ? "server_of_other_service" : "server_left");
        return;
    }
    if (!checkKeyAgain()) {
        endAttempt(index, broker::AttemptOutcome::Cancelled, std::nullopt);
        if (!isHedge && !hasRunningAttempt())
            failWithoutKey();
        return;
    }
    send(index);
}

void Call::handleSlotRefused(bool isHedge, const SlotDecision &decision)
{
    const broker::Decision &slot = decision.decision;
    if (m_isFinished)
        return;
    if (isHedge) {
        m_path.countHedgeRefusal(broker::reasonName(slot.reason));
        // Deferred hedges must not use up the slot requests of a retry.
        if (slot.reason == broker::RefusalReason::HedgeLimit)
            --m_slotRequests;
        scheduleHedge(broker::hedgeRetryDelay(++m_hedgeRefusals));
        return;
    }
    logEvent(EventLog::Level::Warning, "slot_refused", [&](LogLine &line) {
        line.text("reason", broker::reasonName(slot.reason))
            .text("holder", decision.leader)
            .text("decided", deciderName(decision.by))
            .number("waiting", slot.waiting)
            .number("taken", slot.taken)
            .number("slots", slot.slots)
            .milliseconds("retry_after", slot.retryAfter)
            .milliseconds("waited", Clock::now() - m_plan.arrived)
            .number("server_position",
                    static_cast<std::int64_t>(m_path.m_context.servers.position().offset));
    });
    if (hasRunningAttempt())
        return;
    if (respondWithServerFailure())
        return;
    if (m_mayHaveRun)
        fail(502, broker::reasonName(slot.reason), {});
    else
        fail(503, broker::reasonName(slot.reason), slot.retryAfter);
}

void Call::scheduleHedge(Duration delay)
{
    m_path.m_context.timers.cancel(m_hedgeTimer);
    m_hedgeTimer = 0;
    if (m_attemptsSent >= m_plan.maxAttempts || Clock::now() + delay > m_plan.deadline)
        return;
    m_hedgeTimer = m_path.m_context.timers.callAfter(delay, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->m_isFinished || !self->hasRunningAttempt() || self->m_pendingHedgeSlot)
            return;
        self->requestSlot(true);
    });
}

void Call::retryOrFail(std::string_view failure)
{
    if (hasRunningAttempt() || m_pendingSlot)
        return;
    const bool hasTime = m_plan.deadline - Clock::now() > minAttemptTime;
    const bool mayTry =
        m_attemptsSent < m_plan.maxAttempts && m_slotRequests < maxSlotRequests && hasTime;
    if (mayTry) {
        requestSlot(false);
        return;
    }
    if (respondWithServerFailure())
        return;
    if (m_mayHaveRun) {
        fail(502, failure, {});
    } else {
        fail(503, failure, milliseconds(100));
    }
}

void Call::writeLog(bool isOrdinary)
{
    m_path.m_context.log.addLines(std::exchange(m_logLines, {}), isOrdinary);
}

void Call::close()
{
    const auto self = shared_from_this();
    const bool isDeadlineReached = Clock::now() >= m_plan.deadline;
    m_isFinished = true;
    m_path.m_context.timers.cancel(m_deadlineTimer);
    m_path.m_context.timers.cancel(m_hedgeTimer);
    if (m_pendingToken)
        m_path.m_quotaAllocator.cancel(*m_pendingToken);
    m_pendingToken.reset();
    returnUnusedToken();
    if (m_pendingSlot)
        m_path.m_slotAllocator.cancel(*m_pendingSlot);
    if (m_pendingHedgeSlot)
        m_path.m_slotAllocator.cancel(*m_pendingHedgeSlot);
    m_pendingSlot.reset();
    m_pendingHedgeSlot.reset();
    cancelAttempts(isDeadlineReached ? broker::AttemptOutcome::TimedOut
                                     : broker::AttemptOutcome::Cancelled);
    writeLog(false);
}

} // namespace apricotrock::gateway
