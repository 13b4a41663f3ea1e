#pragma once

#include <curl/curl.h>

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>

namespace apricotrock::backend {

/// Finds the socket of a pooled connection, which libcurl does not tell, by its two ends.
class SocketTable
{
public:
    using Ends = std::tuple<std::string, int, std::string, int>;

    /// Called with each socket just before it is closed.
    void onClose(std::function<void(curl_socket_t)> callback) { m_onClose = std::move(callback); }

    void add(const Ends &ends, curl_socket_t socket)
    {
        m_sockets[ends] = socket;
        m_ends[socket] = ends;
    }

    void close(curl_socket_t socket)
    {
        if (const auto node = m_ends.extract(socket); !node.empty())
            m_sockets.erase(node.mapped());
        if (m_onClose)
            m_onClose(socket);
        ::close(socket);
    }

    /// Returns true if the connection is open and nothing has arrived on it since its last answer.
    /// Bytes that have arrived belong to an earlier request.
    bool isQuiet(const Ends &ends)
    {
        const auto found = m_sockets.find(ends);
        if (found == m_sockets.end())
            return false;
        char byte = 0;
        const auto count = ::recv(found->second, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (count > 0)
            ++m_lateAnswers;
        return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    [[nodiscard]] std::uint64_t lateAnswers() const { return m_lateAnswers; }

private:
    std::map<Ends, curl_socket_t> m_sockets;
    std::map<curl_socket_t, Ends> m_ends;
    std::uint64_t m_lateAnswers = 0;
    std::function<void(curl_socket_t)> m_onClose;
};

} // namespace apricotrock::backend
