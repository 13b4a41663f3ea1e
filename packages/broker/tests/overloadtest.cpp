#include "overloadsimulation.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::broker;
using namespace apricotrock::broker::simulation;

namespace {

constexpr unsigned sharedServers = 50;
constexpr Duration sharedTimeout = 10s;
constexpr OrganisationKey organisationCount = 81;
/// The largest organisation, which sends a quarter of all requests.
constexpr OrganisationKey largest = 1;
/// Ratio of the weight of an organisation to its usual rate.
constexpr double weightPerRate = 1.6;
constexpr double burstFactor = 6.5;
constexpr double increase = 1.8;
/// Least ratio of the requests in time to those without organisations.
constexpr double minGain = 1.1;
constexpr Duration overloadLength = 6s;
constexpr TimePoint overload = OverloadSimulation::start + 4s;
constexpr TimePoint overloadEnd = overload + overloadLength;

std::set<OrganisationKey> otherOrganisations()
{
    std::set<OrganisationKey> others;
    for (OrganisationKey each = 1; each <= organisationCount; ++each)
        if (each != largest)
            others.insert(each);
    return others;
}

/// Returns the part of all requests that an organisation usually sends; the largest of the others
/// sends 40 times as much as the smallest.
double usualPart(OrganisationKey organisation)
{
    if (organisation == largest)
        return 0.25;
    double sum = 0;
    for (const OrganisationKey each : otherOrganisations())
        sum += 1.0 / static_cast<double>(each);
    return 0.75 / static_cast<double>(organisation) / sum;
}

/// Runs 4 s of usual load, then 6 s in which the largest organisation sends \a factorOfLargest
/// times its usual rate and the others \a factorOfOthers times.
void runShared(OverloadSimulation &simulation, double factorOfLargest, double factorOfOthers)
{
    simulation.setWorkSpread(0.5);
    for (OrganisationKey each = 1; each <= organisationCount; ++each) {
        const double rate = sharedServers * calmRatePerServer * usualPart(each);
        const double factor = each == largest ? factorOfLargest : factorOfOthers;
        const double weight = rate * weightPerRate;
        simulation.addLoad(rate, OverloadSimulation::start, overload, each, weight);
        simulation.addLoad(rate * factor, overload, overloadEnd, each, weight);
    }
    simulation.runUntil(overloadEnd + sharedTimeout);
}

} // namespace

class OverloadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OverloadTest);
    CPPUNIT_TEST(serviceRecoversAfterABurst);
    CPPUNIT_TEST(workEstimateDoesNotDriftInABurst);
    CPPUNIT_TEST(costOfAPassIsNotQueueTimesServers);
    CPPUNIT_TEST(freeSlotsAreUsedWhileAllServersShed);
    CPPUNIT_TEST(burstOfOneOrganisationLeavesTheOthersTheirShare);
    CPPUNIT_TEST(equalIncreaseCutsAllOrganisationsAlike);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a leader whose decisions cost more, the more requests are queued: a burst
    // makes it late, senders then grant slots without it, and the servers stay overcommitted after
    // the burst has ended.
    void serviceRecoversAfterABurst()
    {
        constexpr Duration recovery = 15s;
        for (const unsigned servers : {50U, 137U, 300U}) {
            OverloadSimulation simulation(servers);
            const TimePoint burst = OverloadSimulation::start + 6s;
            const TimePoint burstEnd = burst + 4s;
            const TimePoint recovered = burstEnd + recovery;
            const TimePoint end = recovered + 5s;
            simulation.addLoad(servers * calmRatePerServer, OverloadSimulation::start, burst);
            simulation.addLoad(servers * burstRatePerServer, burst, burstEnd);
            simulation.addLoad(servers * calmRatePerServer, burstEnd, end);
            simulation.runUntil(end + routeTimeout);
            const double before = simulation.shareInTime(burst - 4s, burst);
            const double after = simulation.shareInTime(recovered, end);
            CPPUNIT_ASSERT_GREATEREQUAL(0.95 * before, after);
        }
    }

    // Guards against an estimate of the work that falls while the bias of all servers makes up for
    // it. The servers that are still taken for normal then look slow, and requests wait for others.
    void workEstimateDoesNotDriftInABurst()
    {
        constexpr unsigned servers = 137;
        constexpr double maxDrift = 1.3;
        const double work = std::chrono::duration<double>(workTime).count();
        for (int length = 1; length <= 4; ++length) {
            OverloadSimulation simulation(servers);
            const TimePoint burst = OverloadSimulation::start + 3s;
            const TimePoint end = burst + length * 1s;
            simulation.addLoad(servers * calmRatePerServer, OverloadSimulation::start, burst);
            simulation.addLoad(servers * burstRatePerServer, burst, end);
            simulation.runUntil(end);
            CPPUNIT_ASSERT_GREATEREQUAL(work / maxDrift, simulation.estimatedWork());
            CPPUNIT_ASSERT_LESSEQUAL(work * maxDrift, simulation.estimatedWork());
        }
    }

    // Pattern: all servers of a service reject half of their requests within milliseconds, have
    // free slots and answer probes. Guards against requests that wait for the few servers which
    // rejected least, and are refused when the queue is full while most slots are free.
    void freeSlotsAreUsedWhileAllServersShed()
    {
        for (const unsigned servers : {50U, 170U, 300U}) {
            OverloadSimulation simulation(servers);
            const TimePoint begin = OverloadSimulation::start + 3s;
            const TimePoint end = begin + 6s;
            simulation.addShedding(0.55, begin, end);
            simulation.addLoad(servers * calmRatePerServer, OverloadSimulation::start, end);
            simulation.runUntil(end + routeTimeout);
            // An attempt on a slow server that runs nothing else.
            CPPUNIT_ASSERT_LESSEQUAL(
                std::chrono::duration_cast<Duration>(workTime * slowdownOfSlow),
                simulation.longestWaitBesideFreeSlots());
            // Share of the whole day of which the fleet may refuse requests in this trouble.
            CPPUNIT_ASSERT_LESSEQUAL(0.08, simulation.shareRefusedByQueue(begin, end));
        }
    }

    // Pattern: one organisation sends 6.5 times its usual rate. Guards against its requests taking
    // the slots of the others, and against answering most requests after their target.
    void burstOfOneOrganisationLeavesTheOthersTheirShare()
    {
        OverloadSimulation calm(sharedServers, sharedTimeout);
        runShared(calm, 1, 1);
        OverloadSimulation unshared(sharedServers, sharedTimeout);
        unshared.hideOrganisations();
        runShared(unshared, burstFactor, 1);
        OverloadSimulation shared(sharedServers, sharedTimeout);
        runShared(shared, burstFactor, 1);
        const double inTime = shared.shareInTime(overload, overloadEnd);
        CPPUNIT_ASSERT_GREATEREQUAL(minGain * unshared.shareInTime(overload, overloadEnd), inTime);
        const auto others = otherOrganisations();
        CPPUNIT_ASSERT_GREATEREQUAL(0.9 * calm.shareInTime(overload, overloadEnd, others),
                                    shared.shareInTime(overload, overloadEnd, others));
        for (OrganisationKey each = 1; each <= organisationCount; ++each)
            CPPUNIT_ASSERT_GREATEREQUAL(0.25 * inTime,
                                        shared.shareInTime(overload, overloadEnd, {each}));
    }

    // Guards against shares that do not follow the weights when all organisations send more, and
    // against giving up capacity for the sake of the order.
    void equalIncreaseCutsAllOrganisationsAlike()
    {
        OverloadSimulation unshared(sharedServers, sharedTimeout);
        unshared.hideOrganisations();
        runShared(unshared, increase, increase);
        OverloadSimulation shared(sharedServers, sharedTimeout);
        runShared(shared, increase, increase);
        const double inTime = shared.shareInTime(overload, overloadEnd);
        CPPUNIT_ASSERT_GREATEREQUAL(minGain * unshared.shareInTime(overload, overloadEnd), inTime);
        const double ofLargest = shared.shareInTime(overload, overloadEnd, {largest});
        const double ofOthers = shared.shareInTime(overload, overloadEnd, otherOrganisations());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(ofOthers, ofLargest, 0.1 * inTime);
    }

    // Guards against passes over the queue that look at every server for every queued request.
    void costOfAPassIsNotQueueTimesServers()
    {
        for (const unsigned servers : {10U, 100U, 1000U}) {
            const TimePoint now{1h};
            ServiceState state;
            state.isLeading = true;
            setServers(state, makeServers(servers));
            // Every second server is so slow that a request waits for one of the others.
            state.routes[route] = {std::chrono::duration<double>(workTime).count(), 100};
            for (ServerKey key = 1; key <= servers; ++key)
                learnLoad(state, key, {0, 0, slotsPerServer, key % 2 == 0 ? 4.0 : 1.0}, now);
            std::uint64_t ticket = 0;
            while (state.queue.size() < servers)
                requestAttempt(state, makeRequest(ticket++, now), now);
            const std::uint64_t before = state.examinedEntries;
            processQueue(state, now + 5ms);
            constexpr std::uint64_t looksPerEntry = 20;
            CPPUNIT_ASSERT_LESSEQUAL(looksPerEntry * 2 * servers, state.examinedEntries - before);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);
