#include "apricotrock/loop.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::loop;
using namespace std::chrono_literals;

namespace {

/// Sends a response to each connection and closes it, by a FIN or by a reset.
class ClosingServer
{
public:
    explicit ClosingServer(asio::io_context &context)
        : m_acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }

    void setResponse(std::string bytes, bool resets)
    {
        m_bytes = std::move(bytes);
        m_resets = resets;
    }
    [[nodiscard]] Endpoint address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](std::error_code error, asio::ip::tcp::socket accepted) {
            if (error)
                return;
            const auto socket = std::make_shared<asio::ip::tcp::socket>(std::move(accepted));
            socket->async_read_some(asio::buffer(m_input),
                                    [this, socket](std::error_code failure, std::size_t) {
                                        if (failure)
                                            return;
                                        asio::write(*socket, asio::buffer(m_bytes));
                                        if (m_resets)
                                            socket->set_option(asio::socket_base::linger(true, 0));
                                        socket->close();
                                    });
            accept();
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::array<char, 4096> m_input{};
    std::string m_bytes;
    bool m_resets = false;
};

} // namespace

class TruncatedHeadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TruncatedHeadTest);
    CPPUNIT_TEST(responseThatEndsInItsHeadIsLost);
    CPPUNIT_TEST(resetAfterTheHeadIsNoEndOfABody);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a success with an empty or short body for a response whose head was cut off,
    // after any byte, whatever its status and framing.
    void responseThatEndsInItsHeadIsLost()
    {
        for (const char *status : {"200 OK", "204 No Content", "404 Not Found", "503 Busy"}) {
            for (const char *framing :
                 {"Content-Length: 150\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
                const std::string head = std::string("HTTP/1.1 ") + status
                    + "\r\nX-Id: 1\r\nX-Signature: s\r\n" + framing + "\r\n";
                for (std::size_t size = 0; size < head.size(); ++size) {
                    for (const bool resets : {false, true})
                        expectLost(head.substr(0, size), resets);
                }
            }
        }
    }

    // Guards against taking a reset for the end of a body without a length.
    void resetAfterTheHeadIsNoEndOfABody()
    {
        expectLost("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart", true);
    }

private:
    void expectLost(const std::string &bytes, bool resets)
    {
        m_server.setResponse(bytes, resets);
        std::optional<ClientResult> result;
        const auto connection =
            std::make_shared<HttpClientConnection>(m_context, m_timers, m_server.address());
        connection->send(formatRequest("GET", "/", {}, {}, false), false, 5s, nullptr,
                         [&result](ClientResult each) { result = std::move(each); });
        const TimePoint limit = Clock::now() + 10s;
        while (!result && Clock::now() < limit)
            m_context.run_one_for(10ms);
        CPPUNIT_ASSERT(result);
        CPPUNIT_ASSERT_MESSAGE(bytes, result->status == ClientStatus::ConnectionLost);
    }

    asio::io_context m_context;
    LoopTimers m_timers{m_context};
    ClosingServer m_server{m_context};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TruncatedHeadTest);
