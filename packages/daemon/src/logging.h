#pragma once

#include "apricotrock/settings.h"

namespace apricotrock::daemon {

using LogFields = std::vector<std::pair<std::string_view, std::string>>;

/// Sends log lines at or above \a level to standard error.
void setUpLogging(LogLevel level);

/// Writes one line `event=NAME key=value ...`; values with blanks are quoted.
void logLine(LogLevel level, std::string_view event, const LogFields &fields = {});

/// Returns the text of a line; exposed for tests.
std::string formatLogLine(std::string_view event, const LogFields &fields);

} // namespace apricotrock::daemon
