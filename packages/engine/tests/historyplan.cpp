#include "historyworld.h"

#include <algorithm>

namespace history {

using namespace std::chrono_literals;

std::optional<std::size_t> World::liveSlot()
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

void World::plan()
{
    if (m_isLogDownAtStart) {
        at(between(0, 30), [this] { setLogDown(true); });
        // Half of the outages end while callers still send.
        at(chance(0.5) ? between(300, 1500) : 4s, [this] { setLogDown(false); });
    }
    planFaults();
    const std::size_t keys = 2 + m_random() % 4;
    for (std::size_t i = 0; i < keys; ++i)
        at(between(20, 600), [this] { planKey(); });
    for (int i = 0; i < 3; ++i)
        at(between(20, 900), [this] { sendLookup(); });
}

void World::planFaults()
{
    if (has(Fault::Kill))
        at(between(50, 900), [this] { kill(m_random() % m_instances.size()); });
    if (has(Fault::Pause)) {
        for (int i = 0; i < 2; ++i)
            at(between(50, 900), [this] { pause(m_random() % m_instances.size()); });
    }
    if (has(Fault::PeerCut)) {
        at(between(10, 600), [this] {
            for (std::size_t a = 0; a < m_instances.size(); ++a) {
                for (std::size_t b = a + 1; b < m_instances.size(); ++b) {
                    if (chance(0.5))
                        m_cuts.emplace(a, b);
                }
            }
            at(between(50, 300), [this] { tellPeers(); });
        });
        at(between(700, 1500), [this] {
            m_cuts.clear();
            tellPeers();
        });
    }
    if (has(Fault::Replacement)) {
        for (std::size_t slot = 0; slot < m_instances.size(); ++slot)
            at(between(100, 900), [this, slot] { kill(slot); });
    }
    if (has(Fault::PlannedStop))
        at(between(100, 700), [this] { stopPlanned(m_random() % m_instances.size()); });
}

void World::planKey()
{
    const auto slot = liveSlot();
    if (!slot)
        return;
    KeyRecord entry;
    const auto skew = std::chrono::milliseconds(m_random() % 20);
    if (chance(0.85)) {
        entry.key =
            IdempotencyKey{std::nullopt, Uuid7::make(wallTime(skew), m_random(), m_random())};
        if (chance(0.5))
            entry.key->owner = m_instances[*slot].incarnation;
    }
    m_keys.push_back(entry);
    const std::size_t index = m_keys.size() - 1;
    send(index, false);
    if (!entry.key)
        return;
    const int copies = int(m_random() % 5);
    const int spread = has(Fault::Expiry) ? 1500 : 700;
    for (int i = 0; i < copies; ++i)
        at(between(0, spread), [this, index] { send(index, chance(0.15)); });
}

void World::send(std::size_t key, bool isStatusQuery)
{
    const auto slot = liveSlot();
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
        event.timeLeft = between(5, 600);
    event.isStatusQuery = isStatusQuery;
    event.wallTime = wallTime(instance.skew);
    instance.keyOfRequest[event.id] = key;
    instance.sent[event.id] = {key, isStatusQuery};
    deliver(*slot, instance.incarnation, event, 0ms);
    if (chance(0.1))
        deliver(*slot, instance.incarnation, engine::CallerGone{event.id}, between(1, 200));
}

void World::sendLookup()
{
    const auto slot = liveSlot();
    if (!slot)
        return;
    Instance &instance = m_instances[*slot];
    engine::RequestArrived event;
    event.id = instance.nextRequest++;
    event.service = "orders";
    event.request = {"GET", "/orders/1", {}, ""};
    event.wallTime = wallTime(instance.skew);
    instance.sent[event.id].isLookup = true;
    deliver(*slot, instance.incarnation, event, 0ms);
}

void World::kill(std::size_t slot)
{
    if (!m_instances[slot].isAlive || m_instances[slot].isSealing)
        return;
    m_instances[slot].isAlive = false;
    tellPeers();
    at(between(20, 500), [this, slot] { start(slot); });
}

void World::pause(std::size_t slot)
{
    Instance &instance = m_instances[slot];
    if (!instance.isAlive || instance.isPaused)
        return;
    instance.isPaused = true;
    at(between(50, 1500), [this, slot, incarnation = instance.incarnation] {
        Instance &resumed = m_instances[slot];
        if (resumed.incarnation != incarnation || !resumed.isAlive)
            return;
        resumed.isPaused = false;
        std::vector<Event> events = std::exchange(resumed.withheld, {});
        // After a pause a timer may run later than the rings are drained.
        if (chance(0.5))
            std::stable_partition(events.begin(), events.end(), [](const Event &event) {
                return !std::holds_alternative<engine::TimeAdvanced>(event);
            });
        const bool isToldFirst = chance(0.5);
        if (isToldFirst)
            step(slot, engine::PauseDetected{1s});
        for (const Event &event : events)
            step(slot, event);
        if (!isToldFirst)
            step(slot, engine::PauseDetected{1s});
    });
}

void World::stopPlanned(std::size_t slot)
{
    Instance &instance = m_instances[slot];
    if (!instance.isAlive || instance.isPaused)
        return;
    instance.isSealing = true;
    step(slot, engine::SealRequested{});
    at(between(10, 200), [this, slot, incarnation = instance.incarnation] {
        if (m_instances[slot].incarnation != incarnation || m_instances[slot].isPaused)
            return;
        retire(slot);
        at(between(20, 500), [this, slot] { start(slot); });
    });
}

std::string World::check()
{
    if (!m_failure.empty())
        return m_failure;
    for (const KeyRecord &entry : m_keys) {
        const std::string name = entry.key ? entry.key->toString() : "without a key";
        if (entry.runs > 1)
            return "request " + name + " ran twice";
        if (entry.isNotRunAnswered && entry.runs > 0)
            return "request " + name + " ran but was answered as not run";
        if (entry.isDoneAnswered && entry.runs == 0)
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
