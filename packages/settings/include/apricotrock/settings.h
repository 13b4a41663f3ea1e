#pragma once

#include "apricotrock/fields.h"
#include "apricotrock/settings_generated.h"

namespace apricotrock {

/// Reads and checks settings from INI text. Every fault is added to \a problems: unknown section or
/// key, bad unit, out of range, missing, and conflicts between keys (the key age that the log's
/// retention cannot cover). The result is usable only if no problem was added.
Settings readSettings(const std::string &file, const std::string &text,
                      std::vector<Problem> &problems);

/// Reads \a file; a file that cannot be read is a problem.
Settings readSettingsFile(const std::string &file, std::vector<Problem> &problems);

} // namespace apricotrock
