#include "apricotrock/loop.h"

#include <fmt/format.h>

#include <algorithm>

namespace apricotrock::loop {

namespace {

constexpr std::array<std::string_view, 9> connectionHeaders = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
};

bool listContains(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        std::string_view item = list.substr(0, comma);
        while (!item.empty() && item.front() == ' ')
            item.remove_prefix(1);
        while (!item.empty() && item.back() == ' ')
            item.remove_suffix(1);
        if (equalsIgnoringCase(item, token))
            return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

} // namespace

std::size_t countHeader(const Headers &headers, std::string_view name)
{
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(),
                      [name](const auto &each) { return equalsIgnoringCase(each.name, name); }));
}

bool isHopByHop(const Headers &headers, std::string_view name)
{
    for (const std::string_view each : connectionHeaders) {
        if (equalsIgnoringCase(each, name))
            return true;
    }
    const auto connection = findHeader(headers, "connection");
    return connection && listContains(*connection, name);
}

std::optional<std::string_view> HttpRequest::query(std::string_view name) const
{
    const std::size_t start = target.find('?');
    if (start == std::string::npos)
        return std::nullopt;
    std::string_view rest = std::string_view(target).substr(start + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name)
            return pair.substr(std::min(equals + 1, pair.size()));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return std::nullopt;
}

std::string formatRequest(std::string_view method, std::string_view target, const Headers &headers,
                          std::string_view body, bool hasBody)
{
    std::string data = formatRequestHead(method, target, headers, body.size(), hasBody);
    data.append(body);
    return data;
}

std::string formatRequestHead(std::string_view method, std::string_view target,
                              const Headers &headers, std::size_t bodySize, bool hasBody)
{
    std::string data;
    data.reserve(256 + headers.size() * 48);
    data.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    for (const auto &[name, value] : headers)
        data.append(name).append(": ").append(value).append("\r\n");
    if (hasBody || bodySize > 0)
        fmt::format_to(std::back_inserter(data), "Content-Length: {}\r\n", bodySize);
    data.append("\r\n");
    return data;
}

} // namespace apricotrock::loop
