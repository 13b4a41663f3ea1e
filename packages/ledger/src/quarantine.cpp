#include "apricotrock/ledger.h"

#include <algorithm>

namespace apricotrock::ledger {

namespace {

bool isImplicated(const Crash &crash, std::uint64_t fingerprint)
{
    return crash.fingerprints.contains(fingerprint) && !crash.cleared.contains(fingerprint);
}

void updateSuspects(Quarantine &quarantine)
{
    quarantine.suspects.clear();
    for (const auto &[id, crash] : quarantine.crashes) {
        for (const std::uint64_t fingerprint : crash.fingerprints) {
            if (isImplicated(crash, fingerprint))
                quarantine.suspects.insert(fingerprint);
        }
    }
    std::erase_if(quarantine.isolationExempt, [&quarantine](std::uint64_t fingerprint) {
        return !quarantine.suspects.contains(fingerprint);
    });
}

} // namespace

void addSuspicions(Quarantine &quarantine,
                   const std::vector<const wire::CrashSuspicionT *> &suspicions, bool isComplete)
{
    for (const wire::CrashSuspicionT *suspicion : suspicions) {
        Crash &crash = quarantine.crashes[{suspicion->backend_server, suspicion->expires_ms}];
        if (crash.fingerprints.insert(suspicion->fingerprint).second)
            quarantine.isolationExempt.erase(suspicion->fingerprint);
        crash.service = suspicion->service;
        crash.isComplete = crash.isComplete || isComplete || suspicion->alone;
    }
    while (quarantine.crashes.size() > quarantine.maxCrashes) {
        const auto earlier = [](const auto &a, const auto &b) {
            return a.first.second < b.first.second;
        };
        quarantine.crashes.erase(
            std::min_element(quarantine.crashes.begin(), quarantine.crashes.end(), earlier));
    }
    updateSuspects(quarantine);
}

bool isSuspect(const Quarantine &quarantine, std::uint64_t fingerprint)
{
    return quarantine.suspects.contains(fingerprint)
        && !quarantine.isolationExempt.contains(fingerprint);
}

bool isQuarantined(const Quarantine &quarantine, std::uint64_t fingerprint,
                   std::uint64_t crashLimit)
{
    if (!quarantine.suspects.contains(fingerprint))
        return false;
    std::uint64_t crashes = 0;
    std::set<std::uint64_t> common;
    for (const auto &[id, crash] : quarantine.crashes) {
        if (!crash.isComplete || !isImplicated(crash, fingerprint))
            continue;
        if (crashes++ == 0) {
            common = crash.fingerprints;
            continue;
        }
        const std::set<std::uint64_t> &present = crash.fingerprints;
        std::erase_if(common, [&present](std::uint64_t other) { return !present.contains(other); });
    }
    return crashes >= crashLimit && common.size() == 1;
}

void endIsolation(Quarantine &quarantine, std::uint64_t fingerprint)
{
    if (quarantine.suspects.contains(fingerprint))
        quarantine.isolationExempt.insert(fingerprint);
}

bool clearQuarantine(Quarantine &quarantine, std::uint64_t fingerprint)
{
    bool isCleared = false;
    for (auto &[id, crash] : quarantine.crashes) {
        // The crash is kept, so that a late hint about it does not restore the suspicion.
        if (isImplicated(crash, fingerprint))
            isCleared = crash.cleared.insert(fingerprint).second || isCleared;
    }
    updateSuspects(quarantine);
    return isCleared;
}

void expireCrashes(Quarantine &quarantine, WallTime wallTime)
{
    const auto now = static_cast<std::uint64_t>(wallTime.time_since_epoch().count());
    const auto isExpired = [now](const auto &crash) { return crash.first.second <= now; };
    if (std::erase_if(quarantine.crashes, isExpired) > 0)
        updateSuspects(quarantine);
}

} // namespace apricotrock::ledger
