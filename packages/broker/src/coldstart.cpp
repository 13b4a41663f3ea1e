#include "coldstart.h"

#include "estimate.h"

#include <algorithm>

namespace apricotrock::broker {

namespace {

/// Attempts that may start at once on a cold server after a pause.
constexpr double bucketCapacity = 1.0;
/// A new leader starts no attempts on cold servers for this long. Within it, an instance that is
/// cut off notices that it hears no other instance (two heartbeat intervals).
constexpr Duration newLeaderDelay = std::chrono::milliseconds(1000);
/// For this long a new leader uses a part of the limit only, because the previous leader may be
/// active for other instances until the membership of both agrees.
constexpr Duration newLeaderPeriod = std::chrono::seconds(12);
constexpr double newLeaderRateShare = 0.5;

/// Returns the number of attempts that may start now.
double availableStarts(const ServiceState &state, const ServerState &server, TimePoint now)
{
    const TimePoint firstStart = state.leadingSince + newLeaderDelay;
    const bool isOlder = server.coldStartsUpdated < firstStart;
    const TimePoint since = isOlder ? firstStart : server.coldStartsUpdated;
    const double known = isOlder ? 0 : server.coldStarts;
    const double refilled = toSeconds(std::max(Duration(0), now - since));
    return std::min(bucketCapacity, known + refilled * coldStartRate(state, server, now));
}

/// Interval of probes of a cold server, which may become warm earlier or later than it told.
constexpr Duration coldProbeInterval = std::chrono::milliseconds(500);
/// Longest interval of probes of a server that is not cold, even if attempts report its load.
constexpr Duration warmProbeInterval = std::chrono::seconds(2);
/// Attempts beyond the limit after which a server that is not cold is probed, and the seconds of
/// the limit that are added to them. The bound for cold servers allows 8 attempts and half a second
/// of the limit; the rest is for attempts that start until the probe is answered.
constexpr double startsPerProbe = 4;
constexpr double secondsPerProbe = 0.25;

} // namespace

bool isCold(const ServerState &server, TimePoint now)
{
    return server.info.coldStartsPerSecond > 0 && now < server.info.slowStartUntil;
}

double coldStartRate(const ServiceState &state, const ServerState &server, TimePoint now)
{
    if (!state.isLeading)
        return 0;
    const bool isNewLeader = now - state.leadingSince < newLeaderPeriod;
    return server.info.coldStartsPerSecond * state.coldStartShare
        * (isNewLeader ? newLeaderRateShare : 1.0);
}

Duration coldStartWait(const ServiceState &state, const ServerState &server, TimePoint now)
{
    const double rate = coldStartRate(state, server, now);
    if (rate <= 0)
        return toDuration(1.0 / server.info.coldStartsPerSecond);
    const double missing = 1.0 - availableStarts(state, server, now);
    // Rounding of times must not delay a start at exactly the allowed rate.
    constexpr double tolerance = 1e-6;
    Duration wait{};
    if (missing > tolerance)
        wait = std::max(Duration(0), state.leadingSince + newLeaderDelay - now)
            + toDuration(missing / rate);
    // The first probe tells how long the server stays cold, and that it answers at all.
    return server.hasAnswered ? wait : std::max(wait, state.policy.probeInterval);
}

void countColdStart(const ServiceState &state, ServerState &server, TimePoint now)
{
    server.coldStarts = std::max(0.0, availableStarts(state, server, now) - 1.0);
    server.coldStartsUpdated = now;
}

void updateInfo(ServerState &server, const ServerInfo &info)
{
    const bool isSameProcess = server.info.process == info.process;
    const bool isSameRecord = isSameProcess && server.recordedSlowStart == info.slowStartUntil;
    const TimePoint known = server.info.slowStartUntil;
    server.info = info;
    server.hasAnswered = server.hasAnswered && isSameProcess;
    server.recordedSlowStart = info.slowStartUntil;
    // A record can be older than the probe. If it says a shorter time by mistake, the next probe
    // corrects it.
    if (isSameRecord)
        server.info.slowStartUntil = known;
    else if (isSameProcess)
        server.info.slowStartUntil = std::max(known, info.slowStartUntil);
}

bool canWaitForColdServer(const ServiceState &state, const ServiceLoad &load,
                          const AttemptRequest &request, double work, TimePoint now)
{
    const double available = toSeconds(request.deadline - now) - work;
    return load.coldStartsPerSecond * available >= static_cast<double>(state.queue.size()) + 1;
}

bool learnCold(ServiceState &state, ServerKey key, Duration remaining, TimePoint now)
{
    const auto found = state.servers.find(key);
    if (found == state.servers.end() || found->second.info.coldStartsPerSecond <= 0)
        return false;
    ServerState &server = found->second;
    const bool wasCold = isCold(server, now);
    server.hasAnswered = true;
    server.info.slowStartUntil = now + std::max(Duration(0), remaining);
    return wasCold != isCold(server, now);
}

Duration coldProbePause(const ServerState &server, Duration shortest, TimePoint now)
{
    if (isCold(server, now))
        return coldProbeInterval;
    const double allowed = startsPerProbe + secondsPerProbe * server.info.coldStartsPerSecond;
    return server.uncheckedStarts >= allowed ? shortest : warmProbeInterval;
}

void countUncheckedStart(ServerState &server, TimePoint now)
{
    const Duration elapsed = std::max(Duration(0), now - server.uncheckedStartsUpdated);
    const double allowed = toSeconds(elapsed) * server.info.coldStartsPerSecond;
    server.uncheckedStarts = std::max(0.0, server.uncheckedStarts - allowed) + 1;
    server.uncheckedStartsUpdated = now;
}

std::size_t coldServerCount(const ServiceState &state, TimePoint now)
{
    return static_cast<std::size_t>(
        std::count_if(state.servers.begin(), state.servers.end(),
                      [now](const auto &each) { return isCold(each.second, now); }));
}

} // namespace apricotrock::broker
