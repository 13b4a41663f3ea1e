#include "responsehead.h"

#include <algorithm>

namespace apricotrock::caller {

namespace {

constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;
constexpr std::string_view contentLength = "Content-Length";

void appendHeader(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name);
    text += ": ";
    text.append(value);
    text += "\r\n";
}

bool isReplaced(const HttpHeaders &extraHeaders, std::string_view name)
{
    return findHeader(extraHeaders, name).has_value();
}

/// Returns the value of Content-Length, or nothing if the header must be left out.
std::optional<std::string> lengthValue(const HttpResponse &response, const ResponseContext &context)
{
    if (response.status == statusNoContent)
        return std::nullopt;
    if (!context.isHead && response.status != statusNotModified)
        return std::to_string(response.body.size());
    if (const auto named = findHeader(response.headers, contentLength))
        return std::string(*named);
    // A backend server's answer to HEAD has no body from which a length would follow.
    return response.body.empty() ? std::nullopt
                                 : std::optional(std::to_string(response.body.size()));
}

} // namespace

bool isBodyless(int status)
{
    return status == statusNoContent || status == statusNotModified;
}

std::string formatResponseHead(const HttpResponse &response, const HttpHeaders &extraHeaders,
                               const ResponseContext &context)
{
    HttpHeaders headers = response.headers;
    removeHopByHopHeaders(headers);
    std::erase_if(headers, [&extraHeaders](const HttpHeader &header) {
        return equalsIgnoringCase(header.name, contentLength)
            || isReplaced(extraHeaders, header.name);
    });
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + ' ';
    text.append(reasonPhrase(response.status));
    text += "\r\n";
    for (const HttpHeader &header : headers)
        appendHeader(text, header.name, header.value);
    for (const HttpHeader &header : extraHeaders)
        appendHeader(text, header.name, header.value);
    if (const auto length = lengthValue(response, context))
        appendHeader(text, contentLength, *length);
    appendHeader(text, "Connection", context.keepsConnection ? "keep-alive" : "close");
    text += "\r\n";
    return text;
}

} // namespace apricotrock::caller
