#include "fleet.h"

#include <algorithm>
#include <cmath>
#include <list>

namespace apricotrock::routing::bench {

namespace {

using namespace std::chrono_literals;

/// An attempt as a backend server sees it.
struct Job
{
    std::size_t instance = 0;
    AttemptId attempt = 0;
    Duration work{};
    TimePoint deadline;
};

struct Server
{
    std::deque<Job> waiting;
    std::list<Job> running;
    /// Requests sent and not yet ended; used by the oracle.
    std::size_t assigned = 0;
    LoadReport report;
    TimePoint reported;
};

struct Instance
{
    StatePtr state;
    std::unordered_map<AttemptId, std::size_t> serverOf;
    TimePoint wakeup = TimePoint::max();
};

class Fleet
{
public:
    Fleet(const FleetParameters &parameters, const std::vector<Arrival> &arrivals, Duration warmUp);
    FleetResult run();

private:
    using Action = std::function<void()>;

    void at(TimePoint time, Action action) { m_events.emplace(time, std::move(action)); }
    void arrive(std::size_t index);
    void arriveAtOracle(std::size_t index);
    void apply(std::size_t instance, const Output &output);
    void scheduleWakeup(std::size_t instance);
    void receive(std::size_t server, const Job &job);
    void startNext(std::size_t server);
    void finish(std::size_t server, std::list<Job>::iterator job);
    void cancel(std::size_t server, std::size_t instance, AttemptId attempt);
    void answer(std::size_t server, const Job &job, AttemptStatus status);
    void deliver(std::size_t instance, const AttemptResult &result);
    void sendHints(std::size_t instance);
    void recordEnd(std::size_t index, bool isCompleted);
    [[nodiscard]] double factor(std::size_t server) const;

    const FleetParameters m_parameters;
    const std::vector<Arrival> &m_arrivals;
    const Duration m_warmUp;
    std::multimap<TimePoint, Action> m_events;
    std::vector<Server> m_servers;
    std::vector<Instance> m_instances;
    TimePoint m_now;
    FleetResult m_result;
};

Configuration makeConfiguration(const FleetParameters &parameters)
{
    Configuration configuration;
    configuration.policies["p"] = parameters.policy;
    configuration.services["s"] = {"s", "p", 5};
    for (std::size_t i = 0; i < parameters.servers; ++i) {
        const std::string name = "b" + std::to_string(i);
        const Endpoint address{"127.0.0.1", static_cast<std::uint16_t>(1000 + i)};
        configuration.backendServers[name] = {
            name, "s", address, "z", parameters.slots, 200, BackendServerState::Active};
    }
    return configuration;
}

Fleet::Fleet(const FleetParameters &parameters, const std::vector<Arrival> &arrivals,
             Duration warmUp)
    : m_parameters(parameters), m_arrivals(arrivals), m_warmUp(warmUp),
      m_servers(parameters.servers), m_instances(parameters.instances)
{
    const Configuration configuration = makeConfiguration(parameters);
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        InstanceParameters instance{"a" + std::to_string(i), "z", 20, 1000 + i};
        m_instances[i].state = makeState(instance, m_now);
        m_instances[i].state->tuning = parameters.tuning;
        Output output;
        applyConfiguration(*m_instances[i].state, configuration, m_now, output);
        const auto phase =
            parameters.hintInterval * static_cast<int>(i) / static_cast<int>(m_instances.size());
        at(m_now + phase, [this, i] { sendHints(i); });
    }
    for (std::size_t i = 0; i < arrivals.size(); ++i)
        at(arrivals[i].time, [this, i] { arrive(i); });
}

FleetResult Fleet::run()
{
    const TimePoint end = m_arrivals.back().time + 2s;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        const auto event = m_events.begin();
        m_now = event->first;
        const Action action = std::move(event->second);
        m_events.erase(event);
        action();
    }
    for (const Instance &instance : m_instances) {
        m_result.hedges += counter(*instance.state, Counter::HedgeStarted);
        m_result.ejections += counter(*instance.state, Counter::EndpointEjected);
    }
    return std::move(m_result);
}

double Fleet::factor(std::size_t server) const
{
    const bool isSlow =
        server + 1 == m_servers.size() && m_now.time_since_epoch() >= m_parameters.stragglerFrom;
    return isSlow ? m_parameters.stragglerFactor : 1;
}

void Fleet::arrive(std::size_t index)
{
    const Arrival &arrival = m_arrivals[index];
    if (arrival.time.time_since_epoch() >= m_warmUp)
        ++m_result.requests;
    if (m_parameters.isOracle)
        return arriveAtOracle(index);
    const bool isLookup = arrival.requestClass == RequestClass::Lookup;
    Request request;
    request.id = index + 1;
    request.service = "s";
    request.requestClass = arrival.requestClass;
    request.caller = "caller" + std::to_string(index % 4);
    request.deadline =
        m_now + (isLookup ? m_parameters.lookupDeadline : m_parameters.actionDeadline);
    Output output;
    submitRequest(*m_instances[arrival.instance].state, request, m_now, output);
    apply(arrival.instance, output);
}

void Fleet::arriveAtOracle(std::size_t index)
{
    std::size_t best = 0;
    double bestScore = 0;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        const double ahead =
            std::max(0.0, static_cast<double>(m_servers[i].assigned + 1 - m_parameters.slots));
        const double wait = m_servers[i].assigned < m_parameters.slots
            ? 0
            : ahead / static_cast<double>(m_parameters.slots);
        const double score = factor(i) * (1 + wait);
        if (i == 0 || score < bestScore) {
            best = i;
            bestScore = score;
        }
    }
    ++m_servers[best].assigned;
    ++m_result.attempts;
    const bool isLookup = m_arrivals[index].requestClass == RequestClass::Lookup;
    const TimePoint deadline =
        m_now + (isLookup ? m_parameters.lookupDeadline : m_parameters.actionDeadline);
    const Job job{m_arrivals[index].instance, index, m_arrivals[index].work, deadline};
    at(m_now + m_parameters.oneWayLatency, [this, best, job] { receive(best, job); });
}

void Fleet::apply(std::size_t index, const Output &output)
{
    Instance &instance = m_instances[index];
    for (const AttemptId attempt : output.cancels) {
        const std::size_t server = instance.serverOf.at(attempt);
        instance.serverOf.erase(attempt);
        at(m_now + m_parameters.oneWayLatency, [=, this] { cancel(server, index, attempt); });
    }
    for (const AttemptStart &start : output.starts) {
        ++m_result.attempts;
        const std::size_t server = start.address.port - 1000U;
        instance.serverOf[start.attempt] = server;
        const Job job{index, start.attempt, m_arrivals[start.request - 1].work, start.deadline};
        at(m_now + m_parameters.oneWayLatency, [this, server, job] { receive(server, job); });
        at(start.deadline, [this, index, server, attempt = start.attempt] {
            if (!m_instances[index].serverOf.contains(attempt))
                return;
            at(m_now + m_parameters.oneWayLatency, [=, this] { cancel(server, index, attempt); });
            AttemptResult result;
            result.attempt = attempt;
            result.status = AttemptStatus::Timeout;
            deliver(index, result);
        });
    }
    for (const auto &[request, attempt] : output.completions)
        recordEnd(request - 1, true);
    for (const RequestFailure &failure : output.failures) {
        if (m_arrivals[failure.request - 1].time.time_since_epoch() >= m_warmUp)
            ++m_result.failures[std::string(errorInfo(failure.kind).name)];
        recordEnd(failure.request - 1, false);
    }
    scheduleWakeup(index);
}

void Fleet::scheduleWakeup(std::size_t index)
{
    Instance &instance = m_instances[index];
    const TimePoint next = std::max(m_now, nextDeadline(*instance.state));
    if (instance.wakeup <= next && instance.wakeup > m_now)
        return;
    instance.wakeup = next;
    at(next, [this, index, next] {
        if (m_instances[index].wakeup != next)
            return;
        m_instances[index].wakeup = TimePoint::max();
        Output output;
        advanceTime(*m_instances[index].state, m_now, output);
        apply(index, output);
    });
}

void Fleet::receive(std::size_t server, const Job &job)
{
    if (m_servers[server].waiting.size() >= m_parameters.serverQueue)
        return answer(server, job, AttemptStatus::Shed);
    m_servers[server].waiting.push_back(job);
    startNext(server);
}

void Fleet::startNext(std::size_t index)
{
    Server &server = m_servers[index];
    while (server.running.size() < m_parameters.slots && !server.waiting.empty()) {
        const Job job = server.waiting.front();
        server.waiting.pop_front();
        if (job.deadline <= m_now) {
            answer(index, job, AttemptStatus::Timeout);
            continue;
        }
        const auto entry = server.running.insert(server.running.end(), job);
        const auto work = toDuration(Seconds(job.work) * factor(index));
        at(m_now + work, [this, index, job, entry] {
            // A cancelled job is no longer in the list, so its iterator must not be used.
            auto &running = m_servers[index].running;
            for (auto it = running.begin(); it != running.end(); ++it) {
                if (it->instance == job.instance && it->attempt == job.attempt)
                    return finish(index, it);
            }
        });
    }
}

void Fleet::finish(std::size_t server, std::list<Job>::iterator entry)
{
    const Job job = *entry;
    m_servers[server].running.erase(entry);
    startNext(server);
    answer(server, job, AttemptStatus::Answered);
}

void Fleet::cancel(std::size_t index, std::size_t instance, AttemptId attempt)
{
    Server &server = m_servers[index];
    const auto isIt = [&](const Job &job) {
        return job.instance == instance && job.attempt == attempt;
    };
    std::erase_if(server.waiting, isIt);
    server.running.remove_if(isIt);
    startNext(index);
}

void Fleet::answer(std::size_t index, const Job &job, AttemptStatus status)
{
    Server &server = m_servers[index];
    --server.assigned;
    if (m_parameters.isOracle) {
        const bool isCompleted =
            status == AttemptStatus::Answered && m_now + m_parameters.oneWayLatency <= job.deadline;
        at(m_now + m_parameters.oneWayLatency, [this, job, isCompleted] {
            recordEnd(static_cast<std::size_t>(job.attempt), isCompleted);
        });
        return;
    }
    AttemptResult result;
    result.attempt = job.attempt;
    result.status = status;
    result.httpStatus = status == AttemptStatus::Answered ? 200 : 503;
    if (m_now - server.reported >= m_parameters.reportAge) {
        server.reported = m_now;
        server.report = {static_cast<std::uint32_t>(server.running.size()),
                         static_cast<std::uint32_t>(server.waiting.size()),
                         static_cast<std::uint32_t>(m_parameters.slots)};
    }
    result.load = server.report;
    at(m_now + m_parameters.oneWayLatency, [this, job, result] { deliver(job.instance, result); });
}

void Fleet::deliver(std::size_t instance, const AttemptResult &result)
{
    if (m_instances[instance].serverOf.erase(result.attempt) == 0)
        return;
    Output output;
    finishAttempt(*m_instances[instance].state, result, m_now, output);
    apply(instance, output);
}

void Fleet::sendHints(std::size_t instance)
{
    for (LoadHint hint : collectHints(*m_instances[instance].state, m_now, 16)) {
        hint.age += m_parameters.oneWayLatency;
        for (std::size_t i = 1; i <= m_parameters.hintFanOut; ++i) {
            const std::size_t peer = (instance + i * i) % m_instances.size();
            applyLoadHint(*m_instances[peer].state, hint, m_now);
        }
    }
    at(m_now + m_parameters.hintInterval, [this, instance] { sendHints(instance); });
}

void Fleet::recordEnd(std::size_t index, bool isCompleted)
{
    const Arrival &arrival = m_arrivals[index];
    if (arrival.time.time_since_epoch() < m_warmUp)
        return;
    if (isCompleted) {
        ++m_result.completed;
        m_result.completedWork += arrival.work;
    }
    const double failed = 1e9;
    if (arrival.requestClass == RequestClass::Lookup)
        m_result.lookupMilliseconds.push_back(
            isCompleted ? Seconds(m_now - arrival.time).count() * 1000 : failed);
}

} // namespace

std::vector<Arrival> makeArrivals(std::uint64_t seed, double perSecond, Duration length,
                                  Duration meanWork, std::size_t instances)
{
    std::mt19937_64 random(seed);
    constexpr double sigma = 0.6;
    constexpr double actionShare = 0.1;
    std::vector<Arrival> arrivals;
    Seconds time{};
    while (time < length) {
        time += Seconds(-std::log(1 - randomFraction(random)) / perSecond);
        const double radius = std::sqrt(-2 * std::log(1 - randomFraction(random)));
        const double normal = radius * std::cos(2 * 3.14159265358979 * randomFraction(random));
        const double work =
            Seconds(meanWork).count() * std::exp(sigma * normal - sigma * sigma / 2);
        const bool isAction = randomFraction(random) < actionShare;
        arrivals.push_back({TimePoint(toDuration(time)), randomIndex(random, instances),
                            isAction ? RequestClass::Action : RequestClass::Lookup,
                            toDuration(Seconds(work))});
    }
    return arrivals;
}

FleetResult replay(const FleetParameters &parameters, const std::vector<Arrival> &arrivals,
                   Duration warmUp)
{
    return Fleet(parameters, arrivals, warmUp).run();
}

} // namespace apricotrock::routing::bench
