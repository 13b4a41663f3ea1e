#include "apricotrock/broker.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::broker;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t fingerprint = 99;

/// A service whose servers crash when they run a request with the fingerprint.
struct CrashFixture
{
    CrashFixture()
    {
        std::vector<ServerInfo> servers;
        for (unsigned i = 1; i <= 6; ++i)
            servers.push_back({i, 2, true, {}, 0, firstProcess});
        state.isLeading = true;
        state.policy.retrySlack = 56;
        setServers(state, servers);
        for (unsigned i = 1; i <= 6; ++i)
            learnLoad(state, i, {0, 0, 2, 1.0}, now);
    }

    Decision request()
    {
        AttemptRequest attempt;
        attempt.key = {1, nextTicket++};
        attempt.fingerprint = fingerprint;
        attempt.objective = 200ms;
        attempt.target = now + 200ms;
        attempt.deadline = now + 1200ms;
        return requestAttempt(state, attempt, now);
    }

    void end(const Decision &decision, AttemptOutcome outcome)
    {
        now += 20ms;
        recordAttemptEnd(state, {decision.key, decision.server, outcome, std::nullopt, 20ms}, now);
    }

    void crash()
    {
        const Decision decision = request();
        CPPUNIT_ASSERT(decision.verdict == Verdict::Granted);
        end(decision, AttemptOutcome::Lost);
        now += 50ms;
        recordProbeFailure(state, decision.server, now);
    }

    bool isQuarantined()
    {
        const Decision decision = request();
        release(state, {decision.key, decision.server, AttemptOutcome::Cancelled, {}, {}}, now);
        return decision.reason == RefusalReason::Quarantined;
    }

    static constexpr std::uint64_t firstProcess = 1000;
    TimePoint now{1h};
    ServiceState state;
    std::uint64_t nextTicket = 1;
};

} // namespace

/// What a leader tells other instances of crashes, so that the next leader knows them.
class CrashReportTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashReportTest);
    CPPUNIT_TEST(reportedCrashesCountAtTheNextLeader);
    CPPUNIT_TEST(crashThatIsReportedAgainCountsOnce);
    CPPUNIT_TEST(answeredRequestIsNoSuspect);
    CPPUNIT_TEST(singleCrashesAreNotReported);
    CPPUNIT_TEST(crashOfANewProcessCounts);
    CPPUNIT_TEST(quarantineEndsAtAllInstances);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a next leader that lets a request crash more servers.
    void reportedCrashesCountAtTheNextLeader()
    {
        CrashFixture leader;
        CrashFixture next;
        for (int i = 0; i < 3; ++i)
            leader.crash();
        for (const CrashReport &each : takeCrashReports(leader.state, leader.now))
            applyCrashReport(next.state, each, next.now);
        CPPUNIT_ASSERT(next.isQuarantined());
        CPPUNIT_ASSERT(takeCrashReports(leader.state, leader.now).empty());
    }

    // Guards against a request that is refused too early, because a report came twice or by more
    // than one instance.
    void crashThatIsReportedAgainCountsOnce()
    {
        CrashFixture leader;
        CrashFixture next;
        for (int i = 0; i < 2; ++i)
            leader.crash();
        const auto reports = allCrashReports(leader.state, leader.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reports.size());
        for (int i = 0; i < 3; ++i) {
            applyCrashReport(next.state, reports.front(), next.now);
            applyCrashReport(leader.state, reports.front(), leader.now);
        }
        CPPUNIT_ASSERT(!next.isQuarantined());
        CPPUNIT_ASSERT(!leader.isQuarantined());
    }

    // Guards against a common request that the next leader refuses, although a server has answered
    // it since the crashes beside which it ran.
    void answeredRequestIsNoSuspect()
    {
        CrashFixture leader;
        CrashFixture next;
        for (int i = 0; i < 2; ++i)
            leader.crash();
        for (const CrashReport &each : takeCrashReports(leader.state, leader.now))
            applyCrashReport(next.state, each, next.now);
        leader.end(leader.request(), AttemptOutcome::Answered);
        for (const CrashReport &each : takeCrashReports(leader.state, leader.now))
            applyCrashReport(next.state, each, next.now);
        CPPUNIT_ASSERT(allCrashReports(next.state, next.now).empty());
        next.crash();
        CPPUNIT_ASSERT(!next.isQuarantined());
    }

    // Guards against a message to all instances for each request that ran on a crashed server.
    void singleCrashesAreNotReported()
    {
        CrashFixture leader;
        leader.crash();
        CPPUNIT_ASSERT(takeCrashReports(leader.state, leader.now).empty());
        CPPUNIT_ASSERT(allCrashReports(leader.state, leader.now).empty());
    }

    // Guards against a server that counts once only, although it was started again and crashed
    // again under the same id.
    void crashOfANewProcessCounts()
    {
        CrashFixture fixture;
        for (std::uint64_t process = 1; process <= 3; ++process) {
            CPPUNIT_ASSERT(!fixture.isQuarantined());
            fixture.now += 10s;
            setServers(fixture.state, {{1, 2, true, {}, 0, process}});
            learnLoad(fixture.state, 1, {0, 0, 2, 1.0}, fixture.now);
            fixture.crash();
        }
        CPPUNIT_ASSERT(fixture.isQuarantined());
    }

    // Guards against a quarantine that an instance ends later than the one which reported it.
    void quarantineEndsAtAllInstances()
    {
        CrashFixture leader;
        CrashFixture next;
        for (int i = 0; i < 3; ++i)
            leader.crash();
        leader.now += 50s;
        for (const CrashReport &each : allCrashReports(leader.state, leader.now))
            applyCrashReport(next.state, each, next.now);
        CPPUNIT_ASSERT(next.isQuarantined());
        next.now += 11s;
        CPPUNIT_ASSERT(!next.isQuarantined());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashReportTest);
