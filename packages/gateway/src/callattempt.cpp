#include "call.h"

#include <algorithm>
#include <cmath>

// Attempts of calls to run the request on backend servers.
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

} // namespace

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

} // namespace apricotrock::gateway
