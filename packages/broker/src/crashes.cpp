#include "crashes.h"

namespace apricotrock::broker {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A server that becomes unreachable within this time after a lost attempt counts as crashed.
constexpr Duration crashDetectionWindow = milliseconds(1500);
/// Number of crashes after which requests with the same fingerprint are quarantined.
constexpr unsigned crashLimit = 3;
constexpr Duration quarantineTime = seconds(60);
constexpr std::size_t maxSuspects = 1000;

} // namespace

void recordLostAttempt(ServerState &server, std::uint64_t fingerprint, TimePoint now)
{
    if (fingerprint == 0)
        return;
    std::erase_if(server.lostAttempts, [now](const LostAttempt &each) {
        return now - each.ended > crashDetectionWindow;
    });
    server.lostAttempts.push_back({fingerprint, now});
}

void recordCrashSuspects(ServiceState &state, ServerState &server, TimePoint now)
{
    for (const LostAttempt &each : server.lostAttempts) {
        if (now - each.ended > crashDetectionWindow)
            continue;
        if (state.crashSuspects.size() >= maxSuspects)
            std::erase_if(state.crashSuspects, [now](const auto &suspect) {
                return now - suspect.second.last > quarantineTime;
            });
        CrashSuspect &suspect = state.crashSuspects[each.fingerprint];
        ++suspect.crashes;
        suspect.last = now;
    }
    server.lostAttempts.clear();
}

void clearCrashSuspect(ServiceState &state, std::uint64_t fingerprint)
{
    state.crashSuspects.erase(fingerprint);
}

bool isQuarantined(const ServiceState &state, std::uint64_t fingerprint, TimePoint now)
{
    const auto found = state.crashSuspects.find(fingerprint);
    return fingerprint != 0 && found != state.crashSuspects.end()
        && found->second.crashes >= crashLimit && now - found->second.last < quarantineTime;
}

} // namespace apricotrock::broker
