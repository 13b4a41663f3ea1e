#pragma once

#include "apricotrock/caller.h"

namespace apricotrock::caller {

/// Returns the reason to refuse a request before it is handed on, or nothing.
std::optional<ErrorKind> checkRequest(const HttpRequest &request, const Parameters &parameters);

/// Returns the outcome to tell with a refusal of \a request: another copy of an action with a key
/// may have run.
Outcome refusalOutcome(ErrorKind kind, const HttpRequest &request);

} // namespace apricotrock::caller
