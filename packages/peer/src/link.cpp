#include "link.h"

namespace apricotrock::peer {

Link::Link(LinkId id, asio::ip::tcp::socket socket, Callbacks callbacks, Counters &counters,
           std::size_t queueEntries)
    : m_id(id), m_socket(std::move(socket)), m_callbacks(std::move(callbacks)),
      m_counters(counters), m_queueEntries(queueEntries)
{ }

void Link::dial(const Endpoint &address)
{
    m_dialedAddress = address;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    m_socket.async_connect(endpoint, [self = shared_from_this()](std::error_code error) {
        if (error || self->m_isClosed)
            self->close();
        else
            self->accept();
    });
}

void Link::accept()
{
    std::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_isConnected = true;
    m_lastHeard = Clock::now();
    ++m_counters.linksOpened;
    m_callbacks.onConnected(*this);
    beginRead();
}

bool Link::send(const wire::PeerMessageT &message)
{
    if (m_isClosed || !m_isConnected || m_writeQueue.size() >= m_queueEntries) {
        ++m_counters.messagesRefused;
        return false;
    }
    m_writeQueue.push_back(wire::encodePeerMessage(message));
    ++m_counters.messagesSent;
    if (!m_isWriting)
        beginWrite();
    return true;
}

void Link::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    std::error_code ignored;
    m_socket.close(ignored);
    m_callbacks.onClosed(*this);
}

void Link::beginRead()
{
    m_socket.async_read_some(
        asio::buffer(m_readBuffer),
        [self = shared_from_this()](std::error_code error, std::size_t length) {
            self->finishRead(error, length);
        });
}

void Link::finishRead(std::error_code error, std::size_t length)
{
    if (error || m_isClosed) {
        close();
        return;
    }
    m_counters.bytesReceived += length;
    m_reader.append(std::string_view(m_readBuffer.data(), length));
    while (!m_isClosed) {
        const auto frame = m_reader.next();
        if (frame && !*frame)
            break;
        auto message = frame ? wire::decodePeerMessage(**frame)
                             : Result<wire::PeerMessageT>(tl::make_unexpected(frame.error()));
        if (!message) {
            ++m_counters.badMessages;
            close();
            return;
        }
        ++m_counters.messagesReceived;
        m_lastHeard = Clock::now();
        m_callbacks.onMessage(*this, *message);
    }
    if (!m_isClosed)
        beginRead();
}

void Link::beginWrite()
{
    m_isWriting = true;
    asio::async_write(m_socket, asio::buffer(m_writeQueue.front()),
                      [self = shared_from_this()](std::error_code error, std::size_t length) {
                          self->m_isWriting = false;
                          if (error || self->m_isClosed) {
                              self->close();
                              return;
                          }
                          self->m_counters.bytesSent += length;
                          self->m_writeQueue.pop_front();
                          if (!self->m_writeQueue.empty())
                              self->beginWrite();
                      });
}

} // namespace apricotrock::peer
