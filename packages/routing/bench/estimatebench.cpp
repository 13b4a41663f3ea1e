#include "fleet.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>

using namespace apricotrock;
using namespace apricotrock::routing;
using namespace apricotrock::routing::bench;
using namespace std::chrono_literals;

// Usage: estimate_bench [PART OF A VARIANT'S NAME [FIRST OF FIVE SEEDS]]

namespace {

constexpr Duration meanWork = 6ms;
constexpr Duration traceLength = 20s;
constexpr Duration warmUp = 2s;
std::vector<std::uint64_t> seeds = {11, 12, 13};

struct Variant
{
    std::string name;
    FleetParameters parameters;
};

struct Figures
{
    double p50 = 0;
    double p99 = 0;
    double goodput = 0;
    double attempts = 0;
    FleetResult last;
};

double averageTime(const EndpointState &endpoint)
{
    const Seconds average = endpoint.serviceTime.average;
    return average > Seconds::zero() ? average.count() : 0.005;
}

double penalty(const EndpointState &endpoint)
{
    return (1 + 20 * endpoint.outlier.failureRate) / std::max(1.0, endpoint.limit.value);
}

double local(const EndpointState &endpoint)
{
    return static_cast<double>(endpoint.outstanding);
}

double trust(const EndpointState &endpoint, Seconds halfLife, TimePoint now)
{
    return std::exp2(-Seconds(now - endpoint.load.measured) / halfLife);
}

/// Local attempts only.
double localOnly(const EndpointState &endpoint, const Policy &, TimePoint)
{
    return averageTime(endpoint) * (local(endpoint) + 1) * penalty(endpoint);
}

/// Uses the last report regardless of its age.
double lastReport(const EndpointState &endpoint, const Policy &, TimePoint)
{
    return averageTime(endpoint) * (local(endpoint) + endpoint.load.otherLoad + 1)
        * penalty(endpoint);
}

/// The reported load of other instances decays to zero.
double decayToZero(const EndpointState &endpoint, const Policy &policy, TimePoint now)
{
    const double otherLoad = endpoint.load.otherLoad * trust(endpoint, policy.reportHalfLife, now);
    return averageTime(endpoint) * (local(endpoint) + otherLoad + 1) * penalty(endpoint);
}

/// The reported load of other instances decays to its average with the policy's half-life.
double decayToAverage(const EndpointState &endpoint, const Policy &policy, TimePoint now)
{
    const LoadEstimate &load = endpoint.load;
    const double otherLoad = load.averageOtherLoad
        + (load.otherLoad - load.averageOtherLoad) * trust(endpoint, policy.reportHalfLife, now);
    return averageTime(endpoint) * (local(endpoint) + otherLoad + 1) * penalty(endpoint);
}

/// Expected wait for a free slot plus the service time.
double waitForSlot(const EndpointState &endpoint, const Policy &policy, TimePoint now)
{
    const double slots = std::max(1.0, endpoint.limit.value);
    const double ahead = std::max(0.0, estimatedLoad(endpoint, policy, now) + 1 - slots);
    return averageTime(endpoint) * (1 + ahead / slots) * penalty(endpoint);
}

/// Recent latency multiplied by local attempts, as peak EWMA balancers do.
double latencyOnly(const EndpointState &endpoint, const Policy &, TimePoint)
{
    return endpoint.limit.recent.count() * (local(endpoint) + 1) * penalty(endpoint);
}

double capacity(const FleetParameters &parameters)
{
    const double servers =
        static_cast<double>(parameters.servers) - 1 + 1 / parameters.stragglerFactor;
    return servers * static_cast<double>(parameters.slots) / Seconds(meanWork).count();
}

/// Capacity of all slots during the measured time; the straggler is healthy at first.
Seconds possibleWork(const FleetParameters &parameters)
{
    const Seconds measured = traceLength - warmUp;
    const Seconds slow = traceLength - parameters.stragglerFrom;
    const Seconds straggler = measured - slow + slow / parameters.stragglerFactor;
    return static_cast<double>(parameters.slots)
        * (measured * (static_cast<double>(parameters.servers) - 1) + straggler);
}

double quantile(std::vector<double> &values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values.empty()
        ? 0
        : values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

double median(std::vector<double> values)
{
    return quantile(values, 0.5);
}

Figures measure(const FleetParameters &parameters, double load)
{
    std::vector<double> p50;
    std::vector<double> p99;
    std::vector<double> goodput;
    std::vector<double> attempts;
    Figures figures;
    for (const std::uint64_t seed : seeds) {
        const auto arrivals = makeArrivals(seed, load * capacity(parameters), traceLength, meanWork,
                                           parameters.instances);
        FleetResult result = replay(parameters, arrivals, warmUp);
        p50.push_back(quantile(result.lookupMilliseconds, 0.5));
        p99.push_back(quantile(result.lookupMilliseconds, 0.99));
        goodput.push_back(Seconds(result.completedWork) / possibleWork(parameters));
        attempts.push_back(static_cast<double>(result.attempts)
                           / static_cast<double>(arrivals.size()));
        figures.last = std::move(result);
    }
    figures.p50 = median(p50);
    figures.p99 = median(p99);
    figures.goodput = median(goodput);
    figures.attempts = median(attempts);
    return figures;
}

FleetParameters withAlgorithm(PolicyAlgorithm algorithm)
{
    FleetParameters parameters;
    parameters.policy = defaultPolicy("p");
    parameters.policy.algorithm = algorithm;
    return parameters;
}

FleetParameters withScore(ScoreFunction score, std::size_t draws, double gate)
{
    FleetParameters parameters = withAlgorithm(PolicyAlgorithm::Adaptive);
    parameters.tuning = {score, draws, gate};
    return parameters;
}

std::vector<Variant> makeVariants()
{
    FleetParameters oracle = withAlgorithm(PolicyAlgorithm::Random);
    oracle.isOracle = true;
    std::vector<Variant> variants = {
        {"oracle", oracle},
        {"p2c", withAlgorithm(PolicyAlgorithm::P2c)},
        {"random", withAlgorithm(PolicyAlgorithm::Random)},
        {"round robin", withAlgorithm(PolicyAlgorithm::RoundRobin)},
        {"least outstanding", withAlgorithm(PolicyAlgorithm::LeastOutstanding)},
        {"adaptive (product)", withAlgorithm(PolicyAlgorithm::Adaptive)},
    };
    const std::pair<const char *, ScoreFunction> scores[] = {
        {"product", loadScore},
        {"local only", localOnly},
        {"last report", lastReport},
        {"fade to zero", decayToZero},
        {"fade to usual", decayToAverage},
        {"wait for slot", waitForSlot},
        {"latency only", latencyOnly},
    };
    for (const auto &[name, score] : scores) {
        for (const std::size_t draws : {2, 4}) {
            for (const double gate : {1.5, 2.0, 4.0}) {
                char text[64];
                std::snprintf(text, sizeof text, "%s d=%zu g=%g", name, draws, gate);
                variants.push_back({text, withScore(score, draws, gate)});
            }
        }
    }
    return variants;
}

} // namespace

int main(int argc, char **argv)
{
    const std::string filter = argc > 1 ? argv[1] : "";
    if (argc > 2) {
        const auto first = static_cast<std::uint64_t>(std::atoll(argv[2]));
        seeds = {first, first + 1, first + 2, first + 3, first + 4};
    }
    double oracleP99 = 0;
    double p2cP99 = 0;
    std::printf("%-28s %8s %8s %8s %8s %9s %9s\n", "variant", "p50 ms", "p99 ms", "/p2c", "/oracle",
                "attempts", "goodput");
    for (const Variant &variant : makeVariants()) {
        const bool isReference = variant.name == "oracle" || variant.name == "p2c";
        if (!isReference && variant.name.find(filter) == std::string::npos)
            continue;
        const Figures normal = measure(variant.parameters, 0.7);
        const Figures overload = measure(variant.parameters, 1.5);
        if (variant.name == "oracle")
            oracleP99 = normal.p99;
        if (variant.name == "p2c")
            p2cP99 = normal.p99;
        std::printf("%-28s %8.2f %8.2f %8.2f %8.2f %9.3f %8.1f%%", variant.name.c_str(), normal.p50,
                    normal.p99, p2cP99 > 0 ? normal.p99 / p2cP99 : 0, normal.p99 / oracleP99,
                    normal.attempts, overload.goodput * 100);
        std::printf("  ejections=%llu", static_cast<unsigned long long>(normal.last.ejections));
        for (const auto &[kind, failures] : normal.last.failures)
            std::printf(" %s=%llu", kind.c_str(), static_cast<unsigned long long>(failures));
        std::printf("\n");
        std::fflush(stdout);
    }
    return 0;
}
