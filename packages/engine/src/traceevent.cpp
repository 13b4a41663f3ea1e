#include "tracejson.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace apricotrock::engine {

namespace {

using namespace trace;

/// Names of the alternatives of Event, in order of declaration.
constexpr std::array<std::string_view, std::variant_size_v<Event>> eventNames = {
    "RequestArrived",        "CallerGone",           "AttemptFinished",
    "ProbeFinished",         "TimeAdvanced",         "ConfigurationAccepted",
    "LogRecordRead",         "LogStateChanged",      "LoadHintReceived",
    "SuspicionHintReceived", "SealHintReceived",     "ForwardAnswered",
    "PeersChanged",          "BackendServerLeaving", "QuarantineClearRequested",
    "PauseDetected",         "SealRequested",
};

/// Names of the values of routing::AttemptStatus, in order of declaration.
constexpr std::array<std::string_view, 7> attemptStatusNames = {
    "answered",       "shed",    "connect-failed", "connection-lost",
    "answer-invalid", "timeout", "cancelled",
};

void writeFields(Json &json, const RequestArrived &event)
{
    json["id"] = event.id;
    putText(json, "service", event.service);
    putText(json, "caller", event.caller);
    putRequest(json, event.request);
    if (event.key)
        json["key"] = event.key->toString();
    if (event.timeLeft)
        json["time_left_ns"] = toNs(*event.timeLeft);
    if (event.isStatusQuery)
        json["status_query"] = true;
    if (event.forwardedBy)
        json["forward_from"] = event.forwardedBy->toString();
    json["wall_ms"] = toMs(event.wallTime);
}

void readFields(const Json &json, RequestArrived &event)
{
    event.id = json.at("id").get<RequestId>();
    event.service = getText(json, "service");
    event.caller = getText(json, "caller");
    event.request = getRequest(json);
    if (json.contains("key"))
        event.key = keyFromJson(json.at("key"));
    if (json.contains("time_left_ns"))
        event.timeLeft = fromNs(json.at("time_left_ns"));
    event.isStatusQuery = json.value("status_query", false);
    if (json.contains("forward_from"))
        event.forwardedBy = incarnationFromJson(json.at("forward_from"));
    event.wallTime = fromMs(json.at("wall_ms"));
}

void writeFields(Json &json, const CallerGone &event)
{
    json["id"] = event.id;
}

void readFields(const Json &json, CallerGone &event)
{
    event.id = json.at("id").get<RequestId>();
}

void writeFields(Json &json, const AttemptFinished &event)
{
    json["attempt"] = event.result.attempt;
    json["status"] = attemptStatusNames.at(static_cast<std::size_t>(event.result.status));
    json["http_status"] = event.result.httpStatus;
    json["latency_ns"] = toNs(event.result.latency);
    if (event.result.load)
        json["load"] = loadToJson(*event.result.load);
    json["draining"] = event.result.isDraining;
    if (event.response)
        json["response"] = responseToJson(*event.response);
}

void readFields(const Json &json, AttemptFinished &event)
{
    event.result.attempt = json.at("attempt").get<AttemptId>();
    const auto name = json.at("status").get<std::string>();
    const auto status = std::find(attemptStatusNames.begin(), attemptStatusNames.end(), name);
    if (status == attemptStatusNames.end())
        throw std::invalid_argument("unknown attempt status: " + name);
    event.result.status = static_cast<routing::AttemptStatus>(status - attemptStatusNames.begin());
    event.result.httpStatus = json.value("http_status", 0);
    event.result.latency = fromNs(json.value("latency_ns", Json(0)));
    if (json.contains("load"))
        event.result.load = loadFromJson(json.at("load"));
    event.result.isDraining = json.value("draining", false);
    if (json.contains("response"))
        event.response =
            std::make_shared<const HttpResponse>(responseFromJson(json.at("response")));
}

void writeFields(Json &json, const ProbeFinished &event)
{
    json["backend_server"] = event.result.backendServer;
    json["healthy"] = event.result.isHealthy;
    json["latency_ns"] = toNs(event.result.latency);
    if (event.result.load)
        json["load"] = loadToJson(*event.result.load);
    json["draining"] = event.result.isDraining;
}

void readFields(const Json &json, ProbeFinished &event)
{
    event.result.backendServer = json.at("backend_server").get<std::string>();
    event.result.isHealthy = json.at("healthy").get<bool>();
    event.result.latency = fromNs(json.value("latency_ns", Json(0)));
    if (json.contains("load"))
        event.result.load = loadFromJson(json.at("load"));
    event.result.isDraining = json.value("draining", false);
}

void writeFields(Json &json, const TimeAdvanced &event)
{
    json["wall_ms"] = toMs(event.wallTime);
}

void readFields(const Json &json, TimeAdvanced &event)
{
    event.wallTime = fromMs(json.at("wall_ms"));
}

void writeFields(Json &json, const ConfigurationAccepted &event)
{
    json["configuration"] = configurationToJson(*event.configuration);
}

void readFields(const Json &json, ConfigurationAccepted &event)
{
    event.configuration = std::make_shared<const AcceptedConfiguration>(
        configurationFromJson(json.at("configuration")));
}

void writeFields(Json &json, const LogRecordRead &event)
{
    json["offset"] = event.offset;
    json["incarnation"] = IncarnationId{event.record->incarnation}.toString();
    json["sequence"] = event.record->sequence;
    json["writer"] = event.record->instance;
    json["entries"] = Json::array();
    for (const auto &holder : event.record->entries)
        json["entries"].push_back(entryToJson(holder->entry));
    json["wall_ms"] = toMs(event.wallTime);
}

void readFields(const Json &json, LogRecordRead &event)
{
    wire::LogRecordT record;
    event.offset = json.at("offset").get<std::uint64_t>();
    record.incarnation = incarnationFromJson(json.at("incarnation")).value;
    record.sequence = json.at("sequence").get<std::uint64_t>();
    record.instance = json.value("writer", std::string());
    for (const Json &item : json.at("entries"))
        record.entries.push_back(std::make_unique<wire::LogEntryT>(entryFromJson(item)));
    event.record = std::make_shared<const wire::LogRecordT>(std::move(record));
    event.wallTime = fromMs(json.at("wall_ms"));
}

void writeFields(Json &json, const LogStateChanged &event)
{
    json["available"] = event.isAvailable;
}

void readFields(const Json &json, LogStateChanged &event)
{
    event.isAvailable = json.at("available").get<bool>();
}

void writeFields(Json &json, const LoadHintReceived &event)
{
    json["hint"] = hintToJson(event.hint);
}

void readFields(const Json &json, LoadHintReceived &event)
{
    event.hint = hintFromJson(json.at("hint"));
}

void writeFields(Json &json, const SuspicionHintReceived &event)
{
    json["incarnation"] = event.id.incarnation.toString();
    json["sequence"] = event.id.sequence;
    json["suspicion"] = suspicionToJson(event.suspicion);
}

void readFields(const Json &json, SuspicionHintReceived &event)
{
    event.id.incarnation = incarnationFromJson(json.at("incarnation"));
    event.id.sequence = json.at("sequence").get<std::uint64_t>();
    event.suspicion = suspicionFromJson(json.at("suspicion"));
}

void writeFields(Json &json, const SealHintReceived &event)
{
    json["incarnation"] = event.incarnation.toString();
    json["seal"] = sealToJson(event.seal);
}

void readFields(const Json &json, SealHintReceived &event)
{
    event.incarnation = incarnationFromJson(json.at("incarnation"));
    event.seal = sealFromJson(json.at("seal"));
}

void writeFields(Json &json, const ForwardAnswered &event)
{
    json["id"] = event.id;
    if (event.response)
        json["response"] = responseToJson(*event.response);
}

void readFields(const Json &json, ForwardAnswered &event)
{
    event.id = json.at("id").get<RequestId>();
    if (json.contains("response"))
        event.response =
            std::make_shared<const HttpResponse>(responseFromJson(json.at("response")));
}

void writeFields(Json &json, const PeersChanged &event)
{
    json["reachable"] = Json::array();
    for (const IncarnationId incarnation : event.reachable)
        json["reachable"].push_back(incarnation.toString());
}

void readFields(const Json &json, PeersChanged &event)
{
    for (const Json &item : json.at("reachable"))
        event.reachable.push_back(incarnationFromJson(item));
}

void writeFields(Json &json, const BackendServerLeaving &event)
{
    json["backend_server"] = event.backendServer;
}

void readFields(const Json &json, BackendServerLeaving &event)
{
    event.backendServer = json.at("backend_server").get<std::string>();
}

void writeFields(Json &json, const QuarantineClearRequested &event)
{
    json["fingerprint"] = event.fingerprint;
}

void readFields(const Json &json, QuarantineClearRequested &event)
{
    event.fingerprint = json.at("fingerprint").get<std::uint64_t>();
}

void writeFields(Json &json, const PauseDetected &event)
{
    json["length_ns"] = toNs(event.length);
}

void readFields(const Json &json, PauseDetected &event)
{
    event.length = fromNs(json.at("length_ns"));
}

void writeFields(Json &, const SealRequested &) { }

void readFields(const Json &, SealRequested &) { }

/// Reads the alternative of Event with the index \a wanted; tries \a index and those after it.
template <std::size_t index = 0>
Event readAlternative(std::size_t wanted, const Json &json)
{
    if constexpr (index < std::variant_size_v<Event>) {
        if (index != wanted)
            return readAlternative<index + 1>(wanted, json);
        std::variant_alternative_t<index, Event> event;
        readFields(json, event);
        return event;
    } else {
        throw std::invalid_argument("unknown event");
    }
}

} // namespace

std::string formatEvent(const Event &event, Duration time)
{
    Json json = {{"ns", toNs(time)}, {"event", eventNames.at(event.index())}};
    std::visit([&json](const auto &concrete) { writeFields(json, concrete); }, event);
    return json.dump();
}

Result<std::pair<Event, Duration>> parseEvent(const std::string &line)
{
    try {
        const Json json = Json::parse(line);
        const auto name = json.at("event").get<std::string>();
        const auto found = std::find(eventNames.begin(), eventNames.end(), name);
        const auto index = static_cast<std::size_t>(found - eventNames.begin());
        return std::pair(readAlternative(index, json), fromNs(json.at("ns")));
    } catch (const std::exception &error) {
        return makeError(std::string("cannot read the event: ") + error.what()
                         + "; see docs/traces.md for the format");
    }
}

} // namespace apricotrock::engine
