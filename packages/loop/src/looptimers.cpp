#include "apricotrock/loop.h"

namespace apricotrock::loop {

LoopTimers::Id LoopTimers::callAt(TimePoint deadline, Callback callback)
{
    const Id id = m_nextId++;
    m_byId[id] = m_queue.emplace(deadline, std::pair(id, std::move(callback)));
    if (deadline < m_armedDeadline)
        arm();
    return id;
}

void LoopTimers::callEvery(Duration interval, Callback callback)
{
    callAfter(interval, [this, interval, callback = std::move(callback)]() mutable {
        callback();
        callEvery(interval, std::move(callback));
    });
}

void LoopTimers::cancel(Id id)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end())
        return;
    m_queue.erase(found->second);
    m_byId.erase(found);
}

void LoopTimers::arm()
{
    if (m_queue.empty()) {
        m_armedDeadline = TimePoint::max();
        return;
    }
    m_armedDeadline = m_queue.begin()->first;
    m_timer.expires_at(m_armedDeadline);
    m_timer.async_wait([this](std::error_code error) {
        if (!error)
            run();
    });
}

void LoopTimers::run()
{
    m_armedDeadline = TimePoint::max();
    const TimePoint now = Clock::now();
    while (!m_queue.empty() && m_queue.begin()->first <= now) {
        const auto first = m_queue.begin();
        const Callback callback = std::move(first->second.second);
        m_byId.erase(first->second.first);
        m_queue.erase(first);
        callback();
    }
    arm();
}

} // namespace apricotrock::loop
