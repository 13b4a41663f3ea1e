#include "apricotrock/http.h"

#include <map>

namespace apricotrock {

std::string_view reasonPhrase(int status)
{
    static const std::map<int, std::string_view> phrases = {
        {200, "OK"},
        {201, "Created"},
        {202, "Accepted"},
        {204, "No Content"},
        {301, "Moved Permanently"},
        {302, "Found"},
        {303, "See Other"},
        {304, "Not Modified"},
        {307, "Temporary Redirect"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {403, "Forbidden"},
        {404, "Not Found"},
        {405, "Method Not Allowed"},
        {408, "Request Timeout"},
        {409, "Conflict"},
        {413, "Content Too Large"},
        {421, "Misdirected Request"},
        {422, "Unprocessable Content"},
        {428, "Precondition Required"},
        {429, "Too Many Requests"},
        {431, "Request Header Fields Too Large"},
        {499, "Caller Gone"},
        {500, "Internal Server Error"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
    };
    const auto phrase = phrases.find(status);
    return phrase == phrases.end() ? std::string_view("Status") : phrase->second;
}

} // namespace apricotrock
