#include "fixture.h"

#include <random>

using namespace apricotrock;
using namespace apricotrock::routing;
using namespace apricotrock::routing::test;

class AttemptTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AttemptTest);
    CPPUNIT_TEST(actionHasOneAttemptAtATime);
    CPPUNIT_TEST(uncertainActionIsNotRepeated);
    CPPUNIT_TEST(actionIsRepeatedAfterProofThatItDidNotRun);
    CPPUNIT_TEST(lateAndDuplicateResultsAreIgnored);
    CPPUNIT_TEST(lookupAnswerWithServerErrorIsDelivered);
    CPPUNIT_TEST(lookupLeavesTimeForASecondAttempt);
    CPPUNIT_TEST(isolatedRequestRunsAlone);
    CPPUNIT_TEST(cancelTellsWhetherTheRequestStarted);
    CPPUNIT_TEST(connectionsPerServerStayWithinTheShare);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an action that runs twice, and against requests that end twice or never, under
    // random faults.
    void actionHasOneAttemptAtATime()
    {
        std::mt19937_64 random(7);
        Policy policy = defaultPolicy("p");
        policy.retryBudget = 1;
        policy.hedgeQuantile = 0.5;
        policy.hedgeBudget = 1;
        policy.ejectionFailures = 1000;
        Instance instance(makeConfiguration(6, policy));
        std::map<RequestId, RequestClass> classes;
        std::map<AttemptId, RequestId> running;
        std::map<RequestId, AttemptStatus> lastStatus;
        std::size_t seenStarts = 0;
        std::size_t seenCancels = 0;
        std::size_t repeated = 0;
        const auto processOutput = [&] {
            for (; seenCancels < instance.output.cancels.size(); ++seenCancels)
                running.erase(instance.output.cancels[seenCancels]);
            for (; seenStarts < instance.output.starts.size(); ++seenStarts) {
                const AttemptStart start = instance.output.starts[seenStarts];
                if (classes[start.request] == action) {
                    CPPUNIT_ASSERT(start.useNewConnection);
                    for (const auto &[attempt, request] : running)
                        CPPUNIT_ASSERT(request != start.request);
                    if (lastStatus.contains(start.request)) {
                        const AttemptStatus status = lastStatus[start.request];
                        CPPUNIT_ASSERT(status == AttemptStatus::ConnectFailed
                                       || status == AttemptStatus::Shed);
                        ++repeated;
                    }
                }
                running[start.attempt] = start.request;
            }
        };
        for (int i = 0; i < 4000; ++i) {
            const RequestClass requestClass = random() % 2 == 0 ? action : lookup;
            classes[static_cast<RequestId>(i) + 1] = requestClass;
            instance.submit(requestClass, 100ms);
            processOutput();
            instance.advanceBy(std::chrono::microseconds(random() % 6000));
            processOutput();
            while (running.size() > random() % 6) {
                auto ended = running.begin();
                std::advance(ended, static_cast<std::ptrdiff_t>(random() % running.size()));
                const auto status = static_cast<AttemptStatus>(random() % 7);
                const AttemptId attempt = ended->first;
                lastStatus[ended->second] = status;
                running.erase(ended);
                instance.finish(attempt, status, random() % 4 == 0 ? 503 : 200);
                processOutput();
            }
        }
        while (!running.empty()) {
            const AttemptId attempt = running.begin()->first;
            lastStatus[running.begin()->second] = AttemptStatus::Answered;
            running.erase(running.begin());
            instance.finish(attempt, AttemptStatus::Answered);
            processOutput();
        }
        instance.advanceBy(200ms);
        CPPUNIT_ASSERT(repeated > 0);
        CPPUNIT_ASSERT(instance.count(Counter::HedgeStarted) > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, activeRequests(*instance.state));
        std::map<RequestId, int> ends;
        for (const auto &[request, attempt] : instance.output.completions)
            ++ends[request];
        for (const RequestFailure &failure : instance.output.failures)
            ++ends[failure.request];
        for (const auto &[request, requestClass] : classes)
            CPPUNIT_ASSERT_EQUAL(1, ends[request]);
    }

    // Guards against repeating an action, such as a reorder, after an attempt that may have run.
    void uncertainActionIsNotRepeated()
    {
        const std::pair<AttemptStatus, ErrorKind> cases[] = {
            {AttemptStatus::Timeout, ErrorKind::BackendTimeout},
            {AttemptStatus::ConnectionLost, ErrorKind::BackendConnectionLost},
            {AttemptStatus::AnswerInvalid, ErrorKind::BackendAnswerInvalid},
        };
        for (const auto &[status, kind] : cases) {
            Instance instance(makeConfiguration(3, defaultPolicy("p")));
            const RequestId request = instance.submit(action);
            instance.finish(instance.lastStart().attempt, status);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, instance.startsOf(request).size());
            CPPUNIT_ASSERT(instance.failureOf(request) == kind);
        }
    }

    // Guards against actions that are lost because one backend server is down or full.
    void actionIsRepeatedAfterProofThatItDidNotRun()
    {
        for (const AttemptStatus status : {AttemptStatus::ConnectFailed, AttemptStatus::Shed}) {
            Instance instance(makeConfiguration(3, defaultPolicy("p")));
            const RequestId request = instance.submit(action);
            instance.finish(instance.lastStart().attempt, status);
            const auto starts = instance.startsOf(request);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, starts.size());
            CPPUNIT_ASSERT(starts[0].backendServer != starts[1].backendServer);
        }
    }

    // Guards against a late or duplicate result that ends another request or releases a slot twice.
    void lateAndDuplicateResultsAreIgnored()
    {
        Instance instance(makeConfiguration(1, defaultPolicy("p")));
        const RequestId request = instance.submit();
        const AttemptStart start = instance.lastStart();
        instance.finish(start.attempt, AttemptStatus::Answered);
        instance.submit();
        instance.finish(start.attempt, AttemptStatus::Answered);
        instance.finish(start.attempt + 100, AttemptStatus::Timeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, instance.endsOf(request));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, instance.statusOf("b0").outstanding);
    }

    // Guards against discarding an error answer, and against retrying a 500 whose retry would give
    // the same answer.
    void lookupAnswerWithServerErrorIsDelivered()
    {
        Policy policy = defaultPolicy("p");
        Instance withBudget(makeConfiguration(3, policy));
        const RequestId plainError = withBudget.submit();
        withBudget.finish(withBudget.lastStart().attempt, AttemptStatus::Answered, 500);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, withBudget.output.completions.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, withBudget.startsOf(plainError).size());
        const RequestId gatewayError = withBudget.submit();
        withBudget.finish(withBudget.lastStart().attempt, AttemptStatus::Answered, 503);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, withBudget.startsOf(gatewayError).size());
        policy.retryBudget = 0;
        Instance withoutBudget(makeConfiguration(3, policy));
        withoutBudget.submit();
        withoutBudget.finish(withoutBudget.lastStart().attempt, AttemptStatus::Answered, 503);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, withoutBudget.output.completions.size());
    }

    // Guards against an unresponsive connection that uses up the time until the deadline of a
    // lookup.
    void lookupLeavesTimeForASecondAttempt()
    {
        Instance instance(makeConfiguration(3, defaultPolicy("p")));
        const RequestId request = instance.submit(lookup, 1s);
        const AttemptStart start = instance.lastStart();
        CPPUNIT_ASSERT(start.deadline <= instance.now + 500ms);
        instance.now = start.deadline;
        instance.finish(start.attempt, AttemptStatus::Timeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, instance.startsOf(request).size());
    }

    // Guards against running other requests beside one that is suspected of crashing servers.
    void isolatedRequestRunsAlone()
    {
        Instance instance(makeConfiguration(1, defaultPolicy("p")));
        const RequestId before = instance.submit();
        const RequestId isolated = instance.submitIsolated();
        const RequestId after = instance.submit();
        CPPUNIT_ASSERT(instance.startsOf(isolated).empty());
        CPPUNIT_ASSERT(instance.startsOf(after).empty());
        instance.finish(instance.startsOf(before)[0].attempt, AttemptStatus::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, instance.startsOf(isolated).size());
        CPPUNIT_ASSERT(instance.startsOf(after).empty());
        instance.finish(instance.startsOf(isolated)[0].attempt, AttemptStatus::Answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, instance.startsOf(after).size());
    }

    // Guards against reporting "not run" for a request that was started.
    void cancelTellsWhetherTheRequestStarted()
    {
        Instance instance(makeConfiguration(1, defaultPolicy("p"), 1));
        const RequestId started = instance.submit();
        const RequestId waiting = instance.submit();
        CPPUNIT_ASSERT(cancelRequest(*instance.state, waiting, instance.now, instance.output));
        CPPUNIT_ASSERT(!cancelRequest(*instance.state, started, instance.now, instance.output));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, instance.output.cancels.size());
    }

    // Guards against more connections than a backend server accepts from all instances together.
    void connectionsPerServerStayWithinTheShare()
    {
        Policy policy = defaultPolicy("p");
        policy.algorithm = PolicyAlgorithm::Random;
        Instance instance(makeConfiguration(2, policy));
        for (int i = 0; i < 60; ++i)
            instance.submit();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, instance.statusOf("b0").outstanding);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, instance.statusOf("b1").outstanding);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptTest);
