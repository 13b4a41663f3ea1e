#include "backendserver.h"

#include "requestquery.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace apricotrock::emulator {

namespace {

constexpr std::string_view controlPrefix = "/control/";
constexpr std::string_view probePath = "/health";
constexpr double lognormalSigma = 1.0;

std::string reportText(const LoadReport &report)
{
    return "outstanding=" + std::to_string(report.outstanding)
        + ", queued=" + std::to_string(report.queued) + ", slots=" + std::to_string(report.slots);
}

} // namespace

BackendServer::BackendServer(asio::io_context &context, BackendParameters parameters)
    : m_context(context), m_parameters(std::move(parameters)), m_random(m_parameters.seed),
      m_restartTimer(context),
      m_server(context, m_parameters.listen,
               [this](const std::shared_ptr<Exchange> &exchange) { handle(exchange); })
{ }

void BackendServer::handle(const std::shared_ptr<Exchange> &exchange)
{
    m_stats.maxConnections = std::max(m_stats.maxConnections, m_server.connectionCount());
    const std::string_view path = pathOf(exchange->request);
    if (path.starts_with(controlPrefix)) {
        control(*exchange, path.substr(controlPrefix.size()));
        return;
    }
    if (m_isDraining && path != probePath) {
        ++m_stats.requestsWhileDraining;
        m_stats.lastWhileDraining =
            std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_drainStart);
    }
    if (m_fault == Fault::FailFast) {
        takeFault();
        exchange->respond(jsonResponse(500, R"({"error":"internal error"})"));
        return;
    }
    accept(exchange);
}

void BackendServer::accept(const std::shared_ptr<Exchange> &exchange)
{
    if (m_running.size() >= m_parameters.slots && m_queue.size() >= m_parameters.queueLimit) {
        ++m_stats.shed;
        refuse(*exchange, 503, "queue full");
        return;
    }
    const HttpRequest &request = exchange->request;
    Work work{
        exchange, pathOf(request) == probePath, !isLookupMethod(request.method), TimePoint::max(),
        {},       asio::steady_timer(m_context)};
    if (const auto text = findHeader(request.headers, headername::requestDeadline)) {
        if (const auto remaining = parseDeadline(*text))
            work.deadline = Clock::now() + *remaining;
    }
    exchange->onGone([this, raw = exchange.get()] { onGone(raw); });
    m_queue.push_back(std::move(work));
    startNext();
    m_stats.maxOutstanding = std::max(m_stats.maxOutstanding, m_queue.size() + m_running.size());
}

void BackendServer::startNext()
{
    while (m_running.size() < m_parameters.slots && !m_queue.empty()) {
        const auto work = m_queue.begin();
        if (work->deadline <= Clock::now()) {
            ++m_stats.expired;
            const auto exchange = work->exchange;
            m_queue.erase(work);
            refuse(*exchange, 504, "the deadline passed in the queue");
            continue;
        }
        m_running.splice(m_running.end(), m_queue, work);
        start(work);
    }
}

void BackendServer::start(WorkList::iterator work)
{
    const HttpRequest &request = work->exchange->request;
    m_stats.maxRunning = std::max(m_stats.maxRunning, m_running.size());
    work->started = Clock::now();
    if (work->isAction)
        m_stats.addRun(request);
    else if (work->isProbe)
        ++m_stats.probes;
    else
        ++m_stats.lookups;
    if (crashes(request)) {
        crash(m_crashDownTime);
        return;
    }
    TimePoint end = work->started + serviceTime(*work);
    if (!work->isAction)
        end = std::min(end, work->deadline);
    work->timer.expires_at(end);
    work->timer.async_wait([this, work, crashes = m_stats.crashes](const asio::error_code &error) {
        // The work of a crashed server is gone, though its timer may have expired before.
        if (!error && crashes == m_stats.crashes)
            finish(work);
    });
}

void BackendServer::finish(WorkList::iterator work)
{
    const auto exchange = work->exchange;
    const auto spent =
        std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - work->started);
    (work->isProbe ? m_stats.probeSlotTime : m_stats.slotTime) += spent;
    const bool isLate = !work->isAction && Clock::now() >= work->deadline;
    m_running.erase(work);
    if (isLate) {
        ++m_stats.expired;
        refuse(*exchange, 504, "the deadline passed");
    } else {
        deliver(exchange, answerTo(exchange->request));
    }
    startNext();
}

void BackendServer::onGone(const Exchange *exchange)
{
    const auto isSame = [exchange](const Work &work) { return work.exchange.get() == exchange; };
    const auto queued = std::find_if(m_queue.begin(), m_queue.end(), isSame);
    if (queued != m_queue.end()) {
        ++m_stats.gone;
        m_queue.erase(queued);
        return;
    }
    const auto running = std::find_if(m_running.begin(), m_running.end(), isSame);
    // A timer that can't be cancelled any more ends the work itself.
    if (running == m_running.end() || running->isAction || running->timer.cancel() == 0)
        return;
    ++m_stats.gone;
    m_running.erase(running);
    startNext();
}

Duration BackendServer::serviceTime(const Work &work)
{
    const double mean = static_cast<double>(m_parameters.serviceTime.count());
    double time = mean;
    if (work.isProbe)
        time = static_cast<double>(m_parameters.probeTime.count());
    else if (m_parameters.distribution == Distribution::Exponential)
        time = std::exponential_distribution<double>(1 / mean)(m_random);
    else if (m_parameters.distribution == Distribution::Lognormal)
        time = std::lognormal_distribution<double>(
            std::log(mean) - lognormalSigma * lognormalSigma / 2, lognormalSigma)(m_random);
    return std::chrono::microseconds(static_cast<std::int64_t>(time * m_stragglerFactor));
}

bool BackendServer::crashes(const HttpRequest &request) const
{
    return !m_crashMarker.empty()
        && (request.body.find(m_crashMarker) != std::string::npos
            || request.target.find(m_crashMarker) != std::string::npos);
}

void BackendServer::crash(std::chrono::milliseconds downTime)
{
    ++m_stats.crashes;
    m_queue.clear();
    m_running.clear();
    m_hanging.clear();
    m_server.crash();
    m_restartTimer.expires_after(downTime);
    m_restartTimer.async_wait([this](const asio::error_code &error) {
        if (!error)
            m_server.restart();
    });
}

HttpResponse BackendServer::answerTo(const HttpRequest &request) const
{
    nlohmann::json body = {{"server", m_parameters.name},
                           {"method", request.method},
                           {"target", request.target},
                           {"received_bytes", request.body.size()}};
    if (const auto key = findHeader(request.headers, headername::idempotencyKey))
        body["key"] = std::string(*key);
    HttpResponse response = jsonResponse(200, body.dump());
    addReport(response);
    return response;
}

void BackendServer::addReport(HttpResponse &response) const
{
    const LoadReport report{static_cast<std::uint32_t>(m_running.size()),
                            static_cast<std::uint32_t>(m_queue.size()), m_parameters.slots};
    response.headers.push_back(
        {std::string(headername::loadReport), reportText(m_forgedReport.value_or(report))});
    if (m_isDraining)
        response.headers.push_back({std::string(headername::serverState), "draining"});
}

void BackendServer::refuse(Exchange &exchange, int status, std::string_view message)
{
    HttpResponse response =
        jsonResponse(status, nlohmann::json{{"error", std::string(message)}}.dump());
    response.headers.push_back({std::string(headername::requestOutcome), "not-run"});
    addReport(response);
    exchange.respond(response);
}

} // namespace apricotrock::emulator
