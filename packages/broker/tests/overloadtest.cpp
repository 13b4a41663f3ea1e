#include "apricotrock/broker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>

using namespace apricotrock;
using namespace apricotrock::broker;
using namespace std::chrono_literals;

namespace {

constexpr unsigned slotsPerServer = 4;
constexpr RouteKey route = 7;
constexpr Duration objective = 800ms;
constexpr Duration routeTimeout = 2500ms;
/// Time after which a sender decides without the leader.
constexpr Duration requestTimeout = 40ms;
constexpr Duration workTime = 280ms;
constexpr Duration passTimerInterval = 5ms;
constexpr Duration probeTick = 25ms;
/// Requests per second and server; the burst is more than the servers can do in time.
constexpr double calmRatePerServer = 6;
constexpr double burstRatePerServer = 9;
constexpr double slowdownOfSlow = 4.0;
/// Factor by which a request takes longer on a server without a free slot.
constexpr double fullServerFactor = 1.7;
/// Time in which a server rejects a request that it does not run.
constexpr Duration rejectionTime = 3ms;
/// Number of servers that a call tries if they reject it.
constexpr unsigned maxAttemptsPerCall = 3;
/// Processor time of the leader for one examined entry and for one message, on half of a core.
constexpr Duration entryCost = 90ns;
constexpr Duration messageCost = 50us;

std::vector<ServerInfo> makeServers(unsigned count)
{
    std::vector<ServerInfo> servers;
    for (unsigned i = 1; i <= count; ++i)
        servers.push_back({i, slotsPerServer, true, {}, i % 4});
    return servers;
}

AttemptRequest makeRequest(std::uint64_t ticket, TimePoint now)
{
    AttemptRequest request;
    request.key = {1, ticket};
    request.route = route;
    request.objective = objective;
    request.target = now + objective;
    request.deadline = now + routeTimeout;
    request.zone = static_cast<std::uint32_t>(ticket % 4);
    return request;
}

/// A service, its leader and the instances that send it slot requests, in virtual time. The leader
/// is busy for as long as its decisions take; a sender that gets no decision in time decides by
/// its own state. Times of a backend server: 280 ms, more if all its slots are taken or while its
/// machine is slow; what exceeds its slots waits there.
class OverloadSimulation
{
public:
    explicit OverloadSimulation(unsigned servers, Duration timeout = routeTimeout)
        : m_servers(servers + 1), m_timeout(timeout)
    {
        for (std::size_t i = 0; i <= senderCount; ++i) {
            ServiceState &state = i == 0 ? m_leader.state : m_senders.emplace_back().state;
            state.policy.retrySlack = 200;
            state.isLeading = i == 0;
            state.leadingSince = m_now - 1h;
            setServers(state, makeServers(servers));
        }
    }

    /// Adds requests at \a rate per second from \a begin to \a end.
    void addLoad(double rate, TimePoint begin, TimePoint end, OrganisationKey organisation = 0,
                 double weight = 0)
    {
        std::exponential_distribution<double> gap(rate);
        const auto next = [&] { return std::chrono::duration<double>(gap(m_random)); };
        for (TimePoint at = begin; at < end; at += std::chrono::duration_cast<Duration>(next())) {
            m_events.emplace(at, [this, organisation, weight] { startCall(organisation, weight); });
        }
    }

    /// The work of the requests differs, with this standard deviation of its logarithm.
    void setWorkSpread(double spread) { m_workSpread = spread; }

    /// Sends requests without their organisation, as in a deployment that has none.
    void hideOrganisations() { m_isShared = false; }

    /// Every server rejects \a share of its requests from \a begin to \a end, although it has room.
    void addShedding(double share, TimePoint begin, TimePoint end)
    {
        m_sheddingShare = share;
        m_sheddingBegin = begin;
        m_sheddingEnd = end;
    }

    void runUntil(TimePoint end)
    {
        probe();
        while (m_events.begin()->first < end) {
            const auto first = m_events.begin();
            m_now = first->first;
            const auto action = std::move(first->second);
            m_events.erase(first);
            action();
            measureWaits();
        }
    }

    /// Returns the share of the calls started in a period that were answered within the objective.
    [[nodiscard]] double shareInTime(TimePoint begin, TimePoint end,
                                     const std::set<OrganisationKey> &organisations = {}) const
    {
        double calls = 0;
        double inTime = 0;
        for (const Call &call : m_calls) {
            if (call.started < begin || call.started >= end)
                continue;
            if (!organisations.empty() && !organisations.contains(call.organisation))
                continue;
            ++calls;
            inTime += call.answered && *call.answered - call.started <= objective ? 1 : 0;
        }
        return inTime / calls;
    }

    /// Returns the answered calls of an organisation that were started in a period.
    [[nodiscard]] double shareAnswered(TimePoint begin, TimePoint end,
                                       OrganisationKey organisation) const
    {
        double calls = 0;
        double answered = 0;
        for (const Call &call : m_calls) {
            if (call.started < begin || call.started >= end || call.organisation != organisation)
                continue;
            ++calls;
            answered += call.answered ? 1 : 0;
        }
        return calls == 0 ? 1.0 : answered / calls;
    }

    /// Returns the share of the calls started in a period that were refused because of the queue.
    [[nodiscard]] double shareRefusedByQueue(TimePoint begin, TimePoint end) const
    {
        double calls = 0;
        double refused = 0;
        for (const Call &call : m_calls) {
            if (call.started < begin || call.started >= end)
                continue;
            ++calls;
            refused += call.isRefusedByQueue ? 1 : 0;
        }
        return refused / calls;
    }

    /// Returns the longest time for which a request stayed queued while a quarter of the slots of
    /// all servers was free all the time.
    [[nodiscard]] Duration longestWaitBesideFreeSlots() const { return m_longestWaitBesideFree; }

    /// Returns the work of the route as the leader estimates it.
    [[nodiscard]] double estimatedWork() const
    {
        return m_leader.state.routes.at(route).workSeconds;
    }

    static constexpr TimePoint start{2h};

private:
    static constexpr std::size_t senderCount = 24;

    using Handler = std::function<std::vector<Decision>()>;
    struct Call
    {
        TimePoint started;
        std::optional<TimePoint> answered;
        bool isDecided = false;
        bool isQueued = false;
        bool isFallback = false;
        bool isRefusedByQueue = false;
        unsigned attempts = 0;
        std::array<ServerKey, maxExcludedServers> excluded{};
        OrganisationKey organisation = 0;
        double weight = 0;
    };
    struct Attempt
    {
        Decision decision;
        TimePoint started;
    };
    struct Server
    {
        unsigned running = 0;
        std::deque<Attempt> waiting;
    };
    /// The leader, or an instance that decides without it.
    struct Decider
    {
        ServiceState state;
        bool isPassScheduled = false;
    };

    void measureWaits()
    {
        std::size_t taken = 0;
        for (const Server &server : m_servers)
            taken += std::min<std::size_t>(slotsPerServer, server.running + server.waiting.size());
        constexpr double freeShare = 0.25;
        if (static_cast<double>(taken)
            > (1 - freeShare) * static_cast<double>(slotsPerServer * (m_servers.size() - 1)))
            m_freeSince = m_now;
        for (const AttemptRequest &each : m_leader.state.queue) {
            const TimePoint since =
                std::max({m_freeSince, m_calls[each.key.ticket].started, m_sheddingBegin});
            m_longestWaitBesideFree = std::max(m_longestWaitBesideFree, m_now - since);
        }
    }

    void after(Duration delay, std::function<void()> action)
    {
        m_events.emplace(m_now + delay, std::move(action));
    }

    /// Handles a message on the leader after all earlier ones; its decisions leave the leader when
    /// the time that they take is over.
    void sendToLeader(Handler handler)
    {
        m_leaderInput.push_back(std::move(handler));
        if (!m_isLeaderBusy)
            runLeader();
    }

    void runLeader()
    {
        m_isLeaderBusy = !m_leaderInput.empty();
        if (!m_isLeaderBusy)
            return;
        const Handler handler = std::move(m_leaderInput.front());
        m_leaderInput.pop_front();
        const std::uint64_t examined = m_leader.state.examinedEntries;
        const std::vector<Decision> decisions = handler();
        after(messageCost + entryCost * (m_leader.state.examinedEntries - examined),
              [this, decisions] {
                  for (const Decision &each : decisions)
                      handleDecision(each, false);
                  runLeader();
              });
    }

    std::vector<Decision> processQueueOf(Decider &decider)
    {
        if (!decider.state.queue.empty() && !decider.isPassScheduled) {
            decider.isPassScheduled = true;
            after(passTimerInterval, [this, &decider] {
                decider.isPassScheduled = false;
                if (&decider == &m_leader)
                    sendToLeader([this] { return processQueueOf(m_leader); });
                else
                    decideLocally(decider);
            });
        }
        return isQueuePassDue(decider.state, m_now) ? processQueue(decider.state, m_now)
                                                    : std::vector<Decision>();
    }

    void decideLocally(Decider &sender)
    {
        for (const Decision &each : processQueueOf(sender))
            handleDecision(each, true);
    }

    /// The leader probes the servers whose load reports are old.
    void probe()
    {
        for (const ServerKey key : takeDueProbes(m_leader.state, m_now)) {
            sendToLeader([this, key] {
                learnLoad(m_leader.state, key, loadOf(key), m_now);
                return std::vector<Decision>();
            });
        }
        after(probeTick, [this] { probe(); });
    }

    [[nodiscard]] LoadReport loadOf(ServerKey key) const
    {
        const Server &server = m_servers[key];
        return {server.running, static_cast<unsigned>(server.waiting.size()), slotsPerServer,
                isSlow(key) ? slowdownOfSlow : 1.0};
    }

    AttemptRequest makeRequest(std::size_t ticket)
    {
        const Call &call = m_calls[ticket];
        AttemptRequest request = ::makeRequest(ticket, call.started);
        request.deadline = call.started + m_timeout;
        request.organisation = m_isShared ? call.organisation : 0;
        request.weight = call.weight;
        return request;
    }

    void startCall(OrganisationKey organisation, double weight)
    {
        const std::size_t ticket = m_calls.size();
        m_calls.push_back({m_now, {}});
        m_calls[ticket].organisation = organisation;
        m_calls[ticket].weight = weight;
        sendRequest(makeRequest(ticket));
    }

    void sendRequest(const AttemptRequest &request)
    {
        sendToLeader([this, request] {
            const Decision decision = requestAttempt(m_leader.state, request, m_now);
            if (decision.verdict != Verdict::Queued)
                return std::vector<Decision>{decision};
            m_calls[request.key.ticket].isQueued = true;
            return processQueueOf(m_leader);
        });
        after(requestTimeout, [this, request] { fallBack(request); });
    }

    void fallBack(const AttemptRequest &request)
    {
        Call &call = m_calls[request.key.ticket];
        if (call.isDecided || call.isQueued)
            return;
        call.isFallback = true;
        release({request.key, 0, AttemptOutcome::Cancelled, std::nullopt, {}});
        Decider &sender = senderOf(request.key.ticket);
        const Decision decision = requestAttempt(sender.state, request, m_now);
        if (decision.verdict == Verdict::Queued)
            decideLocally(sender);
        else
            handleDecision(decision, true);
    }

    Decider &senderOf(std::size_t ticket) { return m_senders[ticket % m_senders.size()]; }

    void release(const AttemptEnd &end)
    {
        sendToLeader([this, end] {
            broker::release(m_leader.state, end, m_now);
            return processQueueOf(m_leader);
        });
    }

    void handleDecision(const Decision &decision, bool isFallback)
    {
        Call &call = m_calls[decision.key.ticket];
        if (call.isFallback != isFallback)
            return;
        call.isDecided = true;
        call.isRefusedByQueue = decision.reason == RefusalReason::QueueFull;
        if (decision.verdict == Verdict::Granted)
            startAttempt(decision);
    }

    /// Sends a call that a server has rejected to another one.
    void retry(const Decision &decision)
    {
        Call &call = m_calls[decision.key.ticket];
        if (call.attempts >= maxAttemptsPerCall)
            return;
        AttemptRequest request = makeRequest(decision.key.ticket);
        request.earlierAttempts = call.attempts;
        request.excluded = call.excluded;
        call.isDecided = call.isQueued = call.isFallback = false;
        sendRequest(request);
    }

    [[nodiscard]] bool rejects()
    {
        return m_now >= m_sheddingBegin && m_now < m_sheddingEnd
            && std::bernoulli_distribution(m_sheddingShare)(m_random);
    }

    void startAttempt(const Decision &decision)
    {
        Server &server = m_servers[decision.server];
        Call &call = m_calls[decision.key.ticket];
        call.excluded[call.attempts++ % maxExcludedServers] = decision.server;
        if (rejects()) {
            const Attempt attempt{decision, m_now};
            after(rejectionTime, [this, attempt] {
                finishAttempt(attempt, AttemptOutcome::Rejected);
                retry(attempt.decision);
            });
            return;
        }
        server.waiting.push_back({decision, m_now});
        if (server.running < slotsPerServer)
            runNext(server);
    }

    /// Returns a factor of the work of one request, with a mean of 1.
    double workFactor()
    {
        if (m_workSpread == 0)
            return 1.0;
        const double mean = -m_workSpread * m_workSpread / 2;
        return std::lognormal_distribution<double>(mean, m_workSpread)(m_random);
    }

    void runNext(Server &server)
    {
        while (!server.waiting.empty()) {
            const Attempt attempt = server.waiting.front();
            server.waiting.pop_front();
            const TimePoint deadline = m_calls[attempt.decision.key.ticket].started + m_timeout;
            if (m_now >= deadline) {
                finishAttempt(attempt, AttemptOutcome::TimedOut);
                continue;
            }
            ++server.running;
            const double factor = loadOf(attempt.decision.server).slowdown
                * (server.running >= slotsPerServer ? fullServerFactor : 1.0);
            const auto duration =
                std::chrono::duration_cast<Duration>(workTime * factor * workFactor());
            const bool isTimedOut = m_now + duration > deadline;
            after(std::min(duration, deadline - m_now), [this, &server, attempt, isTimedOut] {
                finishAttempt(attempt,
                              isTimedOut ? AttemptOutcome::TimedOut : AttemptOutcome::Answered);
                --server.running;
                runNext(server);
            });
            return;
        }
    }

    /// Other programs slow down a quarter of the machines for 900 ms at a time.
    [[nodiscard]] bool isSlow(ServerKey server) const
    {
        return (m_now.time_since_epoch() / 300ms + static_cast<std::int64_t>(server) * 7) % 12 < 3;
    }

    void finishAttempt(const Attempt &attempt, AttemptOutcome outcome)
    {
        const Decision &decision = attempt.decision;
        AttemptEnd end{decision.key, decision.server, outcome, std::nullopt,
                       m_now - attempt.started};
        Call &call = m_calls[decision.key.ticket];
        if (outcome == AttemptOutcome::Answered) {
            call.answered = m_now;
        }
        if (outcome != AttemptOutcome::TimedOut)
            end.load = loadOf(decision.server);
        Decider &sender = senderOf(decision.key.ticket);
        recordAttemptEnd(sender.state, end, m_now);
        decideLocally(sender);
        if (!call.isFallback)
            release(end);
    }

    std::mt19937_64 m_random{20261204};
    std::multimap<TimePoint, std::function<void()>> m_events;
    TimePoint m_now = start;
    Decider m_leader;
    std::deque<Decider> m_senders;
    std::vector<Server> m_servers;
    Duration m_timeout;
    bool m_isShared = true;
    double m_workSpread = 0;
    std::vector<Call> m_calls;
    std::deque<Handler> m_leaderInput;
    bool m_isLeaderBusy = false;
    double m_sheddingShare = 0;
    TimePoint m_sheddingBegin;
    TimePoint m_sheddingEnd;
    TimePoint m_freeSince = start;
    Duration m_longestWaitBesideFree{};
};

constexpr unsigned sharedServers = 50;
constexpr Duration sharedTimeout = 10s;
constexpr OrganisationKey organisationCount = 81;
/// The largest organisation, which sends a quarter of all requests.
constexpr OrganisationKey largest = 1;
/// Ratio of the weight of an organisation to its usual rate.
constexpr double weightPerRate = 1.6;
constexpr double burstFactor = 6.5;
constexpr double increase = 1.8;
/// Least ratio of the requests in time to those without organisations.
constexpr double minGain = 1.1;
constexpr Duration overloadLength = 6s;
constexpr TimePoint overload = OverloadSimulation::start + 4s;
constexpr TimePoint overloadEnd = overload + overloadLength;

std::set<OrganisationKey> otherOrganisations()
{
    std::set<OrganisationKey> others;
    for (OrganisationKey each = 1; each <= organisationCount; ++each)
        if (each != largest)
            others.insert(each);
    return others;
}

/// Returns the part of all requests that an organisation usually sends; the largest of the others
/// sends 40 times as much as the smallest.
double usualPart(OrganisationKey organisation)
{
    if (organisation == largest)
        return 0.25;
    double sum = 0;
    for (const OrganisationKey each : otherOrganisations())
        sum += 1.0 / static_cast<double>(each);
    return 0.75 / static_cast<double>(organisation) / sum;
}

/// Runs 4 s of usual load, then 6 s in which the largest organisation sends \a factorOfLargest
/// times its usual rate and the others \a factorOfOthers times.
void runShared(OverloadSimulation &simulation, double factorOfLargest, double factorOfOthers)
{
    simulation.setWorkSpread(0.5);
    for (OrganisationKey each = 1; each <= organisationCount; ++each) {
        const double rate = sharedServers * calmRatePerServer * usualPart(each);
        const double factor = each == largest ? factorOfLargest : factorOfOthers;
        const double weight = rate * weightPerRate;
        simulation.addLoad(rate, OverloadSimulation::start, overload, each, weight);
        simulation.addLoad(rate * factor, overload, overloadEnd, each, weight);
    }
    simulation.runUntil(overloadEnd + sharedTimeout);
}

} // namespace

class OverloadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OverloadTest);
    CPPUNIT_TEST(serviceRecoversAfterABurst);
    CPPUNIT_TEST(workEstimateDoesNotDriftInABurst);
    CPPUNIT_TEST(costOfAPassIsNotQueueTimesServers);
    CPPUNIT_TEST(freeSlotsAreUsedWhileAllServersShed);
    CPPUNIT_TEST(burstOfOneOrganisationLeavesTheOthersTheirShare);
    CPPUNIT_TEST(equalIncreaseCutsAllOrganisationsAlike);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a leader whose decisions cost more, the more requests are queued: a burst
    // makes it late, senders then grant slots without it, and the servers stay overcommitted after
    // the burst has ended.
    void serviceRecoversAfterABurst()
    {
        constexpr Duration recovery = 15s;
        for (const unsigned servers : {50U, 137U, 300U}) {
            OverloadSimulation simulation(servers);
            const TimePoint burst = OverloadSimulation::start + 6s;
            const TimePoint burstEnd = burst + 4s;
            const TimePoint recovered = burstEnd + recovery;
            const TimePoint end = recovered + 5s;
            simulation.addLoad(servers * calmRatePerServer, OverloadSimulation::start, burst);
            simulation.addLoad(servers * burstRatePerServer, burst, burstEnd);
            simulation.addLoad(servers * calmRatePerServer, burstEnd, end);
            simulation.runUntil(end + routeTimeout);
            const double before = simulation.shareInTime(burst - 4s, burst);
            const double after = simulation.shareInTime(recovered, end);
            CPPUNIT_ASSERT_GREATEREQUAL(0.95 * before, after);
        }
    }

    // Guards against an estimate of the work that falls while the bias of all servers makes up for
    // it. The servers that are still taken for normal then look slow, and requests wait for others.
    void workEstimateDoesNotDriftInABurst()
    {
        constexpr unsigned servers = 137;
        constexpr double maxDrift = 1.3;
        const double work = std::chrono::duration<double>(workTime).count();
        for (int length = 1; length <= 4; ++length) {
            OverloadSimulation simulation(servers);
            const TimePoint burst = OverloadSimulation::start + 3s;
            const TimePoint end = burst + length * 1s;
            simulation.addLoad(servers * calmRatePerServer, OverloadSimulation::start, burst);
            simulation.addLoad(servers * burstRatePerServer, burst, end);
            simulation.runUntil(end);
            CPPUNIT_ASSERT_GREATEREQUAL(work / maxDrift, simulation.estimatedWork());
            CPPUNIT_ASSERT_LESSEQUAL(work * maxDrift, simulation.estimatedWork());
        }
    }

    // Pattern: all servers of a service reject half of their requests within milliseconds, have
    // free slots and answer probes. Guards against requests that wait for the few servers which
    // rejected least, and are refused when the queue is full while most slots are free.
    void freeSlotsAreUsedWhileAllServersShed()
    {
        for (const unsigned servers : {50U, 170U, 300U}) {
            OverloadSimulation simulation(servers);
            const TimePoint begin = OverloadSimulation::start + 3s;
            const TimePoint end = begin + 6s;
            simulation.addShedding(0.55, begin, end);
            simulation.addLoad(servers * calmRatePerServer, OverloadSimulation::start, end);
            simulation.runUntil(end + routeTimeout);
            // An attempt on a slow server that runs nothing else.
            CPPUNIT_ASSERT_LESSEQUAL(
                std::chrono::duration_cast<Duration>(workTime * slowdownOfSlow),
                simulation.longestWaitBesideFreeSlots());
            // Share of the whole day of which the fleet may refuse requests in this trouble.
            CPPUNIT_ASSERT_LESSEQUAL(0.08, simulation.shareRefusedByQueue(begin, end));
        }
    }

    // Pattern: one organisation sends 6.5 times its usual rate. Guards against its requests taking
    // the slots of the others, and against answering most requests after their target.
    void burstOfOneOrganisationLeavesTheOthersTheirShare()
    {
        OverloadSimulation calm(sharedServers, sharedTimeout);
        runShared(calm, 1, 1);
        OverloadSimulation unshared(sharedServers, sharedTimeout);
        unshared.hideOrganisations();
        runShared(unshared, burstFactor, 1);
        OverloadSimulation shared(sharedServers, sharedTimeout);
        runShared(shared, burstFactor, 1);
        const double inTime = shared.shareInTime(overload, overloadEnd);
        CPPUNIT_ASSERT_GREATEREQUAL(minGain * unshared.shareInTime(overload, overloadEnd), inTime);
        const auto others = otherOrganisations();
        CPPUNIT_ASSERT_GREATEREQUAL(0.9 * calm.shareInTime(overload, overloadEnd, others),
                                    shared.shareInTime(overload, overloadEnd, others));
        for (OrganisationKey each = 1; each <= organisationCount; ++each)
            CPPUNIT_ASSERT_GREATEREQUAL(0.25 * inTime,
                                        shared.shareInTime(overload, overloadEnd, {each}));
    }

    // Guards against shares that do not follow the weights when all organisations send more, and
    // against giving up capacity for the sake of the order.
    void equalIncreaseCutsAllOrganisationsAlike()
    {
        OverloadSimulation unshared(sharedServers, sharedTimeout);
        unshared.hideOrganisations();
        runShared(unshared, increase, increase);
        OverloadSimulation shared(sharedServers, sharedTimeout);
        runShared(shared, increase, increase);
        const double inTime = shared.shareInTime(overload, overloadEnd);
        CPPUNIT_ASSERT_GREATEREQUAL(minGain * unshared.shareInTime(overload, overloadEnd), inTime);
        const double ofLargest = shared.shareInTime(overload, overloadEnd, {largest});
        const double ofOthers = shared.shareInTime(overload, overloadEnd, otherOrganisations());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(ofOthers, ofLargest, 0.1 * inTime);
    }

    // Guards against passes over the queue that look at every server for every queued request.
    void costOfAPassIsNotQueueTimesServers()
    {
        for (const unsigned servers : {10U, 100U, 1000U}) {
            const TimePoint now{1h};
            ServiceState state;
            state.isLeading = true;
            setServers(state, makeServers(servers));
            // Every second server is so slow that a request waits for one of the others.
            state.routes[route] = {std::chrono::duration<double>(workTime).count(), 100};
            for (ServerKey key = 1; key <= servers; ++key)
                learnLoad(state, key, {0, 0, slotsPerServer, key % 2 == 0 ? 4.0 : 1.0}, now);
            std::uint64_t ticket = 0;
            while (state.queue.size() < servers)
                requestAttempt(state, makeRequest(ticket++, now), now);
            const std::uint64_t before = state.examinedEntries;
            processQueue(state, now + 5ms);
            constexpr std::uint64_t looksPerEntry = 20;
            CPPUNIT_ASSERT_LESSEQUAL(looksPerEntry * 2 * servers, state.examinedEntries - before);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);
