#pragma once

#include "apricotrock/broker.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace apricotrock::broker::simulation {

using namespace std::chrono_literals;

inline constexpr unsigned slotsPerServer = 4;
inline constexpr RouteKey route = 7;
inline constexpr Duration objective = 800ms;
inline constexpr Duration routeTimeout = 2500ms;
/// Time after which a sender decides without the leader.
inline constexpr Duration requestTimeout = 40ms;
inline constexpr Duration workTime = 280ms;
inline constexpr Duration passTimerInterval = 5ms;
inline constexpr Duration probeTick = 25ms;
/// Requests per second and server; the burst is more than the servers can do in time.
inline constexpr double calmRatePerServer = 6;
inline constexpr double burstRatePerServer = 9;
inline constexpr double slowdownOfSlow = 4.0;
/// Factor by which a request takes longer on a server without a free slot.
inline constexpr double fullServerFactor = 1.7;
/// Time in which a server rejects a request that it does not run.
inline constexpr Duration rejectionTime = 3ms;
/// A hedge is requested after this multiple of the expected duration, as the gateway does.
inline constexpr double hedgeFactor = 1.6;
/// Added to the ticket of a call for its hedge.
inline constexpr std::uint64_t hedgeTicket = std::uint64_t(1) << 40U;
/// Number of servers that a call tries if they reject it.
inline constexpr unsigned maxAttemptsPerCall = 3;
/// Processor time of the leader for one examined entry and for one message, on half of a core.
inline constexpr Duration entryCost = 90ns;
inline constexpr Duration messageCost = 50us;

inline std::vector<ServerInfo> makeServers(unsigned count)
{
    std::vector<ServerInfo> servers;
    for (unsigned i = 1; i <= count; ++i)
        servers.push_back({i, slotsPerServer, true, {}, i % 4});
    return servers;
}

inline AttemptRequest makeRequest(std::uint64_t ticket, TimePoint now)
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

    /// Hedges attempts that take longer than expected, within \a limit as Policy::hedgeLimit.
    void enableHedges(std::optional<double> limit)
    {
        m_isHedging = true;
        m_leader.state.policy.hedgeLimit = limit;
        for (Decider &each : m_senders)
            each.state.policy.hedgeLimit = limit;
    }

    /// The machines are \a factor times slower in place of the usual slowness, \a share of them at
    /// a time, each for a \a period, and do not report it.
    void setHiddenSlowness(double share, double factor, Duration period)
    {
        m_hiddenSlowShare = share;
        m_hiddenSlowFactor = factor;
        m_hiddenSlowPeriod = period;
    }

    /// An attempt that has ended, for any reason.
    struct EndedAttempt
    {
        TimePoint started;
        TimePoint ended;
        bool isHedge = false;
    };
    [[nodiscard]] const std::vector<EndedAttempt> &endedAttempts() const { return m_ended; }

    /// Returns the latencies of the calls started in a period in ascending order; those without
    /// an answer count with the time-out.
    [[nodiscard]] std::vector<Duration> latencies(TimePoint begin, TimePoint end) const
    {
        std::vector<Duration> sorted;
        for (const Call &call : m_calls) {
            if (call.started >= begin && call.started < end)
                sorted.push_back(call.answered.value_or(call.started + m_timeout) - call.started);
        }
        std::sort(sorted.begin(), sorted.end());
        return sorted;
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
        unsigned hedgeRefusals = 0;
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
                std::max({m_freeSince, callOf(each.key).started, m_sheddingBegin});
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
        AttemptRequest request = simulation::makeRequest(ticket, call.started);
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
            callOf(request.key).isQueued = true;
            return processQueueOf(m_leader);
        });
        after(requestTimeout, [this, request] { fallBack(request); });
    }

    void fallBack(const AttemptRequest &request)
    {
        Call &call = callOf(request.key);
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

    Decider &senderOf(std::size_t ticket)
    {
        return m_senders[ticket % hedgeTicket % m_senders.size()];
    }

    Call &callOf(const AttemptKey &key) { return m_calls[key.ticket % hedgeTicket]; }

    static bool isHedge(const AttemptKey &key) { return key.ticket >= hedgeTicket; }

    void release(const AttemptEnd &end)
    {
        sendToLeader([this, end] {
            broker::release(m_leader.state, end, m_now);
            return processQueueOf(m_leader);
        });
    }

    /// Requests a second attempt beside \a first after \a delay, unless it is answered before.
    void scheduleHedge(const Decision &first, Duration delay)
    {
        after(delay, [this, first] {
            if (callOf(first.key).answered || !m_running.contains(first.key.ticket))
                return;
            AttemptRequest request = makeRequest(first.key.ticket);
            request.key.ticket += hedgeTicket;
            request.isHedge = true;
            request.earlierAttempts = 1;
            request.excluded[0] = first.server;
            sendToLeader([this, request, first] {
                const Decision decision = requestAttempt(m_leader.state, request, m_now);
                if (decision.verdict == Verdict::Refused)
                    scheduleHedge(first, hedgeRetryDelay(++callOf(first.key).hedgeRefusals));
                return std::vector<Decision>{decision};
            });
        });
    }

    void handleHedgeDecision(const Decision &decision)
    {
        if (decision.verdict != Verdict::Granted)
            return;
        if (callOf(decision.key).answered)
            release({decision.key, decision.server, AttemptOutcome::Cancelled, std::nullopt, {}});
        else
            startAttempt(decision);
    }

    void handleDecision(const Decision &decision, bool isFallback)
    {
        if (isHedge(decision.key)) {
            handleHedgeDecision(decision);
            return;
        }
        Call &call = callOf(decision.key);
        if (call.isFallback != isFallback)
            return;
        call.isDecided = true;
        call.isRefusedByQueue = decision.reason == RefusalReason::QueueFull;
        if (decision.verdict != Verdict::Granted)
            return;
        startAttempt(decision);
        if (m_isHedging)
            scheduleHedge(decision,
                          std::chrono::duration_cast<Duration>(decision.expected * hedgeFactor));
    }

    /// Sends a call that a server has rejected to another one.
    void retry(const Decision &decision)
    {
        Call &call = callOf(decision.key);
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
        Call &call = callOf(decision.key);
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
        m_running[decision.key.ticket] = server.waiting.back();
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
            const TimePoint deadline = callOf(attempt.decision.key).started + m_timeout;
            if (m_now >= deadline) {
                finishAttempt(attempt, AttemptOutcome::TimedOut);
                continue;
            }
            ++server.running;
            const double factor = slowdownOf(attempt.decision.server)
                * (server.running >= slotsPerServer ? fullServerFactor : 1.0);
            const auto duration =
                std::chrono::duration_cast<Duration>(workTime * factor * workFactor());
            const bool isTimedOut = m_now + duration > deadline;
            after(std::min(duration, deadline - m_now), [this, &server, attempt, isTimedOut] {
                if (!m_running.contains(attempt.decision.key.ticket))
                    return;
                finishAttempt(attempt,
                              isTimedOut ? AttemptOutcome::TimedOut : AttemptOutcome::Answered);
                --server.running;
                runNext(server);
            });
            return;
        }
    }

    /// Ends the other attempt of a call that was answered.
    void cancel(std::uint64_t ticket)
    {
        const auto found = m_running.find(ticket);
        if (found == m_running.end())
            return;
        const Attempt attempt = found->second;
        Server &server = m_servers[attempt.decision.server];
        const auto isCancelled = [ticket](const Attempt &each) {
            return each.decision.key.ticket == ticket;
        };
        const bool wasWaiting = std::erase_if(server.waiting, isCancelled) > 0;
        server.running -= wasWaiting ? 0 : 1;
        finishAttempt(attempt, AttemptOutcome::Cancelled);
        runNext(server);
    }

    [[nodiscard]] double slowdownOf(ServerKey server) const
    {
        if (m_hiddenSlowShare == 0)
            return loadOf(server).slowdown;
        const std::array<std::int64_t, 2> seed = {m_now.time_since_epoch() / m_hiddenSlowPeriod,
                                                  static_cast<std::int64_t>(server)};
        const std::uint64_t hash =
            hash64({reinterpret_cast<const char *>(seed.data()), sizeof(seed)});
        const bool isSlowNow = static_cast<double>(hash % 1000) < m_hiddenSlowShare * 1000;
        return isSlowNow ? m_hiddenSlowFactor : 1.0;
    }

    /// Other programs slow down a quarter of the machines for 900 ms at a time.
    [[nodiscard]] bool isSlow(ServerKey server) const
    {
        if (m_hiddenSlowShare > 0)
            return false;
        return (m_now.time_since_epoch() / 300ms + static_cast<std::int64_t>(server) * 7) % 12 < 3;
    }

    void finishAttempt(const Attempt &attempt, AttemptOutcome outcome)
    {
        const Decision &decision = attempt.decision;
        AttemptEnd end{decision.key, decision.server, outcome, std::nullopt,
                       m_now - attempt.started};
        Call &call = callOf(decision.key);
        m_running.erase(decision.key.ticket);
        m_ended.push_back({attempt.started, m_now, isHedge(decision.key)});
        if (outcome == AttemptOutcome::Answered) {
            call.answered = m_now;
            cancel(isHedge(decision.key) ? decision.key.ticket - hedgeTicket
                                         : decision.key.ticket + hedgeTicket);
        }
        if (outcome != AttemptOutcome::TimedOut && outcome != AttemptOutcome::Cancelled)
            end.load = loadOf(decision.server);
        Decider &sender = senderOf(decision.key.ticket);
        recordAttemptEnd(sender.state, end, m_now);
        decideLocally(sender);
        if (!call.isFallback || isHedge(decision.key))
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
    bool m_isHedging = false;
    double m_hiddenSlowShare = 0;
    double m_hiddenSlowFactor = 1;
    Duration m_hiddenSlowPeriod{};
    std::vector<Call> m_calls;
    /// Attempts that run or wait on a server, by ticket.
    std::unordered_map<std::uint64_t, Attempt> m_running;
    std::vector<EndedAttempt> m_ended;
    std::deque<Handler> m_leaderInput;
    bool m_isLeaderBusy = false;
    double m_sheddingShare = 0;
    TimePoint m_sheddingBegin;
    TimePoint m_sheddingEnd;
    TimePoint m_freeSince = start;
    Duration m_longestWaitBesideFree{};
};

} // namespace apricotrock::broker::simulation
