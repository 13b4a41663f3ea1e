#include "state.h"

#include <algorithm>

namespace apricotrock::engine {

namespace {

/// Returns true if the attempt was running when its backend server crashed at most crashWindow
/// ago; its loss is then part of that crash.
bool isPartOfLastCrash(const State &state, const Attempt &attempt, TimePoint now)
{
    const auto last = state.lastCrashTimes.find(attempt.backendServer);
    return last != state.lastCrashTimes.end() && attempt.started <= last->second
        && now - last->second <= crashWindow;
}

std::set<std::uint64_t> sharedFingerprints(const State &state, AttemptId attempt)
{
    std::set<std::uint64_t> fingerprints;
    for (const RequestId id : routing::requestsSharingServer(*state.routing, attempt)) {
        const auto execution = state.executions.find(id);
        if (execution != state.executions.end())
            fingerprints.insert(execution->second.fingerprint);
    }
    return fingerprints;
}

/// Returns the expiry of a new suspicion. The expiry identifies the crash, so it must be
/// unique.
std::uint64_t nextExpiry(State &state, const Policy &policy)
{
    const auto lifetime =
        std::chrono::duration_cast<std::chrono::milliseconds>(policy.quarantineTime);
    const auto expiry =
        static_cast<std::uint64_t>((state.wallTime + lifetime).time_since_epoch().count());
    state.lastSuspicionExpiry = std::max(expiry, state.lastSuspicionExpiry + 1);
    return state.lastSuspicionExpiry;
}

void publishSuspicions(Context &context, const std::vector<wire::CrashSuspicionT> &suspicions)
{
    AppendEntries effect;
    for (const auto &suspicion : suspicions)
        effect.entries.push_back(wire::holdEntry(suspicion));
    effect.deadline = context.now + context.state.parameters.keyMaxAge;
    context.effects.emplace_back(std::move(effect));
    for (const auto &suspicion : suspicions)
        context.state.recentSuspicions.emplace_back(context.now, suspicion);
    sendHints(context, {});
}

} // namespace

bool isQuarantined(const State &state, std::string_view service, std::uint64_t fingerprint)
{
    const Policy *policy = policyOf(state, service);
    return policy && ledger::isQuarantined(state.quarantine, fingerprint, policy->crashLimit);
}

void recordCrash(Context &context, AttemptId id)
{
    State &state = context.state;
    const Attempt &attempt = state.attempts.at(id);
    const auto execution = state.executions.find(attempt.execution);
    if (execution == state.executions.end() || isPartOfLastCrash(state, attempt, context.now))
        return;
    const std::string service = execution->second.service;
    const Policy *policy = policyOf(state, service);
    const std::set<std::uint64_t> fingerprints = sharedFingerprints(state, id);
    if (!policy || fingerprints.empty())
        return;
    state.lastCrashTimes[attempt.backendServer] = context.now;
    const std::uint64_t expiry = nextExpiry(state, *policy);
    std::vector<wire::CrashSuspicionT> suspicions;
    std::vector<const wire::CrashSuspicionT *> pointers;
    for (const std::uint64_t fingerprint : fingerprints) {
        wire::CrashSuspicionT &suspicion = suspicions.emplace_back();
        suspicion.fingerprint = fingerprint;
        suspicion.backend_server = attempt.backendServer;
        suspicion.alone = fingerprints.size() == 1;
        suspicion.service = service;
        suspicion.expires_ms = expiry;
    }
    pointers.reserve(suspicions.size());
    for (const auto &suspicion : suspicions)
        pointers.push_back(&suspicion);
    incrementCounter(state, "crashes_suspected");
    ledger::addSuspicions(state.quarantine, pointers, true);
    publishSuspicions(context, suspicions);
    enforceQuarantine(context);
}

void enforceQuarantine(Context &context)
{
    const State &state = context.state;
    refuseExecutions(context, ErrorKind::RequestQuarantined, [&state](const Execution &execution) {
        // An action that may have run is not refused; it ends with its attempt.
        const bool isLookup = execution.requestClass == routing::RequestClass::Lookup;
        return (isLookup || !execution.mayHaveRun())
            && isQuarantined(state, execution.service, execution.fingerprint);
    });
}

void receiveSuspicion(Context &context, const SuspicionHintReceived &event)
{
    State &state = context.state;
    if (!ledger::belongsToLane(state.ledger, hash64(event.suspicion.service)))
        return;
    ledger::addSuspicions(state.quarantine, {&event.suspicion}, false);
    ledger::expireCrashes(state.quarantine, state.wallTime);
    enforceQuarantine(context);
}

void clearQuarantineByOperator(Context &context, std::uint64_t fingerprint)
{
    if (!ledger::clearQuarantine(context.state.quarantine, fingerprint))
        return;
    wire::QuarantineClearedT cleared;
    cleared.fingerprint = fingerprint;
    AppendEntries effect;
    effect.entries.push_back(wire::holdEntry(cleared));
    effect.deadline = context.now + context.state.parameters.keyMaxAge;
    context.effects.emplace_back(std::move(effect));
}

std::vector<QuarantineStatus> quarantineStatus(const State &state)
{
    std::map<std::uint64_t, QuarantineStatus> byFingerprint;
    const auto now = static_cast<std::uint64_t>(state.wallTime.time_since_epoch().count());
    for (const auto &[id, crash] : state.quarantine.crashes) {
        for (const std::uint64_t fingerprint : crash.fingerprints) {
            if (crash.cleared.contains(fingerprint) || id.second <= now)
                continue;
            QuarantineStatus &entry = byFingerprint[fingerprint];
            entry.fingerprint = fingerprint;
            entry.service = crash.service;
            ++entry.crashes;
            entry.timeLeft = std::max(entry.timeLeft, std::chrono::milliseconds(id.second - now));
        }
    }
    std::vector<QuarantineStatus> result;
    for (auto &[fingerprint, entry] : byFingerprint) {
        entry.isQuarantined = isQuarantined(state, entry.service, fingerprint);
        result.push_back(std::move(entry));
    }
    return result;
}

} // namespace apricotrock::engine
