#pragma once

#include "numbers.h"

namespace apricotrock::routing {

/// Number of requests that a backend server really runs at a time. A noisy neighbour takes part of
/// its slots away, which shows as latency that grows with concurrency.
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

/// Learns from an attempt that started when about \a concurrency requests ran, itself included.
void updateConcurrencyLimit(ConcurrencyLimit &limit, Duration latency, double concurrency,
                            std::uint64_t slots);
/// Learns from an explicit refusal.
void decreaseConcurrencyLimit(ConcurrencyLimit &limit);

} // namespace apricotrock::routing
