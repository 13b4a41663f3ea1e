#pragma once

#include "apricotrock/settings.h"

namespace apricotrock {

/// Reports keys that contradict each other. Keys that could not be read hold zero and are skipped.
void checkConflicts(const Settings &settings, std::vector<Problem> &problems);

} // namespace apricotrock
