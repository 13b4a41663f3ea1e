#include "apricotrock/base.h"

#include <algorithm>

namespace apricotrock {

TimerService::TimerService(Duration pauseThreshold) : m_pauseThreshold(pauseThreshold)
{
    m_thread = std::thread([this] { run(); });
}

TimerService::~TimerService()
{
    stop();
}

TimerService::SubscriptionId TimerService::callAt(TimePoint deadline, Callback callback)
{
    return add(deadline, Duration::zero(), std::move(callback));
}

TimerService::SubscriptionId TimerService::callEvery(Duration interval, Callback callback)
{
    return add(Clock::now() + interval, interval, std::move(callback));
}

void TimerService::onPause(PauseCallback callback)
{
    const std::lock_guard lock(m_mutex);
    m_pauseCallbacks.push_back(std::move(callback));
}

void TimerService::cancel(SubscriptionId id)
{
    const std::lock_guard lock(m_mutex);
    if (m_running == id)
        m_runningCancelled = true;
    std::erase_if(m_queue, [id](const auto &entry) { return entry.second.id == id; });
}

void TimerService::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable() && m_thread.get_id() != std::this_thread::get_id())
        m_thread.join();
}

TimerService::SubscriptionId TimerService::add(TimePoint deadline, Duration interval,
                                               Callback callback)
{
    SubscriptionId id = 0;
    {
        const std::lock_guard lock(m_mutex);
        id = m_nextId++;
        m_queue.emplace(deadline, Subscription{id, interval, std::move(callback)});
    }
    m_changed.notify_all();
    return id;
}

void TimerService::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopped) {
        if (m_queue.empty())
            m_changed.wait(lock);
        else if (const TimePoint deadline = m_queue.begin()->first; deadline > Clock::now())
            m_changed.wait_until(lock, deadline);
        else
            runFirst(lock);
    }
}

void TimerService::runFirst(std::unique_lock<std::mutex> &lock)
{
    auto node = m_queue.extract(m_queue.begin());
    Subscription subscription = std::move(node.mapped());
    const TimePoint now = Clock::now();
    const Duration late = now - node.key();
    const auto pauseCallbacks =
        late > m_pauseThreshold ? m_pauseCallbacks : std::vector<PauseCallback>();
    m_running = subscription.id;
    m_runningCancelled = false;
    lock.unlock();
    for (const PauseCallback &callback : pauseCallbacks)
        callback(late);
    subscription.callback(now);
    lock.lock();
    m_running = 0;
    if (subscription.interval > Duration::zero() && !m_runningCancelled)
        m_queue.emplace(Clock::now() + subscription.interval, std::move(subscription));
}

} // namespace apricotrock
