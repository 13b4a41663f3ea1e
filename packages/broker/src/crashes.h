#pragma once

#include "apricotrock/broker.h"

namespace apricotrock::broker {

/// Records that the connection of an attempt on \a server ended before its answer.
void recordLostAttempt(ServerState &server, std::uint64_t fingerprint, TimePoint now);

/// Counts a crash for every fingerprint with an attempt that was lost on \a server shortly before
/// the server became unreachable.
void recordCrashSuspects(ServiceState &state, ServerState &server, TimePoint now);

/// Removes the crash count of \a fingerprint after a server has answered such a request.
void clearCrashSuspect(ServiceState &state, std::uint64_t fingerprint);

/// Returns true if requests with \a fingerprint have reached the limit of server crashes within the
/// quarantine time.
bool isQuarantined(const ServiceState &state, std::uint64_t fingerprint, TimePoint now);

} // namespace apricotrock::broker
