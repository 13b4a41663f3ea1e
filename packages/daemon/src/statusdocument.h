#pragma once

#include "instance.h"

namespace apricotrock::daemon {

/// Returns the JSON document of `GET /status`.
std::string statusDocument(Instance &instance);
/// Returns the JSON document of `GET /quarantine`.
std::string quarantineDocument(const std::vector<engine::Status> &lanes);
/// Reads the id of a quarantine as printed by quarantineDocument(): 16 hex digits.
std::optional<std::uint64_t> parseQuarantineId(std::string_view text);

} // namespace apricotrock::daemon
