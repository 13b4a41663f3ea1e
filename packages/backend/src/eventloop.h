#pragma once

#include "apricotrock/base.h"

#include <curl/curl.h>
#include <set>

namespace apricotrock::backend {

/// Drives a libcurl multi handle with epoll, so that the cost of an event does not grow with the
/// number of transfers. Runs on one thread; wake() is thread safe.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    [[nodiscard]] CURLM *multi() const { return m_multi; }
    void wake() const;
    /// Waits for activity, at most \a longest, and lets libcurl act on it.
    void runOnce(std::chrono::milliseconds longest);
    /// Lets libcurl act on new transfers and on timeouts that are due.
    void runDueTimeouts();
    /// Stops watching a socket that is about to be closed. libcurl reports the end of a cancelled
    /// attempt after it has closed its socket, when the number may name another descriptor.
    void forget(curl_socket_t socket);

private:
    static int onSocket(CURL *easy, curl_socket_t socket, int what, void *self, void *isWatched);
    static int onTimer(CURLM *multi, long milliseconds, void *self);

    void watch(curl_socket_t socket, int what, bool isWatched);
    [[nodiscard]] int waitTime(std::chrono::milliseconds longest) const;

    CURLM *m_multi;
    int m_epoll;
    int m_event;
    std::set<curl_socket_t> m_watched;
    std::optional<TimePoint> m_timeout;
};

} // namespace apricotrock::backend
