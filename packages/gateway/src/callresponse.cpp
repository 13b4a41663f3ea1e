#include "call.h"

#include "headernumber.h"

#include <algorithm>
#include <fmt/format.h>

// Responses of backend servers, and responses and failures to the caller.
namespace apricotrock::gateway {

namespace {

using std::chrono::milliseconds;

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

std::string formatSeconds(Duration duration)
{
    return fmt::format("{:.3f}", std::chrono::duration<double>(duration).count());
}

} // namespace

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

} // namespace apricotrock::gateway
