#include "fixture.h"

#include <set>

using namespace apricotrock;
using namespace apricotrock::routing;
using namespace apricotrock::routing::test;

class QueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QueueTest);
    CPPUNIT_TEST(actionsGoBeforeLookups);
    CPPUNIT_TEST(earlierDeadlineGoesFirst);
    CPPUNIT_TEST(queueIsBounded);
    CPPUNIT_TEST(actionTakesThePlaceOfALookup);
    CPPUNIT_TEST(callerCannotHoldTheWholeQueue);
    CPPUNIT_TEST(callersTakeTurns);
    CPPUNIT_TEST(waitingRequestExpires);
    CPPUNIT_TEST(unmeetableDeadlineIsRefusedEarly);
    CPPUNIT_TEST(removedServiceFailsItsWaitingRequests);
    CPPUNIT_TEST_SUITE_END();

    /// Occupies the only slot of the instance and returns the attempt.
    static AttemptId fill(Instance &instance)
    {
        instance.submit(lookup, 10s, "filler");
        return instance.lastStart().attempt;
    }

public:
    // Guards against an action, such as a rake command, that waits behind lookups for reports.
    void actionsGoBeforeLookups()
    {
        Instance instance(makeConfiguration(1, defaultPolicy("p"), 1));
        const AttemptId filler = fill(instance);
        instance.submit(lookup, 100ms);
        const RequestId late = instance.submit(action, 5s);
        instance.finish(filler, AttemptStatus::Answered);
        CPPUNIT_ASSERT_EQUAL(late, instance.lastStart().request);
    }

    // Guards against dispatch in order of arrival, which lets urgent requests expire.
    void earlierDeadlineGoesFirst()
    {
        Instance instance(makeConfiguration(1, defaultPolicy("p"), 1));
        const AttemptId filler = fill(instance);
        instance.submit(lookup, 900ms);
        const RequestId urgent = instance.submit(lookup, 100ms);
        instance.finish(filler, AttemptStatus::Answered);
        CPPUNIT_ASSERT_EQUAL(urgent, instance.lastStart().request);
    }

    // Guards against memory and waiting time that grow with the load.
    void queueIsBounded()
    {
        Instance instance(makeConfiguration(1, defaultPolicy("p"), 1));
        fill(instance);
        for (int i = 0; i < 500; ++i)
            instance.submit();
        CPPUNIT_ASSERT_EQUAL(std::size_t{65}, activeRequests(*instance.state));
        CPPUNIT_ASSERT_EQUAL(std::size_t{500 - 64}, instance.output.failures.size());
        CPPUNIT_ASSERT(instance.output.failures[0].kind == ErrorKind::QueueFull);
    }

    // Guards against an action that is refused because lookups fill the queue.
    void actionTakesThePlaceOfALookup()
    {
        Instance instance(makeConfiguration(1, defaultPolicy("p"), 1));
        fill(instance);
        for (int i = 0; i < 63; ++i)
            instance.submit(lookup, 500ms);
        const RequestId last = instance.submit(lookup, 800ms);
        const RequestId important = instance.submit(action);
        CPPUNIT_ASSERT(!instance.failureOf(important));
        CPPUNIT_ASSERT(instance.failureOf(last) == ErrorKind::QueueFull);
    }

    // Guards against one caller that fills the queue and excludes all others.
    void callerCannotHoldTheWholeQueue()
    {
        Instance instance(makeConfiguration(1, defaultPolicy("p"), 1));
        fill(instance);
        for (int i = 0; i < 100; ++i)
            instance.submit(lookup, 1s, "greedy");
        const RequestId modest = instance.submit(lookup, 1s, "modest");
        CPPUNIT_ASSERT(!instance.failureOf(modest));
        const RequestId more = instance.submit(lookup, 1s, "greedy");
        CPPUNIT_ASSERT(instance.failureOf(more) == ErrorKind::CallerLimit);
    }

    // Guards against a caller that starves others by sending short deadlines.
    void callersTakeTurns()
    {
        Instance instance(makeConfiguration(1, defaultPolicy("p"), 1));
        AttemptId running = fill(instance);
        std::set<RequestId> patient;
        for (int i = 0; i < 10; ++i) {
            instance.submit(lookup, 100ms, "hasty");
            patient.insert(instance.submit(lookup, 900ms, "patient"));
        }
        std::size_t served = 0;
        for (int i = 0; i < 10; ++i) {
            instance.finish(running, AttemptStatus::Answered);
            running = instance.lastStart().attempt;
            served += patient.count(instance.lastStart().request);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, served);
    }

    // Guards against requests that stay queued after their deadline.
    void waitingRequestExpires()
    {
        Instance instance(makeConfiguration(1, defaultPolicy("p"), 1));
        fill(instance);
        const RequestId request = instance.submit(action, 30ms);
        instance.advanceBy(29ms);
        CPPUNIT_ASSERT(!instance.failureOf(request));
        instance.advanceBy(1ms);
        CPPUNIT_ASSERT(instance.failureOf(request) == ErrorKind::DeadlineExpired);
        CPPUNIT_ASSERT(instance.startsOf(request).empty());
    }

    // Guards against work on requests that cannot meet their deadline, and against refusals that
    // continue after the load has ended.
    void unmeetableDeadlineIsRefusedEarly()
    {
        Instance instance(makeConfiguration(1, defaultPolicy("p"), 1));
        instance.serve(30, 10ms);
        AttemptId running = fill(instance);
        for (int i = 0; i < 30; ++i)
            instance.submit(lookup, 1s, "c" + std::to_string(i % 3));
        for (int i = 0; i < 10; ++i) {
            instance.advanceBy(10ms);
            instance.finish(running, AttemptStatus::Answered, 200, std::nullopt, 10ms);
            running = instance.lastStart().attempt;
        }
        const RequestId hopeless = instance.submit(lookup, 100ms);
        CPPUNIT_ASSERT(instance.failureOf(hopeless) == ErrorKind::DeadlineUnmeetable);
        const RequestId possible = instance.submit(lookup, 400ms);
        CPPUNIT_ASSERT(!instance.failureOf(possible));
        while (activeRequests(*instance.state) > 0) {
            instance.finish(instance.lastStart().attempt, AttemptStatus::Answered);
        }
        const RequestId later = instance.submit(lookup, 1ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, instance.startsOf(later).size());
    }

    // Guards against requests that stay queued for a service that was removed.
    void removedServiceFailsItsWaitingRequests()
    {
        Instance instance(makeConfiguration(1, defaultPolicy("p"), 1));
        const AttemptId filler = fill(instance);
        const RequestId waiting = instance.submit();
        instance.configure(Configuration());
        CPPUNIT_ASSERT(instance.failureOf(waiting) == ErrorKind::UnknownService);
        instance.finish(filler, AttemptStatus::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, instance.output.completions.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueueTest);
