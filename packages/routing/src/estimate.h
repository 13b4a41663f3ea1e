#pragma once

#include "numbers.h"

#include "apricotrock/config.h"
#include "apricotrock/http.h"

namespace apricotrock::routing {

struct EndpointState;

/// Load that other instances put on a backend server, according to load reports.
struct LoadEstimate
{
    /// Requests of other instances at \c measured.
    double otherLoad = 0;
    /// Moving average of \c otherLoad over many reports.
    double averageOtherLoad = 0;
    /// Time at which the backend server was in the reported state.
    TimePoint measured;
    bool isKnown = false;
    /// Last report received from the backend server itself; sent to peers.
    LoadReport report;
    TimePoint reported;
    bool hasReport = false;
};

/// Applies a report about the state at \a measured; ignored if a newer one is known.
void applyLoadReport(EndpointState &endpoint, const LoadReport &report, TimePoint measured);
/// Treats the backend server as full after it shed an attempt, even if its report says otherwise.
void recordShed(EndpointState &endpoint, TimePoint now);
/// Returns the estimated number of requests from other instances at \a now.
double estimatedOtherLoad(const EndpointState &endpoint, const Policy &policy, TimePoint now);
/// Returns the estimated number of all requests on the backend server at \a now.
double estimatedLoad(const EndpointState &endpoint, const Policy &policy, TimePoint now);
/// Returns the cost of sending one more request to a backend server; lower is better.
double loadScore(const EndpointState &endpoint, const Policy &policy, TimePoint now);

} // namespace apricotrock::routing
