#include "historysimulation.h"

#include <algorithm>

namespace history {

using namespace std::chrono_literals;

std::optional<std::size_t> Simulation::randomLiveSlot()
{
    std::vector<std::size_t> live;
    for (std::size_t slot = 0; slot < m_instances.size(); ++slot) {
        if (m_instances[slot].isAlive)
            live.push_back(slot);
    }
    if (live.empty())
        return std::nullopt;
    return live[m_random() % live.size()];
}

void Simulation::scheduleHistory()
{
    if (m_isLogDownAtStart) {
        schedule(randomDuration(0, 30), [this] { setLogDown(true); });
        // Half of the outages end while callers are still sending requests.
        schedule(chance(0.5) ? randomDuration(300, 1500) : 4s, [this] { setLogDown(false); });
    }
    scheduleFaults();
    const std::size_t keys = 2 + m_random() % 4;
    for (std::size_t i = 0; i < keys; ++i)
        schedule(randomDuration(20, 600), [this] { sendNewKey(); });
    for (int i = 0; i < 3; ++i)
        schedule(randomDuration(20, 900), [this] { sendLookup(); });
}

void Simulation::scheduleFaults()
{
    if (has(Fault::Kill))
        schedule(randomDuration(50, 900), [this] { kill(m_random() % m_instances.size()); });
    if (has(Fault::Pause)) {
        for (int i = 0; i < 2; ++i)
            schedule(randomDuration(50, 900), [this] { pause(m_random() % m_instances.size()); });
    }
    if (has(Fault::PeerCut)) {
        schedule(randomDuration(10, 600), [this] {
            for (std::size_t a = 0; a < m_instances.size(); ++a) {
                for (std::size_t b = a + 1; b < m_instances.size(); ++b) {
                    if (chance(0.5))
                        m_cutLinks.emplace(a, b);
                }
            }
            schedule(randomDuration(50, 300), [this] { reportReachablePeers(); });
        });
        schedule(randomDuration(700, 1500), [this] {
            m_cutLinks.clear();
            reportReachablePeers();
        });
    }
    if (has(Fault::Replacement)) {
        for (std::size_t slot = 0; slot < m_instances.size(); ++slot)
            schedule(randomDuration(100, 900), [this, slot] { kill(slot); });
    }
    if (has(Fault::PlannedStop))
        schedule(randomDuration(100, 700),
                 [this] { stopPlanned(m_random() % m_instances.size()); });
}

void Simulation::sendNewKey()
{
    const auto slot = randomLiveSlot();
    if (!slot)
        return;
    KeyRecord entry;
    const auto clockSkew = std::chrono::milliseconds(m_random() % 20);
    if (chance(0.85)) {
        entry.key =
            IdempotencyKey{std::nullopt, Uuid7::make(wallTime(clockSkew), m_random(), m_random())};
        if (chance(0.5))
            entry.key->owner = m_instances[*slot].incarnation;
    }
    m_keys.push_back(entry);
    const std::size_t index = m_keys.size() - 1;
    send(index, false);
    if (!entry.key)
        return;
    const int resends = int(m_random() % 5);
    const int spread = has(Fault::Expiry) ? 1500 : 700;
    for (int i = 0; i < resends; ++i)
        schedule(randomDuration(0, spread), [this, index] { send(index, chance(0.15)); });
}

void Simulation::send(std::size_t key, bool isStatusQuery)
{
    const auto slot = randomLiveSlot();
    if (!slot)
        return;
    Instance &instance = m_instances[*slot];
    engine::RequestArrived event;
    event.id = instance.nextRequest++;
    event.service = "orders";
    event.caller = "desk";
    event.request = {isStatusQuery ? "GET" : "POST", "/print", {}, "book " + std::to_string(key)};
    if (chance(0.02))
        event.request.body = "another book";
    event.key = m_keys[key].key;
    if (chance(0.5))
        event.timeLeft = randomDuration(5, 600);
    event.isStatusQuery = isStatusQuery;
    event.wallTime = wallTime(instance.clockSkew);
    instance.keyOfRequest[event.id] = key;
    instance.sent[event.id] = {key, isStatusQuery};
    deliver(*slot, instance.incarnation, event, 0ms);
    if (chance(0.1))
        deliver(*slot, instance.incarnation, engine::CallerGone{event.id}, randomDuration(1, 200));
}

void Simulation::sendLookup()
{
    const auto slot = randomLiveSlot();
    if (!slot)
        return;
    Instance &instance = m_instances[*slot];
    engine::RequestArrived event;
    event.id = instance.nextRequest++;
    event.service = "orders";
    event.request = {"GET", "/orders/1", {}, ""};
    event.wallTime = wallTime(instance.clockSkew);
    instance.sent[event.id].isLookup = true;
    deliver(*slot, instance.incarnation, event, 0ms);
}

void Simulation::kill(std::size_t slot)
{
    if (!m_instances[slot].isAlive || m_instances[slot].isSealing)
        return;
    m_instances[slot].isAlive = false;
    reportReachablePeers();
    schedule(randomDuration(20, 500), [this, slot] { start(slot); });
}

void Simulation::pause(std::size_t slot)
{
    Instance &instance = m_instances[slot];
    if (!instance.isAlive || instance.isPaused)
        return;
    instance.isPaused = true;
    schedule(randomDuration(50, 1500), [this, slot, incarnation = instance.incarnation] {
        Instance &resumed = m_instances[slot];
        if (resumed.incarnation != incarnation || !resumed.isAlive)
            return;
        resumed.isPaused = false;
        std::vector<Event> events = std::exchange(resumed.queuedEvents, {});
        // After a pause, a timer may fire only after the ring buffers have been drained.
        if (chance(0.5))
            std::stable_partition(events.begin(), events.end(), [](const Event &event) {
                return !std::holds_alternative<engine::TimeAdvanced>(event);
            });
        const bool isPauseReportedFirst = chance(0.5);
        if (isPauseReportedFirst)
            step(slot, engine::PauseDetected{1s});
        for (const Event &event : events)
            step(slot, event);
        if (!isPauseReportedFirst)
            step(slot, engine::PauseDetected{1s});
    });
}

void Simulation::stopPlanned(std::size_t slot)
{
    Instance &instance = m_instances[slot];
    if (!instance.isAlive || instance.isPaused)
        return;
    instance.isSealing = true;
    step(slot, engine::SealRequested{});
    schedule(randomDuration(10, 200), [this, slot, incarnation = instance.incarnation] {
        if (m_instances[slot].incarnation != incarnation || m_instances[slot].isPaused)
            return;
        endPlannedStop(slot);
        schedule(randomDuration(20, 500), [this, slot] { start(slot); });
    });
}

std::string Simulation::check()
{
    if (!m_failure.empty())
        return m_failure;
    for (const KeyRecord &entry : m_keys) {
        const std::string name = entry.key ? entry.key->toString() : "without a key";
        if (entry.runs > 1)
            return "request " + name + " ran twice";
        if (entry.hasNotRunReply && entry.runs > 0)
            return "request " + name + " ran but was answered as not run";
        if (entry.hasDoneReply && entry.runs == 0)
            return "request " + name + " did not run but was answered as done";
    }
    for (const Instance &instance : m_instances) {
        for (const auto &[id, sent] : instance.sent) {
            if (instance.isAlive && sent.isDelivered && sent.replies != 1)
                return "request " + std::to_string(id) + " of instance "
                    + instance.incarnation.toString() + " got " + std::to_string(sent.replies)
                    + " replies";
        }
    }
    return {};
}

} // namespace history
