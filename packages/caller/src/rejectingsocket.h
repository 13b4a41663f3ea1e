#pragma once

#include <restinio/all.hpp>

#include <sys/socket.h>

namespace apricotrock::caller {

/// Answer that the socket of the current thread sends before it is shut down; empty if none.
///
/// RESTinio closes a connection without an answer when its parser fails. It first reports the
/// failure to the logger and then, on the same thread, shuts the socket down. The logger therefore
/// leaves the answer here, and the socket sends it.
inline std::string &pendingRejection()
{
    thread_local std::string rejection;
    return rejection;
}

/// A TCP socket that sends the pending rejection before it is shut down.
class RejectingSocket : public asio::ip::tcp::socket
{
public:
    using asio::ip::tcp::socket::socket;

    void shutdown(shutdown_type what, asio::error_code &error)
    {
        const std::string rejection = std::exchange(pendingRejection(), {});
        if (!rejection.empty())
            sendRejection(rejection);
        asio::ip::tcp::socket::shutdown(what, error);
    }

private:
    /// Sends as much as fits into the socket's buffer, then reads what has arrived: a close with
    /// unread bytes would reset the connection and could discard the answer.
    void sendRejection(const std::string &rejection)
    {
        const int descriptor = native_handle();
        ::send(descriptor, rejection.data(), rejection.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        ::shutdown(descriptor, SHUT_WR);
        constexpr int maxReads = 64;
        std::array<char, 16384> unread;
        for (int i = 0; i < maxReads; ++i) {
            if (::recv(descriptor, unread.data(), unread.size(), MSG_DONTWAIT) <= 0)
                break;
        }
    }
};

} // namespace apricotrock::caller
