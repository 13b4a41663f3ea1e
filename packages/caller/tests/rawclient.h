#pragma once

#include <asio.hpp>

#include <unistd.h>

#include <cstdint>
#include <stdexcept>
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

/// Returns a port of the loopback address that was free a moment ago, another one each time. It is
/// not one of those that the system picks itself, also for connections, because it may pick the
/// same port again before it is used.
inline std::uint16_t freePort()
{
    constexpr unsigned firstPort = 20000;
    constexpr unsigned portCount = 12000;
    // Test processes that run at the same time begin at different ports.
    constexpr unsigned portsPerProcess = 251;
    static unsigned next = static_cast<unsigned>(getpid()) * portsPerProcess;
    asio::io_context context;
    for (unsigned i = 0; i < portCount; ++i) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % portCount);
        asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::v4());
        asio::error_code error;
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        if (!acceptor.bind({asio::ip::make_address("127.0.0.1"), port}, error))
            return port;
    }
    throw std::runtime_error("no port is free");
}
