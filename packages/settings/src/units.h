#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace apricotrock {

/// One unit suffix and the number of base units that it stands for.
struct Unit
{
    std::string_view suffix;
    std::uint64_t factor;
};

/// Reads a decimal number without sign; nothing if a character is left over or it overflows.
std::optional<std::uint64_t> parseCount(std::string_view text);
/// Reads a finite decimal fraction, without sign.
std::optional<double> parseDecimal(std::string_view text);

} // namespace apricotrock
