#include "apricotrock/broker.h"

#include "coldstart.h"
#include "crashes.h"
#include "estimate.h"
#include "hedging.h"
#include "sharing.h"

#include <algorithm>

namespace apricotrock::broker {

namespace {

using std::chrono::milliseconds;

/// Pause after the first failed connection; each consecutive failure doubles it.
constexpr Duration initialUnreachablePause = milliseconds(150);
constexpr unsigned maxPauseDoublings = 4;
/// Minimum interval between probes of a server that can't be reached.
constexpr Duration unreachableProbeInterval = milliseconds(400);
/// Time for which a server gets no attempts after it has rejected one because it is full.
constexpr Duration rejectionPause = milliseconds(60);

void markUnreachable(ServiceState &state, ServerState &server, TimePoint now)
{
    recordCrashSuspects(state, server, now);
    const unsigned doublings = std::min(server.connectFailures, maxPauseDoublings);
    server.unreachableUntil = now + initialUnreachablePause * (1U << doublings);
    ++server.connectFailures;
}

void recordPause(ServiceState &state, std::uint64_t instance, const ServerPause &pause,
                 TimePoint now)
{
    std::vector<ServerPause> &pauses = state.pauses[instance];
    std::erase_if(pauses, [&](const ServerPause &each) {
        return each.until <= now || each.server == pause.server
            || !state.servers.contains(each.server);
    });
    pauses.push_back(pause);
}

std::optional<ActiveAttempt> removeAttempt(ServiceState &state, ServerState &server,
                                           const AttemptKey &key)
{
    const auto found = std::find_if(server.activeAttempts.begin(), server.activeAttempts.end(),
                                    [&key](const ActiveAttempt &each) { return each.key == key; });
    if (found == server.activeAttempts.end())
        return std::nullopt;
    const ActiveAttempt attempt = *found;
    server.activeAttempts.erase(found);
    state.placements.erase(key);
    return attempt;
}

/// Replaces the expected slot time of an attempt by the one that it took.
void correctSlotTime(ServiceState &state, const ActiveAttempt &attempt, Duration duration,
                     TimePoint now)
{
    if (attempt.organisation != 0)
        addSlotTime(state.sharing, attempt.organisation,
                    toSeconds(duration) - attempt.expectedSeconds, now);
    countAttemptEnd(state.hedgeUse, state.policy, attempt, duration, now);
}

} // namespace

void setServers(ServiceState &state, const std::vector<ServerInfo> &servers)
{
    std::unordered_map<ServerKey, ServerState> next;
    for (const ServerInfo &info : servers) {
        const auto found = state.servers.find(info.key);
        ServerState server;
        if (found != state.servers.end())
            server = std::move(found->second);
        updateInfo(server, info);
        next.emplace(info.key, std::move(server));
    }
    for (const auto &[key, server] : state.servers) {
        if (next.contains(key))
            continue;
        for (const ActiveAttempt &each : server.activeAttempts)
            state.placements.erase(each.key);
    }
    state.servers = std::move(next);
    const bool hasUsableServer =
        std::any_of(state.servers.begin(), state.servers.end(),
                    [](const auto &each) { return each.second.info.isUsable; });
    if (!hasUsableServer)
        state.lastLoad = {};
}

bool withdraw(ServiceState &state, const AttemptKey &key)
{
    const auto placement = state.placements.find(key);
    if (placement == state.placements.end() || placement->second != queuedPlacement)
        return false;
    state.placements.erase(placement);
    state.examinedEntries += state.queue.size();
    std::erase_if(state.queue, [&key](const AttemptRequest &each) { return each.key == key; });
    return true;
}

void learnLoad(ServiceState &state, ServerKey key, const LoadReport &report, TimePoint now)
{
    const auto found = state.servers.find(key);
    if (found == state.servers.end())
        return;
    ServerState &server = found->second;
    server.report = report;
    server.reported = now;
    server.hasAnswered = true;
    server.connectFailures = 0;
    server.unreachableUntil = {};
}

void recordProbeFailure(ServiceState &state, ServerKey key, TimePoint now)
{
    const auto found = state.servers.find(key);
    if (found != state.servers.end())
        markUnreachable(state, found->second, now);
}

Duration remainingPause(const ServiceState &state, std::uint64_t instance, ServerKey server,
                        TimePoint now)
{
    const auto found = state.pauses.find(instance);
    if (found == state.pauses.end())
        return {};
    for (const ServerPause &each : found->second) {
        if (each.server == server)
            return std::max(Duration(0), each.until - now);
    }
    return {};
}

void recordAttemptEnd(ServiceState &state, const AttemptEnd &end, TimePoint now)
{
    const auto found = state.servers.find(end.server);
    if (found == state.servers.end())
        return;
    ServerState &server = found->second;
    const std::optional<ActiveAttempt> attempt = removeAttempt(state, server, end.key);
    if (attempt)
        correctSlotTime(state, *attempt, end.duration, now);
    if (end.pause > Duration(0))
        recordPause(state, end.key.instance, {end.server, now + end.pause}, now);
    if (end.load) {
        learnLoad(state, end.server, *end.load, now);
        updateUntrackedLoad(server, *end.load, now);
    }
    switch (end.outcome) {
    case AttemptOutcome::Answered:
        updateFailureShare(state, server, false, now);
        server.connectFailures = 0;
        if (attempt) {
            updateDurationEstimates(state, server, *attempt, end, now);
            clearCrashSuspect(state, attempt->fingerprint);
        }
        break;
    case AttemptOutcome::Rejected:
        // A server that rejects requests although it has room may run the next one.
        if (!end.load || end.load->running + end.load->waiting >= server.info.slots)
            server.unreachableUntil = std::max(server.unreachableUntil, now + rejectionPause);
        updateFailureShare(state, server, true, now);
        break;
    case AttemptOutcome::ConnectFailed:
        markUnreachable(state, server, now);
        updateFailureShare(state, server, true, now);
        break;
    case AttemptOutcome::Lost:
        if (attempt)
            recordLostAttempt(server, attempt->fingerprint, now);
        updateFailureShare(state, server, true, now);
        break;
    case AttemptOutcome::Failed:
    case AttemptOutcome::TimedOut:
        updateFailureShare(state, server, true, now);
        break;
    case AttemptOutcome::Cancelled:
        // The time until the cancellation is a lower bound of the duration if it exceeds the
        // expected one.
        if (attempt && now > attempt->expectedEnd)
            updateDurationEstimates(state, server, *attempt, end, now);
        break;
    }
}

void release(ServiceState &state, const AttemptEnd &end, TimePoint now)
{
    if (withdraw(state, end.key))
        return;
    if (end.server != 0) {
        recordAttemptEnd(state, end, now);
        return;
    }
    const auto placement = state.placements.find(end.key);
    if (placement == state.placements.end())
        return;
    const auto server = state.servers.find(placement->second);
    if (server == state.servers.end())
        return;
    if (const auto attempt = removeAttempt(state, server->second, end.key))
        correctSlotTime(state, *attempt, {}, now);
}

Duration probeInterval(const ServiceState &state)
{
    const double seconds = static_cast<double>(state.servers.size()) / state.policy.probesPerSecond;
    return std::max(state.policy.probeInterval,
                    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

std::vector<ServerKey> takeDueProbes(ServiceState &state, TimePoint now)
{
    std::vector<ServerKey> due;
    const Duration interval = probeInterval(state);
    for (auto &[key, server] : state.servers) {
        if (!server.info.isUsable)
            continue;
        const Duration sinceProbe = now - server.lastProbed;
        const bool isFresh = server.report && now - server.reported < interval;
        const Duration pause =
            server.connectFailures > 0 ? std::max(unreachableProbeInterval, interval) : interval;
        const bool needsColdProbe = server.info.coldStartsPerSecond > 0
            && server.connectFailures == 0
            && sinceProbe >= coldProbePause(server, state.policy.probeInterval, now);
        if (!needsColdProbe && (isFresh || sinceProbe < pause))
            continue;
        server.lastProbed = now;
        server.uncheckedStarts = 0;
        due.push_back(key);
    }
    return due;
}

std::string_view outcomeName(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        return "answered";
    case AttemptOutcome::Failed:
        return "failed";
    case AttemptOutcome::Rejected:
        return "rejected";
    case AttemptOutcome::ConnectFailed:
        return "connect_failed";
    case AttemptOutcome::Lost:
        return "lost";
    case AttemptOutcome::TimedOut:
        return "timed_out";
    case AttemptOutcome::Cancelled:
        return "cancelled";
    }
    return "invalid";
}

std::string_view reasonName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::None:
        return "none";
    case RefusalReason::NoServer:
        return "no_server";
    case RefusalReason::DeadlineUnmeetable:
        return "deadline_unmeetable";
    case RefusalReason::QueueFull:
        return "queue_full";
    case RefusalReason::RetryBudget:
        return "retry_budget";
    case RefusalReason::HedgeNotUseful:
        return "hedge_not_useful";
    case RefusalReason::Quarantined:
        return "quarantined";
    case RefusalReason::ServersPaused:
        return "servers_paused";
    case RefusalReason::HedgeLimit:
        return "hedge_limit";
    }
    return "invalid";
}

} // namespace apricotrock::broker
