#pragma once

#include "apricotrock/config.h"

namespace apricotrock {

/// Returns `KIND NAME`, as in a section header.
std::string objectLabel(const ObjectId &id);
/// Returns one "key = value" line for each key, in the order of the keys.
std::string canonicalText(const std::map<std::string, std::string> &values);

} // namespace apricotrock
