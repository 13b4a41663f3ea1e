#include "overloadsimulation.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::broker;
using namespace apricotrock::broker::simulation;

namespace {

constexpr unsigned serverCount = 100;
constexpr double slowShare = 0.1;
constexpr double slowFactor = 6;
constexpr Duration slowPeriod = 2s;
constexpr Duration runTime = 40s;
constexpr Duration window = 10s;
constexpr Duration warmUp = 3s;

struct HedgingResult
{
    std::vector<Duration> latencies;
    /// Largest share of hedges in the attempts, and of their slot time, of any window.
    double requestShare = 0;
    double slotTimeShare = 0;
    double hedges = 0;

    [[nodiscard]] Duration quantile(double share) const
    {
        return latencies[static_cast<std::size_t>(share * static_cast<double>(latencies.size()))];
    }
};

HedgingResult measure(const OverloadSimulation &simulation)
{
    HedgingResult result;
    const TimePoint end = OverloadSimulation::start + runTime;
    result.latencies = simulation.latencies(OverloadSimulation::start + warmUp, end);
    for (TimePoint begin = OverloadSimulation::start; begin + window <= end; begin += 250ms) {
        double requests = 0;
        double hedges = 0;
        Duration requestTime{};
        Duration hedgeTime{};
        for (const auto &each : simulation.endedAttempts()) {
            const bool startsInside = each.started >= begin && each.started < begin + window;
            const bool endsInside = each.ended >= begin && each.ended < begin + window;
            (each.isHedge ? hedges : requests) += startsInside ? 1 : 0;
            (each.isHedge ? hedgeTime : requestTime) +=
                endsInside ? each.ended - each.started : Duration(0);
        }
        result.requestShare = std::max(result.requestShare, hedges / requests);
        result.slotTimeShare = std::max(result.slotTimeShare,
                                        static_cast<double>(hedgeTime.count())
                                            / static_cast<double>(requestTime.count()));
    }
    for (const auto &each : simulation.endedAttempts())
        result.hedges += each.isHedge ? 1 : 0;
    return result;
}

/// Runs a service of which a tenth of the servers is six times slower, others every 2 s.
HedgingResult run(std::optional<double> limit)
{
    OverloadSimulation simulation(serverCount);
    simulation.setHiddenSlowness(slowShare, slowFactor, slowPeriod);
    simulation.setWorkSpread(0.3);
    simulation.enableHedges(limit);
    const TimePoint end = OverloadSimulation::start + runTime;
    simulation.addLoad(serverCount * calmRatePerServer, OverloadSimulation::start, end);
    simulation.runUntil(end + routeTimeout);
    return measure(simulation);
}

constexpr TimePoint start{2h};

ServiceState makeState(unsigned servers, std::optional<double> limit, bool isLeading)
{
    ServiceState state;
    state.policy.hedgeLimit = limit;
    state.policy.retrySlack = 200;
    state.isLeading = isLeading;
    state.leadingSince = start - 1h;
    setServers(state, makeServers(servers));
    state.routes[route] = {std::chrono::duration<double>(workTime).count(), 100};
    return state;
}

/// Returns the request for a hedge of an attempt on \a server that was sent \a age ago.
AttemptRequest makeHedge(std::uint64_t ticket, ServerKey server, TimePoint now, Duration age)
{
    AttemptRequest hedge = makeRequest(ticket, now - age);
    hedge.isHedge = true;
    hedge.earlierAttempts = 1;
    hedge.excluded[0] = server;
    return hedge;
}

/// Leads one service after the other and asks for a hedge of every request, 500 ms after it.
class LeaderSequence
{
public:
    explicit LeaderSequence(double limit) : m_limit(limit) { }

    void lead(Duration length)
    {
        ServiceState state = makeState(50, m_limit, true);
        state.leadingSince = m_now;
        const TimePoint end = m_now + length;
        for (; m_now < end; m_now += 10ms) {
            const AttemptRequest request = makeRequest(m_ticket++, m_now);
            const Decision first = requestAttempt(state, request, m_now);
            m_requests.push_back(m_now);
            m_running.push_back(first);
            if (m_running.size() > 50)
                endOldest(state);
        }
        m_running.clear();
    }

    [[nodiscard]] std::size_t hedges() const { return m_hedges.size(); }

    /// Returns the largest share of hedges in the requests of a window.
    [[nodiscard]] double largestShare() const
    {
        double largest = 0;
        for (const TimePoint begin : m_requests) {
            if (begin + window > m_now)
                break;
            const auto isInside = [begin](TimePoint at) {
                return at >= begin && at < begin + window;
            };
            const auto hedges = std::count_if(m_hedges.begin(), m_hedges.end(), isInside);
            const auto requests = std::count_if(m_requests.begin(), m_requests.end(), isInside);
            largest =
                std::max(largest, static_cast<double>(hedges) / static_cast<double>(requests));
        }
        return largest;
    }

private:
    void endOldest(ServiceState &state)
    {
        const Decision first = m_running.front();
        m_running.pop_front();
        const AttemptRequest request = makeHedge(m_ticket++, first.server, m_now, 500ms);
        const Decision hedge = requestAttempt(state, request, m_now);
        recordAttemptEnd(state,
                         {first.key, first.server, AttemptOutcome::Cancelled, std::nullopt, 500ms},
                         m_now);
        if (hedge.verdict != Verdict::Granted)
            return;
        m_hedges.push_back(m_now);
        recordAttemptEnd(
            state, {hedge.key, hedge.server, AttemptOutcome::Answered, std::nullopt, workTime},
            m_now);
    }

    double m_limit;
    TimePoint m_now = start;
    std::uint64_t m_ticket = 1;
    std::deque<Decision> m_running;
    std::vector<TimePoint> m_requests;
    std::vector<TimePoint> m_hedges;
};

} // namespace

class HedgingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HedgingTest);
    CPPUNIT_TEST(extraWorkStaysWithinTheLimit);
    CPPUNIT_TEST(limitHoldsOverAChangeOfTheLeader);
    CPPUNIT_TEST(limitOfZeroGrantsNoHedge);
    CPPUNIT_TEST(followerStaysWithinItsSlack);
    CPPUNIT_TEST(noHedgeWhileRoomIsShort);
    CPPUNIT_TEST(lateHedgesLeaveTheLimitToOthers);
    CPPUNIT_TEST(hedgeUsesAnotherZone);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against more extra work than the limit in any window, and against a choice of hedges
    // with which a larger limit makes the slowest requests slower.
    void extraWorkStaysWithinTheLimit()
    {
        constexpr double noise = 1.03;
        const HedgingResult unlimited = run(std::nullopt);
        const HedgingResult none = run(0);
        CPPUNIT_ASSERT_EQUAL(0.0, none.hedges);
        CPPUNIT_ASSERT(unlimited.hedges > 0);
        Duration previous = none.quantile(0.99);
        for (const double limit : {0.01, 0.03, 0.05, 0.1}) {
            const HedgingResult result = run(limit);
            CPPUNIT_ASSERT_LESSEQUAL(limit, result.requestShare);
            CPPUNIT_ASSERT_LESSEQUAL(limit, result.slotTimeShare);
            const Duration slowest = result.quantile(0.99);
            CPPUNIT_ASSERT_LESSEQUAL(noise * static_cast<double>(previous.count()),
                                     static_cast<double>(slowest.count()));
            CPPUNIT_ASSERT(result.quantile(0.5) < none.quantile(0.5) * 11 / 10);
            // A limit that binds must go to the requests that gain most.
            if (limit == 0.05)
                CPPUNIT_ASSERT(slowest < none.quantile(0.99) * 3 / 4);
            previous = slowest;
        }
        CPPUNIT_ASSERT(previous < none.quantile(0.99) * 6 / 10);
        CPPUNIT_ASSERT(previous < unlimited.quantile(0.99) * 11 / 10);
    }

    // Guards against a new leader that grants hedges for requests which it has not counted.
    void limitHoldsOverAChangeOfTheLeader()
    {
        constexpr double limit = 0.05;
        LeaderSequence leaders(limit);
        leaders.lead(12s);
        const std::size_t before = leaders.hedges();
        CPPUNIT_ASSERT(before > 0);
        leaders.lead(3s);
        leaders.lead(12s);
        CPPUNIT_ASSERT(leaders.hedges() > before);
        CPPUNIT_ASSERT_LESSEQUAL(limit, leaders.largestShare());
    }

    // Guards against hedges of any instance after an operator has switched them off.
    void limitOfZeroGrantsNoHedge()
    {
        for (const bool isLeading : {true, false}) {
            ServiceState state = makeState(20, 0.0, isLeading);
            const Decision decision = requestAttempt(state, makeHedge(1, 2, start, 500ms), start);
            CPPUNIT_ASSERT(decision.verdict == Verdict::Refused);
            CPPUNIT_ASSERT(decision.reason == RefusalReason::HedgeLimit);
        }
    }

    // Guards against hedges without number by instances that can't reach the leader.
    void followerStaysWithinItsSlack()
    {
        ServiceState state = makeState(100, 0.01, false);
        unsigned granted = 0;
        for (std::uint64_t ticket = 1; ticket <= 50; ++ticket) {
            const auto hedge = makeHedge(ticket, 2, start, 500ms);
            granted += requestAttempt(state, hedge, start).verdict == Verdict::Granted ? 1 : 0;
        }
        CPPUNIT_ASSERT(granted > 0);
        CPPUNIT_ASSERT_LESSEQUAL(6U, granted);
    }

    // Guards against hedges that take the slots of first attempts, however large the limit is.
    void noHedgeWhileRoomIsShort()
    {
        ServiceState state = makeState(10, 1.0, true);
        std::uint64_t ticket = 1;
        for (; ticket <= 31; ++ticket)
            requestAttempt(state, makeRequest(ticket, start), start);
        const Decision decision = requestAttempt(state, makeHedge(ticket, 2, start, 500ms), start);
        CPPUNIT_ASSERT(decision.verdict == Verdict::Refused);
        CPPUNIT_ASSERT(decision.reason == RefusalReason::HedgeNotUseful);
    }

    // Guards against requests that have missed their target and use up the limit, so that those
    // which can still meet it get no hedge.
    void lateHedgesLeaveTheLimitToOthers()
    {
        const auto isGranted = [](ServiceState &state, Duration timeToTarget) {
            static std::uint64_t ticket = 100000;
            constexpr Duration age = 4 * workTime;
            AttemptRequest hedge = makeHedge(++ticket, 2, start, age);
            hedge.target = start + timeToTarget;
            hedge.objective = age + timeToTarget;
            return requestAttempt(state, hedge, start).verdict == Verdict::Granted;
        };
        constexpr Duration reachable = 2 * workTime;
        constexpr Duration unreachable = workTime / 2;
        ServiceState state = makeState(250, 0.1, true);
        for (std::uint64_t ticket = 1; ticket <= 500; ++ticket)
            countAnswered(state, ticket);
        unsigned late = 0;
        while (isGranted(state, unreachable))
            ++late;
        CPPUNIT_ASSERT(late > 0);
        CPPUNIT_ASSERT(isGranted(state, reachable));
        while (isGranted(state, reachable)) { }
        // After the refusal of a useful hedge, late ones get nothing, even if the limit grows.
        for (std::uint64_t ticket = 1000; ticket <= 1200; ++ticket)
            countAnswered(state, ticket);
        CPPUNIT_ASSERT(!isGranted(state, unreachable));
        CPPUNIT_ASSERT(isGranted(state, reachable));
    }

    // Guards against a hedge that is slow for the same reason as the first attempt, such as a
    // disturbed link of its zone, and against a hedge on a server that is much slower.
    void hedgeUsesAnotherZone()
    {
        for (const bool areOthersSlow : {false, true}) {
            ServiceState state = makeState(20, 1.0, true);
            for (ServerKey key = 1; key <= 20; ++key)
                learnLoad(state, key,
                          {0, 0, slotsPerServer, key % 4 != 0 && areOthersSlow ? 1.5 : 1}, start);
            for (std::uint64_t ticket = 1; ticket <= 40; ++ticket)
                countAnswered(state, ticket * 4 + 1000);
            // The instance of this ticket is in the zone of its first attempt.
            const AttemptRequest hedge = makeHedge(4, 4, start, 500ms);
            const Decision decision = requestAttempt(state, hedge, start);
            CPPUNIT_ASSERT(decision.verdict == Verdict::Granted);
            CPPUNIT_ASSERT_EQUAL(areOthersSlow, decision.server % 4 == 0);
        }
    }

private:
    static void countAnswered(ServiceState &state, std::uint64_t ticket)
    {
        const Decision decision = requestAttempt(state, makeRequest(ticket, start), start);
        recordAttemptEnd(state,
                         {decision.key, decision.server, AttemptOutcome::Answered, std::nullopt,
                          decision.expected},
                         start);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HedgingTest);
