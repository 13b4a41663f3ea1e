#pragma once

#include "state.h"

namespace apricotrock::routing {

struct RetryDecision
{
    bool isAllowed = false;
    /// Kind of the failure if no retry is allowed.
    ErrorKind failure = ErrorKind::BackendTimeout;
};

/// Returns true for answers of which another backend server may give a better one (RFC 9110,
/// sections 15.6.3 to 15.6.5).
bool isRetryableStatus(int httpStatus);
/// Decides what follows after the last running attempt of \a request failed. Takes the token of an
/// allowed retry from the budget.
RetryDecision decideRetry(State &state, const RequestState &request, const AttemptResult &result,
                          TimePoint now);

} // namespace apricotrock::routing
