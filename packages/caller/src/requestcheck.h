#pragma once

#include "apricotrock/caller.h"

namespace apricotrock::caller {

/// Returns the reason to refuse a request before it is handed on, or nothing.
std::optional<ErrorKind> checkRequest(const HttpRequest &request, const Parameters &parameters);

} // namespace apricotrock::caller
