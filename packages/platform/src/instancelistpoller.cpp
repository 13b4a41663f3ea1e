#include "apricotrock/platform.h"

namespace apricotrock::platform {

struct InstanceListPoller::Private
{
    Private(std::string instancesUrl, std::chrono::milliseconds timeout)
        : client({}, std::move(instancesUrl), timeout)
    { }

    void run(std::chrono::milliseconds interval, const Callback &callback)
    {
        std::unique_lock lock(mutex);
        while (!isStopped) {
            lock.unlock();
            const TimePoint next = Clock::now() + interval;
            // The previous list stays in force when a read fails.
            if (const auto list = client.instances())
                callback(*list);
            lock.lock();
            changed.wait_until(lock, next, [this] { return isStopped; });
        }
    }

    Client client;
    std::mutex mutex;
    std::condition_variable changed;
    bool isStopped = false;
    std::thread thread;
};

InstanceListPoller::InstanceListPoller(std::string instancesUrl,
                                       std::chrono::milliseconds requestTimeout,
                                       std::chrono::milliseconds interval, Callback callback)
    : m_private(std::make_unique<Private>(std::move(instancesUrl), requestTimeout))
{
    m_private->thread =
        std::thread([state = m_private.get(), interval, callback = std::move(callback)] {
            state->run(interval, callback);
        });
}

InstanceListPoller::~InstanceListPoller()
{
    stop();
}

void InstanceListPoller::stop()
{
    {
        const std::lock_guard lock(m_private->mutex);
        m_private->isStopped = true;
    }
    m_private->changed.notify_all();
    m_private->client.cancel();
    if (m_private->thread.joinable())
        m_private->thread.join();
}

} // namespace apricotrock::platform
