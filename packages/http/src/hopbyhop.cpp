#include "apricotrock/http.h"

#include <algorithm>

namespace apricotrock {

namespace {

/// Adds the comma-separated names in the value of a Connection header.
void addNamedHeaders(std::string_view value, std::vector<std::string> &names)
{
    while (!value.empty()) {
        const auto comma = value.find(',');
        std::string_view name = value.substr(0, comma);
        value.remove_prefix(comma == std::string_view::npos ? value.size() : comma + 1);
        const auto first = name.find_first_not_of(" \t");
        const auto last = name.find_last_not_of(" \t");
        if (first != std::string_view::npos)
            names.emplace_back(name.substr(first, last - first + 1));
    }
}

} // namespace

void removeHopByHopHeaders(HttpHeaders &headers)
{
    std::vector<std::string> named;
    for (const HttpHeader &header : headers) {
        if (equalsIgnoringCase(header.name, "Connection"))
            addNamedHeaders(header.value, named);
    }
    std::erase_if(headers, [&named](const HttpHeader &header) {
        return isHopByHopHeader(header.name)
            || std::any_of(named.begin(), named.end(), [&header](const std::string &name) {
                   return equalsIgnoringCase(header.name, name);
               });
    });
}

} // namespace apricotrock
