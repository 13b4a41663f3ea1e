#pragma once

#include "numbers.h"

namespace apricotrock::routing {

/// Adaptive estimate of the requests that a backend server runs concurrently. A noisy neighbour
/// reduces its effective slots, which shows as latency that grows with concurrency.
struct ConcurrencyLimit
{
    /// Between 1 and the slots of the backend server.
    double value = 1;
    /// Latency while few requests run.
    Seconds uncontended{};
    /// Latency of about the last five attempts.
    Seconds recent{};
    std::uint64_t samples = 0;
};

/// Updates the limit from an attempt that ran beside about \a concurrency requests, itself
/// included.
void updateConcurrencyLimit(ConcurrencyLimit &limit, Duration latency, double concurrency,
                            std::uint64_t slots);
/// Decreases the limit after the backend server shed an attempt.
void decreaseConcurrencyLimit(ConcurrencyLimit &limit);

} // namespace apricotrock::routing
