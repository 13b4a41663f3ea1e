#include "historyworld.h"

namespace history {

void World::setLogDown(bool isDown)
{
    m_isLogDown = isDown;
    for (std::size_t slot = 0; slot < m_instances.size(); ++slot)
        deliver(slot, m_instances[slot].incarnation, engine::LogStateChanged{!isDown},
                between(1, 30));
    if (isDown)
        return;
    for (auto &work : std::exchange(m_afterOutage, {}))
        work();
}

void World::apply(std::size_t slot, const engine::AppendEntries &effect)
{
    Instance &instance = m_instances[slot];
    wire::LogRecordT content;
    content.incarnation = instance.incarnation.value;
    content.sequence = instance.nextSequence++;
    for (const auto &entry : effect.entries)
        content.entries.push_back(std::make_unique<wire::EntryHolderT>(*entry));
    const auto record = std::make_shared<const wire::LogRecordT>(std::move(content));
    const Duration deadline = effect.deadline.time_since_epoch();
    const bool isFaulty = has(Fault::AppendFault);
    if (isFaulty && chance(0.1))
        return;
    const Duration delay = isFaulty && chance(0.2) ? between(50, 900) : between(1, 5);
    at(delay, [this, record, deadline] { append(record, deadline); });
    // The first response was lost and the record was sent again.
    if (isFaulty && chance(0.2))
        at(between(5, 900), [this, record, deadline] { append(record, deadline); });
}

void World::append(const std::shared_ptr<const wire::LogRecordT> &record, Duration deadline)
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

void World::scheduleRead(std::size_t slot, std::size_t offset)
{
    Instance &instance = m_instances[slot];
    if (!instance.isAlive)
        return;
    const Duration delay = chance(0.02) ? between(50, 400) : between(1, 8);
    instance.lastRead = std::max(instance.lastRead, m_now + delay);
    const IncarnationId incarnation = instance.incarnation;
    at(instance.lastRead - m_now, [this, slot, incarnation, offset] {
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
                    engine::LogRecordRead{offset, m_log[offset].record, wallTime(reader.skew)},
                    Duration(0));
    });
}

void World::readAll(std::size_t slot)
{
    for (std::size_t offset = 0; offset < m_log.size(); ++offset)
        scheduleRead(slot, offset);
}

} // namespace history
