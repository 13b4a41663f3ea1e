#pragma once

#include <asio.hpp>

#include <cstdint>
#include <string>

/// A blocking TCP client that sends exact bytes.
class RawClient
{
public:
    explicit RawClient(std::uint16_t port) : m_socket(m_context)
    {
        m_socket.connect({asio::ip::make_address("127.0.0.1"), port});
    }

    void send(const std::string &bytes)
    {
        asio::error_code ignored;
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }

    void close() { m_socket.close(); }

    std::string readAll()
    {
        asio::error_code end;
        asio::read(m_socket, asio::dynamic_buffer(m_buffer), end);
        return std::exchange(m_buffer, {});
    }

    /// Reads a head and \a bodyBytes bytes.
    std::string readResponse(std::size_t bodyBytes)
    {
        const auto headBytes =
            asio::read_until(m_socket, asio::dynamic_buffer(m_buffer), "\r\n\r\n");
        const std::size_t wanted = headBytes + bodyBytes;
        if (m_buffer.size() < wanted)
            asio::read(m_socket, asio::dynamic_buffer(m_buffer),
                       asio::transfer_exactly(wanted - m_buffer.size()));
        const std::string response = m_buffer.substr(0, wanted);
        m_buffer.erase(0, wanted);
        return response;
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
    std::string m_buffer;
};

/// Returns a port of the loopback address that was free a moment ago.
inline std::uint16_t freePort()
{
    asio::io_context context;
    const asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}
