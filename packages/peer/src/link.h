#pragma once

#include "apricotrock/base.h"
#include "apricotrock/peer.h"
#include "apricotrock/wire.h"
#include "forwardtable.h"

#include <asio.hpp>

namespace apricotrock::peer {

/// One TCP connection to a peer. All members run on the peer thread.
class Link : public std::enable_shared_from_this<Link>
{
public:
    struct Callbacks
    {
        std::function<void(Link &link)> onConnected;
        std::function<void(Link &link, wire::PeerMessageT &message)> onMessage;
        /// Called once, when the link has ended for any reason.
        std::function<void(Link &link)> onClosed;
    };

    Link(LinkId id, asio::ip::tcp::socket socket, Callbacks callbacks, Counters &counters,
         std::size_t queueEntries);

    /// Connects to \a address.
    void dial(const Endpoint &address);
    /// Starts on an accepted connection.
    void accept();
    /// Queues a message; false if the queue is full or the link is closed.
    bool send(const wire::PeerMessageT &message);
    void close();

    [[nodiscard]] LinkId id() const { return m_id; }
    [[nodiscard]] bool isConnected() const { return m_isConnected; }
    [[nodiscard]] bool isClosed() const { return m_isClosed; }
    /// The address that this side connected to; nothing for an accepted link.
    [[nodiscard]] const std::optional<Endpoint> &dialedAddress() const { return m_dialedAddress; }
    /// Time of the last complete message, or of the start of the link.
    [[nodiscard]] TimePoint lastHeard() const { return m_lastHeard; }

    /// What the peer said of itself; set after its Hello.
    std::optional<PeerInfo> peer;

private:
    void beginRead();
    void finishRead(std::error_code error, std::size_t length);
    void beginWrite();

    const LinkId m_id;
    asio::ip::tcp::socket m_socket;
    Callbacks m_callbacks;
    Counters &m_counters;
    const std::size_t m_queueEntries;
    std::optional<Endpoint> m_dialedAddress;
    wire::FrameReader m_reader;
    std::array<char, 16 * 1024> m_readBuffer{};
    std::deque<std::string> m_writeQueue;
    bool m_isWriting = false;
    bool m_isConnected = false;
    bool m_isClosed = false;
    TimePoint m_lastHeard = Clock::now();
};

} // namespace apricotrock::peer
