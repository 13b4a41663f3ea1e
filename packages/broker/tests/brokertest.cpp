#include "apricotrock/broker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

using namespace apricotrock;
using namespace apricotrock::broker;
using namespace std::chrono_literals;

namespace {

constexpr RouteKey route = 7;

/// A service with the servers 1 to \a count, with two slots each, whose leader has been this
/// instance for an hour.
struct ServiceFixture
{
    explicit ServiceFixture(unsigned count)
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

    AttemptRequest makeRequest(Duration target = 200ms, Duration deadline = 1200ms)
    {
        AttemptRequest request;
        request.key = {1, nextTicket++};
        request.route = route;
        request.objective = 200ms;
        request.target = now + target;
        request.deadline = now + deadline;
        return request;
    }

    void end(const Decision &decision, AttemptOutcome outcome, Duration duration = 60ms)
    {
        recordAttemptEnd(state, {decision.key, decision.server, outcome, std::nullopt, duration},
                         now);
    }

    /// Runs \a count requests of 60 ms one after the other, so that the work time is known.
    void learnWorkTime(unsigned count = 20)
    {
        for (unsigned i = 0; i < count; ++i) {
            const Decision decision = requestAttempt(state, makeRequest(), now);
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
    CPPUNIT_TEST(slowServerIsAvoidedAfterItsAnswers);
    CPPUNIT_TEST(requestWithEarliestTargetIsServedFirst);
    CPPUNIT_TEST(requestsThatCanMeetTheirTargetAreServedBeforeLateOnes);
    CPPUNIT_TEST(urgentRequestIsServedFirst);
    CPPUNIT_TEST(unservableRequestIsRefusedAtOnce);
    CPPUNIT_TEST(queueRefusesWhenFull);
    CPPUNIT_TEST(attemptLimitMaximizesThroughput);
    CPPUNIT_TEST(queuedLateRequestsAreLimited);
    CPPUNIT_TEST(lateRequestIsSentToASlowServer);
    CPPUNIT_TEST(untrackedLoadIsEstimatedFromReports);
    CPPUNIT_TEST(unreachableServerGetsNoAttempts);
    CPPUNIT_TEST(failingServerIsAvoided);
    CPPUNIT_TEST(hedgeNeedsFreeSlots);
    CPPUNIT_TEST(refusedHedgesAreRequestedLessAndLessOften);
    CPPUNIT_TEST(retriesStayWithinTheBudget);
    CPPUNIT_TEST(repeatedRequestGetsTheSameSlot);
    CPPUNIT_TEST(slotIsFreedAfterTheDeadlineWithoutAnEnd);
    CPPUNIT_TEST(newLeaderCountsReportedLoad);
    CPPUNIT_TEST(leavingServerGetsNoAttempts);
    CPPUNIT_TEST(releaseFreesASlotWhoseGrantWasLost);
    CPPUNIT_TEST(probesGoToServersWithoutFreshReports);
    CPPUNIT_TEST(requestThatCrashesServersIsQuarantined);
    CPPUNIT_TEST(lostAnswersWithoutACrashDoNotQuarantine);
    CPPUNIT_TEST(probesOfALargeServiceAreBounded);
    CPPUNIT_TEST(ownAvailabilityZoneIsPreferredAtEqualSpeed);
    CPPUNIT_TEST(longQueueIsNotProcessedAtEveryEvent);
    CPPUNIT_TEST(pausedServerIsLeftToOtherInstances);
    CPPUNIT_TEST(requestIsRefusedWhileAllServersArePaused);
    CPPUNIT_TEST(rejectionOfAServerWithRoomDoesNotPauseIt);
    CPPUNIT_TEST_SUITE_END();

public:
    // Pattern: servers answer 503 with Retry-After, which holds for one instance. Guards against
    // granting the instance their slots, and against keeping the slots from the others.
    void pausedServerIsLeftToOtherInstances()
    {
        ServiceFixture fixture(2);
        AttemptEnd end{{1, 99}, 1, AttemptOutcome::Cancelled, std::nullopt, {}};
        end.pause = 800ms;
        recordAttemptEnd(fixture.state, end, fixture.now);
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT_EQUAL(
                ServerKey(2),
                requestAttempt(fixture.state, fixture.makeRequest(), fixture.now).server);
        CPPUNIT_ASSERT(requestAttempt(fixture.state, fixture.makeRequest(), fixture.now).verdict
                       == Verdict::Queued);
        AttemptRequest other = fixture.makeRequest();
        other.key.instance = 2;
        requestAttempt(fixture.state, other, fixture.now);
        const auto decisions = processQueue(fixture.state, fixture.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decisions.size());
        CPPUNIT_ASSERT_EQUAL(ServerKey(1), decisions.front().server);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), decisions.front().key.instance);
        const auto later = processQueue(fixture.state, fixture.now + 800ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), later.size());
    }

    // Guards against requests that wait for servers which will not take them in time, and against a
    // Retry-After that ends before the pauses.
    void requestIsRefusedWhileAllServersArePaused()
    {
        ServiceFixture fixture(2);
        for (const ServerKey server : {1, 2}) {
            AttemptEnd end{{1, 99}, server, AttemptOutcome::Cancelled, std::nullopt, {}};
            end.pause = server * 2s;
            recordAttemptEnd(fixture.state, end, fixture.now);
        }
        const Decision decision = requestAttempt(fixture.state, fixture.makeRequest(), fixture.now);
        CPPUNIT_ASSERT(decision.reason == RefusalReason::ServersPaused);
        CPPUNIT_ASSERT(decision.retryAfter == Duration(2s));
        // A request whose deadline is after the end of a pause waits.
        CPPUNIT_ASSERT(
            requestAttempt(fixture.state, fixture.makeRequest(3s, 4s), fixture.now).verdict
            == Verdict::Queued);
    }

    // Guards against leaving slots unused because a server rejects some requests at random.
    void rejectionOfAServerWithRoomDoesNotPauseIt()
    {
        ServiceFixture fixture(1);
        for (const unsigned running : {0U, 2U}) {
            const Decision granted =
                requestAttempt(fixture.state, fixture.makeRequest(), fixture.now);
            recordAttemptEnd(fixture.state,
                             {granted.key, granted.server, AttemptOutcome::Rejected,
                              LoadReport{running, 0, 2, 1.0}, 3ms},
                             fixture.now);
            const Verdict expected = running == 0 ? Verdict::Granted : Verdict::Queued;
            const Decision next = requestAttempt(fixture.state, fixture.makeRequest(), fixture.now);
            CPPUNIT_ASSERT(next.verdict == expected);
            if (next.verdict == Verdict::Granted)
                fixture.end(next, AttemptOutcome::Answered);
        }
    }

    // Guards against sending two requests to one server while another one is idle.
    void idleServersAreFilledBeforeBusyOnes()
    {
        ServiceFixture fixture(4);
        std::set<ServerKey> used;
        for (int i = 0; i < 4; ++i)
            used.insert(requestAttempt(fixture.state, fixture.makeRequest(), fixture.now).server);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), used.size());
    }

    // Guards against more attempts than slots, which servers would reject or queue.
    void noServerGetsMoreAttemptsThanSlots()
    {
        ServiceFixture fixture(2);
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(requestAttempt(fixture.state, fixture.makeRequest(), fixture.now).verdict
                           == Verdict::Granted);
        CPPUNIT_ASSERT(requestAttempt(fixture.state, fixture.makeRequest(), fixture.now).verdict
                       == Verdict::Queued);
    }

    // Guards against sending requests to a machine that other load makes four times slower.
    void serverSlowedByNeighbourIsAvoided()
    {
        ServiceFixture fixture(3);
        fixture.learnWorkTime();
        learnLoad(fixture.state, 1, {0, 0, 2, 4.0}, fixture.now);
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT(requestAttempt(fixture.state, fixture.makeRequest(), fixture.now).server
                           != 1);
    }

    // Guards against sending requests to a slow server whose load report shows no slowdown.
    void slowServerIsAvoidedAfterItsAnswers()
    {
        ServiceFixture fixture(3);
        fixture.learnWorkTime(40);
        for (int i = 0; i < 3; ++i) {
            AttemptRequest request = fixture.makeRequest();
            request.excluded = {2, 3, 0};
            const Decision decision = requestAttempt(fixture.state, request, fixture.now);
            fixture.now += 400ms;
            fixture.end(decision, AttemptOutcome::Answered, 400ms);
        }
        for (ServerKey key = 1; key <= 3; ++key)
            learnLoad(fixture.state, key, {0, 0, 2, 1.0}, fixture.now);
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT(requestAttempt(fixture.state, fixture.makeRequest(), fixture.now).server
                           != 1);
    }

    // Guards against first-in, first-out order, which makes all requests of a burst late.
    void requestWithEarliestTargetIsServedFirst()
    {
        ServiceFixture fixture(1);
        fixture.learnWorkTime();
        const Decision first = requestAttempt(fixture.state, fixture.makeRequest(), fixture.now);
        requestAttempt(fixture.state, fixture.makeRequest(), fixture.now);
        const AttemptRequest longer = fixture.makeRequest(190ms);
        const AttemptRequest shorter = fixture.makeRequest(120ms);
        requestAttempt(fixture.state, longer, fixture.now);
        requestAttempt(fixture.state, shorter, fixture.now);
        fixture.now += 10ms;
        fixture.end(first, AttemptOutcome::Answered, 60ms);
        const auto decisions = processQueue(fixture.state, fixture.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decisions.size());
        CPPUNIT_ASSERT(decisions[0].key == shorter.key);
    }

    // Guards against late requests that take the slots of requests that can meet their target.
    void requestsThatCanMeetTheirTargetAreServedBeforeLateOnes()
    {
        ServiceFixture fixture(1);
        fixture.learnWorkTime();
        const Decision first = requestAttempt(fixture.state, fixture.makeRequest(), fixture.now);
        requestAttempt(fixture.state, fixture.makeRequest(), fixture.now);
        const AttemptRequest late = fixture.makeRequest(-10ms);
        const AttemptRequest inTime = fixture.makeRequest(190ms);
        requestAttempt(fixture.state, late, fixture.now);
        requestAttempt(fixture.state, inTime, fixture.now);
        fixture.end(first, AttemptOutcome::Answered, 60ms);
        const auto decisions = processQueue(fixture.state, fixture.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decisions.size());
        CPPUNIT_ASSERT(decisions[0].key == inTime.key);
    }

    // Guards against serving a request of lower priority first because its target is earlier.
    void urgentRequestIsServedFirst()
    {
        ServiceFixture fixture(1);
        fixture.learnWorkTime();
        const Decision first = requestAttempt(fixture.state, fixture.makeRequest(), fixture.now);
        requestAttempt(fixture.state, fixture.makeRequest(), fixture.now);
        AttemptRequest lessUrgent = fixture.makeRequest(120ms);
        lessUrgent.priority = 2;
        AttemptRequest urgent = fixture.makeRequest(190ms);
        urgent.priority = 1;
        requestAttempt(fixture.state, lessUrgent, fixture.now);
        requestAttempt(fixture.state, urgent, fixture.now);
        fixture.end(first, AttemptOutcome::Answered, 60ms);
        const auto decisions = processQueue(fixture.state, fixture.now);
        CPPUNIT_ASSERT(!decisions.empty());
        CPPUNIT_ASSERT(decisions[0].key == urgent.key);
    }

    // Guards against queueing a request that can't be answered before its deadline.
    void unservableRequestIsRefusedAtOnce()
    {
        ServiceFixture fixture(2);
        fixture.learnWorkTime();
        const Decision decision =
            requestAttempt(fixture.state, fixture.makeRequest(10ms, 30ms), fixture.now);
        CPPUNIT_ASSERT(decision.verdict == Verdict::Refused);
        CPPUNIT_ASSERT(decision.reason == RefusalReason::DeadlineUnmeetable);
        CPPUNIT_ASSERT(decision.retryAfter > 0ms);
    }

    // Guards against unbounded growth of the queue in a burst.
    void queueRefusesWhenFull()
    {
        ServiceFixture fixture(1);
        unsigned refused = 0;
        for (int i = 0; i < 100; ++i) {
            const Decision decision =
                requestAttempt(fixture.state, fixture.makeRequest(), fixture.now);
            refused += decision.reason == RefusalReason::QueueFull ? 1 : 0;
        }
        CPPUNIT_ASSERT(refused > 50);
    }

    // Guards against using all slots of servers that are much slower when they are full.
    void attemptLimitMaximizesThroughput()
    {
        ServiceFixture fixture(1);
        setServers(fixture.state, {{1, 4, true, {}, 0}});
        CPPUNIT_ASSERT_EQUAL(3U, attemptLimit(fixture.state, 4));
        fixture.state.occupancyFactors = {0, 0, 0, 0, 1.1};
        CPPUNIT_ASSERT_EQUAL(4U, attemptLimit(fixture.state, 4));
        fixture.state.occupancyFactors = {0, 0, 0, 0, 1.7};
        CPPUNIT_ASSERT_EQUAL(3U, attemptLimit(fixture.state, 4));
    }

    // Guards against a long queue of requests that miss their target in any case, in an overload.
    void queuedLateRequestsAreLimited()
    {
        ServiceFixture fixture(2);
        fixture.learnWorkTime();
        for (int i = 0; i < 4; ++i)
            requestAttempt(fixture.state, fixture.makeRequest(), fixture.now);
        unsigned queued = 0;
        for (int i = 0; i < 20; ++i)
            queued += requestAttempt(fixture.state, fixture.makeRequest(-10ms), fixture.now).verdict
                == Verdict::Queued;
        CPPUNIT_ASSERT(queued > 0);
        for (const Decision &decision : processQueue(fixture.state, fixture.now)) {
            CPPUNIT_ASSERT(decision.verdict == Verdict::Refused);
            --queued;
        }
        CPPUNIT_ASSERT(queued > 0);
        CPPUNIT_ASSERT(queued <= 2);
    }

    // Guards against leaving slots of a slow server free in an overload to wait for a faster one.
    void lateRequestIsSentToASlowServer()
    {
        ServiceFixture fixture(2);
        fixture.learnWorkTime();
        for (int i = 0; i < 4; ++i)
            requestAttempt(fixture.state, fixture.makeRequest(), fixture.now);
        setServers(fixture.state, {{1, 2, true, {}, 0}, {2, 2, true, {}, 0}, {3, 2, true, {}, 0}});
        learnLoad(fixture.state, 3, {0, 0, 2, 2.5}, fixture.now);
        const Decision decision =
            requestAttempt(fixture.state, fixture.makeRequest(-10ms), fixture.now);
        CPPUNIT_ASSERT(decision.verdict == Verdict::Granted);
        CPPUNIT_ASSERT_EQUAL(ServerKey(3), decision.server);
    }

    // Guards against overloading servers that also get requests from an instance which is
    // partitioned from the leader.
    void untrackedLoadIsEstimatedFromReports()
    {
        ServiceFixture fixture(2);
        fixture.learnWorkTime();
        AttemptRequest request = fixture.makeRequest();
        request.excluded = {2, 0, 0};
        const Decision decision = requestAttempt(fixture.state, request, fixture.now);
        recordAttemptEnd(
            fixture.state,
            {decision.key, 1, AttemptOutcome::Answered, LoadReport{3, 0, 2, 1.0}, 60ms},
            fixture.now);
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT_EQUAL(
                ServerKey(2),
                requestAttempt(fixture.state, fixture.makeRequest(), fixture.now).server);
        CPPUNIT_ASSERT(requestAttempt(fixture.state, fixture.makeRequest(), fixture.now).verdict
                       == Verdict::Queued);
    }

    // Guards against sending attempts to a crashed server, whose connections fail at once.
    void unreachableServerGetsNoAttempts()
    {
        ServiceFixture fixture(2);
        const Decision first = requestAttempt(fixture.state, fixture.makeRequest(), fixture.now);
        fixture.end(first, AttemptOutcome::ConnectFailed, 1ms);
        fixture.now += 50ms;
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT(requestAttempt(fixture.state, fixture.makeRequest(), fixture.now).server
                           != first.server);
    }

    // Guards against preferring a server that looks idle because it fails some requests at once.
    void failingServerIsAvoided()
    {
        ServiceFixture fixture(3);
        fixture.learnWorkTime();
        for (int i = 0; i < 6; ++i) {
            AttemptRequest request = fixture.makeRequest();
            request.excluded = {2, 3, 0};
            const Decision decision = requestAttempt(fixture.state, request, fixture.now);
            fixture.now += 2ms;
            fixture.end(decision, AttemptOutcome::Failed, 2ms);
        }
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT(requestAttempt(fixture.state, fixture.makeRequest(), fixture.now).server
                           != 1);
    }

    // Guards against hedges that take the slots of first attempts under load.
    void hedgeNeedsFreeSlots()
    {
        ServiceFixture fixture(2);
        fixture.learnWorkTime();
        AttemptRequest hedge = fixture.makeRequest();
        hedge.isHedge = true;
        hedge.earlierAttempts = 1;
        CPPUNIT_ASSERT(requestAttempt(fixture.state, hedge, fixture.now).verdict
                       == Verdict::Granted);
        for (int i = 0; i < 3; ++i)
            requestAttempt(fixture.state, fixture.makeRequest(), fixture.now);
        hedge = fixture.makeRequest();
        hedge.isHedge = true;
        hedge.earlierAttempts = 1;
        CPPUNIT_ASSERT(requestAttempt(fixture.state, hedge, fixture.now).verdict
                       == Verdict::Refused);
    }

    // Guards against calls that request a hedge at a fixed rate until their deadline: in an
    // overload, when attempts take longest, their requests then outnumber those of new calls.
    void refusedHedgesAreRequestedLessAndLessOften()
    {
        unsigned requests = 0;
        for (Duration waited = 0ms; waited < 2500ms; waited += hedgeRetryDelay(requests))
            ++requests;
        CPPUNIT_ASSERT_LESSEQUAL(7U, requests);
        CPPUNIT_ASSERT(hedgeRetryDelay(1) <= 50ms);
        CPPUNIT_ASSERT(hedgeRetryDelay(1000) < 5s);
    }

    // Guards against more retries in any window than the budget allows for all instances together.
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
            if (tryConsumeRetry(budget, policy, 1.0, now))
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

    // Guards against assigning two slots to one request whose first decision was lost.
    void repeatedRequestGetsTheSameSlot()
    {
        ServiceFixture fixture(2);
        const AttemptRequest request = fixture.makeRequest();
        const Decision first = requestAttempt(fixture.state, request, fixture.now);
        const Decision second = requestAttempt(fixture.state, request, fixture.now);
        CPPUNIT_ASSERT(second.verdict == Verdict::Granted);
        CPPUNIT_ASSERT_EQUAL(first.server, second.server);
    }

    // Guards against slots that stay taken after the instance that used them was killed.
    void slotIsFreedAfterTheDeadlineWithoutAnEnd()
    {
        ServiceFixture fixture(1);
        requestAttempt(fixture.state, fixture.makeRequest(200ms, 500ms), fixture.now);
        requestAttempt(fixture.state, fixture.makeRequest(200ms, 500ms), fixture.now);
        fixture.now += 1s;
        CPPUNIT_ASSERT(requestAttempt(fixture.state, fixture.makeRequest(), fixture.now).verdict
                       == Verdict::Granted);
    }

    // Guards against overload by a new leader, which doesn't know the attempts that are running.
    void newLeaderCountsReportedLoad()
    {
        ServiceFixture fixture(2);
        fixture.state.leadingSince = fixture.now;
        learnLoad(fixture.state, 1, {2, 0, 2, 1.0}, fixture.now);
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT_EQUAL(
                ServerKey(2),
                requestAttempt(fixture.state, fixture.makeRequest(), fixture.now).server);
        CPPUNIT_ASSERT(requestAttempt(fixture.state, fixture.makeRequest(), fixture.now).verdict
                       == Verdict::Queued);
    }

    // Guards against sending new requests to a draining server.
    void leavingServerGetsNoAttempts()
    {
        ServiceFixture fixture(2);
        setServers(fixture.state, {{1, 2, false, {}, 0}, {2, 2, true, {}, 0}});
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT_EQUAL(
                ServerKey(2),
                requestAttempt(fixture.state, fixture.makeRequest(), fixture.now).server);
        CPPUNIT_ASSERT(requestAttempt(fixture.state, fixture.makeRequest(), fixture.now).verdict
                       == Verdict::Queued);
    }

    // Guards against a slot that stays taken because the datagram that granted it was lost.
    void releaseFreesASlotWhoseGrantWasLost()
    {
        ServiceFixture fixture(1);
        const Decision first = requestAttempt(fixture.state, fixture.makeRequest(), fixture.now);
        requestAttempt(fixture.state, fixture.makeRequest(), fixture.now);
        release(fixture.state, {first.key, 0, AttemptOutcome::Cancelled, std::nullopt, {}},
                fixture.now);
        CPPUNIT_ASSERT(requestAttempt(fixture.state, fixture.makeRequest(), fixture.now).verdict
                       == Verdict::Granted);
    }

    // Guards against one request that crashes every server of its service.
    void requestThatCrashesServersIsQuarantined()
    {
        ServiceFixture fixture(6);
        std::set<ServerKey> crashed;
        for (int i = 0; i < 6; ++i) {
            AttemptRequest request = fixture.makeRequest();
            request.fingerprint = 99;
            const Decision decision = requestAttempt(fixture.state, request, fixture.now);
            if (decision.verdict == Verdict::Refused) {
                CPPUNIT_ASSERT(decision.reason == RefusalReason::Quarantined);
                continue;
            }
            crashed.insert(decision.server);
            fixture.now += 20ms;
            fixture.end(decision, AttemptOutcome::Lost, 20ms);
            fixture.now += 50ms;
            recordProbeFailure(fixture.state, decision.server, fixture.now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), crashed.size());
        AttemptRequest other = fixture.makeRequest();
        other.fingerprint = 98;
        CPPUNIT_ASSERT(requestAttempt(fixture.state, other, fixture.now).verdict
                       == Verdict::Granted);
    }

    // Guards against quarantining a common request because connections to servers that continue to
    // run are lost.
    void lostAnswersWithoutACrashDoNotQuarantine()
    {
        ServiceFixture fixture(6);
        for (int i = 0; i < 12; ++i) {
            AttemptRequest request = fixture.makeRequest();
            request.fingerprint = 99;
            const Decision decision = requestAttempt(fixture.state, request, fixture.now);
            CPPUNIT_ASSERT(decision.verdict == Verdict::Granted);
            fixture.now += 20ms;
            fixture.end(decision, AttemptOutcome::Lost, 20ms);
        }
    }

    // Guards against probes that use up the processor of the leader of a large service.
    void probesOfALargeServiceAreBounded()
    {
        ServiceFixture fixture(200);
        std::size_t probes = 0;
        for (int i = 0; i < 1000; ++i) {
            fixture.now += 1ms;
            probes += takeDueProbes(fixture.state, fixture.now).size();
        }
        CPPUNIT_ASSERT(probes <= 400);
        CPPUNIT_ASSERT(probes >= 200);
    }

    // Guards against traffic between availability zones that makes no request faster.
    void ownAvailabilityZoneIsPreferredAtEqualSpeed()
    {
        ServiceFixture fixture(3);
        fixture.learnWorkTime();
        setServers(fixture.state, {{1, 2, true, {}, 5}, {2, 2, true, {}, 6}, {3, 2, true, {}, 5}});
        AttemptRequest request = fixture.makeRequest();
        request.zone = 6;
        CPPUNIT_ASSERT_EQUAL(ServerKey(2),
                             requestAttempt(fixture.state, request, fixture.now).server);
        learnLoad(fixture.state, 2, {0, 0, 2, 4.0}, fixture.now);
        request = fixture.makeRequest();
        request.zone = 6;
        CPPUNIT_ASSERT(requestAttempt(fixture.state, request, fixture.now).server != 2);
    }

    // Guards against probes that are more frequent than the interval, and against servers that are
    // never probed.
    void probesGoToServersWithoutFreshReports()
    {
        ServiceFixture fixture(3);
        CPPUNIT_ASSERT(takeDueProbes(fixture.state, fixture.now).empty());
        fixture.now += fixture.state.policy.probeInterval + 1ms;
        learnLoad(fixture.state, 1, {0, 0, 2, 1.0}, fixture.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), takeDueProbes(fixture.state, fixture.now).size());
        CPPUNIT_ASSERT(takeDueProbes(fixture.state, fixture.now).empty());
    }

    // Guards against a leader that stops responding in a burst, because the cost of each event
    // grows with the queue. The load is 500 requests in 50 ms for 80 slots.
    void longQueueIsNotProcessedAtEveryEvent()
    {
        ServiceFixture fixture(40);
        fixture.learnWorkTime();
        unsigned passes = 0;
        for (int i = 0; i < 500; ++i) {
            fixture.now += 100us;
            const Decision decision =
                requestAttempt(fixture.state, fixture.makeRequest(1s, 2s), fixture.now);
            if (decision.verdict != Verdict::Queued || !isQueuePassDue(fixture.state, fixture.now))
                continue;
            processQueue(fixture.state, fixture.now);
            ++passes;
        }
        CPPUNIT_ASSERT(fixture.state.queue.size() > 300);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(passes), passes < 50);
        // A short queue is processed at every event.
        fixture.state.queue.resize(5);
        CPPUNIT_ASSERT(isQueuePassDue(fixture.state, fixture.now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokerTest);
