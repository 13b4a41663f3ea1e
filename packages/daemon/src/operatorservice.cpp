#include "operatorservice.h"

#include "statusdocument.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace apricotrock::daemon {

namespace {

constexpr std::size_t maxBodyBytes = 64 * std::size_t(1024);
constexpr std::size_t maxHeaderBytes = 16 * std::size_t(1024);
constexpr std::chrono::seconds idleTimeout{30};
constexpr std::chrono::milliseconds defaultTrace{1000};
constexpr std::chrono::milliseconds longestTrace{60000};
constexpr std::chrono::seconds answerTimeout{90};
constexpr std::string_view quarantinePrefix = "/quarantine/";

HttpResponse textResponse(int status, std::string body,
                          const char *type = "text/plain; charset=utf-8")
{
    return {status, {{"Content-Type", type}}, std::move(body)};
}

HttpResponse jsonResponse(std::string body)
{
    return textResponse(200, std::move(body), "application/json");
}

/// Reads a number in the query; nothing if it is there but malformed.
std::optional<std::uint64_t> queryNumber(const std::string &target, std::string_view name,
                                         std::uint64_t otherwise)
{
    const auto text = queryValue(target, name);
    if (!text)
        return otherwise;
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc() || end != text->data() + text->size())
        return std::nullopt;
    return value;
}

caller::Parameters listenerParameters(const Settings &settings)
{
    caller::Parameters parameters;
    parameters.address = settings.listen.operators;
    // One thread can wait for a lane while the other answers health checks.
    parameters.threads = 2;
    parameters.maxBodyBytes = maxBodyBytes;
    parameters.maxHeaderBytes = maxHeaderBytes;
    parameters.idleTimeout = idleTimeout;
    parameters.answerTimeout = answerTimeout;
    return parameters;
}

} // namespace

OperatorService::OperatorService(Instance &instance)
    : m_instance(instance),
      m_listener(listenerParameters(instance.settings()),
                 {[this](const caller::IncomingRequest &incoming) { onRequest(incoming); },
                  [](RequestId) {}})
{ }

void OperatorService::onRequest(const caller::IncomingRequest &incoming)
{
    const std::string &method = incoming.request.method;
    const std::string path = incoming.request.target.substr(0, incoming.request.target.find('?'));
    if (isLookupMethod(method)) {
        reply(incoming.id, get(path));
    } else if (method == "POST" && path == "/drain") {
        m_instance.requestDrain();
        reply(incoming.id, textResponse(202, "planned stop started\n"));
    } else if (method == "POST" && path == "/trace") {
        startTrace(incoming);
    } else if (method == "DELETE" && path.starts_with(quarantinePrefix)) {
        reply(incoming.id, clearQuarantine(std::string_view(path).substr(quarantinePrefix.size())));
    } else {
        reply(incoming.id, textResponse(404, "no such operation; see docs/operators.md\n"));
    }
}

HttpResponse OperatorService::get(const std::string &path) const
{
    if (path == "/metrics")
        return textResponse(200, m_instance.registry().text(), "text/plain; version=0.0.4");
    if (path == "/healthz")
        return textResponse(200, "live\n");
    if (path == "/readyz") {
        if (m_instance.isReady())
            return textResponse(200, "ready\n");
        return textResponse(503,
                            m_instance.configuration().current()
                                ? "not ready: the instance leaves\n"
                                : "not ready: no configuration is in force\n");
    }
    if (path == "/status")
        return jsonResponse(statusDocument(m_instance));
    if (path == "/quarantine")
        return jsonResponse(quarantineDocument(m_instance.laneStatus()));
    if (path == "/trace")
        return textResponse(200, m_instance.recorder().text(), "application/jsonl");
    return textResponse(404, "no such document; see docs/operators.md\n");
}

void OperatorService::startTrace(const caller::IncomingRequest &incoming)
{
    const std::string &target = incoming.request.target;
    const auto duration =
        queryNumber(target, "duration_ms", static_cast<std::uint64_t>(defaultTrace.count()));
    const auto lane = queryNumber(target, "lane", 0);
    const auto lanes = m_instance.settings().limits.lanes;
    if (!duration || *duration == 0 || *duration > static_cast<std::uint64_t>(longestTrace.count())
        || !lane || *lane >= lanes) {
        reply(incoming.id,
              textResponse(400,
                           "bad trace request; duration_ms is 1 to 60000 and lane below "
                               + std::to_string(lanes) + '\n'));
        return;
    }
    const TimePoint now = Clock::now();
    if (!m_instance.startTrace(static_cast<std::uint32_t>(*lane), now)) {
        reply(incoming.id, textResponse(409, "a recording is under way; wait for its end\n"));
        return;
    }
    m_instance.timer().callAt(
        now + std::chrono::milliseconds(*duration), [this, id = incoming.id](TimePoint) {
            reply(id, textResponse(200, m_instance.recorder().finish(), "application/jsonl"));
        });
}

HttpResponse OperatorService::clearQuarantine(std::string_view id) const
{
    const auto fingerprint = parseQuarantineId(id);
    if (!fingerprint)
        return textResponse(400, "malformed id; copy it from GET /quarantine\n");
    for (const engine::Status &lane : m_instance.laneStatus()) {
        for (const engine::QuarantineStatus &entry : lane.quarantines) {
            if (entry.fingerprint != *fingerprint)
                continue;
            m_instance.clearQuarantine(entry);
            return textResponse(202, "quarantine is being cleared\n");
        }
    }
    return textResponse(404, "no such quarantine; see GET /quarantine\n");
}

} // namespace apricotrock::daemon
