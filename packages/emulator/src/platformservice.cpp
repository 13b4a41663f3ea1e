#include "platformservice.h"

#include "requestquery.h"

#include <nlohmann/json.hpp>
#include <restinio/utils/base64.hpp>

#include <algorithm>

namespace apricotrock::emulator {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t defaultMaxRecords = 100;
constexpr std::uint64_t maxReadBytes = 8UL * 1024 * 1024;
constexpr std::chrono::milliseconds maxOutage = std::chrono::hours(24 * 365);
constexpr std::string_view streamsPrefix = "/streams/";
constexpr std::string_view recordsSuffix = "/records";
constexpr std::string_view controlPrefix = "/control/";

HttpResponse jsonAnswer(int status, const Json &json)
{
    return jsonResponse(status, json.dump());
}

/// Returns the stream name in `/streams/NAME/records`, or nothing.
std::optional<std::string> streamName(std::string_view path)
{
    if (!path.starts_with(streamsPrefix) || !path.ends_with(recordsSuffix)
        || path.size() <= streamsPrefix.size() + recordsSuffix.size())
        return std::nullopt;
    path.remove_prefix(streamsPrefix.size());
    path.remove_suffix(recordsSuffix.size());
    return std::string(path);
}

} // namespace

PlatformService::PlatformService(asio::io_context &context, PlatformParameters parameters)
    : m_context(context), m_parameters(std::move(parameters)),
      m_appendTokens(static_cast<double>(m_parameters.appendsPerSecond)),
      m_lastRefill(Clock::now()),
      m_server(context, m_parameters.listen,
               [this](const std::shared_ptr<Exchange> &exchange) { handle(exchange); })
{ }

void PlatformService::handle(const std::shared_ptr<Exchange> &exchange)
{
    const std::string_view path = pathOf(exchange->request);
    if (path.starts_with(controlPrefix))
        control(exchange, path.substr(controlPrefix.size()));
    else if (m_delay.count() > 0)
        handleDelayed(exchange);
    else
        serve(exchange);
}

void PlatformService::handleDelayed(const std::shared_ptr<Exchange> &exchange)
{
    auto timer = std::make_shared<asio::steady_timer>(m_context, m_delay);
    timer->async_wait([this, timer, exchange](const asio::error_code &) { serve(exchange); });
}

void PlatformService::serve(const std::shared_ptr<Exchange> &exchange)
{
    const auto stream = streamName(pathOf(exchange->request));
    const bool isAppend = stream && exchange->request.method == "POST";
    // Only appends lose their answers, so other requests don't use up the count of that outage.
    const Outage mode = m_outage == Outage::LoseAnswers && !isAppend ? Outage::Off : takeOutage();
    if (mode == Outage::Refuse) {
        exchange->respond(jsonAnswer(503, {{"error", "the platform is unavailable"}}));
        return;
    }
    if (mode == Outage::Hang) {
        m_hanging.push_back(exchange);
        return;
    }
    if (isAppend)
        append(exchange, *stream, mode == Outage::LoseAnswers);
    else if (stream && exchange->request.method == "GET")
        read(exchange, *stream);
    else if (pathOf(exchange->request) == "/instances" && exchange->request.method == "GET")
        answerInstances(*exchange);
    else
        exchange->respond(jsonAnswer(404, {{"error", "no such resource"}}));
}

void PlatformService::append(const std::shared_ptr<Exchange> &exchange, const std::string &name,
                             bool losesAnswer)
{
    if (!takeAppendToken()) {
        ++m_stats.appendsRefused;
        exchange->respond(jsonAnswer(503, {{"error", "too many appends"}}));
        return;
    }
    Stream &stream = m_streams[name];
    dropExpired(stream);
    stream.records.push_back({Clock::now(), exchange->request.body});
    ++m_stats.appends;
    m_stats.bytesAppended += exchange->request.body.size();
    if (losesAnswer)
        exchange->abort(false);
    else
        exchange->respond(jsonAnswer(201, {{"offset", stream.first + stream.records.size() - 1}}));
    wakeWaiters(name);
}

void PlatformService::read(const std::shared_ptr<Exchange> &exchange, const std::string &name)
{
    const std::uint64_t from = queryNumber(exchange->request, "from").value_or(0);
    const std::uint64_t max = queryNumber(exchange->request, "max").value_or(defaultMaxRecords);
    const std::chrono::milliseconds wait(queryNumber(exchange->request, "wait_ms").value_or(0));
    ++m_stats.reads;
    Stream &stream = m_streams[name];
    dropExpired(stream);
    if (from < stream.first + stream.records.size() || wait.count() == 0) {
        answerRead(*exchange, name, from, max);
        return;
    }
    const auto waiter = m_waiters.insert(m_waiters.end(), {exchange, name, from, max, nullptr});
    waiter->timer = std::make_unique<asio::steady_timer>(m_context, wait);
    waiter->timer->async_wait([this, waiter](const asio::error_code &error) {
        // A cancelled timer's waiter has been answered and erased.
        if (error)
            return;
        answerRead(*waiter->exchange, waiter->stream, waiter->from, waiter->max);
        m_waiters.erase(waiter);
    });
}

void PlatformService::answerRead(Exchange &exchange, const std::string &name, std::uint64_t from,
                                 std::uint64_t max)
{
    if (exchange.isGone())
        return;
    const Stream &stream = m_streams[name];
    const std::uint64_t next = stream.first + stream.records.size();
    Json records = Json::array();
    std::uint64_t bytes = 0;
    for (std::uint64_t offset = std::max(from, stream.first);
         offset < next && records.size() < max && bytes < maxReadBytes; ++offset) {
        const std::string &data = stream.records[offset - stream.first].data;
        records.push_back({{"offset", offset}, {"data", restinio::utils::base64::encode(data)}});
        bytes += data.size();
    }
    m_stats.bytesRead += bytes;
    exchange.respond(
        jsonAnswer(200, {{"first", stream.first}, {"next", next}, {"records", records}}));
}

void PlatformService::wakeWaiters(const std::string &name)
{
    for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
        if (waiter->stream != name) {
            ++waiter;
            continue;
        }
        // An expired timer's handler may already be queued: then it answers.
        if (waiter->timer->cancel() == 0) {
            ++waiter;
            continue;
        }
        answerRead(*waiter->exchange, waiter->stream, waiter->from, waiter->max);
        waiter = m_waiters.erase(waiter);
    }
}

void PlatformService::answerInstances(Exchange &exchange)
{
    ++m_stats.listReads;
    exchange.respond(jsonResponse(200, R"({"instances":)" + m_instances + '}'));
}

void PlatformService::control(const std::shared_ptr<Exchange> &exchange, std::string_view path)
{
    if (path == "outage") {
        controlOutage(*exchange);
    } else if (path == "expire") {
        controlExpire(*exchange);
    } else if (path == "slow") {
        m_delay = std::chrono::milliseconds(queryNumber(exchange->request, "delay_ms").value_or(0));
        exchange->respond(jsonAnswer(200, Json::object()));
    } else if (path == "instances") {
        controlInstances(*exchange);
    } else if (path == "stats") {
        answerStats(*exchange);
    } else {
        exchange->respond(jsonAnswer(404, {{"error", "no such control"}}));
    }
}

void PlatformService::controlOutage(Exchange &exchange)
{
    static const std::map<std::string, Outage> modes = {{"off", Outage::Off},
                                                        {"refuse", Outage::Refuse},
                                                        {"hang", Outage::Hang},
                                                        {"lose-answers", Outage::LoseAnswers}};
    const auto mode = modes.find(queryValue(exchange.request.target, "mode").value_or(""));
    if (mode == modes.end()) {
        exchange.respond(badControl("mode: off|refuse|hang|lose-answers"));
        return;
    }
    const std::chrono::milliseconds duration(
        queryNumber(exchange.request, "duration_ms").value_or(maxOutage.count()));
    setOutage(mode->second, duration, queryNumber(exchange.request, "count").value_or(0));
    exchange.respond(jsonAnswer(200, Json::object()));
}

void PlatformService::setOutage(Outage mode, std::chrono::milliseconds duration,
                                std::uint64_t count)
{
    m_outage = mode;
    m_outageEnd = Clock::now() + std::min(duration, maxOutage);
    m_outageCount = count;
    if (mode == Outage::Off)
        m_hanging.clear();
}

void PlatformService::controlInstances(Exchange &exchange)
{
    const Json list = Json::parse(exchange.request.body, nullptr, false);
    if (!list.is_array()) {
        exchange.respond(badControl("the body must be a JSON array"));
        return;
    }
    setInstances(list.dump());
    exchange.respond(jsonAnswer(200, Json::object()));
}

void PlatformService::setInstances(const std::string &listJson)
{
    auto timer = std::make_shared<asio::steady_timer>(m_context, m_parameters.listLag);
    timer->async_wait([this, timer, listJson](const asio::error_code &error) {
        if (!error)
            m_instances = listJson;
    });
}

void PlatformService::controlExpire(Exchange &exchange)
{
    const auto before = queryNumber(exchange.request, "before");
    if (!before) {
        exchange.respond(badControl("before: an offset"));
        return;
    }
    expire(*before);
    exchange.respond(jsonAnswer(200, Json::object()));
}

void PlatformService::expire(std::uint64_t offset)
{
    for (auto &[name, stream] : m_streams)
        dropBefore(stream, offset);
}

void PlatformService::answerStats(Exchange &exchange)
{
    exchange.respond(jsonAnswer(200,
                                {{"appends", m_stats.appends},
                                 {"appends_refused", m_stats.appendsRefused},
                                 {"reads", m_stats.reads},
                                 {"list_reads", m_stats.listReads},
                                 {"bytes_appended", m_stats.bytesAppended},
                                 {"http_bytes_received", m_server.bytesReceived()},
                                 {"http_bytes_sent", m_server.bytesSent()},
                                 {"bytes_read", m_stats.bytesRead}}));
}

void PlatformService::dropExpired(Stream &stream)
{
    const TimePoint oldest = Clock::now() - m_parameters.retention;
    while (!stream.records.empty() && stream.records.front().time < oldest) {
        stream.records.pop_front();
        ++stream.first;
    }
}

void PlatformService::dropBefore(Stream &stream, std::uint64_t offset)
{
    while (!stream.records.empty() && stream.first < offset) {
        stream.records.pop_front();
        ++stream.first;
    }
}

bool PlatformService::takeAppendToken()
{
    const TimePoint now = Clock::now();
    const auto rate = static_cast<double>(m_parameters.appendsPerSecond);
    const std::chrono::duration<double> passed = now - m_lastRefill;
    m_lastRefill = now;
    m_appendTokens = std::min(rate, m_appendTokens + passed.count() * rate);
    if (m_appendTokens < 1)
        return false;
    m_appendTokens -= 1;
    return true;
}

Outage PlatformService::takeOutage()
{
    if (m_outage != Outage::Off && Clock::now() >= m_outageEnd) {
        m_outage = Outage::Off;
        m_hanging.clear();
    }
    const Outage mode = m_outage;
    if (m_outageCount > 0 && --m_outageCount == 0)
        m_outage = Outage::Off;
    return mode;
}

} // namespace apricotrock::emulator
