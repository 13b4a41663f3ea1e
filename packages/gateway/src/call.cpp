#include "call.h"

#include "headernumber.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace apricotrock::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An idempotent request is hedged after this multiple of its expected duration.
constexpr double hedgeFactor = 1.6;
constexpr Duration minHedgeDelay = milliseconds(25);
/// Connection attempts that take longer than this count as failed.
constexpr Duration connectTimeout = milliseconds(250);
/// Idempotent requests reuse connections that have been idle for less than this.
constexpr Duration idempotentMaxIdle = seconds(4);
/// Non-idempotent requests reuse a connection only within this time after its last response: if
/// the connection turns out to be closed, the outcome of the request is unknown.
constexpr Duration nonIdempotentMaxIdle = milliseconds(0);
/// Maximum number of slot requests for one call, including those after attempts that were refused
/// without running.
constexpr unsigned maxSlotRequests = 6;
/// Maximum number of granted slots that one call does not use because their servers have paused
/// this instance or are in an evacuated zone. Only a leader that does not know it yet grants such
/// slots.
constexpr unsigned maxPausedGrants = 20;
/// Retry-After of a request whose key may be held by a newer configuration.
constexpr Duration unconfirmedRetryAfter = milliseconds(300);
/// No attempt is started with less time than this before the deadline.
constexpr Duration minAttemptTime = milliseconds(10);

/// A request with less than this part of its latency target left can't meet it: the work takes
/// about as long.
constexpr double minTimeForWork = 0.4;

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

constexpr std::array<int, 4> notExecutedStatuses = {408, 421, 429, 503};

bool isNotExecutedStatus(int status)
{
    return std::find(notExecutedStatuses.begin(), notExecutedStatuses.end(), status)
        != notExecutedStatuses.end();
}

/// Longest pause that a server can ask for; guards against a value by mistake.
constexpr double maxPauseSeconds = 60;

/// Parses a number of seconds, which may have a fraction. Returns nothing for other values, dates
/// and negative numbers included, because a pause of unknown length cannot be kept.
std::optional<Duration> parseRetryAfter(std::string_view text)
{
    const std::optional<double> seconds = parseHeaderNumber(text, maxPauseSeconds);
    if (!seconds)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(*seconds));
}

/// Returns the part of the duration of an attempt that was spent on the backend server. The body
/// can be sent faster than the link rate, so at most half of it counts as sending.
Duration serverDuration(Duration duration, Duration sendingTime)
{
    return duration - std::min(sendingTime, duration / 2);
}

/// Returns the outcome of a hedge as the metric names it.
std::string_view hedgeOutcomeName(broker::AttemptOutcome outcome)
{
    switch (outcome) {
    case broker::AttemptOutcome::Answered:
        return "won";
    case broker::AttemptOutcome::Cancelled:
        return "lost";
    default:
        return "failed";
    }
}

std::string formatSeconds(Duration duration)
{
    return fmt::format("{:.3f}", std::chrono::duration<double>(duration).count());
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

void Call::requestToken()
{
    // The callback may run before requestToken() returns.
    auto isAnswered = std::make_shared<bool>(false);
    const bool isLate = m_plan.target - m_plan.arrived < m_plan.objective * minTimeForWork;
    const std::uint64_t ticket = m_path.m_quotaAllocator.requestToken(
        m_plan.organisation, isLate ? quota::Timeliness::Late : quota::Timeliness::InTime,
        [self = shared_from_this(), isAnswered](const QuotaDecision &decision) {
            *isAnswered = true;
            self->m_pendingToken.reset();
            self->handleTokenDecision(decision);
        });
    if (!*isAnswered)
        m_pendingToken = ticket;
}

void Call::handleTokenDecision(const QuotaDecision &decision)
{
    if (decision.verdict == quota::Verdict::Granted) {
        m_token = decision.token;
        requestSlot(false);
        return;
    }
    const bool isExceeded = decision.verdict == quota::Verdict::Exceeded;
    const std::string_view reason = isExceeded ? "quota_exceeded" : "quota_unknown";
    logEvent(EventLog::Level::Warning, "quota_refused", [&](LogLine &line) {
        line.text("organisation", m_plan.organisation)
            .text("reason", reason)
            .milliseconds("retry_after", decision.retryAfter)
            .milliseconds("waited", Clock::now() - m_plan.arrived);
    });
    fail(isExceeded ? 429 : 503, reason, decision.retryAfter);
}

void Call::returnUnusedToken()
{
    if (!m_token || m_hasReachedServer || wasSent())
        return;
    m_path.m_quotaAllocator.returnToken(*m_token);
    m_token.reset();
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

bool Call::checkKeyAgain()
{
    const fleet::OrganisationTable &organisations = m_path.m_context.routes.organisations();
    // A request that was admitted without a key was sent before the configuration asked for one.
    if (m_plan.organisation.empty() || organisations.isEmpty())
        return true;
    const Authentication authentication =
        m_path.authenticateRequest(m_exchange->request(), m_plan.isPublic);
    // The organisation is kept, so that a later attempt is refused too.
    if (authentication.isRefused())
        return false;
    // A newer configuration may have moved the key to another organisation.
    m_plan.organisation = authentication.organisation ? authentication.organisation->name : "";
    return true;
}

void Call::failWithoutKey()
{
    if (respondWithServerFailure())
        return;
    const bool isOverdue = m_path.m_context.isConfigurationOverdue(Clock::now());
    const ConfigurationRefusal refusal = refusalOfUnknownKey(isOverdue);
    if (m_mayHaveRun)
        fail(502, refusal.reason, {});
    else
        fail(refusal.status, refusal.reason, unconfirmedRetryAfter);
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

loop::Headers Call::forwardedHeaders(const Attempt &attempt) const
{
    const HeaderNames &names = m_path.m_context.adapter.headers;
    const loop::Headers &received = m_exchange->request().headers;
    // Also if the organisations have been removed from the configuration since the request came.
    const bool hidesKeys = m_plan.hidesKeys || !m_path.m_context.routes.organisations().isEmpty();
    loop::Headers headers;
    headers.reserve(received.size() + 3);
    for (const auto &[name, value] : received) {
        if (loop::isHopByHop(received, name) || loop::equalsIgnoringCase(name, "content-length")
            || loop::equalsIgnoringCase(name, "expect")
            || loop::equalsIgnoringCase(name, names.deadlineMs)
            || loop::equalsIgnoringCase(name, names.expectedServer))
            continue;
        if (hidesKeys
            && (loop::equalsIgnoringCase(name, names.apiKey)
                || loop::equalsIgnoringCase(name, names.organisation)))
            continue;
        headers.push_back({name, value});
    }
    const auto remaining =
        std::chrono::duration_cast<milliseconds>(m_plan.deadline - Clock::now()).count();
    headers.push_back({names.deadlineMs, std::to_string(std::max<std::int64_t>(remaining, 1))});
    headers.push_back({names.expectedServer, attempt.server.id});
    if (!m_plan.organisation.empty())
        headers.push_back({names.organisation, m_plan.organisation});
    return headers;
}

std::string Call::encodeHead(const Attempt &attempt) const
{
    const loop::HttpRequest &request = m_exchange->request();
    const bool hasBody = loop::findHeader(request.headers, "content-length")
        || loop::findHeader(request.headers, "transfer-encoding");
    return loop::formatRequestHead(request.method, request.target, forwardedHeaders(attempt),
                                   request.body.size(), hasBody);
}

void Call::send(std::size_t index)
{
    Attempt &attempt = m_attempts[index];
    // A server may repeat a response to an earlier attempt, which carries the same id, on the
    // connection of that attempt.
    const bool wasSentBefore =
        std::find(m_excludedServers.begin(), m_excludedServers.end(), attempt.key)
        != m_excludedServers.end();
    m_excludedServers.push_back(attempt.key);
    ++m_attemptsSent;
    attempt.connection = m_path.m_pool.take(
        attempt.server,
        m_plan.isIdempotent && !wasSentBefore ? idempotentMaxIdle : nonIdempotentMaxIdle);
    const std::string &idHeader = m_path.m_context.adapter.headers.requestId;
    // The attempts share the body with the request, because it may be large.
    const std::shared_ptr<const std::string> body(m_exchange, &m_exchange->request().body);
    attempt.connection->send(
        encodeHead(attempt), body, m_exchange->request().method == "HEAD",
        std::min<Duration>(connectTimeout, m_plan.deadline - Clock::now()),
        [idHeader, id = m_plan.requestId](const loop::HttpResponse &response) {
            const auto echoed = loop::findHeader(response.headers, idHeader);
            return echoed && *echoed == id;
        },
        [self = shared_from_this(), index](loop::ClientResult result) {
            self->handleAttemptResult(index, std::move(result));
        });
    const bool mayHedge =
        m_plan.isIdempotent && broker::allowsHedges(m_path.m_context.settings.policy);
    if (mayHedge && !attempt.isHedge && m_attemptsSent < m_plan.maxAttempts) {
        const auto delay = std::chrono::duration_cast<Duration>(attempt.expected * hedgeFactor);
        scheduleHedge(m_sendingTime + std::max(delay, minHedgeDelay));
    }
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

broker::AttemptOutcome Call::classifyOutcome(const loop::ClientResult &result) const
{
    const HeaderNames &names = m_path.m_context.adapter.headers;
    switch (result.status) {
    case loop::ClientStatus::ConnectFailed:
        return broker::AttemptOutcome::ConnectFailed;
    case loop::ClientStatus::ConnectionLost:
    case loop::ClientStatus::InvalidResponse:
        return broker::AttemptOutcome::Lost;
    case loop::ClientStatus::ResponseReceived:
        break;
    }
    const loop::HttpResponse &response = result.response;
    if (loop::findHeader(response.headers, names.notExecuted) || response.status == 421)
        return broker::AttemptOutcome::Rejected;
    const bool isSuccess = response.status / 100 == 2;
    if (isSuccess
        && (!loop::findHeader(response.headers, names.signature)
            || loop::findHeader(response.headers, "content-encoding")))
        return broker::AttemptOutcome::Lost;
    return response.status >= 500 || isNotExecutedStatus(response.status)
        ? broker::AttemptOutcome::Failed
        : broker::AttemptOutcome::Answered;
}

Duration Call::readPause(const loop::HttpResponse &response) const
{
    const auto header = loop::findHeader(response.headers, "retry-after");
    if (response.status != 503 || !header)
        return {};
    const std::optional<Duration> pause = parseRetryAfter(*header);
    if (!pause)
        m_path.countInvalidResponse("Retry-After is not a number of seconds");
    return pause.value_or(Duration(0));
}

void Call::handleAttemptResult(std::size_t index, loop::ClientResult result)
{
    const broker::AttemptOutcome outcome = classifyOutcome(result);
    const Attempt attempt = m_attempts[index];
    std::optional<broker::LoadReport> load;
    Duration pause{};
    bool isLeaving = false;
    if (result.status == loop::ClientStatus::InvalidResponse)
        m_path.countInvalidResponse(result.detail);
    if (result.status == loop::ClientStatus::ResponseReceived) {
        const auto header =
            loop::findHeader(result.response.headers, m_path.m_context.adapter.headers.load);
        if (header)
            load = m_path.m_context.adapter.parseLoad(*header);
        pause = readPause(result.response);
        isLeaving = saysLeaving(result.response, m_path.m_context.adapter.headers);
        m_path.m_pool.giveBack(attempt.server, attempt.connection);
    }
    logEvent(EventLog::Level::Info, "attempt_ended", [&](LogLine &line) {
        line.text("server", attempt.server.id)
            .text("outcome", broker::outcomeName(outcome))
            .number("status", result.response.status)
            .text("detail", result.detail)
            .milliseconds("took", Clock::now() - attempt.started);
        if (attempt.isHedge)
            line.flag("hedge", true);
        if (load)
            line.number("running", load->running)
                .number("waiting", load->waiting)
                .number("slowdown_percent", std::lround(load->slowdown * 100));
        if (pause > Duration(0))
            line.milliseconds("pause", pause);
        if (isLeaving)
            line.flag("leaving", true);
    });
    if (outcome != broker::AttemptOutcome::ConnectFailed)
        m_hasReachedServer = true;
    endAttempt(index, outcome, load, pause, isLeaving);
    if (m_isFinished) {
        // The caller has left while the attempt was running.
        if (!hasRunningAttempt())
            returnUnusedToken();
        return;
    }
    switch (outcome) {
    case broker::AttemptOutcome::Answered:
        respond(index, result.response);
        return;
    case broker::AttemptOutcome::Rejected:
    case broker::AttemptOutcome::ConnectFailed:
        retryOrFail(broker::outcomeName(outcome));
        return;
    case broker::AttemptOutcome::Failed:
        m_mayHaveRun = true;
        m_failureResponse = std::move(result.response);
        break;
    default:
        m_mayHaveRun = true;
        break;
    }
    if (m_plan.isIdempotent) {
        retryOrFail(broker::outcomeName(outcome));
    } else if (m_failureResponse) {
        const loop::HttpResponse answer = std::move(*m_failureResponse);
        respond(index, answer);
    } else {
        fail(502, broker::outcomeName(outcome), {});
    }
}

void Call::endAttempt(std::size_t index, broker::AttemptOutcome outcome,
                      const std::optional<broker::LoadReport> &load, Duration pause, bool isLeaving)
{
    Attempt &attempt = m_attempts[index];
    if (!attempt.isRunning)
        return;
    attempt.isRunning = false;
    if (attempt.isHedge && attempt.connection)
        m_path.countHedge(hedgeOutcomeName(outcome));
    broker::AttemptEnd end;
    end.server = attempt.key;
    end.outcome = outcome;
    end.load = load;
    end.duration = serverDuration(Clock::now() - attempt.started, m_sendingTime);
    end.pause = pause;
    const fleet::ServerEntry server = attempt.server;
    m_path.m_slotAllocator.finishAttempt(attempt.ticket, end, isLeaving ? &server : nullptr);
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

bool Call::hasRunningAttempt() const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(),
                       [](const Attempt &each) { return each.isRunning; });
}

bool Call::wasSent() const
{
    return m_mayHaveRun
        || std::any_of(m_attempts.begin(), m_attempts.end(), [](const Attempt &each) {
               return each.isRunning && each.connection && each.connection->isConnected();
           });
}

void Call::handleDeadline()
{
    m_deadlineTimer = 0;
    if (m_isFinished) {
        // The caller has disconnected; cancel the attempts that still run.
        returnUnusedToken();
        cancelAttempts(broker::AttemptOutcome::TimedOut);
        return;
    }
    const bool mayRun = wasSent();
    const std::string_view reason = m_endsWithStop ? "stopping"
        : mayRun                                   ? "deadline_passed"
                                                   : "deadline_passed_waiting";
    fail(mayRun ? 504 : 503, reason, milliseconds(100));
}

void Call::handleCallerDisconnect()
{
    if (m_isFinished)
        return;
    logEvent(EventLog::Level::Info, "caller_left", [this](LogLine &line) {
        line.milliseconds("after", Clock::now() - m_plan.arrived)
            .flag("running", hasRunningAttempt());
    });
    m_path.countAnswer(499, "caller_left");
    // A running non-idempotent attempt continues: cancelling it would leave its effect unknown.
    if (m_plan.isIdempotent || !hasRunningAttempt()) {
        close();
        return;
    }
    m_isFinished = true;
    writeLog(false);
}

void Call::writeLog(bool isOrdinary)
{
    m_path.m_context.log.addLines(std::exchange(m_logLines, {}), isOrdinary);
}

bool Call::respondWithServerFailure()
{
    if (!m_failureResponse)
        return false;
    const loop::HttpResponse answer = std::move(*m_failureResponse);
    respond(m_attempts.size(), answer);
    return true;
}

void Call::respond(std::size_t index, const loop::HttpResponse &response)
{
    const HeaderNames &names = m_path.m_context.adapter.headers;
    // A status that promises that the request was not executed may come from this system only; the
    // same status from a backend server does not guarantee it.
    const bool isPromise = isNotExecutedStatus(response.status);
    if (isPromise) {
        fail(502, "backend_failure", {});
        return;
    }
    loop::Headers headers;
    headers.reserve(response.headers.size());
    for (const auto &[name, value] : response.headers) {
        if (loop::isHopByHop(response.headers, name)
            || loop::equalsIgnoringCase(name, "content-length")
            || loop::equalsIgnoringCase(name, names.load))
            continue;
        headers.push_back({name, value});
    }
    const Duration latency = Clock::now() - m_plan.arrived;
    const bool isOrdinary =
        response.status < 500 && latency < m_plan.objective && m_attemptsSent <= 1;
    logEvent(EventLog::Level::Info, "request_answered", [&](LogLine &line) {
        line.number("status", response.status)
            .text("server", index < m_attempts.size() ? m_attempts[index].server.id : "")
            .number("attempts", m_attemptsSent)
            .milliseconds("took", latency);
        if (index < m_attempts.size() && m_attempts[index].isHedge)
            line.flag("hedge", true);
    });
    m_path.countAnswer(response.status, "backend_answer");
    m_path.recordLatency(latency);
    m_exchange->holdLease(response.lease);
    m_exchange->respond(response.status, headers, response.body, false);
    writeLog(isOrdinary);
    close();
}

void Call::fail(int status, std::string_view reason, Duration retryAfter)
{
    if (m_isFinished)
        return;
    const Duration latency = Clock::now() - m_plan.arrived;
    logEvent(EventLog::Level::Warning, "request_failed", [&](LogLine &line) {
        line.number("status", status)
            .text("reason", reason)
            .number("attempts", m_attemptsSent)
            .flag("may_have_run", wasSent())
            .milliseconds("retry_after", retryAfter)
            .milliseconds("took", latency);
    });
    m_path.countAnswer(status, reason);
    m_path.recordLatency(latency);
    loop::Headers headers{{"Content-Type", "text/plain"},
                          {m_path.m_context.adapter.headers.requestId, m_plan.requestId}};
    if (status == 503 || status == 429)
        headers.push_back({"Retry-After", formatSeconds(retryAfter)});
    m_exchange->respond(status, headers, reason, false);
    writeLog(false);
    close();
}

void Call::cancelAttempts(broker::AttemptOutcome outcome)
{
    for (std::size_t index = 0; index < m_attempts.size(); ++index) {
        Attempt &attempt = m_attempts[index];
        if (!attempt.isRunning)
            continue;
        if (attempt.connection)
            attempt.connection->close();
        logEvent(EventLog::Level::Info, "attempt_ended", [&](LogLine &line) {
            line.text("server", attempt.server.id)
                .text("outcome", broker::outcomeName(outcome))
                .milliseconds("took", Clock::now() - attempt.started);
            if (attempt.isHedge)
                line.flag("hedge", true);
        });
        endAttempt(index, outcome, std::nullopt);
    }
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
