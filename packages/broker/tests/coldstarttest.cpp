#include "apricotrock/broker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

using namespace apricotrock;
using namespace apricotrock::broker;
using namespace std::chrono_literals;

namespace {

constexpr double coldRate = 8;
constexpr Duration workTime = 60ms;
constexpr Duration target = 400ms;
constexpr Duration step = 1ms;
constexpr TimePoint start{2h};

/// One instance with its own state and the attempts that it has started.
struct Instance
{
    std::uint64_t number = 0;
    ServiceState state;
    std::multimap<TimePoint, Decision> running;
};

/// A service whose first servers are cold, and instances that decide on their own, in virtual time.
/// A cold server rejects every second attempt at once.
class ColdSimulation
{
public:
    ColdSimulation(unsigned servers, unsigned coldServers, std::size_t instances)
        : m_coldServers(coldServers), m_instances(instances)
    {
        for (Instance &each : m_instances) {
            each.number = m_nextInstance++;
            setServers(each.state, makeServers(servers));
            for (ServerKey key = 1; key <= servers; ++key)
                learnLoad(each.state, key, {0, 0, 2, 1.0}, m_now);
            each.state.routes[1] = {std::chrono::duration<double>(workTime).count(), 100};
            each.state.policy.retrySlack = 1000;
        }
    }

    void setLeader(std::size_t instance, TimePoint since)
    {
        m_instances[instance].state.isLeading = true;
        m_instances[instance].state.leadingSince = since;
    }

    ServiceState &state(std::size_t instance) { return m_instances[instance].state; }
    [[nodiscard]] TimePoint now() const { return m_now; }

    /// Every instance gets \a rate requests per second for \a length. Returns when all are decided.
    void run(double rate, Duration length)
    {
        const TimePoint end = m_now + length;
        for (double due = 0; m_now < end + target; m_now += step) {
            due += m_now < end ? rate * std::chrono::duration<double>(step).count() : 0;
            for (; due >= 1; due -= 1) {
                for (Instance &each : m_instances)
                    send(each);
            }
            for (Instance &each : m_instances)
                advance(each);
        }
    }

    /// Returns the most starts on one cold server in any second, on all instances together.
    [[nodiscard]] std::size_t maxColdStartsPerSecond() const
    {
        std::size_t most = 0;
        for (const auto &[server, starts] : m_coldStarts) {
            for (auto first = starts.begin(); first != starts.end(); ++first) {
                const auto last = std::lower_bound(first, starts.end(), *first + 1s);
                most = std::max(most, static_cast<std::size_t>(last - first));
            }
        }
        return most;
    }
    [[nodiscard]] std::size_t coldStarts() const
    {
        std::size_t count = 0;
        for (const auto &[server, starts] : m_coldStarts)
            count += starts.size();
        return count;
    }
    [[nodiscard]] double shareInTime() const
    {
        return static_cast<double>(m_inTime) / static_cast<double>(m_requests);
    }

    std::vector<ServerInfo> makeServers(unsigned count)
    {
        std::vector<ServerInfo> servers;
        for (unsigned i = 1; i <= count; ++i) {
            const bool isCold = i <= m_coldServers;
            servers.push_back({i, 2, true, isCold ? m_now + 1h : TimePoint(), i % 4, 1, coldRate});
        }
        return servers;
    }

private:
    void send(Instance &instance)
    {
        AttemptRequest request;
        request.key = {instance.number, m_nextTicket++};
        request.route = 1;
        request.objective = target;
        request.target = m_now + target;
        request.deadline = m_now + 2s;
        ++m_requests;
        m_targets[request.key] = request.target;
        handle(instance, requestAttempt(instance.state, request, m_now));
    }

    void handle(Instance &instance, const Decision &decision)
    {
        if (decision.verdict != Verdict::Granted)
            return;
        Duration duration = workTime;
        if (decision.server <= m_coldServers) {
            auto &starts = m_coldStarts[decision.server];
            starts.push_back(m_now);
            duration = starts.size() % 2 == 0 ? 2ms : 2 * workTime;
        }
        instance.running.emplace(m_now + duration, decision);
    }

    void advance(Instance &instance)
    {
        while (!instance.running.empty() && instance.running.begin()->first <= m_now) {
            const Decision decision = instance.running.begin()->second;
            instance.running.erase(instance.running.begin());
            const bool isRejected = decision.server <= m_coldServers && decision.expected > 0s
                && m_coldStarts[decision.server].size() % 2 == 0;
            m_inTime += !isRejected && m_now <= m_targets[decision.key] ? 1 : 0;
            recordAttemptEnd(instance.state,
                             {decision.key, decision.server,
                              isRejected ? AttemptOutcome::Rejected : AttemptOutcome::Answered,
                              LoadReport{1, 0, 2, 1.0}, workTime},
                             m_now);
        }
        for (const Decision &each : processQueue(instance.state, m_now))
            handle(instance, each);
    }

    unsigned m_coldServers;
    std::uint64_t m_nextInstance = 1;
    std::vector<Instance> m_instances;
    TimePoint m_now = start;
    std::uint64_t m_nextTicket = 1;
    std::map<ServerKey, std::vector<TimePoint>> m_coldStarts;
    std::map<AttemptKey, TimePoint> m_targets;
    std::size_t m_requests = 0;
    std::size_t m_inTime = 0;
};

AttemptRequest makeRequest(std::uint64_t ticket, TimePoint now)
{
    AttemptRequest request;
    request.key = {1, ticket};
    request.route = 1;
    request.objective = target;
    request.target = now + target;
    request.deadline = now + 2s;
    return request;
}

} // namespace

class ColdStartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ColdStartTest);
    CPPUNIT_TEST(startsOfAllInstancesStayWithinTheBound);
    CPPUNIT_TEST(zoneThatReturnsColdIsUsedAtItsRate);
    CPPUNIT_TEST(delayedColdServerIsNoRoomForTheQueue);
    CPPUNIT_TEST(requestsWaitForColdServersOnlyWithinTheirRate);
    CPPUNIT_TEST(instanceWithoutLeadRefusesAtOnce);
    CPPUNIT_TEST(hedgesDoNotStartOnColdServers);
    CPPUNIT_TEST(probeChangesTheColdPeriod);
    CPPUNIT_TEST(recordDoesNotShortenWhatAProbeTold);
    CPPUNIT_TEST(serverThatBecomesColdUnderLoadIsProbedInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a cold server that crashes because two leaders and the instances that decide
    // without them each count by themselves, or do not count attempts that the server rejects.
    void startsOfAllInstancesStayWithinTheBound()
    {
        ColdSimulation one(4, 2, 1);
        one.setLeader(0, start - 1h);
        one.run(400, 4s);
        CPPUNIT_ASSERT_LESSEQUAL(std::size_t(coldRate) + 1, one.maxColdStartsPerSecond());
        CPPUNIT_ASSERT_GREATEREQUAL(std::size_t(coldRate) - 1, one.maxColdStartsPerSecond());

        ColdSimulation all(4, 2, 22);
        all.setLeader(0, start - 1h);
        all.setLeader(1, start);
        all.run(200, 6s);
        CPPUNIT_ASSERT_LESSEQUAL(static_cast<std::size_t>(coldRate * 1.5 + 8),
                                 all.maxColdStartsPerSecond());
    }

    // Pattern: a quarter of the servers come back cold at once, while the others can carry the
    // load. Guards against requests that wait for the cold ones, and against leaving these unused.
    void zoneThatReturnsColdIsUsedAtItsRate()
    {
        constexpr unsigned servers = 80;
        constexpr unsigned cold = servers / 4;
        // The warm servers take 2 / 60 ms each with some slots left for the variation of waits.
        const double capacity =
            (servers - cold) * 2 / std::chrono::duration<double>(workTime).count();
        for (const double load : {0.6, 1.05}) {
            ColdSimulation simulation(servers, cold, 1);
            simulation.setLeader(0, start - 1h);
            simulation.run(capacity * load, 4s);
            CPPUNIT_ASSERT_GREATEREQUAL(load < 1 ? 0.99 : 0.85, simulation.shareInTime());
            if (load > 1)
                CPPUNIT_ASSERT_GREATEREQUAL(static_cast<std::size_t>(0.7 * 4 * cold * coldRate),
                                            simulation.coldStarts());
        }
    }

    // Guards against a queue that is as long as if the slots of cold servers were in use, and
    // against requests that wait for a cold server as for a full one.
    void delayedColdServerIsNoRoomForTheQueue()
    {
        ColdSimulation simulation(2, 1, 1);
        simulation.setLeader(0, start - 1h);
        std::size_t queued = 0;
        std::uint64_t ticket = 1;
        Decision last;
        for (; last.verdict != Verdict::Refused; ++ticket) {
            last = requestAttempt(simulation.state(0), makeRequest(ticket, start), start);
            queued += last.verdict == Verdict::Queued ? 1 : 0;
        }
        // Six for each slot of the warm server, and the one start on the cold one.
        CPPUNIT_ASSERT_LESSEQUAL(std::size_t(6 * 3), queued);
        CPPUNIT_ASSERT(last.reason == RefusalReason::QueueFull);
        CPPUNIT_ASSERT(simulation.state(0).delayedColdStarts > 0);
    }

    // Pattern: all servers of a service are cold. Guards against refusing requests that the allowed
    // starts suffice for, and against queueing more.
    void requestsWaitForColdServersOnlyWithinTheirRate()
    {
        ColdSimulation simulation(2, 2, 1);
        simulation.setLeader(0, start - 1h);
        std::size_t accepted = 0;
        Decision last;
        for (std::uint64_t ticket = 1; last.verdict != Verdict::Refused; ++ticket) {
            last = requestAttempt(simulation.state(0), makeRequest(ticket, start), start);
            accepted += last.verdict == Verdict::Refused ? 0 : 1;
        }
        CPPUNIT_ASSERT_LESSEQUAL(static_cast<std::size_t>(2 * coldRate * 2 + 2), accepted);
        CPPUNIT_ASSERT_GREATEREQUAL(std::size_t(2 * coldRate), accepted);
        CPPUNIT_ASSERT(last.reason == RefusalReason::NoServer);
        CPPUNIT_ASSERT(last.retryAfter <= 125ms);
    }

    // Guards against starts that the leader does not count, and against requests that wait until
    // their deadline where nothing will serve them.
    void instanceWithoutLeadRefusesAtOnce()
    {
        ColdSimulation simulation(2, 2, 1);
        const Decision decision = requestAttempt(simulation.state(0), makeRequest(1, start), start);
        CPPUNIT_ASSERT(decision.reason == RefusalReason::NoServer);
        CPPUNIT_ASSERT(decision.retryAfter == 125ms);
    }

    void hedgesDoNotStartOnColdServers()
    {
        ColdSimulation simulation(2, 1, 1);
        simulation.setLeader(0, start - 1h);
        for (std::uint64_t ticket = 1; ticket <= 3; ++ticket) {
            AttemptRequest hedge = makeRequest(ticket, start);
            hedge.isHedge = true;
            hedge.earlierAttempts = 1;
            hedge.excluded[0] = 2;
            CPPUNIT_ASSERT(requestAttempt(simulation.state(0), hedge, start).verdict
                           == Verdict::Refused);
        }
    }

    // Guards against the end of the cold period from the record undoing what a newer probe told,
    // and against ignoring a newer record or process.
    void probeChangesTheColdPeriod()
    {
        ColdSimulation simulation(2, 1, 1);
        ServiceState &state = simulation.state(0);
        std::vector<ServerInfo> servers = simulation.makeServers(2);
        CPPUNIT_ASSERT(learnCold(state, 1, 0s, start));
        setServers(state, servers);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), coldServerCount(state, start));
        CPPUNIT_ASSERT(learnCold(state, 2, 2s, start));
        setServers(state, servers);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), coldServerCount(state, start + 1900ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), coldServerCount(state, start + 2s));
        servers[0].process = 2;
        servers[1].slowStartUntil = start + 5s;
        setServers(state, servers);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), coldServerCount(state, start + 3s));
        // The new process gets its first attempt after its first probe.
        state.isLeading = true;
        state.leadingSince = start - 1h;
        const TimePoint now = start + 3s;
        CPPUNIT_ASSERT_EQUAL(ServerKey(2), requestAttempt(state, makeRequest(1, now), now).server);
        CPPUNIT_ASSERT(requestAttempt(state, makeRequest(2, now), now).verdict == Verdict::Queued);
        learnCold(state, 1, 2s, now);
        const auto decisions = processQueue(state, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decisions.size());
        CPPUNIT_ASSERT_EQUAL(ServerKey(1), decisions.front().server);
    }

    // Guards against a record from before the server became cold again that is read after the probe
    // that told so.
    void recordDoesNotShortenWhatAProbeTold()
    {
        ColdSimulation simulation(1, 1, 1);
        ServiceState &state = simulation.state(0);
        learnCold(state, 1, 5s, start);
        std::vector<ServerInfo> servers = simulation.makeServers(1);
        servers[0].slowStartUntil = start + 1s;
        setServers(state, servers);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), coldServerCount(state, start + 4s));
    }

    // Pattern: one of ten servers becomes cold between two probes, at different loads. Guards
    // against too many requests until a probe tells so, and against probes that are not needed.
    void serverThatBecomesColdUnderLoadIsProbedInTime()
    {
        for (const double ratePerServer : {2.5, 8.0, 20.0, 50.0}) {
            const double usual = becomeCold(ratePerServer, 2s, 0).second;
            for (Duration offset = 0ms; offset < 500ms; offset += 50ms) {
                const auto [starts, probes] = becomeCold(ratePerServer, 2s + offset, coldRate);
                CPPUNIT_ASSERT_LESSEQUAL(static_cast<std::size_t>(coldRate * 1.5 + 8), starts);
                const double needed = 10 * 2 * std::max(0.5, (ratePerServer - coldRate) / 6);
                CPPUNIT_ASSERT_LESSEQUAL(usual + needed, probes);
            }
        }
    }

private:
    /// Returns the most starts on the server in one second, and the number of probes in the first
    /// two seconds.
    static std::pair<std::size_t, double> becomeCold(double ratePerServer, Duration after,
                                                     double limit)
    {
        constexpr unsigned count = 10;
        constexpr Duration probeTick = 25ms;
        constexpr Duration probeTime = 30ms;
        ServiceState state;
        state.isLeading = true;
        state.leadingSince = start - 1h;
        state.policy.probesPerSecond = 2 * count;
        state.routes[1] = {std::chrono::duration<double>(workTime).count(), 100};
        std::vector<ServerInfo> servers;
        for (ServerKey key = 1; key <= count; ++key)
            servers.push_back({key, 4, true, {}, 1, 1, limit});
        setServers(state, servers);
        std::multimap<TimePoint, Decision> running;
        std::multimap<TimePoint, ServerKey> probing;
        std::vector<TimePoint> starts;
        double probes = 0;
        double due = 0;
        std::uint64_t ticket = 1;
        for (TimePoint now = start; now < start + after + 3s; now += step) {
            const bool isCold = now >= start + after;
            for (; !probing.empty() && probing.begin()->first <= now;
                 probing.erase(probing.begin())) {
                const ServerKey key = probing.begin()->second;
                learnCold(state, key, key == 1 && isCold ? 10s : 0s, now);
                learnLoad(state, key, {0, 0, 4, 1.0}, now);
            }
            for (; !running.empty() && running.begin()->first <= now;
                 running.erase(running.begin())) {
                const Decision &each = running.begin()->second;
                recordAttemptEnd(state,
                                 {each.key, each.server, AttemptOutcome::Answered,
                                  LoadReport{1, 0, 4, 1.0}, workTime},
                                 now);
            }
            std::vector<Decision> decisions = processQueue(state, now);
            due += ratePerServer * count * std::chrono::duration<double>(step).count();
            for (; due >= 1; due -= 1)
                decisions.push_back(requestAttempt(state, makeRequest(ticket++, now), now));
            for (const Decision &each : decisions) {
                if (each.verdict != Verdict::Granted)
                    continue;
                running.emplace(now + workTime, each);
                if (each.server == 1 && isCold)
                    starts.push_back(now);
            }
            if ((now - start) % probeTick != Duration(0))
                continue;
            for (const ServerKey key : takeDueProbes(state, now)) {
                probing.emplace(now + probeTime, key);
                probes += now < start + 2s ? 1 : 0;
            }
        }
        std::size_t most = 0;
        for (auto first = starts.begin(); first != starts.end(); ++first) {
            const auto last = std::lower_bound(first, starts.end(), *first + 1s);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return {most, probes};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdStartTest);
