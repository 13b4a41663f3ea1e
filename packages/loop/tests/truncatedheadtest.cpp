#include "apricotrock/loop.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::loop;
using namespace std::chrono_literals;

namespace {

/// Reads the beginning of a request on each connection, sends a response and ends the connection.
class ClosingServer
{
public:
    enum class Ending {
        Fin,
        Reset,
        /// Resets the connection some time after the response.
        LateReset,
        /// Sends a FIN, keeps the connection and reads nothing more.
        HalfClose,
    };

    ClosingServer(asio::io_context &context, LoopTimers &timers)
        : m_timers(timers), m_acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }

    void setResponse(std::string bytes, Ending ending)
    {
        m_bytes = std::move(bytes);
        m_ending = ending;
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
            socket->async_read_some(asio::buffer(m_input),
                                    [this, socket](std::error_code failure, std::size_t) {
                                        if (failure)
                                            return;
                                        asio::write(*socket, asio::buffer(m_bytes));
                                        end(socket);
                                    });
            accept();
        });
    }

    void end(const Socket &socket)
    {
        switch (m_ending) {
        case Ending::Fin:
            socket->close();
            return;
        case Ending::Reset:
            reset(*socket);
            return;
        case Ending::LateReset:
            m_timers.callAfter(30ms, [socket] { reset(*socket); });
            return;
        case Ending::HalfClose:
            socket->shutdown(asio::ip::tcp::socket::shutdown_send);
            m_halfClosed = socket;
            return;
        }
    }

    static void reset(asio::ip::tcp::socket &socket)
    {
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    }

    LoopTimers &m_timers;
    asio::ip::tcp::acceptor m_acceptor;
    std::array<char, 4096> m_input{};
    std::string m_bytes;
    Ending m_ending = Ending::Fin;
    Socket m_halfClosed;
};

} // namespace

class TruncatedHeadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TruncatedHeadTest);
    CPPUNIT_TEST(responseThatEndsInItsHeadIsLost);
    CPPUNIT_TEST(resetAfterTheHeadIsNoEndOfABody);
    CPPUNIT_TEST(resetDuringAnUploadIsNoEndOfABody);
    CPPUNIT_TEST(endOfABodyDuringAnUploadIsReceived);
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
                    for (const Ending ending : {Ending::Fin, Ending::Reset})
                        expectLost(head.substr(0, size), ending);
                }
            }
        }
    }

    // Guards against taking a reset for the end of a body without a length.
    void resetAfterTheHeadIsNoEndOfABody() { expectLost(responseWithoutLength, Ending::Reset); }

    // Guards against a part of a body that is taken for a whole one: the server responds without a
    // length while the request is still being written, and resets the connection.
    void resetDuringAnUploadIsNoEndOfABody()
    {
        for (const Ending ending : {Ending::Reset, Ending::LateReset}) {
            for (const std::size_t size : {std::size_t(20'000), uploadBytes})
                expectLost(responseWithoutLength, ending, std::string(size, 'x'));
        }
    }

    // Guards against refusing a response that is complete before the request has been written.
    void endOfABodyDuringAnUploadIsReceived()
    {
        m_server.setResponse(responseWithoutLength, Ending::HalfClose);
        const ClientResult result = request(std::string(uploadBytes, 'x'));
        CPPUNIT_ASSERT(result.status == ClientStatus::ResponseReceived);
        CPPUNIT_ASSERT_EQUAL(std::string("part"), result.response.body);
        CPPUNIT_ASSERT(!m_connection->isReusable());
    }

private:
    using Ending = ClosingServer::Ending;

    /// More than the sockets of both sides hold, so that the write is not complete.
    static constexpr std::size_t uploadBytes = std::size_t(32) * 1024 * 1024;
    static constexpr const char *responseWithoutLength = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart";

    void expectLost(const std::string &bytes, Ending ending, const std::string &body = {})
    {
        m_server.setResponse(bytes, ending);
        CPPUNIT_ASSERT_MESSAGE(bytes, request(body).status == ClientStatus::ConnectionLost);
    }

    ClientResult request(const std::string &body)
    {
        std::optional<ClientResult> result;
        m_connection =
            std::make_shared<HttpClientConnection>(m_context, m_timers, m_server.address());
        m_connection->send(formatRequest(body.empty() ? "GET" : "POST", "/", {}, body, false),
                           false, 5s, nullptr,
                           [&result](ClientResult each) { result = std::move(each); });
        const TimePoint limit = Clock::now() + 10s;
        while (!result && Clock::now() < limit)
            m_context.run_one_for(10ms);
        CPPUNIT_ASSERT(result);
        return *result;
    }

    asio::io_context m_context;
    LoopTimers m_timers{m_context};
    ClosingServer m_server{m_context, m_timers};
    std::shared_ptr<HttpClientConnection> m_connection;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TruncatedHeadTest);
