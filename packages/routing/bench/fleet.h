#pragma once

#include "state.h"

#include <deque>
#include <functional>
#include <map>

namespace apricotrock::routing::bench {

/// One request of the replayed trace.
struct Arrival
{
    TimePoint time;
    std::size_t instance = 0;
    RequestClass requestClass = RequestClass::Lookup;
    /// Time that the request occupies a slot of a healthy backend server.
    Duration work{};
};

struct FleetParameters
{
    std::size_t instances = 16;
    std::size_t servers = 8;
    std::uint64_t slots = 2;
    /// Requests beyond this many waiting in a backend server are shed.
    std::size_t serverQueue = 32;
    Duration oneWayLatency = std::chrono::microseconds(500);
    /// A backend server reports the load that it saw up to this long ago.
    Duration reportAge = std::chrono::milliseconds(10);
    Duration hintInterval = std::chrono::milliseconds(500);
    std::size_t hintFanOut = 4;
    /// Factor by which the last backend server is slower from \c stragglerFrom on.
    double stragglerFactor = 5;
    Duration stragglerFrom = std::chrono::seconds(5);
    Duration lookupDeadline = std::chrono::milliseconds(200);
    Duration actionDeadline = std::chrono::seconds(1);
    /// Choose by the true load of the backend servers, without any instance state.
    bool isOracle = false;
    Policy policy;
    Tuning tuning;
};

/// Outcome of one replay; the warm-up is not counted.
struct FleetResult
{
    /// A failed lookup counts as slower than any other.
    std::vector<double> lookupMilliseconds;
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    Duration completedWork{};
    std::uint64_t attempts = 0;
    std::uint64_t hedges = 0;
    std::uint64_t ejections = 0;
    std::map<std::string, std::uint64_t> failures;
};

/// Returns a trace with exponential gaps and log-normal work of mean \a meanWork.
std::vector<Arrival> makeArrivals(std::uint64_t seed, double perSecond, Duration length,
                                  Duration meanWork, std::size_t instances);
/// Replays \a arrivals with a separate routing state for each instance.
FleetResult replay(const FleetParameters &parameters, const std::vector<Arrival> &arrivals,
                   Duration warmUp);

} // namespace apricotrock::routing::bench
