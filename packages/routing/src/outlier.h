#pragma once

#include "apricotrock/routing.h"

namespace apricotrock::routing {

struct EndpointState;
struct ServiceState;

/// Failures and ejections of one backend server.
struct OutlierState
{
    /// Failures since the last success.
    std::uint64_t consecutiveFailures = 0;
    /// Share of about the last ten attempts that failed.
    double failureRate = 0;
    bool isEjected = false;
    /// Ejected for slowness, not for failures. Such a server is still used rather than queueing.
    bool isEjectedForSlowness = false;
    TimePoint ejectedUntil;
    /// Ejections without a long healthy period between them; determines the length of the next one.
    std::uint64_t ejections = 0;
    TimePoint returnedAt;
};

void recordSuccess(EndpointState &endpoint);
/// Records a failure and ejects the backend server once the policy's limit is reached.
void recordFailure(State &state, ServiceState &service, EndpointState &endpoint, TimePoint now);
/// Ejects the backend server if it is much slower than the others of its service.
void ejectIfStraggler(State &state, ServiceState &service, EndpointState &endpoint, TimePoint now);
/// Ends an ejection. The backend server goes through a slow start and is ejected again after its
/// first failure or slow answer.
void endEjection(State &state, EndpointState &endpoint, TimePoint now);

} // namespace apricotrock::routing
