#include "headernumber.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace apricotrock::gateway {

std::optional<double> parseHeaderNumber(std::string_view text, double maximum)
{
    double value = 0;
    const char *end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    const bool isOutOfRange = error == std::errc::result_out_of_range;
    if ((error != std::errc() && !isOutOfRange) || parsed != end)
        return std::nullopt;
    if (isOutOfRange)
        return text.starts_with('-') ? std::nullopt : std::optional(maximum);
    if (!std::isfinite(value) || value < 0)
        return std::nullopt;
    return std::min(value, maximum);
}

} // namespace apricotrock::gateway
