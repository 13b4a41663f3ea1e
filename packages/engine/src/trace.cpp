#include "apricotrock/engine.h"

#include <nlohmann/json.hpp>

namespace apricotrock::engine {

namespace {

std::string formatLine(const char *kind, std::size_t index, Duration time)
{
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(time).count();
    return nlohmann::json{{"us", us}, {kind, index}}.dump();
}

} // namespace

std::string formatEvent(const Event &event, Duration time)
{
    return formatLine("event", event.index(), time);
}

std::string formatEffect(const Effect &effect, Duration time)
{
    return formatLine("effect", effect.index(), time);
}

Result<std::pair<Event, Duration>> parseEvent(const std::string &line)
{
    return makeError("trace lines can not be read yet: " + line);
}

} // namespace apricotrock::engine
