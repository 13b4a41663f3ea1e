#pragma once

#include "state.h"

namespace apricotrock::routing {

struct RetryDecision
{
    bool isAllowed = false;
    /// Error to report if no retry is allowed.
    ErrorKind failure = ErrorKind::BackendTimeout;
};

/// Returns true for 502, 503 and 504, for which another backend server may succeed (RFC 9110,
/// sections 15.6.3 to 15.6.5).
bool isRetryableStatus(int httpStatus);
/// Decides whether to retry \a request after its last running attempt failed. Withdraws a token
/// from the retry budget if it allows the retry.
RetryDecision decideRetry(State &state, const RequestState &request, const AttemptResult &result,
                          TimePoint now);

} // namespace apricotrock::routing
