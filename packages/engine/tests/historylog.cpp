#include "historysimulation.h"

namespace history {

void Simulation::setLogDown(bool isDown)
{
    m_isLogDown = isDown;
    for (std::size_t slot = 0; slot < m_instances.size(); ++slot)
        deliver(slot, m_instances[slot].incarnation, engine::LogStateChanged{!isDown},
                randomDuration(1, 30));
    if (isDown)
        return;
    for (auto &work : std::exchange(m_afterOutage, {}))
        work();
}

void Simulation::apply(std::size_t slot, const engine::AppendEntries &effect)
{
    Instance &instance = m_instances[slot];
    wire::LogRecordT content;
    content.incarnation = instance.incarnation.value;
    content.sequence = instance.nextSequence++;
    for (const auto &entry : effect.entries)
        content.entries.push_back(std::make_unique<wire::LogEntryT>(*entry));
    const auto record = std::make_shared<const wire::LogRecordT>(std::move(content));
    const Duration deadline = effect.deadline.time_since_epoch();
    const bool isFaulty = has(Fault::AppendFault);
    if (isFaulty && chance(0.1))
        return;
    const Duration delay = isFaulty && chance(0.2) ? randomDuration(50, 900) : randomDuration(1, 5);
    schedule(delay, [this, record, deadline] { append(record, deadline); });
    // Simulates a lost acknowledgement, after which the record is appended a second time.
    if (isFaulty && chance(0.2))
        schedule(randomDuration(5, 900), [this, record, deadline] { append(record, deadline); });
}

void Simulation::append(const std::shared_ptr<const wire::LogRecordT> &record, Duration deadline)
{
    if (m_isLogDown) {
        m_afterOutage.emplace_back([this, record, deadline] {
            if (m_now <= deadline)
                append(record, deadline);
        });
        return;
    }
    m_log.push_back({record, m_now + m_retention});
    for (std::size_t slot = 0; slot < m_instances.size(); ++slot)
        scheduleRead(slot, m_log.size() - 1);
}

void Simulation::scheduleRead(std::size_t slot, std::size_t offset)
{
    Instance &instance = m_instances[slot];
    if (!instance.isAlive)
        return;
    const Duration delay = chance(0.02) ? randomDuration(50, 400) : randomDuration(1, 8);
    instance.lastRead = std::max(instance.lastRead, m_now + delay);
    const IncarnationId incarnation = instance.incarnation;
    schedule(instance.lastRead - m_now, [this, slot, incarnation, offset] {
        Instance &reader = m_instances[slot];
        if (reader.incarnation != incarnation || !reader.isAlive)
            return;
        if (m_isLogDown) {
            m_afterOutage.emplace_back([this, slot, incarnation, offset] {
                if (m_instances[slot].incarnation == incarnation)
                    scheduleRead(slot, offset);
            });
            return;
        }
        if (m_log[offset].expires > m_now)
            deliver(slot, incarnation,
                    engine::LogRecordRead{offset, m_log[offset].record, wallTime(reader.clockSkew)},
                    Duration(0));
    });
}

void Simulation::readAll(std::size_t slot)
{
    for (std::size_t offset = 0; offset < m_log.size(); ++offset)
        scheduleRead(slot, offset);
}

} // namespace history
