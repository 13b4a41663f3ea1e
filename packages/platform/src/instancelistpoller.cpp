#include "apricotrock/platform.h"

#include <algorithm>

namespace apricotrock::platform {

std::chrono::milliseconds pollDelay(std::chrono::milliseconds interval, std::size_t bytes)
{
    constexpr std::uint64_t millisecondsPerSecond = 1000;
    const std::chrono::milliseconds affordable(bytes * millisecondsPerSecond / listBytesPerSecond);
    return std::max(interval, affordable);
}

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
            const TimePoint start = Clock::now();
            // The previous list stays in force when a read fails.
            if (const auto list = client.instances())
                callback(*list);
            const TimePoint next = start + pollDelay(interval, client.listBytes());
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
