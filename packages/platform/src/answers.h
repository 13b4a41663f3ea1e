#pragma once

#include "apricotrock/platform.h"

namespace apricotrock::platform {

/// Reads `{"offset":N}`.
Result<std::uint64_t> parseAppendAnswer(const std::string &body);
/// Reads the answer to a read from \a from. Refuses records out of order, below \a from, or outside
/// of the range that the answer itself states.
Result<ReadAnswer> parseReadAnswer(const std::string &body, std::uint64_t from);
Result<std::vector<InstanceInfo>> parseInstances(const std::string &body);

} // namespace apricotrock::platform
