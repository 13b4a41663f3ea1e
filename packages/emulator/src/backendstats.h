#pragma once

#include "apricotrock/http.h"

#include <set>

namespace apricotrock::emulator {

/// What a backend server did; runs are counted by key and by target, so that tests can look for
/// actions that ran twice.
struct BackendStats
{
    std::uint64_t lookups = 0;
    std::uint64_t actions = 0;
    std::uint64_t probes = 0;
    std::chrono::microseconds probeSlotTime{};
    std::chrono::microseconds slotTime{};
    std::uint64_t shed = 0;
    std::uint64_t gone = 0;
    std::uint64_t expired = 0;
    std::uint64_t crashes = 0;
    std::size_t maxRunning = 0;
    std::size_t maxOutstanding = 0;
    std::size_t maxConnections = 0;
    std::uint64_t requestsWhileDraining = 0;
    /// Time from the start of draining to the last request.
    std::chrono::milliseconds lastWhileDraining{};
    std::map<std::string, std::uint64_t> runsByKey;
    std::map<std::string, std::uint64_t> runsByTarget;

    void addRun(const HttpRequest &request);
    /// Answers `/control/runs`: with `key` or `target` one count, else all counts.
    [[nodiscard]] std::string runsJson(const HttpRequest &request) const;
};

} // namespace apricotrock::emulator
