#pragma once

#include "apricotrock/loop.h"

#include <cppunit/extensions/HelperMacros.h>

namespace apricotrock::loop::test {

using namespace std::chrono_literals;

/// Sends fixed bytes in response to the first request of each connection, in one write or one byte
/// after the other.
class FixedResponseServer
{
public:
    explicit FixedResponseServer(asio::io_context &context)
        : m_acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }

    void setResponse(std::string bytes, bool isSplit)
    {
        m_bytes = std::move(bytes);
        m_isSplit = isSplit;
    }
    [[nodiscard]] Endpoint address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;

    void accept()
    {
        m_acceptor.async_accept([this](std::error_code error, asio::ip::tcp::socket accepted) {
            if (error)
                return;
            const auto socket = std::make_shared<asio::ip::tcp::socket>(std::move(accepted));
            socket->set_option(asio::ip::tcp::no_delay(true));
            socket->async_read_some(asio::buffer(m_input),
                                    [this, socket](std::error_code failure, std::size_t) {
                                        if (!failure)
                                            write(socket, m_bytes);
                                    });
            accept();
        });
    }

    void write(const Socket &socket, const std::string &bytes)
    {
        const std::size_t size = m_isSplit ? 1 : bytes.size();
        std::error_code ignored;
        asio::write(*socket, asio::buffer(bytes, size), ignored);
        if (size < bytes.size() && !ignored)
            asio::post(socket->get_executor(),
                       [this, socket, rest = bytes.substr(size)] { write(socket, rest); });
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::array<char, 4096> m_input{};
    std::string m_bytes;
    bool m_isSplit = false;
};

/// Receives the response to one request from a server that sends fixed bytes.
class FixedResponseFixture : public CppUnit::TestFixture
{
protected:
    void expectInvalid(const std::string &bytes, bool isSplit)
    {
        CPPUNIT_ASSERT_MESSAGE(bytes,
                               receive(bytes, isSplit).status == ClientStatus::InvalidResponse);
    }

    ClientResult receive(const std::string &bytes, bool isSplit)
    {
        m_server.setResponse(bytes, isSplit);
        std::optional<ClientResult> result;
        const auto connection =
            std::make_shared<HttpClientConnection>(m_context, m_timers, m_server.address());
        connection->send(formatRequest("GET", "/", {}, {}, false), false, 5s, nullptr,
                         [&result](ClientResult each) { result = std::move(each); });
        const TimePoint limit = Clock::now() + 10s;
        while (!result && Clock::now() < limit)
            m_context.run_one_for(10ms);
        connection->close();
        CPPUNIT_ASSERT_MESSAGE(bytes, result);
        return *result;
    }

private:
    asio::io_context m_context;
    LoopTimers m_timers{m_context};
    FixedResponseServer m_server{m_context};
};

} // namespace apricotrock::loop::test
