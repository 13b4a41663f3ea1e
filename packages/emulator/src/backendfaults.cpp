#include "backendserver.h"
#include "requestquery.h"

#include <nlohmann/json.hpp>

namespace apricotrock::emulator {

namespace {

constexpr std::size_t oversizedBytes = 64UL * 1024 * 1024;
constexpr std::uint64_t defaultDownTime = 1000;
constexpr std::uint64_t percent = 100;

const std::map<std::string, Fault> &faultNames()
{
    static const std::map<std::string, Fault> names = {{"off", Fault::None},
                                                       {"fail-fast", Fault::FailFast},
                                                       {"close", Fault::Close},
                                                       {"truncate", Fault::Truncate},
                                                       {"wrong-length", Fault::WrongLength},
                                                       {"oversized", Fault::Oversized},
                                                       {"hang", Fault::Hang},
                                                       {"duplicate", Fault::Duplicate}};
    return names;
}

HttpResponse withLength(HttpResponse response, std::size_t length)
{
    response.headers.push_back({"Content-Length", std::to_string(length)});
    return response;
}

} // namespace

Fault BackendServer::takeFault()
{
    const Fault fault = m_fault;
    if (m_faultsLeft > 0 && --m_faultsLeft == 0)
        m_fault = Fault::None;
    return fault;
}

void BackendServer::deliver(const std::shared_ptr<Exchange> &exchange, const HttpResponse &response)
{
    const std::string whole = serialize(response, true);
    switch (takeFault()) {
    case Fault::None:
    case Fault::FailFast:
        exchange->respond(response);
        break;
    case Fault::Close:
        exchange->abort(true);
        break;
    case Fault::Truncate:
        exchange->sendRaw(whole.substr(0, whole.size() - response.body.size() / 2),
                          AfterRaw::Close);
        break;
    case Fault::WrongLength:
        // The connection stays open, so that the rest of the body never comes.
        exchange->sendRaw(serialize(withLength(response, response.body.size() + 1), true),
                          AfterRaw::Mute);
        break;
    case Fault::Oversized:
        exchange->sendRaw(
            serialize({response.status, response.headers, std::string(oversizedBytes, 'x')}, true),
            AfterRaw::Close);
        break;
    case Fault::Hang:
        m_hanging.push_back(exchange);
        break;
    case Fault::Duplicate:
        exchange->sendRaw(whole + whole, AfterRaw::Continue);
        break;
    }
}

void BackendServer::control(Exchange &exchange, std::string_view path)
{
    const HttpRequest &request = exchange.request;
    if (path == "runs") {
        exchange.respond(jsonResponse(200, m_stats.runsJson(request)));
        return;
    }
    if (path == "stats") {
        exchange.respond(jsonResponse(200, statsJson()));
        return;
    }
    bool isDone = false;
    if (path == "fault")
        isDone = setFault(request);
    else if (path == "report")
        isDone = setReport(request);
    else if (path == "straggler")
        isDone = setSpeed(request);
    else if (path == "crash-marker")
        isDone = setCrash(request);
    else
        isDone = setState(request, path);
    exchange.respond(isDone ? jsonResponse(200, "{}")
                            : badControl("unknown control or value; see docs/emulator.md"));
}

bool BackendServer::setFault(const HttpRequest &request)
{
    const auto fault = faultNames().find(queryValue(request.target, "mode").value_or(""));
    if (fault == faultNames().end())
        return false;
    m_fault = fault->second;
    m_faultsLeft = queryNumber(request, "count").value_or(0);
    if (m_fault == Fault::None)
        m_hanging.clear();
    return true;
}

bool BackendServer::setReport(const HttpRequest &request)
{
    const auto outstanding = queryNumber(request, "outstanding");
    const auto queued = queryNumber(request, "queued");
    if (!outstanding && !queued)
        m_forgedReport.reset();
    else
        m_forgedReport =
            LoadReport{static_cast<std::uint32_t>(outstanding.value_or(0)),
                       static_cast<std::uint32_t>(queued.value_or(0)), m_parameters.slots};
    return true;
}

bool BackendServer::setSpeed(const HttpRequest &request)
{
    const auto value = queryNumber(request, "percent");
    if (!value || *value == 0)
        return false;
    m_stragglerFactor = static_cast<double>(*value) / percent;
    return true;
}

bool BackendServer::setCrash(const HttpRequest &request)
{
    m_crashMarker = queryValue(request.target, "text").value_or("");
    m_crashDownTime =
        std::chrono::milliseconds(queryNumber(request, "down_ms").value_or(defaultDownTime));
    return true;
}

bool BackendServer::setState(const HttpRequest &request, std::string_view path)
{
    if (path == "drain") {
        m_isDraining = queryNumber(request, "on").value_or(1) != 0;
        m_drainStart = Clock::now();
        m_stats.requestsWhileDraining = 0;
        m_stats.lastWhileDraining = {};
        return true;
    }
    if (path == "freeze-connections") {
        m_server.freezeConnections();
        return true;
    }
    if (path == "crash") {
        crash(std::chrono::milliseconds(queryNumber(request, "down_ms").value_or(defaultDownTime)));
        return true;
    }
    return false;
}

std::string BackendServer::statsJson() const
{
    return nlohmann::json{{"name", m_parameters.name},
                          {"zone", m_parameters.zone},
                          {"slots", m_parameters.slots},
                          {"lookups", m_stats.lookups},
                          {"actions", m_stats.actions},
                          {"probes", m_stats.probes},
                          {"probe_slot_time_us", m_stats.probeSlotTime.count()},
                          {"slot_time_us", m_stats.slotTime.count()},
                          {"shed", m_stats.shed},
                          {"gone", m_stats.gone},
                          {"expired", m_stats.expired},
                          {"crashes", m_stats.crashes},
                          {"running", m_running.size()},
                          {"queued", m_queue.size()},
                          {"max_running", m_stats.maxRunning},
                          {"max_outstanding", m_stats.maxOutstanding},
                          {"connections", m_server.connectionCount()},
                          {"max_connections", m_stats.maxConnections},
                          {"requests_while_draining", m_stats.requestsWhileDraining},
                          {"last_while_draining_ms", m_stats.lastWhileDraining.count()}}
        .dump();
}

} // namespace apricotrock::emulator
