#pragma once

#include "numbers.h"

#include "apricotrock/config.h"
#include "apricotrock/http.h"

namespace apricotrock::routing {

struct EndpointState;

/// What reports told about the load that other instances put on a backend server.
struct LoadEstimate
{
    /// Requests of other instances at \c measured.
    double otherLoad = 0;
    /// Average of the others' requests over many reports.
    double averageOtherLoad = 0;
    /// Time at which the backend server was in the reported state.
    TimePoint measured;
    bool isKnown = false;
    /// Last report received directly, to tell peers.
    LoadReport report;
    TimePoint reported;
    bool hasReport = false;
};

/// Takes over a report about the state at \a measured; an older one than known is ignored.
void applyLoadReport(EndpointState &endpoint, const LoadReport &report, TimePoint measured);
/// A refusal tells that the backend server is full even if its report says otherwise.
void recordShed(EndpointState &endpoint, TimePoint now);
/// Returns the requests of other instances expected now.
double estimatedOtherLoad(const EndpointState &endpoint, const Policy &policy, TimePoint now);
/// Returns all requests expected on the backend server now.
double estimatedLoad(const EndpointState &endpoint, const Policy &policy, TimePoint now);
/// Rates a backend server for one more request; lower is better.
double loadScore(const EndpointState &endpoint, const Policy &policy, TimePoint now);

} // namespace apricotrock::routing
