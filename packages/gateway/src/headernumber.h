#pragma once

#include <optional>
#include <string_view>

namespace apricotrock::gateway {

/// Parses a header that holds a decimal number of at least 0, which may have a fraction. Returns at
/// most \a maximum, also for numbers that do not fit into a double, and nothing for other texts:
/// negative numbers, "inf" and "nan" included.
std::optional<double> parseHeaderNumber(std::string_view text, double maximum);

} // namespace apricotrock::gateway
