#include "apricotrock/http.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace apricotrock {

namespace {

constexpr std::chrono::milliseconds maxDeadline = std::chrono::hours(24);

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

template <typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return value;
}

} // namespace

std::optional<std::string_view> findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (equalsIgnoringCase(header.name, name))
            return header.value;
    }
    return std::nullopt;
}

bool isTokenCharacter(char character)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9')
        || marks.find(character) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

bool isHopByHopHeader(std::string_view name)
{
    constexpr std::array<std::string_view, 9> names = {
        "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
        "TE",         "Trailer",    "Upgrade",          "Transfer-Encoding",
        "Expect"};
    return std::any_of(names.begin(), names.end(),
                       [name](std::string_view other) { return equalsIgnoringCase(name, other); });
}

bool isLookupMethod(std::string_view method)
{
    return method == "GET" || method == "HEAD";
}

std::optional<LoadReport> parseLoadReport(std::string_view text)
{
    LoadReport report;
    bool hasSlots = false;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const std::string_view item = trim(text.substr(0, comma));
        text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
        const auto equals = item.find('=');
        if (equals == std::string_view::npos)
            return std::nullopt;
        const auto value = parseNumber<std::uint32_t>(trim(item.substr(equals + 1)));
        if (!value)
            return std::nullopt;
        const std::string_view name = trim(item.substr(0, equals));
        if (name == "outstanding")
            report.outstanding = *value;
        else if (name == "queued")
            report.queued = *value;
        else if (name == "slots")
            report.slots = *value;
        hasSlots = hasSlots || name == "slots";
    }
    if (!hasSlots || report.slots == 0)
        return std::nullopt;
    return report;
}

std::optional<std::chrono::milliseconds> parseDeadline(std::string_view text)
{
    const auto value = parseNumber<std::int64_t>(trim(text));
    if (!value || *value <= 0 || *value > maxDeadline.count())
        return std::nullopt;
    return std::chrono::milliseconds(*value);
}

} // namespace apricotrock
