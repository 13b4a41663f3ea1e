#include "crashes.h"

#include <algorithm>

namespace apricotrock::broker {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A server that becomes unreachable within this time after a lost attempt counts as crashed.
constexpr Duration crashDetectionWindow = milliseconds(1500);
/// Number of crashes after which requests with the same fingerprint are quarantined.
constexpr std::size_t crashLimit = 3;
/// Number of crashes from which on the other instances learn of them.
constexpr std::size_t minReportedCrashes = 2;
constexpr Duration quarantineTime = seconds(60);
constexpr std::size_t maxSuspects = 1000;

void removeOldSuspects(ServiceState &state, TimePoint now)
{
    if (state.crashSuspects.size() < maxSuspects)
        return;
    std::erase_if(state.crashSuspects, [now](const auto &suspect) {
        return now - suspect.second.last > quarantineTime;
    });
}

void addCrash(CrashSuspect &suspect, std::uint64_t process)
{
    const bool isKnown = std::find(suspect.processes.begin(), suspect.processes.end(), process)
        != suspect.processes.end();
    if (!isKnown && suspect.processes.size() < crashLimit)
        suspect.processes.push_back(process);
}

bool isReported(const CrashSuspect &suspect, TimePoint now)
{
    return suspect.processes.size() >= minReportedCrashes && now - suspect.last < quarantineTime;
}

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
        removeOldSuspects(state, now);
        CrashSuspect &suspect = state.crashSuspects[each.fingerprint];
        const std::array<std::uint64_t, 2> process{server.info.key, server.info.process};
        addCrash(suspect,
                 hash64({reinterpret_cast<const char *>(process.data()), sizeof(process)}));
        suspect.last = now;
        if (isReported(suspect, now))
            state.changedSuspects.push_back(each.fingerprint);
    }
    server.lostAttempts.clear();
}

void clearCrashSuspect(ServiceState &state, std::uint64_t fingerprint)
{
    const auto found = state.crashSuspects.find(fingerprint);
    if (found == state.crashSuspects.end())
        return;
    if (found->second.processes.size() >= minReportedCrashes)
        state.changedSuspects.push_back(fingerprint);
    state.crashSuspects.erase(found);
}

std::vector<CrashReport> takeCrashReports(ServiceState &state, TimePoint now)
{
    std::vector<CrashReport> reports;
    for (const std::uint64_t fingerprint : std::exchange(state.changedSuspects, {})) {
        const auto found = state.crashSuspects.find(fingerprint);
        if (found == state.crashSuspects.end())
            reports.push_back({fingerprint, {}, {}});
        else if (isReported(found->second, now))
            reports.push_back({fingerprint, found->second.processes, now - found->second.last});
    }
    return reports;
}

std::vector<CrashReport> allCrashReports(const ServiceState &state, TimePoint now)
{
    std::vector<CrashReport> reports;
    for (const auto &[fingerprint, suspect] : state.crashSuspects) {
        if (isReported(suspect, now))
            reports.push_back({fingerprint, suspect.processes, now - suspect.last});
    }
    return reports;
}

void applyCrashReport(ServiceState &state, const CrashReport &report, TimePoint now)
{
    if (report.processes.empty()) {
        state.crashSuspects.erase(report.fingerprint);
        return;
    }
    removeOldSuspects(state, now);
    CrashSuspect &suspect = state.crashSuspects[report.fingerprint];
    for (const std::uint64_t each : report.processes)
        addCrash(suspect, each);
    suspect.last = std::max(suspect.last, now - report.age);
}

bool isQuarantined(const ServiceState &state, std::uint64_t fingerprint, TimePoint now)
{
    const auto found = state.crashSuspects.find(fingerprint);
    return fingerprint != 0 && found != state.crashSuspects.end()
        && found->second.processes.size() >= crashLimit
        && now - found->second.last < quarantineTime;
}

} // namespace apricotrock::broker
