#include "tracejson.h"

namespace apricotrock::engine {

namespace {

using namespace trace;

std::int64_t toNs(TimePoint time)
{
    return trace::toNs(time.time_since_epoch());
}

Json effectToJson(const StartAttempt &effect)
{
    Json json = {{"effect", "StartAttempt"},
                 {"attempt", effect.start.attempt},
                 {"request", effect.start.request},
                 {"backend_server", effect.start.backendServer},
                 {"address", effect.start.address.toString()},
                 {"deadline_ns", toNs(effect.start.deadline)},
                 {"new_connection", effect.start.useNewConnection},
                 {"hedge", effect.start.isHedge}};
    putRequest(json, *effect.request);
    return json;
}

Json effectToJson(const CancelAttempt &effect)
{
    return {{"effect", "CancelAttempt"}, {"attempt", effect.attempt}};
}

Json effectToJson(const Reply &effect)
{
    Json json = {{"effect", "Reply"}, {"id", effect.id}, {"outcome", outcomeName(effect.outcome)}};
    if (effect.error)
        json["error"] = errorInfo(*effect.error).name;
    if (effect.forwardedBy)
        json["forward_from"] = effect.forwardedBy->toString();
    json["class"] = effect.requestClass == routing::RequestClass::Action ? "action" : "lookup";
    json["response"] = responseToJson(*effect.response);
    return json;
}

Json effectToJson(const AppendEntries &effect)
{
    Json json = {{"effect", "AppendEntries"},
                 {"deadline_ns", toNs(effect.deadline)},
                 {"entries", Json::array()}};
    for (const auto &holder : effect.entries)
        json["entries"].push_back(entryToJson(holder->entry));
    return json;
}

Json effectToJson(const ForwardRequest &effect)
{
    Json json = {{"effect", "ForwardRequest"},           {"id", effect.id},
                 {"owner", effect.owner.toString()},     {"service", effect.service},
                 {"key", effect.key.toString()},         {"caller", effect.caller},
                 {"deadline_ns", toNs(effect.deadline)}, {"status_query", effect.isStatusQuery}};
    putRequest(json, *effect.request);
    return json;
}

Json effectToJson(const SendProbe &effect)
{
    return {{"effect", "SendProbe"},
            {"backend_server", effect.probe.backendServer},
            {"address", effect.probe.address.toString()},
            {"path", effect.probe.path},
            {"deadline_ns", toNs(effect.probe.deadline)}};
}

Json effectToJson(const SendHints &effect)
{
    Json json = {{"effect", "TellPeers"},
                 {"loads", Json::array()},
                 {"suspicions", Json::array()},
                 {"seals", Json::array()}};
    for (const auto &hint : effect.loads)
        json["loads"].push_back(hintToJson(hint));
    for (const auto &suspicion : effect.suspicions)
        json["suspicions"].push_back(suspicionToJson(suspicion));
    for (const auto &part : effect.seals)
        json["seals"].push_back(sealToJson(part));
    return json;
}

} // namespace

std::string formatEffect(const Effect &effect, Duration time)
{
    Json json = {{"ns", trace::toNs(time)}};
    json.update(std::visit([](const auto &concrete) { return effectToJson(concrete); }, effect));
    return json.dump();
}

} // namespace apricotrock::engine
