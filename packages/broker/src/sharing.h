#pragma once

#include "apricotrock/broker.h"

namespace apricotrock::broker {

/// Counts the organisation of \a request among those that share the service. Does nothing for
/// requests without an organisation.
void recordDemand(Sharing &sharing, const AttemptRequest &request, TimePoint now);

/// Adds slot time, which is negative to correct what was added too much.
void addSlotTime(Sharing &sharing, OrganisationKey organisation, double seconds, TimePoint now);

/// Returns true if the organisation of \a request recently used more slot time than its share, with
/// a tolerance. \a work is the expected duration of the request in seconds.
bool isBeyondShare(const Sharing &sharing, const AttemptRequest &request, double work,
                   TimePoint now);

/// Returns a time from \a retryAfter on, up to twice as long and at most \a limit, that differs
/// between requests, so that refused callers do not return at the same moment.
Duration spreadRetryAfter(const AttemptKey &key, Duration retryAfter, Duration limit);

} // namespace apricotrock::broker
