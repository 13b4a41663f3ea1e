#include "requestcheck.h"

#include <algorithm>

namespace apricotrock::caller {

namespace {

bool isControl(char c)
{
    const auto value = static_cast<unsigned char>(c);
    return value < 0x20 || value == 0x7f;
}

bool isTarget(std::string_view target)
{
    return !target.empty() && target.front() == '/'
        && std::none_of(target.begin(), target.end(),
                        [](char c) { return isControl(c) || c == ' '; });
}

bool isHeaderValue(std::string_view value)
{
    return std::none_of(value.begin(), value.end(),
                        [](char c) { return isControl(c) && c != '\t'; });
}

std::size_t headerBytes(const HttpRequest &request)
{
    // Each header line has ": " and CR LF beside its name and value.
    constexpr std::size_t bytesPerLine = 4;
    std::size_t bytes = request.method.size() + request.target.size();
    for (const HttpHeader &header : request.headers)
        bytes += header.name.size() + header.value.size() + bytesPerLine;
    return bytes;
}

} // namespace

std::optional<ErrorKind> checkRequest(const HttpRequest &request, const Parameters &parameters)
{
    if (request.body.size() > parameters.maxBodyBytes
        || headerBytes(request) > parameters.maxHeaderBytes)
        return ErrorKind::RequestTooLarge;
    // A tunnel (CONNECT) cannot be balanced, and TRACE would return headers added on the way.
    if (request.method == "CONNECT" || request.method == "TRACE")
        return ErrorKind::MalformedRequest;
    if (!isTarget(request.target))
        return ErrorKind::MalformedRequest;
    // A body of a lookup has no defined meaning (RFC 9110, section 9.3.1).
    if (isLookupMethod(request.method) && !request.body.empty())
        return ErrorKind::MalformedRequest;
    const bool areValuesValid =
        std::all_of(request.headers.begin(), request.headers.end(),
                    [](const HttpHeader &header) { return isHeaderValue(header.value); });
    if (!areValuesValid)
        return ErrorKind::MalformedRequest;
    return std::nullopt;
}

Outcome refusalOutcome(ErrorKind kind, const HttpRequest &request)
{
    const bool hasKey =
        !isLookupMethod(request.method) && findHeader(request.headers, headername::idempotencyKey);
    return hasKey ? Outcome::Unknown : errorInfo(kind).outcome;
}

} // namespace apricotrock::caller
