#include "fixture.h"

#include <random>

using namespace apricotrock;
using namespace apricotrock::routing;
using namespace apricotrock::routing::test;

class LoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadTest);
    CPPUNIT_TEST(sameStaleReportDoesNotCauseAHerd);
    CPPUNIT_TEST(oldReportsLoseTheirWeight);
    CPPUNIT_TEST(ownZoneIsLeftEarly);
    CPPUNIT_TEST(joiningServerStartsSlowly);
    CPPUNIT_TEST(leavingServerGetsNoNewWork);
    CPPUNIT_TEST(leavingMarkOutlivesOlderSignals);
    CPPUNIT_TEST(probesStayWithinTheBudget);
    CPPUNIT_TEST(hintsCarryFreshLoadAndLeavingMarks);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against all instances choosing the one backend server that is idle in a shared report.
    void sameStaleReportDoesNotCauseAHerd()
    {
        std::size_t chosen = 0;
        constexpr std::size_t rounds = 20;
        constexpr std::size_t instances = 16;
        for (std::uint64_t seed = 0; seed < rounds * instances; ++seed) {
            Instance instance(makeConfiguration(8, defaultPolicy("p")), seed);
            for (int i = 0; i < 8; ++i)
                applyLoadHint(*instance.state,
                              {"b" + std::to_string(i), {i == 0 ? 0U : 1U, 0, 2}, 1ms, false},
                              instance.now);
            instance.submit();
            chosen += instance.lastStart().backendServer == "b0" ? 1 : 0;
        }
        // More often than by chance (1 in 8), but not by nearly all instances.
        CPPUNIT_ASSERT(chosen > rounds * instances / 8);
        CPPUNIT_ASSERT(chosen < rounds * instances * 3 / 4);
    }

    // Guards against decisions based on outdated load reports.
    void oldReportsLoseTheirWeight()
    {
        Instance instance(makeConfiguration(1, defaultPolicy("p")));
        for (int i = 0; i < 50; ++i)
            applyLoadHint(*instance.state, {"b0", {0, 0, 2}, 0ms, false}, instance.now);
        applyLoadHint(*instance.state, {"b0", {2, 6, 2}, 0ms, false}, instance.now);
        CPPUNIT_ASSERT(instance.statusOf("b0").estimatedLoad > 7);
        instance.advanceBy(20ms);
        const double later = instance.statusOf("b0").estimatedLoad;
        CPPUNIT_ASSERT(later > 3.5 && later < 5);
        applyLoadHint(*instance.state, {"b0", {0, 0, 2}, 60ms, false}, instance.now);
        CPPUNIT_ASSERT_EQUAL(later, instance.statusOf("b0").estimatedLoad);
    }

    // Guards against unnecessary traffic between zones, and against keeping requests in a loaded
    // zone while another one is idle.
    void ownZoneIsLeftEarly()
    {
        Configuration configuration = makeConfiguration(8, defaultPolicy("p"), 4);
        for (int i = 4; i < 8; ++i)
            configuration.backendServers["b" + std::to_string(i)].availabilityZone = "far";
        Instance instance(configuration);
        std::size_t far = 0;
        for (int i = 0; i < 20; ++i) {
            instance.submit();
            far += instance.lastStart().backendServer >= "b4" ? 1 : 0;
            // Three of four slots in use exceed the share of 0.7 in the policy.
            CPPUNIT_ASSERT(i >= 12 || far == 0);
        }
        CPPUNIT_ASSERT(far > 0);
    }

    // Guards against sending a newly joined backend server the full load at once.
    void joiningServerStartsSlowly()
    {
        Instance instance(makeConfiguration(7, defaultPolicy("p")));
        instance.serve(50);
        instance.configure(makeConfiguration(8, defaultPolicy("p")));
        const std::size_t before = instance.output.starts.size();
        const auto shareOfNew = [&](std::size_t from) {
            std::size_t count = 0;
            for (std::size_t i = from; i < instance.output.starts.size(); ++i)
                count += instance.output.starts[i].backendServer == "b7" ? 1 : 0;
            return count;
        };
        instance.serve(100);
        CPPUNIT_ASSERT(shareOfNew(before) < 100 / 8 / 2);
        instance.advanceBy(5s);
        const std::size_t warm = instance.output.starts.size();
        instance.serve(400);
        CPPUNIT_ASSERT(shareOfNew(warm) > 400 / 8 / 2);
    }

    // Guards against new attempts on a backend server that drains, for each kind of drain signal.
    void leavingServerGetsNoNewWork()
    {
        Instance instance(makeConfiguration(3, defaultPolicy("p")));
        instance.submit();
        const AttemptStart start = instance.lastStart();
        finishAttempt(*instance.state,
                      {start.attempt, AttemptStatus::Answered, 200, 5ms, std::nullopt, true},
                      instance.now, instance.output);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, instance.count(Counter::DrainSeen));
        std::set<std::string> remaining{"b0", "b1", "b2"};
        remaining.erase(start.backendServer);
        markLeaving(*instance.state, *remaining.begin(), instance.now, instance.output);
        remaining.erase(remaining.begin());
        for (int i = 0; i < 20; ++i) {
            instance.submit(lookup, 100ms);
            CPPUNIT_ASSERT_EQUAL(*remaining.begin(), instance.lastStart().backendServer);
            instance.advanceBy(20ms);
        }
        applyLoadHint(*instance.state, {*remaining.begin(), {}, 0ms, true}, instance.now);
        const RequestId request = instance.submit();
        CPPUNIT_ASSERT(instance.failureOf(request) == ErrorKind::NoBackendServer);
    }

    // Guards against reports, probes or configurations that make a leaving server active again.
    void leavingMarkOutlivesOlderSignals()
    {
        Instance instance(makeConfiguration(1, defaultPolicy("p")));
        markLeaving(*instance.state, "b0", instance.now, instance.output);
        applyLoadHint(*instance.state, {"b0", {0, 0, 2}, 0ms, false}, instance.now);
        finishProbe(*instance.state, {"b0", true, 5ms, LoadReport{0, 0, 2}, false}, instance.now,
                    instance.output);
        instance.configure(makeConfiguration(1, defaultPolicy("p")));
        resetLearnedState(*instance.state, instance.now);
        instance.advanceBy(10min);
        CPPUNIT_ASSERT_EQUAL(std::string("leaving"), instance.statusOf("b0").state);
        instance.configure(makeConfiguration(0, defaultPolicy("p")));
        instance.configure(makeConfiguration(1, defaultPolicy("p")));
        CPPUNIT_ASSERT(instance.statusOf("b0").state != "leaving");
    }

    // Guards against a number of probes that grows when the load varies by 10:1, when instances are
    // replaced, or when replacements overlap. The budget is 5 probes per second.
    void probesStayWithinTheBudget()
    {
        std::mt19937_64 random(3);
        Policy policy = defaultPolicy("p");
        policy.probeBudget = 5;
        const Configuration configuration = makeConfiguration(8, policy);
        std::vector<std::unique_ptr<Instance>> fleet;
        const TimePoint begin{1h};
        std::map<std::string, std::size_t> probes;
        const auto add = [&](TimePoint now, std::uint64_t seed) {
            fleet.push_back(std::make_unique<Instance>(Configuration(), seed));
            fleet.back()->now = now;
            fleet.back()->configure(configuration);
        };
        for (std::uint64_t i = 0; i < 16; ++i)
            add(begin, i);
        std::uint64_t probesOfAll = 0;
        for (int tick = 0; tick < 12000; ++tick) {
            const TimePoint now = begin + tick * 10ms;
            const bool isBusy = tick / 200 % 2 == 1;
            if (tick % 500 == 499) {
                fleet.erase(fleet.begin());
                add(now, 100 + static_cast<std::uint64_t>(tick));
            }
            for (const auto &instance : fleet) {
                instance->advanceBy(now - instance->now);
                if (random() % 100 < (isBusy ? 20 : 2))
                    instance->serve(1);
                for (const ProbeStart &probe : instance->output.probes) {
                    ++probes[probe.backendServer];
                    ++probesOfAll;
                }
                instance->output = {};
            }
            const double elapsed = std::chrono::duration<double>(now - begin).count();
            for (const auto &[server, count] : probes)
                CPPUNIT_ASSERT(static_cast<double>(count) <= 5 * elapsed);
        }
        CPPUNIT_ASSERT(probesOfAll > 0);
    }

    // Guards against peers that probe what this instance has already measured, and against an old
    // leaving mark that peers keep passing to each other.
    void hintsCarryFreshLoadAndLeavingMarks()
    {
        Instance instance(makeConfiguration(3, defaultPolicy("p")));
        instance.submit();
        const std::string server = instance.lastStart().backendServer;
        instance.finish(instance.lastStart().attempt, AttemptStatus::Answered, 200,
                        LoadReport{1, 2, 2});
        instance.advanceBy(300ms);
        const std::string leaving = server == "b0" ? "b1" : "b0";
        markLeaving(*instance.state, leaving, instance.now, instance.output);
        auto hints = collectHints(*instance.state, instance.now, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, hints.size());
        CPPUNIT_ASSERT(hints[0].isLeaving && hints[0].backendServer == leaving);
        CPPUNIT_ASSERT(hints[1].age == Duration(300ms) && hints[1].load.queued == 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, collectHints(*instance.state, instance.now, 1).size());
        instance.advanceBy(1s);
        LoadHint oldMark = collectHints(*instance.state, instance.now, 10)[0];
        instance.configure(makeConfiguration(0, defaultPolicy("p")));
        instance.configure(makeConfiguration(3, defaultPolicy("p")));
        applyLoadHint(*instance.state, oldMark, instance.now);
        CPPUNIT_ASSERT(instance.statusOf(leaving).state != "leaving");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTest);
