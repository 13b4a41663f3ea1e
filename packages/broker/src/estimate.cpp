#include "estimate.h"

#include <algorithm>
#include <cmath>

namespace apricotrock::broker {

namespace {

using std::chrono::milliseconds;

/// Time constant with which the weight of a load report decays. The load of other programs on the
/// same machine changes within a few hundred milliseconds.
constexpr Duration reportLifetime = milliseconds(300);
/// Mean slowdown of a server without a load report.
constexpr double defaultSlowdown = 1.3;
/// Occupancy factor of a server whose slots are nearly all taken, used until it is learned: such a
/// server works slower.
constexpr double defaultFullLoadFactor = 1.5;
constexpr double nearlyFullShare = 0.8;
constexpr double occupancySmoothing = 0.05;
constexpr double maxOccupancyFactor = 6.0;
/// A higher attempt limit is preferred only if it increases the throughput by this factor.
constexpr double minThroughputGain = 1.03;
/// Slowdowns reported at the start and the end of an attempt count as equal within this ratio.
constexpr double steadySlowdownRatio = 1.2;
/// A server that has just started is slower by about this factor.
constexpr double slowStartFactor = 2.0;
constexpr double workSmoothing = 0.05;
constexpr double initialWorkSmoothing = 0.3;
constexpr unsigned initialSamples = 10;
constexpr double biasSmoothing = 0.25;
constexpr double meanBiasSmoothing = 0.02;
constexpr double minBias = 0.6;
constexpr double maxBias = 20.0;
/// Time in which the distance of the bias from 1 halves without new samples.
constexpr Duration biasHalfLife = milliseconds(2500);
constexpr double failureSmoothing = 0.2;
constexpr Duration failureHalfLife = milliseconds(2500);
constexpr double meanFailureSmoothing = 0.02;
/// Mean work that is assumed before the first sample, as a part of the latency target.
constexpr double initialWorkShare = 0.3;
/// Time after a change of the leader in which every load report counts, because the new leader
/// doesn't know the attempts that other instances granted.
constexpr Duration newLeaderPeriod = milliseconds(1500);
constexpr Duration newLeaderMaxReportAge = milliseconds(200);
/// Time in which the untracked load halves unless a report confirms it.
constexpr Duration untrackedLoadHalfLife = milliseconds(250);

double decay(Duration age, Duration halfLife)
{
    return std::exp2(-toSeconds(age) / toSeconds(halfLife));
}

double currentBias(const ServerState &server, TimePoint now)
{
    if (server.bias == 1.0)
        return 1.0;
    return 1.0 + (server.bias - 1.0) * decay(now - server.biasUpdated, biasHalfLife);
}

double currentSlowdown(const ServerState &server, TimePoint now)
{
    if (!server.report)
        return defaultSlowdown;
    const double weight = std::exp(-toSeconds(now - server.reported) / toSeconds(reportLifetime));
    return weight * server.report->slowdown + (1 - weight) * defaultSlowdown;
}

} // namespace

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double occupancyFactor(const ServiceState &state, unsigned running, unsigned slots)
{
    if (running < state.occupancyFactors.size() && state.occupancyFactors[running] > 0)
        return state.occupancyFactors[running];
    return slots > 1 && running > nearlyFullShare * slots ? defaultFullLoadFactor : 1.0;
}

unsigned attemptLimit(const ServiceState &state, unsigned slots)
{
    unsigned best = 1;
    double bestRate = 1.0 / occupancyFactor(state, 1, slots);
    for (unsigned running = 2; running <= slots; ++running) {
        const double rate = running / occupancyFactor(state, running, slots);
        if (rate > bestRate * minThroughputGain) {
            best = running;
            bestRate = rate;
        }
    }
    return best;
}

unsigned takenSlots(const ServiceState &state, const ServerState &server, TimePoint now)
{
    const double untracked = server.untrackedLoad == 0
        ? 0
        : server.untrackedLoad * decay(now - server.untrackedLoadUpdated, untrackedLoadHalfLife);
    const auto known = static_cast<unsigned>(server.activeAttempts.size())
        + static_cast<unsigned>(std::lround(untracked));
    const bool isViewPartial = !state.isLeading || now - state.leadingSince < newLeaderPeriod;
    if (!isViewPartial || !server.report || now - server.reported > newLeaderMaxReportAge)
        return known;
    return std::max(known, server.report->running + server.report->waiting);
}

void updateUntrackedLoad(ServerState &server, const LoadReport &report, TimePoint now)
{
    // The report counts the attempt whose answer carries it as running.
    const double others = std::max(0.0, double(report.running) + report.waiting - 1);
    const double sample = std::max(0.0, others - static_cast<double>(server.activeAttempts.size()));
    const double known =
        server.untrackedLoad * decay(now - server.untrackedLoadUpdated, untrackedLoadHalfLife);
    server.untrackedLoad = std::max(sample, (known + sample) / 2);
    server.untrackedLoadUpdated = now;
}

double durationFactor(const ServiceState &state, const ServerState &server, unsigned taken,
                      TimePoint now)
{
    double factor = currentSlowdown(server, now) * currentBias(server, now);
    factor *= occupancyFactor(state, taken + 1, server.info.slots);
    if (now < server.info.slowStartUntil)
        factor *= slowStartFactor;
    return factor;
}

double fullLoadFactor(const ServiceState &state)
{
    const unsigned slots = state.servers.empty() ? 1 : state.servers.begin()->second.info.slots;
    return occupancyFactor(state, attemptLimit(state, slots), slots);
}

double workSeconds(const ServiceState &state, RouteKey route, Duration objective)
{
    const auto found = state.routes.find(route);
    if (found == state.routes.end() || found->second.samples == 0)
        return toSeconds(objective) * initialWorkShare;
    return found->second.workSeconds;
}

namespace {

double failureShare(const ServerState &server, TimePoint now)
{
    if (server.failureShare == 0)
        return 0;
    return server.failureShare * decay(now - server.failureShareUpdated, failureHalfLife);
}

} // namespace

double excessFailureShare(const ServiceState &state, const ServerState &server, TimePoint now)
{
    return std::max(0.0, failureShare(server, now) - state.meanFailureShare);
}

namespace {

/// Updates the occupancy factor from an attempt that ended while others were running.
void updateOccupancyFactor(ServiceState &state, unsigned running, unsigned slots, double ratio)
{
    if (state.occupancyFactors.size() <= running)
        state.occupancyFactors.resize(running + 1, 0);
    double &factor = state.occupancyFactors[running];
    if (factor <= 0)
        factor = running > nearlyFullShare * slots ? defaultFullLoadFactor : 1.0;
    const double sample = std::clamp(ratio, 1.0, maxOccupancyFactor);
    factor += occupancySmoothing * (sample - factor);
}

void updateWorkEstimate(RouteState &route, double sample)
{
    if (route.samples == 0)
        route.workSeconds = sample;
    const double clipped = std::clamp(sample, route.workSeconds * 0.3, route.workSeconds * 3);
    const double gain = route.samples < initialSamples ? initialWorkSmoothing : workSmoothing;
    route.workSeconds += gain * (clipped - route.workSeconds);
    ++route.samples;
}

} // namespace

void updateDurationEstimates(ServiceState &state, ServerState &server, const ActiveAttempt &attempt,
                             const AttemptEnd &end, TimePoint now)
{
    RouteState &route = state.routes[attempt.route];
    const double sample = toSeconds(end.duration) / attempt.factor;
    const bool isSteady = end.load && attempt.slowdown > 0
        && end.load->slowdown < attempt.slowdown * steadySlowdownRatio
        && attempt.slowdown < end.load->slowdown * steadySlowdownRatio
        && now >= server.info.slowStartUntil;
    const unsigned slots = server.info.slots;
    const double bias = currentBias(server, now);
    state.meanBias += meanBiasSmoothing * (bias - state.meanBias);
    if (route.samples < initialSamples || !end.load) {
        updateWorkEstimate(route, sample);
    } else if (isSteady) {
        const unsigned running = std::clamp(end.load->running, 1U, slots);
        const double work = toSeconds(end.duration) / end.load->slowdown;
        if (running > nearlyFullShare * slots && slots > 1)
            updateOccupancyFactor(state, running, slots, work / route.workSeconds);
        else
            updateWorkEstimate(route, work * state.meanBias / bias);
    }
    if (route.samples < initialSamples)
        return;
    const double ratio = std::clamp(sample / route.workSeconds * bias, minBias, maxBias);
    server.bias = bias + biasSmoothing * (ratio - bias);
    server.biasUpdated = now;
}

void updateFailureShare(ServiceState &state, ServerState &server, bool isFailure, TimePoint now)
{
    const double sample = isFailure ? 1.0 : 0.0;
    const double share = failureShare(server, now);
    server.failureShare = share + failureSmoothing * (sample - share);
    server.failureShareUpdated = now;
    state.meanFailureShare += meanFailureSmoothing * (sample - state.meanFailureShare);
}

} // namespace apricotrock::broker
