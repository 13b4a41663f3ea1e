#include "eventloop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace apricotrock::backend {

namespace {

constexpr std::size_t eventsPerWait = 256;
/// Pooled connections of all backend servers; the routing side divides the allowed connections
/// among instances, this only bounds file descriptors.
constexpr long maxPooledConnections = 4096;

} // namespace

EventLoop::EventLoop()
    : m_multi(curl_multi_init()), m_epoll(epoll_create1(EPOLL_CLOEXEC)),
      m_event(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (m_multi == nullptr || m_epoll < 0 || m_event < 0)
        throw std::runtime_error("cannot create the event loop of the backend thread; check the "
                                 "limit of open files");
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = m_event;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_event, &event);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &EventLoop::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &EventLoop::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxPooledConnections);
}

EventLoop::~EventLoop()
{
    curl_multi_cleanup(m_multi);
    close(m_epoll);
    close(m_event);
}

void EventLoop::wake() const
{
    const std::uint64_t one = 1;
    // The only failure is a counter at its maximum; the thread is then woken anyway.
    [[maybe_unused]] const auto written = write(m_event, &one, sizeof(one));
}

void EventLoop::runOnce(std::chrono::milliseconds longest)
{
    std::array<epoll_event, eventsPerWait> events{};
    const int count =
        epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), waitTime(longest));
    for (int i = 0; i < count; ++i) {
        const epoll_event &event = events[static_cast<std::size_t>(i)];
        if (event.data.fd == m_event) {
            std::uint64_t wakeups = 0;
            [[maybe_unused]] const auto bytes = read(m_event, &wakeups, sizeof(wakeups));
            continue;
        }
        int mask = 0;
        if ((event.events & (EPOLLIN | EPOLLHUP)) != 0)
            mask |= CURL_CSELECT_IN;
        if ((event.events & EPOLLOUT) != 0)
            mask |= CURL_CSELECT_OUT;
        if ((event.events & EPOLLERR) != 0)
            mask |= CURL_CSELECT_ERR;
        int running = 0;
        curl_multi_socket_action(m_multi, event.data.fd, mask, &running);
    }
    runDueTimeouts();
}

void EventLoop::runDueTimeouts()
{
    while (m_timeout && *m_timeout <= Clock::now()) {
        m_timeout.reset();
        int running = 0;
        curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
}

int EventLoop::onSocket(CURL *, curl_socket_t socket, int what, void *self, void *isWatched)
{
    static_cast<EventLoop *>(self)->watch(socket, what, isWatched != nullptr);
    return 0;
}

int EventLoop::onTimer(CURLM *, long milliseconds, void *self)
{
    auto *loop = static_cast<EventLoop *>(self);
    if (milliseconds < 0)
        loop->m_timeout.reset();
    else
        loop->m_timeout = Clock::now() + std::chrono::milliseconds(milliseconds);
    return 0;
}

void EventLoop::watch(curl_socket_t socket, int what, bool isWatched)
{
    if (what == CURL_POLL_REMOVE) {
        forget(socket);
        return;
    }
    m_watched.insert(socket);
    epoll_event event{};
    event.data.fd = socket;
    if ((what & CURL_POLL_IN) != 0)
        event.events |= EPOLLIN;
    if ((what & CURL_POLL_OUT) != 0)
        event.events |= EPOLLOUT;
    epoll_ctl(m_epoll, isWatched ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event);
    if (!isWatched)
        curl_multi_assign(m_multi, socket, this);
}

void EventLoop::forget(curl_socket_t socket)
{
    if (m_watched.erase(socket) > 0)
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, socket, nullptr);
}

int EventLoop::waitTime(std::chrono::milliseconds longest) const
{
    if (!m_timeout)
        return static_cast<int>(longest.count());
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(*m_timeout - Clock::now());
    return static_cast<int>(std::clamp(left, std::chrono::milliseconds(0), longest).count());
}

} // namespace apricotrock::backend
