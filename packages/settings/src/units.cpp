#include "units.h"

#include "apricotrock/fields.h"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace apricotrock {

namespace {

// Largest unit first, so that formatDuration finds the shortest form.
constexpr std::array<Unit, 6> durationUnits = {{
    {"d", 86'400'000'000},
    {"h", 3'600'000'000},
    {"m", 60'000'000},
    {"s", 1'000'000},
    {"ms", 1'000},
    {"us", 1},
}};

constexpr std::array<Unit, 4> byteUnits = {{
    {"GiB", std::uint64_t(1) << 30},
    {"MiB", std::uint64_t(1) << 20},
    {"KiB", std::uint64_t(1) << 10},
    {"B", 1},
}};

// Durations are signed 64-bit microseconds.
constexpr auto largestQuantity =
    static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());

template <std::size_t count>
std::optional<std::uint64_t> parseQuantity(std::string_view text,
                                           const std::array<Unit, count> &units)
{
    const auto split = text.find_first_not_of("0123456789");
    if (split == std::string_view::npos)
        return std::nullopt;
    const auto number = parseCount(text.substr(0, split));
    if (!number)
        return std::nullopt;
    for (const Unit &unit : units) {
        if (text.substr(split) != unit.suffix)
            continue;
        if (*number > largestQuantity / unit.factor)
            return std::nullopt;
        return *number * unit.factor;
    }
    return std::nullopt;
}

} // namespace

std::optional<std::uint64_t> parseCount(std::string_view text)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return value;
}

std::optional<double> parseDecimal(std::string_view text)
{
    if (text.empty() || text.find_first_not_of("0123456789.") != std::string_view::npos)
        return std::nullopt;
    double value = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stop != end || !std::isfinite(value))
        return std::nullopt;
    return value;
}

std::optional<std::chrono::microseconds> parseDuration(std::string_view text)
{
    const auto value = parseQuantity(text, durationUnits);
    if (!value)
        return std::nullopt;
    return std::chrono::microseconds(static_cast<std::int64_t>(*value));
}

std::optional<std::uint64_t> parseBytes(std::string_view text)
{
    return parseQuantity(text, byteUnits);
}

std::string formatDuration(std::chrono::microseconds duration)
{
    const std::int64_t count = duration.count();
    if (count == 0)
        return "0s";
    for (const Unit &unit : durationUnits) {
        const auto factor = static_cast<std::int64_t>(unit.factor);
        if (count % factor == 0)
            return std::to_string(count / factor) + std::string(unit.suffix);
    }
    return std::to_string(count) + "us";
}

} // namespace apricotrock
