#include "fixture.h"

using namespace apricotrock;
using namespace apricotrock::routing;
using namespace apricotrock::routing::test;

class OutlierTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OutlierTest);
    CPPUNIT_TEST(ejectedShareIsCapped);
    CPPUNIT_TEST(ejectionTimeDoublesUpToALimit);
    CPPUNIT_TEST(fastFailuresDoNotAttractLoad);
    CPPUNIT_TEST(stragglerIsEjectedAndReturns);
    CPPUNIT_TEST(ejectionNeverLeavesNoCandidate);
    CPPUNIT_TEST(limitFollowsLostCapacity);
    CPPUNIT_TEST_SUITE_END();

    using Behaviour = std::function<std::pair<AttemptStatus, Duration>(const AttemptStart &)>;

    /// Runs lookups one after another; \a behaviour returns the result of each attempt.
    static std::map<std::string, std::size_t> run(Instance &instance, std::size_t count,
                                                  const Behaviour &behaviour)
    {
        std::map<std::string, std::size_t> attempts;
        std::size_t finished = instance.output.starts.size();
        for (std::size_t i = 0; i < count; ++i) {
            instance.submit();
            for (; finished < instance.output.starts.size(); ++finished) {
                const AttemptStart start = instance.output.starts[finished];
                ++attempts[start.backendServer];
                const auto [status, latency] = behaviour(start);
                instance.advanceBy(latency);
                instance.finish(start.attempt, status, 200, std::nullopt, latency);
            }
        }
        return attempts;
    }

public:
    // Guards against a fault of all backend servers that leaves only a few to take the load.
    void ejectedShareIsCapped()
    {
        Instance instance(makeConfiguration(8, defaultPolicy("p")));
        run(instance, 300, [](const AttemptStart &) {
            return std::pair(AttemptStatus::ConnectionLost, Duration(1ms));
        });
        std::size_t ejected = 0;
        for (const BackendStatus &status : backendStatus(*instance.state, instance.now))
            ejected += status.state == "ejected" ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ejected);
        CPPUNIT_ASSERT(instance.count(Counter::EjectionDeniedByCap) > 0);
    }

    // Guards against a failing backend server that repeatedly receives requests, and against one
    // that stays ejected for hours.
    void ejectionTimeDoublesUpToALimit()
    {
        Policy policy = defaultPolicy("p");
        policy.probeBudget = 0;
        Instance instance(makeConfiguration(4, policy));
        const auto behaviour = [](const AttemptStart &start) {
            return std::pair(start.backendServer == "b0" ? AttemptStatus::ConnectionLost
                                                         : AttemptStatus::Answered,
                             Duration(5ms));
        };
        std::vector<Duration> times;
        while (times.size() < 6) {
            for (int i = 0; i < 10000 && instance.statusOf("b0").state != "ejected"; ++i)
                run(instance, 1, behaviour);
            CPPUNIT_ASSERT_EQUAL(std::string("ejected"), instance.statusOf("b0").state);
            const TimePoint begin = instance.now;
            while (instance.statusOf("b0").state == "ejected")
                instance.advanceBy(50ms);
            times.push_back(instance.now - begin);
        }
        for (std::size_t i = 0; i < times.size(); ++i) {
            const Duration expected = 2s * (1 << std::min<std::size_t>(i, 4));
            CPPUNIT_ASSERT(times[i] >= expected - 50ms);
            CPPUNIT_ASSERT(times[i] <= expected + 150ms);
        }
    }

    // Guards against a backend server that fails immediately and therefore looks idle and fast. The
    // ejection cap is zero, so that only the load score can keep requests away.
    void fastFailuresDoNotAttractLoad()
    {
        Policy policy = defaultPolicy("p");
        policy.maxEjected = 0;
        Instance instance(makeConfiguration(8, policy));
        std::size_t failing = 0;
        std::size_t total = 0;
        std::deque<AttemptStart> running;
        std::size_t seen = 0;
        for (int i = 0; i < 1000; ++i) {
            instance.submit();
            instance.advanceBy(1ms);
            for (; seen < instance.output.starts.size(); ++seen)
                running.push_back(instance.output.starts[seen]);
            for (std::size_t pending = running.size(); pending > 0; --pending) {
                const AttemptStart start = running.front();
                running.pop_front();
                if (start.backendServer != "b0" && running.size() < 6) {
                    running.push_back(start);
                    continue;
                }
                ++total;
                failing += start.backendServer == "b0" ? 1 : 0;
                instance.finish(start.attempt,
                                start.backendServer == "b0" ? AttemptStatus::ConnectionLost
                                                            : AttemptStatus::Answered);
            }
        }
        CPPUNIT_ASSERT(total > 800);
        // Less than an equal share of the eight backend servers.
        CPPUNIT_ASSERT(failing * 8 < total);
    }

    // Guards against a slow backend server that raises the tail latency, and against ejecting it
    // permanently.
    void stragglerIsEjectedAndReturns()
    {
        Instance instance(makeConfiguration(8, defaultPolicy("p")));
        run(instance, 200,
            [](const AttemptStart &) { return std::pair(AttemptStatus::Answered, Duration(5ms)); });
        const auto attempts = run(instance, 300, [](const AttemptStart &start) {
            const bool isSlow = start.backendServer == "b0";
            return std::pair(AttemptStatus::Answered, Duration(isSlow ? 30ms : 5ms));
        });
        CPPUNIT_ASSERT(attempts.at("b0") < 300 / 8 / 2);
        instance.advanceBy(10s);
        const auto later = run(instance, 2000, [](const AttemptStart &) {
            return std::pair(AttemptStatus::Answered, Duration(5ms));
        });
        CPPUNIT_ASSERT(later.at("b0") > 2000 / 8 / 2);
    }

    // Guards against requests that fail although an untried backend server exists.
    void ejectionNeverLeavesNoCandidate()
    {
        Policy policy = defaultPolicy("p");
        policy.maxEjected = 1;
        Instance instance(makeConfiguration(2, policy));
        run(instance, 40, [](const AttemptStart &) {
            return std::pair(AttemptStatus::ConnectionLost, Duration(1ms));
        });
        CPPUNIT_ASSERT_EQUAL(std::string("ejected"), instance.statusOf("b0").state);
        CPPUNIT_ASSERT_EQUAL(std::string("ejected"), instance.statusOf("b1").state);
        const RequestId request = instance.submit();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, instance.startsOf(request).size());
    }

    // Guards against overloading a backend server that lost half of its capacity to a noisy
    // neighbour: two concurrent requests then take twice as long as one.
    void limitFollowsLostCapacity()
    {
        Policy policy = defaultPolicy("p");
        policy.hedgeQuantile = 1;
        Instance instance(makeConfiguration(1, policy, 2));
        std::size_t finished = 0;
        // Returns how often the limit was below the slots.
        const auto runRounds = [&](int rounds, bool isHalved) {
            int lowered = 0;
            for (int i = 0; i < rounds; ++i) {
                instance.submit();
                instance.submit();
                const std::size_t last = instance.output.starts.size();
                const auto inFlight = static_cast<std::int64_t>(last - finished);
                const Duration latency = isHalved ? 5ms * inFlight : 5ms;
                instance.advanceBy(latency);
                for (; finished < last; ++finished)
                    instance.finish(instance.output.starts[finished].attempt,
                                    AttemptStatus::Answered, 200, std::nullopt, latency);
                lowered += instance.statusOf("b0").concurrencyLimit < 2 ? 1 : 0;
            }
            return lowered;
        };
        CPPUNIT_ASSERT_EQUAL(0, runRounds(60, false));
        CPPUNIT_ASSERT(runRounds(100, true) > 50);
        runRounds(60, false);
        CPPUNIT_ASSERT_EQUAL(2.0, instance.statusOf("b0").concurrencyLimit);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutlierTest);
