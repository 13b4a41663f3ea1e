#include "requestquery.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace apricotrock::emulator {

std::string_view pathOf(const HttpRequest &request)
{
    return std::string_view(request.target).substr(0, request.target.find('?'));
}

std::optional<std::uint64_t> queryNumber(const HttpRequest &request, std::string_view name)
{
    const auto text = queryValue(request.target, name);
    if (!text)
        return std::nullopt;
    std::uint64_t value = 0;
    const char *end = text->data() + text->size();
    const auto [stop, error] = std::from_chars(text->data(), end, value);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return value;
}

HttpResponse jsonResponse(int status, std::string json)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(json)};
}

HttpResponse badControl(const std::string &message)
{
    return jsonResponse(400, nlohmann::json{{"error", message}}.dump());
}

} // namespace apricotrock::emulator
