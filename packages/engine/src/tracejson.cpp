#include "tracejson.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace apricotrock::engine::trace {

namespace {

constexpr std::string_view hexDigits = "0123456789abcdef";

bool isPrintable(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= ' ' && c <= '~') || c == '\n' || c == '\r' || c == '\t';
    });
}

std::string toHex(const std::string &text)
{
    std::string hex;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        hex += hexDigits[byte >> 4];
        hex += hexDigits[byte & 0xf];
    }
    return hex;
}

std::string fromHex(const std::string &hex)
{
    std::string text;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
        unsigned value = 0;
        const char *end = hex.data() + i + 2;
        if (std::from_chars(hex.data() + i, end, value, 16).ptr != end)
            throw std::invalid_argument("invalid hex digits: " + hex.substr(i, 2));
        text += static_cast<char>(value);
    }
    if (hex.size() % 2 != 0)
        throw std::invalid_argument("odd number of hex digits");
    return text;
}

} // namespace

void putText(Json &json, const std::string &name, const std::string &text)
{
    if (isPrintable(text))
        json[name] = text;
    else
        json[name + "_hex"] = toHex(text);
}

std::string getText(const Json &json, const std::string &name)
{
    const auto hex = json.find(name + "_hex");
    if (hex != json.end())
        return fromHex(hex->get<std::string>());
    return json.value(name, std::string());
}

Json headersToJson(const HttpHeaders &headers)
{
    Json json = Json::array();
    for (const HttpHeader &header : headers) {
        Json item;
        putText(item, "name", header.name);
        putText(item, "value", header.value);
        json.push_back(std::move(item));
    }
    return json;
}

HttpHeaders headersFromJson(const Json &json)
{
    HttpHeaders headers;
    for (const Json &item : json)
        headers.push_back({getText(item, "name"), getText(item, "value")});
    return headers;
}

void putRequest(Json &json, const HttpRequest &request)
{
    putText(json, "method", request.method);
    putText(json, "target", request.target);
    if (!request.headers.empty())
        json["headers"] = headersToJson(request.headers);
    putText(json, "body", request.body);
}

HttpRequest getRequest(const Json &json)
{
    HttpRequest request;
    request.method = getText(json, "method");
    request.target = getText(json, "target");
    request.headers = headersFromJson(json.value("headers", Json::array()));
    request.body = getText(json, "body");
    return request;
}

Json responseToJson(const HttpResponse &response)
{
    Json json = {{"status", response.status}, {"headers", headersToJson(response.headers)}};
    putText(json, "body", response.body);
    return json;
}

HttpResponse responseFromJson(const Json &json)
{
    HttpResponse response;
    response.status = json.at("status").get<int>();
    response.headers = headersFromJson(json.value("headers", Json::array()));
    response.body = getText(json, "body");
    return response;
}

Json loadToJson(const LoadReport &load)
{
    return {{"outstanding", load.outstanding}, {"queued", load.queued}, {"slots", load.slots}};
}

LoadReport loadFromJson(const Json &json)
{
    LoadReport load;
    load.outstanding = json.at("outstanding").get<std::uint32_t>();
    load.queued = json.at("queued").get<std::uint32_t>();
    load.slots = json.at("slots").get<std::uint32_t>();
    return load;
}

Json hintToJson(const routing::LoadHint &hint)
{
    return {{"backend_server", hint.backendServer},
            {"load", loadToJson(hint.load)},
            {"age_ns", toNs(hint.age)},
            {"leaving", hint.isLeaving}};
}

routing::LoadHint hintFromJson(const Json &json)
{
    routing::LoadHint hint;
    hint.backendServer = json.at("backend_server").get<std::string>();
    hint.load = loadFromJson(json.at("load"));
    hint.age = fromNs(json.at("age_ns"));
    hint.isLeaving = json.at("leaving").get<bool>();
    return hint;
}

Json configurationToJson(const AcceptedConfiguration &configuration)
{
    return {{"version", configuration.version},
            {"digest", configuration.digest},
            {"objects", formatObjects(configuration.objects)}};
}

AcceptedConfiguration configurationFromJson(const Json &json)
{
    AcceptedConfiguration configuration;
    configuration.version = json.at("version").get<std::uint64_t>();
    configuration.digest = json.value("digest", std::string());
    std::vector<Problem> problems;
    configuration.objects = readObjects("trace", json.at("objects").get<std::string>(), problems);
    configuration.configuration = validate(configuration.objects, problems);
    if (!problems.empty())
        throw std::invalid_argument(problems.front().toString());
    return configuration;
}

IncarnationId incarnationFromJson(const Json &json)
{
    const auto text = json.get<std::string>();
    const auto incarnation = IncarnationId::parse(text);
    if (!incarnation)
        throw std::invalid_argument("invalid incarnation id: " + text);
    return *incarnation;
}

IdempotencyKey keyFromJson(const Json &json)
{
    const auto text = json.get<std::string>();
    const auto key = IdempotencyKey::parse(text);
    if (!key)
        throw std::invalid_argument("invalid idempotency key: " + text);
    return *key;
}

} // namespace apricotrock::engine::trace
