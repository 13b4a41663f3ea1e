#include "historysimulation.h"

#include <algorithm>

namespace history {

using namespace std::chrono_literals;
using routing::AttemptStatus;

namespace {

std::shared_ptr<const AcceptedConfiguration> makeConfiguration()
{
    const char *text = "[availability-zone z]\nregion = r\n"
                       "[policy p]\naction_deadline = 300ms\nlookup_deadline = 200ms\n"
                       "probe_budget = 0\nqueue_limit = 8\nretry_budget = 1\n"
                       "[service orders]\npolicy = p\n"
                       "[backend-server b1]\nservice = orders\naddress = 127.0.0.1:9001\n"
                       "availability_zone = z\nslots = 1\n"
                       "[backend-server b2]\nservice = orders\naddress = 127.0.0.1:9002\n"
                       "availability_zone = z\nslots = 1\n";
    std::vector<Problem> problems;
    AcceptedConfiguration accepted;
    accepted.version = 1;
    accepted.objects = readObjects("history", text, problems);
    accepted.configuration = validate(accepted.objects, problems);
    if (!problems.empty())
        throw std::logic_error(problems.front().toString());
    return std::make_shared<const AcceptedConfiguration>(std::move(accepted));
}

} // namespace

Simulation::Simulation(std::uint64_t seed, Fault fault, bool isLogDown, bool isRecording)
    : m_random(seed), m_fault(fault), m_isLogDownAtStart(isLogDown), m_isRecording(isRecording)
{
    m_parameters.instance.availabilityZone = "z";
    m_parameters.keyMaxAge = has(Fault::Expiry) ? 400ms : 60s;
    m_parameters.clockTolerance = 20ms;
    m_parameters.ledgerEntries = chance(0.2) ? 3 : 1000;
    m_parameters.retainedAnswerBytes = chance(0.2) ? 4 : 100'000;
    m_parameters.defaultDeadline = 300ms;
    m_parameters.maxDeadline = 2s;
    m_retention = m_parameters.keyMaxAge + 2 * m_parameters.clockTolerance + 1ms;
    m_instances.resize(2 + m_random() % 3);
    m_nextIncarnation = 1 + (seed << 8);
}

std::string Simulation::run()
{
    for (std::size_t slot = 0; slot < m_instances.size(); ++slot)
        start(slot);
    scheduleHistory();
    constexpr Duration end = 6s;
    while (!m_tasks.empty() && m_tasks.top().at <= end && m_failure.empty()) {
        const Task task = m_tasks.top();
        m_tasks.pop();
        m_now = task.at;
        task.work();
    }
    return m_failure.empty() ? check() : m_failure;
}

void Simulation::schedule(Duration delay, std::function<void()> work)
{
    m_tasks.push({m_now + delay, m_order++, std::move(work)});
}

void Simulation::recordTraceLine(std::size_t slot, std::string line)
{
    line.insert(1, "\"instance\":\"i" + std::to_string(slot) + "\",");
    m_trace += line + '\n';
}

void Simulation::start(std::size_t slot)
{
    static const auto configuration = makeConfiguration();
    Instance &instance = m_instances[slot];
    instance = {};
    instance.isAlive = true;
    instance.incarnation = IncarnationId{m_nextIncarnation++};
    instance.clockSkew = std::chrono::milliseconds(m_random() % 20);
    engine::Parameters parameters = m_parameters;
    parameters.incarnation = instance.incarnation;
    parameters.instance.seed = instance.incarnation.value;
    instance.state = engine::makeState(parameters, TimePoint(m_now));
    if (m_isRecording)
        recordTraceLine(slot, engine::formatParameters(parameters));
    step(slot, engine::ConfigurationAccepted{configuration});
    if (m_isLogDown)
        step(slot, engine::LogStateChanged{false});
    readAll(slot);
    reportReachablePeers();
}

void Simulation::endPlannedStop(std::size_t slot)
{
    Instance &instance = m_instances[slot];
    for (const auto &[id, sent] : instance.sent) {
        if (sent.isDelivered && sent.replies == 0 && instance.isSealing)
            m_failure = "request " + std::to_string(id) + " was not replied to by a planned stop";
    }
    instance.isAlive = false;
    reportReachablePeers();
}

void Simulation::reportReachablePeers()
{
    for (std::size_t slot = 0; slot < m_instances.size(); ++slot)
        schedule(randomDuration(1, 100), [this, slot] { reportReachablePeers(slot); });
}

void Simulation::reportReachablePeers(std::size_t slot)
{
    engine::PeersChanged event;
    for (std::size_t other = 0; other < m_instances.size(); ++other) {
        const bool isCut = m_cutLinks.contains({std::min(slot, other), std::max(slot, other)});
        if (other != slot && m_instances[other].isAlive && !isCut)
            event.reachable.push_back(m_instances[other].incarnation);
    }
    deliver(slot, m_instances[slot].incarnation, event, Duration(0));
}

void Simulation::deliver(std::size_t slot, IncarnationId incarnation, Event event, Duration delay)
{
    schedule(delay, [this, slot, incarnation, event = std::move(event)] {
        Instance &instance = m_instances[slot];
        if (!instance.isAlive || instance.incarnation != incarnation)
            return;
        if (instance.isPaused)
            instance.queuedEvents.push_back(event);
        else
            step(slot, event);
    });
}

void Simulation::step(std::size_t slot, const Event &event)
{
    Instance &instance = m_instances[slot];
    std::vector<engine::Effect> effects;
    if (const auto *arrived = std::get_if<engine::RequestArrived>(&event))
        instance.sent.at(arrived->id).isDelivered = true;
    if (m_isRecording)
        recordTraceLine(slot, engine::formatEvent(event, m_now));
    engine::step(*instance.state, event, TimePoint(m_now), effects);
    for (const auto &effect : effects) {
        if (m_isRecording)
            recordTraceLine(slot, engine::formatEffect(effect, m_now));
        std::visit([this, slot](const auto &concrete) { apply(slot, concrete); }, effect);
    }
    scheduleTimer(slot);
}

void Simulation::scheduleTimer(std::size_t slot)
{
    Instance &instance = m_instances[slot];
    const Duration next = engine::nextDeadline(*instance.state).time_since_epoch();
    if (next >= instance.nextTimer || next > 1h)
        return;
    instance.nextTimer = std::max(next, m_now + 1us);
    schedule(instance.nextTimer - m_now, [this, slot, incarnation = instance.incarnation] {
        Instance &current = m_instances[slot];
        if (current.incarnation != incarnation || !current.isAlive || current.nextTimer > m_now)
            return;
        current.nextTimer = Duration::max();
        deliver(slot, incarnation, engine::TimeAdvanced{wallTime(current.clockSkew)}, Duration(0));
    });
}

void Simulation::apply(std::size_t slot, const engine::StartAttempt &effect)
{
    Instance &instance = m_instances[slot];
    const AttemptId attempt = effect.start.attempt;
    const IncarnationId incarnation = instance.incarnation;
    instance.attempts.insert(attempt);
    const auto key = instance.keyOfRequest.find(effect.start.request);
    if (instance.isSealing && key != instance.keyOfRequest.end())
        m_failure = "a request was dispatched after the seal";
    const bool isFaulty = has(Fault::BackendFault);
    const Duration delay =
        isFaulty && chance(0.2) ? randomDuration(100, 700) : randomDuration(1, 40);
    constexpr double refusalProbability = 0.2;
    if (isFaulty && chance(refusalProbability)) {
        const auto status = chance(0.5) ? AttemptStatus::ConnectFailed : AttemptStatus::Shed;
        return scheduleAttemptEnd(slot, incarnation, attempt, status, delay);
    }
    const bool isLost = isFaulty && chance(0.3);
    const bool isRun = !isLost || chance(0.7);
    if (isRun && key != instance.keyOfRequest.end()) {
        // The backend server runs the request even if the instance or the connection fails
        // meanwhile.
        schedule(delay, [this, index = key->second] {
            if (++m_keys[index].runs > 1 && m_keys[index].key)
                m_failure = "key " + m_keys[index].key->toString() + " ran twice";
        });
    }
    constexpr std::array failures = {AttemptStatus::ConnectionLost, AttemptStatus::AnswerInvalid,
                                     AttemptStatus::Timeout};
    scheduleAttemptEnd(slot, incarnation, attempt,
                       isLost ? failures[m_random() % failures.size()] : AttemptStatus::Answered,
                       isLost ? randomDuration(1, 300) : delay + randomDuration(0, 5));
}

void Simulation::scheduleAttemptEnd(std::size_t slot, IncarnationId incarnation, AttemptId attempt,
                                    AttemptStatus status, Duration delay)
{
    schedule(delay, [this, slot, incarnation, attempt, status] {
        Instance &instance = m_instances[slot];
        if (instance.incarnation != incarnation || instance.attempts.erase(attempt) == 0)
            return;
        static const auto answer =
            std::make_shared<const HttpResponse>(HttpResponse{200, {}, "printed"});
        engine::AttemptFinished event;
        event.result.attempt = attempt;
        event.result.status = status;
        event.result.httpStatus = status == AttemptStatus::Answered ? 200 : 0;
        if (status == AttemptStatus::Answered)
            event.response = answer;
        deliver(slot, incarnation, event, Duration(0));
    });
}

void Simulation::apply(std::size_t slot, const engine::CancelAttempt &effect)
{
    scheduleAttemptEnd(slot, m_instances[slot].incarnation, effect.attempt,
                       AttemptStatus::Cancelled, randomDuration(0, 3));
}

void Simulation::apply(std::size_t slot, const engine::Reply &effect)
{
    Instance &instance = m_instances[slot];
    const auto forward = instance.forwards.find(effect.id);
    SentRequest &sent = instance.sent.at(effect.id);
    if (++sent.replies > 1)
        m_failure = "request " + std::to_string(effect.id) + " was replied to twice";
    sent.outcome = effect.outcome;
    sent.error = effect.error;
    const auto key = instance.keyOfRequest.find(effect.id);
    if (key != instance.keyOfRequest.end()) {
        KeyRecord &entry = m_keys[key->second];
        entry.hasNotRunReply |= effect.outcome == Outcome::NotRun;
        entry.hasDoneReply |= effect.outcome == Outcome::Done;
        const bool hasCallerGone = effect.error == ErrorKind::CallerGone;
        if (forward == instance.forwards.end() && entry.key && !sent.isStatusQuery
            && !hasCallerGone)
            m_keyedReplies.push_back(sent);
    }
    if (forward == instance.forwards.end())
        return;
    const auto [from, incarnation, id] = forward->second;
    if (!m_cutLinks.contains({std::min(slot, from), std::max(slot, from)}))
        deliver(from, incarnation, engine::ForwardAnswered{id, effect.response},
                randomDuration(1, 5));
}

void Simulation::apply(std::size_t slot, const engine::ForwardRequest &effect)
{
    const IncarnationId from = m_instances[slot].incarnation;
    const Duration timeLeft = effect.deadline.time_since_epoch() - m_now;
    deliver(slot, from, engine::ForwardAnswered{effect.id, nullptr}, timeLeft);
    for (std::size_t other = 0; other < m_instances.size(); ++other) {
        Instance &owner = m_instances[other];
        const bool isCut = m_cutLinks.contains({std::min(slot, other), std::max(slot, other)});
        if (owner.incarnation != effect.owner || isCut || !owner.isAlive)
            continue;
        engine::RequestArrived event;
        event.id = owner.nextRequest++;
        event.service = effect.service;
        event.caller = effect.caller;
        event.request = *effect.request;
        event.key = effect.key;
        event.timeLeft = timeLeft;
        event.isStatusQuery = effect.isStatusQuery;
        event.forwardedBy = from;
        event.wallTime = wallTime(owner.clockSkew);
        const std::size_t key = m_instances[slot].keyOfRequest.at(effect.id);
        owner.keyOfRequest[event.id] = key;
        owner.sent[event.id] = {key, effect.isStatusQuery};
        owner.forwards[event.id] = {slot, from, effect.id};
        deliver(other, owner.incarnation, event, randomDuration(1, 5));
    }
}

void Simulation::apply(std::size_t, const engine::SendProbe &) { }

void Simulation::apply(std::size_t slot, const engine::SendHints &effect)
{
    for (std::size_t other = 0; other < m_instances.size(); ++other) {
        const bool isCut = m_cutLinks.contains({std::min(slot, other), std::max(slot, other)});
        if (other == slot || isCut || chance(0.1))
            continue;
        for (const auto &seal : effect.seals)
            deliver(other, m_instances[other].incarnation,
                    engine::SealHintReceived{m_instances[slot].incarnation, seal},
                    randomDuration(1, 9));
        for (const auto &suspicion : effect.suspicions)
            deliver(other, m_instances[other].incarnation,
                    engine::SuspicionHintReceived{{m_instances[slot].incarnation, 0}, suspicion},
                    randomDuration(1, 9));
    }
}

} // namespace history
