#pragma once

#include "apricotrock/engine.h"

#include <nlohmann/json.hpp>

/// Conversions to and from JSON for the types that events and effects share. The functions that
/// read JSON throw nlohmann::json::exception or std::invalid_argument on malformed input;
/// parseEvent() turns both into an error.
namespace apricotrock::engine::trace {

using Json = nlohmann::ordered_json;

/// Sets the member \a name if \a text is printable ASCII with line breaks and tabs; sets the member
/// NAME_hex to its hex digits otherwise.
void putText(Json &json, const std::string &name, const std::string &text);
/// Reads a text that putText() wrote. Returns an empty text if there is none.
std::string getText(const Json &json, const std::string &name);

Json headersToJson(const HttpHeaders &headers);
HttpHeaders headersFromJson(const Json &json);
/// Writes the request as members of \a json itself.
void putRequest(Json &json, const HttpRequest &request);
HttpRequest getRequest(const Json &json);
Json responseToJson(const HttpResponse &response);
HttpResponse responseFromJson(const Json &json);
Json loadToJson(const LoadReport &load);
LoadReport loadFromJson(const Json &json);
Json hintToJson(const routing::LoadHint &hint);
routing::LoadHint hintFromJson(const Json &json);
Json entryToJson(const wire::EntryUnion &entry);
wire::LogEntryT entryFromJson(const Json &json);
Json suspicionToJson(const wire::CrashSuspicionT &suspicion);
wire::CrashSuspicionT suspicionFromJson(const Json &json);
Json sealToJson(const wire::SealT &seal);
wire::SealT sealFromJson(const Json &json);
Json configurationToJson(const AcceptedConfiguration &configuration);
AcceptedConfiguration configurationFromJson(const Json &json);

inline std::int64_t toNs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(duration).count();
}

inline Duration fromNs(const Json &json)
{
    return std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(json.get<std::int64_t>()));
}

inline std::int64_t toMs(WallTime time)
{
    return time.time_since_epoch().count();
}

inline WallTime fromMs(const Json &json)
{
    return WallTime(std::chrono::milliseconds(json.get<std::int64_t>()));
}

IncarnationId incarnationFromJson(const Json &json);
IdempotencyKey keyFromJson(const Json &json);

} // namespace apricotrock::engine::trace
