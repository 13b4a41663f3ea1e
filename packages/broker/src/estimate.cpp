#include "estimate.h"

#include <algorithm>
#include <cmath>

namespace apricotrock::broker {

namespace {

using std::chrono::milliseconds;

/// A noisy neighbour changes within a few hundred milliseconds, so a report fades with this time.
constexpr Duration reportLifetime = milliseconds(300);
/// Mean slowdown where nothing is reported.
constexpr double usualSlowdown = 1.3;
/// Expected before it is learned: a server whose slots are nearly all taken works slower.
constexpr double fullSlowdown = 1.5;
constexpr double nearlyFull = 0.8;
constexpr double occupancyGain = 0.05;
constexpr double maxOccupancyFactor = 6.0;
/// A higher limit must give this many more answers to be preferred.
constexpr double limitGain = 1.03;
/// Reports at start and end of an attempt count as equal within this ratio.
constexpr double sameSlowdown = 1.2;
/// A server that has just started works slower by about this factor.
constexpr double coldSlowdown = 2.0;
constexpr double workGain = 0.05;
constexpr double earlyWorkGain = 0.3;
constexpr unsigned earlySamples = 10;
constexpr double biasGain = 0.25;
constexpr double minBias = 0.6;
constexpr double maxBias = 20.0;
/// Time in which a learned bias halves its distance to 1 without new samples.
constexpr Duration biasHalfLife = milliseconds(2500);
constexpr double failureGain = 0.2;
constexpr Duration failureHalfLife = milliseconds(2500);
/// Mean work before the first sample, as a part of the latency target.
constexpr double firstWorkShare = 0.3;
/// For this long after taking over, load of attempts that others granted is read from every report.
constexpr Duration takeOverPeriod = milliseconds(1500);
constexpr Duration takeOverReportAge = milliseconds(200);
/// Foreign load halves in this time unless a report confirms it.
constexpr Duration foreignLoadHalfLife = milliseconds(250);

double decay(Duration age, Duration halfLife)
{
    return std::exp2(-toSeconds(age) / toSeconds(halfLife));
}

double currentBias(const ServerState &server, TimePoint now)
{
    if (server.bias == 1.0)
        return 1.0;
    return 1.0 + (server.bias - 1.0) * decay(now - server.biasChanged, biasHalfLife);
}

double currentSlowdown(const ServerState &server, TimePoint now)
{
    if (!server.report)
        return usualSlowdown;
    const double weight = std::exp(-toSeconds(now - server.reported) / toSeconds(reportLifetime));
    return weight * server.report->slowdown + (1 - weight) * usualSlowdown;
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
    return slots > 1 && running > nearlyFull * slots ? fullSlowdown : 1.0;
}

unsigned attemptLimit(const ServiceState &state, unsigned slots)
{
    unsigned best = 1;
    double bestRate = 1.0 / occupancyFactor(state, 1, slots);
    for (unsigned running = 2; running <= slots; ++running) {
        const double rate = running / occupancyFactor(state, running, slots);
        if (rate > bestRate * limitGain) {
            best = running;
            bestRate = rate;
        }
    }
    return best;
}

unsigned takenSlots(const ServiceState &state, const ServerState &server, TimePoint now)
{
    const double foreign = server.foreignLoad == 0
        ? 0
        : server.foreignLoad * decay(now - server.foreignLoadRead, foreignLoadHalfLife);
    const auto known = static_cast<unsigned>(server.occupants.size())
        + static_cast<unsigned>(std::lround(foreign));
    const bool isNew = !state.isLeading || now - state.leadingSince < takeOverPeriod;
    if (!isNew || !server.report || now - server.reported > takeOverReportAge)
        return known;
    return std::max(known, server.report->running + server.report->waiting);
}

void learnForeignLoad(ServerState &server, const LoadReport &report, TimePoint now)
{
    // The answer that carries the report counts as running in it.
    const double others = std::max(0.0, double(report.running) + report.waiting - 1);
    const double sample = std::max(0.0, others - static_cast<double>(server.occupants.size()));
    const double known =
        server.foreignLoad * decay(now - server.foreignLoadRead, foreignLoadHalfLife);
    server.foreignLoad = std::max(sample, (known + sample) / 2);
    server.foreignLoadRead = now;
}

double durationFactor(const ServiceState &state, const ServerState &server, unsigned taken,
                      TimePoint now)
{
    double factor = currentSlowdown(server, now) * currentBias(server, now);
    factor *= occupancyFactor(state, taken + 1, server.info.slots);
    if (now < server.info.coldUntil)
        factor *= coldSlowdown;
    return factor;
}

double loadedFactor(const ServiceState &state)
{
    const unsigned slots = state.servers.empty() ? 1 : state.servers.begin()->second.info.slots;
    return occupancyFactor(state, attemptLimit(state, slots), slots);
}

double workSeconds(const ServiceState &state, RouteKey route, Duration objective)
{
    const auto found = state.routes.find(route);
    if (found == state.routes.end() || found->second.samples == 0)
        return toSeconds(objective) * firstWorkShare;
    return found->second.workSeconds;
}

double failureShare(const ServerState &server, TimePoint now)
{
    if (server.failureShare == 0)
        return 0;
    return server.failureShare * decay(now - server.failureChanged, failureHalfLife);
}

namespace {

/// Learns the occupancy factor from an attempt that ended beside others.
void learnOccupancy(ServiceState &state, unsigned running, unsigned slots, double ratio)
{
    if (state.occupancyFactors.size() <= running)
        state.occupancyFactors.resize(running + 1, 0);
    double &factor = state.occupancyFactors[running];
    if (factor <= 0)
        factor = running > nearlyFull * slots ? fullSlowdown : 1.0;
    const double sample = std::clamp(ratio, 1.0, maxOccupancyFactor);
    factor += occupancyGain * (sample - factor);
}

void learnWork(RouteState &route, double sample)
{
    if (route.samples == 0)
        route.workSeconds = sample;
    const double clipped = std::clamp(sample, route.workSeconds * 0.3, route.workSeconds * 3);
    const double gain = route.samples < earlySamples ? earlyWorkGain : workGain;
    route.workSeconds += gain * (clipped - route.workSeconds);
    ++route.samples;
}

} // namespace

void learnDuration(ServiceState &state, ServerState &server, const Occupant &occupant,
                   const AttemptEnd &end, TimePoint now)
{
    RouteState &route = state.routes[occupant.route];
    const double sample = toSeconds(end.duration) / occupant.factor;
    const bool isSteady = end.load && occupant.slowdown > 0
        && end.load->slowdown < occupant.slowdown * sameSlowdown
        && occupant.slowdown < end.load->slowdown * sameSlowdown && now >= server.info.coldUntil;
    const unsigned slots = server.info.slots;
    if (route.samples < earlySamples || !end.load) {
        learnWork(route, sample);
    } else if (isSteady) {
        const unsigned running = std::clamp(end.load->running, 1U, slots);
        const double work = toSeconds(end.duration) / end.load->slowdown;
        if (running > nearlyFull * slots && slots > 1)
            learnOccupancy(state, running, slots, work / route.workSeconds);
        else
            learnWork(route, work / currentBias(server, now));
    }
    if (route.samples < earlySamples)
        return;
    const double bias = currentBias(server, now);
    const double ratio = std::clamp(sample / route.workSeconds * bias, minBias, maxBias);
    server.bias = bias + biasGain * (ratio - bias);
    server.biasChanged = now;
}

void learnOutcome(ServerState &server, bool isFailure, TimePoint now)
{
    const double share = failureShare(server, now);
    server.failureShare = share + failureGain * ((isFailure ? 1.0 : 0.0) - share);
    server.failureChanged = now;
}

} // namespace apricotrock::broker
