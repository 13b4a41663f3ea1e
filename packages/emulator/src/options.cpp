#include "options.h"

#include <charconv>

namespace apricotrock::emulator {

Endpoint readEndpoint(const std::string &text)
{
    const auto endpoint = Endpoint::parse(text);
    if (!endpoint)
        throw CLI::ValidationError("'" + text + "' is not an address; write IP:PORT");
    return *endpoint;
}

std::chrono::microseconds readDuration(const std::string &text)
{
    static const std::map<std::string, double> units = {
        {"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 60e6}, {"h", 3600e6}};
    double value = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    const auto unit = units.find(std::string(stop, end));
    if (error != std::errc() || unit == units.end() || value < 0)
        throw CLI::ValidationError("'" + text + "' is not a duration; write for example 500ms");
    return std::chrono::microseconds(static_cast<std::int64_t>(value * unit->second));
}

} // namespace apricotrock::emulator
