#include "fixture.h"

using namespace apricotrock;
using namespace apricotrock::routing;
using namespace apricotrock::routing::test;

class BudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BudgetTest);
    CPPUNIT_TEST(retriesStayAShareOfRequests);
    CPPUNIT_TEST(sheddingFleetGetsNoRetries);
    CPPUNIT_TEST(slowLookupIsHedgedAndTheLoserCancelled);
    CPPUNIT_TEST(hedgesStayAShareOfLookups);
    CPPUNIT_TEST(nothingIsHedgedWhileRequestsWait);
    CPPUNIT_TEST(actionsAreNotHedged);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a retry storm when many attempts fail.
    void retriesStayAShareOfRequests()
    {
        Policy policy = defaultPolicy("p");
        policy.ejectionFailures = 1000;
        Instance instance(makeConfiguration(8, policy));
        std::size_t finished = 0;
        for (int i = 0; i < 1000; ++i) {
            instance.submit();
            while (finished < instance.output.starts.size())
                instance.finish(instance.output.starts[finished++].attempt,
                                AttemptStatus::ConnectFailed);
        }
        // The share of 0.1, and the one retry that a new service may send at once.
        CPPUNIT_ASSERT(instance.output.starts.size() <= 1000 + 100 + 1);
        CPPUNIT_ASSERT(instance.output.starts.size() > 1050);
        CPPUNIT_ASSERT(instance.count(Counter::RetryDeniedByBudget) > 0);
        CPPUNIT_ASSERT(instance.failureOf(1000) == ErrorKind::RetryBudgetExhausted);
    }

    // Guards against retries that add load to backend servers that already shed requests.
    void sheddingFleetGetsNoRetries()
    {
        Policy policy = defaultPolicy("p");
        policy.retryBudget = 1;
        Instance instance(makeConfiguration(8, policy));
        std::size_t finished = 0;
        for (int i = 0; i < 200; ++i) {
            instance.submit();
            instance.advanceBy(20ms);
            while (finished < instance.output.starts.size())
                instance.finish(instance.output.starts[finished++].attempt, AttemptStatus::Shed);
        }
        const std::size_t before = instance.output.starts.size();
        CPPUNIT_ASSERT(before < 220);
        const RequestId request = instance.submit();
        instance.advanceBy(20ms);
        CPPUNIT_ASSERT_EQUAL(before + 1, instance.output.starts.size());
        instance.finish(instance.lastStart().attempt, AttemptStatus::Shed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, instance.startsOf(request).size());
        CPPUNIT_ASSERT(instance.failureOf(request) == ErrorKind::BackendShed);
    }

    // Guards against a lookup that waits for a straggler, and against a superseded attempt that is
    // not cancelled.
    void slowLookupIsHedgedAndTheLoserCancelled()
    {
        Instance instance(makeConfiguration(4, defaultPolicy("p")));
        instance.serve(100);
        const RequestId request = instance.submit();
        instance.advanceBy(20ms);
        const auto starts = instance.startsOf(request);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, starts.size());
        CPPUNIT_ASSERT(starts[1].isHedge);
        CPPUNIT_ASSERT(starts[0].backendServer != starts[1].backendServer);
        instance.finish(starts[1].attempt, AttemptStatus::Answered);
        CPPUNIT_ASSERT(instance.output.cancels == std::vector<AttemptId>{starts[0].attempt});
        instance.finish(starts[0].attempt, AttemptStatus::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, instance.endsOf(request));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, instance.count(Counter::HedgeWon));
    }

    // Guards against hedges that double the load when everything becomes slow.
    void hedgesStayAShareOfLookups()
    {
        Instance instance(makeConfiguration(4, defaultPolicy("p")));
        instance.serve(100);
        std::size_t finished = instance.output.starts.size();
        for (int i = 0; i < 400; ++i) {
            instance.submit();
            instance.advanceBy(30ms);
            while (finished < instance.output.starts.size())
                instance.finish(instance.output.starts[finished++].attempt, AttemptStatus::Answered,
                                200, std::nullopt, 5ms);
        }
        const std::uint64_t hedges = instance.count(Counter::HedgeStarted);
        CPPUNIT_ASSERT(hedges > 0);
        CPPUNIT_ASSERT(hedges <= 500 * 0.05);
        CPPUNIT_ASSERT(instance.count(Counter::HedgeDeniedByBudget) > 0);
    }

    // Guards against hedges that take slots from waiting requests.
    void nothingIsHedgedWhileRequestsWait()
    {
        Instance instance(makeConfiguration(2, defaultPolicy("p"), 1));
        instance.serve(100);
        instance.submit();
        const RequestId failed = instance.submit();
        // The retry waits for the other backend server, while its own has a free slot.
        instance.finish(instance.lastStart().attempt, AttemptStatus::ConnectFailed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, activeRequests(*instance.state));
        instance.advanceBy(50ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, instance.startsOf(failed).size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, instance.count(Counter::HedgeStarted));
    }

    // Guards against a hedged action that takes effect twice, such as a reorder printed twice.
    void actionsAreNotHedged()
    {
        Instance instance(makeConfiguration(4, defaultPolicy("p")));
        instance.serve(100);
        const RequestId request = instance.submit(action, 5s);
        instance.advanceBy(4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, instance.startsOf(request).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BudgetTest);
