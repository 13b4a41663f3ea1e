#include "apricotrock/broker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

using namespace apricotrock;
using namespace apricotrock::broker;
using namespace std::chrono_literals;

namespace {

constexpr RouteKey route = 7;

/// A service with servers 1 to \a count of two slots, led by this instance for a long time.
struct Bench
{
    explicit Bench(unsigned count)
    {
        std::vector<ServerInfo> servers;
        for (unsigned i = 1; i <= count; ++i)
            servers.push_back({i, 2, true, {}, 0});
        state.policy.retrySlack = 56;
        state.isLeading = true;
        state.leadingSince = now - 1h;
        setServers(state, servers);
        for (unsigned i = 1; i <= count; ++i)
            learnLoad(state, i, {0, 0, 2, 1.0}, now);
    }

    Ask makeAsk(Duration target = 200ms, Duration deadline = 1200ms)
    {
        Ask request;
        request.key = {1, nextTicket++};
        request.route = route;
        request.objective = 200ms;
        request.target = now + target;
        request.deadline = now + deadline;
        return request;
    }

    void end(const Decision &decision, AttemptOutcome outcome, Duration duration = 60ms)
    {
        finish(state, {decision.key, decision.server, outcome, std::nullopt, duration}, now);
    }

    /// Lets \a count requests of 60 ms run one after the other, so that work times are known.
    void learnWork(unsigned count = 20)
    {
        for (unsigned i = 0; i < count; ++i) {
            const Decision decision = ask(state, makeAsk(), now);
            now += 60ms;
            end(decision, AttemptOutcome::Answered);
        }
        for (auto &[key, server] : state.servers)
            learnLoad(state, key, {0, 0, 2, 1.0}, now);
    }

    TimePoint now{1h};
    ServiceState state;
    std::uint64_t nextTicket = 1;
};

} // namespace

class BrokerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BrokerTest);
    CPPUNIT_TEST(idleServersAreFilledBeforeBusyOnes);
    CPPUNIT_TEST(noServerGetsMoreAttemptsThanSlots);
    CPPUNIT_TEST(serverSlowedByNeighbourIsAvoided);
    CPPUNIT_TEST(straggerIsAvoidedAfterItsAnswers);
    CPPUNIT_TEST(requestWithLeastTimeGoesFirst);
    CPPUNIT_TEST(lateRequestsWaitBehindThoseInTime);
    CPPUNIT_TEST(urgentKindGoesFirst);
    CPPUNIT_TEST(unservableRequestIsRefusedAtOnce);
    CPPUNIT_TEST(queueRefusesWhenFull);
    CPPUNIT_TEST(limitIsWhereMostAnswersCome);
    CPPUNIT_TEST(lateRequestsBeyondAFewAreRefusedAtOnce);
    CPPUNIT_TEST(lateRequestTakesASlowServer);
    CPPUNIT_TEST(loadOfOthersIsReadFromReports);
    CPPUNIT_TEST(unreachableServerGetsNoAttempts);
    CPPUNIT_TEST(failingServerIsAvoided);
    CPPUNIT_TEST(hedgeNeedsFreeSlots);
    CPPUNIT_TEST(retriesStayWithinTheBudget);
    CPPUNIT_TEST(repeatedAskGetsTheSameSlot);
    CPPUNIT_TEST(lostEndFreesTheSlotAfterTheDeadline);
    CPPUNIT_TEST(newLeaderReadsForeignLoadFromReports);
    CPPUNIT_TEST(leavingServerGetsNoAttempts);
    CPPUNIT_TEST(releaseFreesASlotWhoseGrantWasLost);
    CPPUNIT_TEST(probesGoToServersWithoutFreshReports);
    CPPUNIT_TEST(requestThatCrashesServersIsQuarantined);
    CPPUNIT_TEST(lostAnswersAloneQuarantineNothing);
    CPPUNIT_TEST(probesOfALargeServiceAreBounded);
    CPPUNIT_TEST(ownZoneIsPreferredWhileItIsAsFast);
    CPPUNIT_TEST(longQueueIsNotLookedThroughAtEveryEvent);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two requests on one server while another one is idle.
    void idleServersAreFilledBeforeBusyOnes()
    {
        Bench bench(4);
        std::set<ServerKey> used;
        for (int i = 0; i < 4; ++i)
            used.insert(ask(bench.state, bench.makeAsk(), bench.now).server);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), used.size());
    }

    // Guards against rejections and queues at the servers.
    void noServerGetsMoreAttemptsThanSlots()
    {
        Bench bench(2);
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(ask(bench.state, bench.makeAsk(), bench.now).verdict
                           == Verdict::Granted);
        CPPUNIT_ASSERT(ask(bench.state, bench.makeAsk(), bench.now).verdict == Verdict::Queued);
    }

    // Guards against work on a machine whose neighbour makes it four times slower.
    void serverSlowedByNeighbourIsAvoided()
    {
        Bench bench(3);
        bench.learnWork();
        learnLoad(bench.state, 1, {0, 0, 2, 4.0}, bench.now);
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT(ask(bench.state, bench.makeAsk(), bench.now).server != 1);
    }

    // Guards against a straggler whose load report says nothing.
    void straggerIsAvoidedAfterItsAnswers()
    {
        Bench bench(3);
        bench.learnWork(40);
        for (int i = 0; i < 3; ++i) {
            Ask request = bench.makeAsk();
            request.excluded = {2, 3, 0};
            const Decision decision = ask(bench.state, request, bench.now);
            bench.now += 400ms;
            bench.end(decision, AttemptOutcome::Answered, 400ms);
        }
        for (ServerKey key = 1; key <= 3; ++key)
            learnLoad(bench.state, key, {0, 0, 2, 1.0}, bench.now);
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT(ask(bench.state, bench.makeAsk(), bench.now).server != 1);
    }

    // Guards against first come, first served, which makes everybody late in a burst.
    void requestWithLeastTimeGoesFirst()
    {
        Bench bench(1);
        bench.learnWork();
        const Decision first = ask(bench.state, bench.makeAsk(), bench.now);
        ask(bench.state, bench.makeAsk(), bench.now);
        const Ask patient = bench.makeAsk(190ms);
        const Ask hurried = bench.makeAsk(120ms);
        ask(bench.state, patient, bench.now);
        ask(bench.state, hurried, bench.now);
        bench.now += 10ms;
        bench.end(first, AttemptOutcome::Answered, 60ms);
        const auto decisions = advance(bench.state, bench.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decisions.size());
        CPPUNIT_ASSERT(decisions[0].key == hurried.key);
    }

    // Guards against requests that are late already taking the slots of those that are not.
    void lateRequestsWaitBehindThoseInTime()
    {
        Bench bench(1);
        bench.learnWork();
        const Decision first = ask(bench.state, bench.makeAsk(), bench.now);
        ask(bench.state, bench.makeAsk(), bench.now);
        const Ask late = bench.makeAsk(-10ms);
        const Ask inTime = bench.makeAsk(190ms);
        ask(bench.state, late, bench.now);
        ask(bench.state, inTime, bench.now);
        bench.end(first, AttemptOutcome::Answered, 60ms);
        const auto decisions = advance(bench.state, bench.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decisions.size());
        CPPUNIT_ASSERT(decisions[0].key == inTime.key);
    }

    // Guards against the less urgent kind of a service being served more often.
    void urgentKindGoesFirst()
    {
        Bench bench(1);
        bench.learnWork();
        const Decision first = ask(bench.state, bench.makeAsk(), bench.now);
        ask(bench.state, bench.makeAsk(), bench.now);
        Ask lessUrgent = bench.makeAsk(120ms);
        lessUrgent.priority = 2;
        Ask urgent = bench.makeAsk(190ms);
        urgent.priority = 1;
        ask(bench.state, lessUrgent, bench.now);
        ask(bench.state, urgent, bench.now);
        bench.end(first, AttemptOutcome::Answered, 60ms);
        const auto decisions = advance(bench.state, bench.now);
        CPPUNIT_ASSERT(!decisions.empty());
        CPPUNIT_ASSERT(decisions[0].key == urgent.key);
    }

    // Guards against holding a request until its deadline passes.
    void unservableRequestIsRefusedAtOnce()
    {
        Bench bench(2);
        bench.learnWork();
        const Decision decision = ask(bench.state, bench.makeAsk(10ms, 30ms), bench.now);
        CPPUNIT_ASSERT(decision.verdict == Verdict::Refused);
        CPPUNIT_ASSERT(decision.reason == RefusalReason::DeadlineUnmeetable);
        CPPUNIT_ASSERT(decision.retryAfter > 0ms);
    }

    // Guards against a queue that grows without bound in a burst.
    void queueRefusesWhenFull()
    {
        Bench bench(1);
        unsigned refused = 0;
        for (int i = 0; i < 100; ++i) {
            const Decision decision = ask(bench.state, bench.makeAsk(), bench.now);
            refused += decision.reason == RefusalReason::QueueFull ? 1 : 0;
        }
        CPPUNIT_ASSERT(refused > 50);
    }

    // Guards against filling every slot of servers that become much slower when they are full.
    void limitIsWhereMostAnswersCome()
    {
        Bench bench(1);
        setServers(bench.state, {{1, 4, true, {}, 0}});
        CPPUNIT_ASSERT_EQUAL(3U, attemptLimit(bench.state, 4));
        bench.state.occupancyFactors = {0, 0, 0, 0, 1.1};
        CPPUNIT_ASSERT_EQUAL(4U, attemptLimit(bench.state, 4));
        bench.state.occupancyFactors = {0, 0, 0, 0, 1.7};
        CPPUNIT_ASSERT_EQUAL(3U, attemptLimit(bench.state, 4));
    }

    // Guards against holding many requests in an overload that are late in any case.
    void lateRequestsBeyondAFewAreRefusedAtOnce()
    {
        Bench bench(2);
        bench.learnWork();
        for (int i = 0; i < 4; ++i)
            ask(bench.state, bench.makeAsk(), bench.now);
        unsigned queued = 0;
        for (int i = 0; i < 20; ++i)
            queued += ask(bench.state, bench.makeAsk(-10ms), bench.now).verdict == Verdict::Queued;
        CPPUNIT_ASSERT(queued > 0);
        for (const Decision &decision : advance(bench.state, bench.now)) {
            CPPUNIT_ASSERT(decision.verdict == Verdict::Refused);
            --queued;
        }
        CPPUNIT_ASSERT(queued > 0);
        CPPUNIT_ASSERT(queued <= 2);
    }

    // Guards against slots that stay free in an overload because a faster server is busy.
    void lateRequestTakesASlowServer()
    {
        Bench bench(2);
        bench.learnWork();
        for (int i = 0; i < 4; ++i)
            ask(bench.state, bench.makeAsk(), bench.now);
        setServers(bench.state, {{1, 2, true, {}, 0}, {2, 2, true, {}, 0}, {3, 2, true, {}, 0}});
        learnLoad(bench.state, 3, {0, 0, 2, 2.5}, bench.now);
        const Decision decision = ask(bench.state, bench.makeAsk(-10ms), bench.now);
        CPPUNIT_ASSERT(decision.verdict == Verdict::Granted);
        CPPUNIT_ASSERT_EQUAL(ServerKey(3), decision.server);
    }

    // Guards against full servers while an instance that is cut off sends to them as well.
    void loadOfOthersIsReadFromReports()
    {
        Bench bench(2);
        bench.learnWork();
        Ask request = bench.makeAsk();
        request.excluded = {2, 0, 0};
        const Decision decision = ask(bench.state, request, bench.now);
        finish(bench.state,
               {decision.key, 1, AttemptOutcome::Answered, LoadReport{3, 0, 2, 1.0}, 60ms},
               bench.now);
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT_EQUAL(ServerKey(2), ask(bench.state, bench.makeAsk(), bench.now).server);
        CPPUNIT_ASSERT(ask(bench.state, bench.makeAsk(), bench.now).verdict == Verdict::Queued);
    }

    // Guards against attempts on a crashed server, whose connections fail fast.
    void unreachableServerGetsNoAttempts()
    {
        Bench bench(2);
        const Decision first = ask(bench.state, bench.makeAsk(), bench.now);
        bench.end(first, AttemptOutcome::ConnectFailed, 1ms);
        bench.now += 50ms;
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT(ask(bench.state, bench.makeAsk(), bench.now).server != first.server);
    }

    // Guards against a server that fails a part of its requests at once and so looks idle.
    void failingServerIsAvoided()
    {
        Bench bench(3);
        bench.learnWork();
        for (int i = 0; i < 6; ++i) {
            Ask request = bench.makeAsk();
            request.excluded = {2, 3, 0};
            const Decision decision = ask(bench.state, request, bench.now);
            bench.now += 2ms;
            bench.end(decision, AttemptOutcome::Failed, 2ms);
        }
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT(ask(bench.state, bench.makeAsk(), bench.now).server != 1);
    }

    // Guards against hedges that take slots from first attempts under load.
    void hedgeNeedsFreeSlots()
    {
        Bench bench(2);
        bench.learnWork();
        Ask hedge = bench.makeAsk();
        hedge.isHedge = true;
        hedge.earlierAttempts = 1;
        CPPUNIT_ASSERT(ask(bench.state, hedge, bench.now).verdict == Verdict::Granted);
        for (int i = 0; i < 3; ++i)
            ask(bench.state, bench.makeAsk(), bench.now);
        hedge = bench.makeAsk();
        hedge.isHedge = true;
        hedge.earlierAttempts = 1;
        CPPUNIT_ASSERT(ask(bench.state, hedge, bench.now).verdict == Verdict::Refused);
    }

    // Guards against more retries in any window than the fleet may make together.
    void retriesStayWithinTheBudget()
    {
        Policy policy;
        policy.retrySlack = 20;
        RetryBudget budget;
        TimePoint now{1h};
        std::vector<TimePoint> requests;
        std::vector<TimePoint> retries;
        for (int i = 0; i < 4000; ++i) {
            now += 10ms;
            if (i % 4 == 0) {
                countRequest(budget, policy, now);
                requests.push_back(now);
            }
            if (takeRetry(budget, policy, 1.0, now))
                retries.push_back(now);
        }
        for (const TimePoint start : retries) {
            const auto inWindow = [start](TimePoint at) { return at >= start && at < start + 10s; };
            const auto sent = std::count_if(retries.begin(), retries.end(), inWindow);
            const auto asked = std::count_if(requests.begin(), requests.end(), inWindow);
            if (start + 10s <= now)
                CPPUNIT_ASSERT(static_cast<double>(sent) <= 0.2 * static_cast<double>(asked) + 20);
        }
        CPPUNIT_ASSERT(retries.size() > 100);
    }

    // Guards against two slots for one request whose first answer was lost on the way.
    void repeatedAskGetsTheSameSlot()
    {
        Bench bench(2);
        const Ask request = bench.makeAsk();
        const Decision first = ask(bench.state, request, bench.now);
        const Decision second = ask(bench.state, request, bench.now);
        CPPUNIT_ASSERT(second.verdict == Verdict::Granted);
        CPPUNIT_ASSERT_EQUAL(first.server, second.server);
    }

    // Guards against slots that stay taken after the instance that used them was killed.
    void lostEndFreesTheSlotAfterTheDeadline()
    {
        Bench bench(1);
        ask(bench.state, bench.makeAsk(200ms, 500ms), bench.now);
        ask(bench.state, bench.makeAsk(200ms, 500ms), bench.now);
        bench.now += 1s;
        CPPUNIT_ASSERT(ask(bench.state, bench.makeAsk(), bench.now).verdict == Verdict::Granted);
    }

    // Guards against overload by an instance that has just taken over and knows no attempts.
    void newLeaderReadsForeignLoadFromReports()
    {
        Bench bench(2);
        bench.state.leadingSince = bench.now;
        learnLoad(bench.state, 1, {2, 0, 2, 1.0}, bench.now);
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT_EQUAL(ServerKey(2), ask(bench.state, bench.makeAsk(), bench.now).server);
        CPPUNIT_ASSERT(ask(bench.state, bench.makeAsk(), bench.now).verdict == Verdict::Queued);
    }

    // Guards against new work for a server that is leaving.
    void leavingServerGetsNoAttempts()
    {
        Bench bench(2);
        setServers(bench.state, {{1, 2, false, {}, 0}, {2, 2, true, {}, 0}});
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT_EQUAL(ServerKey(2), ask(bench.state, bench.makeAsk(), bench.now).server);
        CPPUNIT_ASSERT(ask(bench.state, bench.makeAsk(), bench.now).verdict == Verdict::Queued);
    }

    // Guards against a slot that is lost together with the datagram that granted it.
    void releaseFreesASlotWhoseGrantWasLost()
    {
        Bench bench(1);
        const Decision first = ask(bench.state, bench.makeAsk(), bench.now);
        ask(bench.state, bench.makeAsk(), bench.now);
        release(bench.state, {first.key, 0, AttemptOutcome::Cancelled, std::nullopt, {}},
                bench.now);
        CPPUNIT_ASSERT(ask(bench.state, bench.makeAsk(), bench.now).verdict == Verdict::Granted);
    }

    // Guards against one request that takes down every server of its service.
    void requestThatCrashesServersIsQuarantined()
    {
        Bench bench(6);
        std::set<ServerKey> crashed;
        for (int i = 0; i < 6; ++i) {
            Ask request = bench.makeAsk();
            request.fingerprint = 99;
            const Decision decision = ask(bench.state, request, bench.now);
            if (decision.verdict == Verdict::Refused) {
                CPPUNIT_ASSERT(decision.reason == RefusalReason::Quarantined);
                continue;
            }
            crashed.insert(decision.server);
            bench.now += 20ms;
            bench.end(decision, AttemptOutcome::Lost, 20ms);
            bench.now += 50ms;
            learnProbeFailure(bench.state, decision.server, bench.now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), crashed.size());
        Ask other = bench.makeAsk();
        other.fingerprint = 98;
        CPPUNIT_ASSERT(ask(bench.state, other, bench.now).verdict == Verdict::Granted);
    }

    // Guards against refusing a common request because servers lose answers but go on running.
    void lostAnswersAloneQuarantineNothing()
    {
        Bench bench(6);
        for (int i = 0; i < 12; ++i) {
            Ask request = bench.makeAsk();
            request.fingerprint = 99;
            const Decision decision = ask(bench.state, request, bench.now);
            CPPUNIT_ASSERT(decision.verdict == Verdict::Granted);
            bench.now += 20ms;
            bench.end(decision, AttemptOutcome::Lost, 20ms);
        }
    }

    // Guards against probes that take the processor of the instance which keeps many slots.
    void probesOfALargeServiceAreBounded()
    {
        Bench bench(200);
        std::size_t probes = 0;
        for (int i = 0; i < 1000; ++i) {
            bench.now += 1ms;
            probes += takeDueProbes(bench.state, bench.now).size();
        }
        CPPUNIT_ASSERT(probes <= 400);
        CPPUNIT_ASSERT(probes >= 200);
    }

    // Guards against bytes between availability zones that save nobody time.
    void ownZoneIsPreferredWhileItIsAsFast()
    {
        Bench bench(3);
        bench.learnWork();
        setServers(bench.state, {{1, 2, true, {}, 5}, {2, 2, true, {}, 6}, {3, 2, true, {}, 5}});
        Ask request = bench.makeAsk();
        request.zone = 6;
        CPPUNIT_ASSERT_EQUAL(ServerKey(2), ask(bench.state, request, bench.now).server);
        learnLoad(bench.state, 2, {0, 0, 2, 4.0}, bench.now);
        request = bench.makeAsk();
        request.zone = 6;
        CPPUNIT_ASSERT(ask(bench.state, request, bench.now).server != 2);
    }

    // Guards against probes beyond the interval, and against servers that nobody looks at.
    void probesGoToServersWithoutFreshReports()
    {
        Bench bench(3);
        CPPUNIT_ASSERT(takeDueProbes(bench.state, bench.now).empty());
        bench.now += bench.state.policy.probeInterval + 1ms;
        learnLoad(bench.state, 1, {0, 0, 2, 1.0}, bench.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), takeDueProbes(bench.state, bench.now).size());
        CPPUNIT_ASSERT(takeDueProbes(bench.state, bench.now).empty());
    }

    // Guards against a holder that falls silent in a burst, because its cost for each event grows
    // with the waiting asks. The pattern is 500 asks in 50 ms for 80 slots.
    void longQueueIsNotLookedThroughAtEveryEvent()
    {
        Bench bench(40);
        bench.learnWork();
        unsigned passes = 0;
        for (int i = 0; i < 500; ++i) {
            bench.now += 100us;
            const Decision decision = ask(bench.state, bench.makeAsk(1s, 2s), bench.now);
            if (decision.verdict != Verdict::Queued || !isAdvanceDue(bench.state, bench.now))
                continue;
            advance(bench.state, bench.now);
            ++passes;
        }
        CPPUNIT_ASSERT(bench.state.queue.size() > 300);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(passes), passes < 50);
        // A short queue is served at once.
        bench.state.queue.resize(5);
        CPPUNIT_ASSERT(isAdvanceDue(bench.state, bench.now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokerTest);
