#include "apricotrock/loop.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::loop;
using namespace std::chrono_literals;

namespace {

/// Accepts connections and sends the next of the given byte strings after each read.
class RawServer
{
public:
    RawServer(asio::io_context &context, std::vector<std::string> answers, bool closes = false)
        : m_acceptor(context, {asio::ip::address_v4::loopback(), 0}), m_answers(std::move(answers)),
          m_closes(closes)
    {
        accept();
    }

    [[nodiscard]] Endpoint address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }
    [[nodiscard]] std::size_t accepted() const { return m_sockets.size(); }
    [[nodiscard]] const std::string &received() const { return m_received; }

private:
    void accept()
    {
        m_acceptor.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            m_sockets.push_back(std::make_unique<asio::ip::tcp::socket>(std::move(socket)));
            read(*m_sockets.back());
            accept();
        });
    }

    void read(asio::ip::tcp::socket &socket)
    {
        socket.async_read_some(asio::buffer(m_buffer),
                               [this, &socket](std::error_code error, std::size_t count) {
                                   if (error)
                                       return;
                                   m_received.append(m_buffer.data(), count);
                                   answer(socket);
                                   read(socket);
                               });
    }

    void answer(asio::ip::tcp::socket &socket)
    {
        if (m_next == m_answers.size())
            return;
        asio::write(socket, asio::buffer(m_answers[m_next++]));
        if (m_closes)
            socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::string> m_answers;
    bool m_closes;
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> m_sockets;
    std::array<char, 4096> m_buffer{};
    std::string m_received;
    std::size_t m_next = 0;
};

} // namespace

class HttpTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpTest);
    CPPUNIT_TEST(connectionIsReusedAfterCompleteAnswer);
    CPPUNIT_TEST(bytesAfterAnAnswerEndTheConnection);
    CPPUNIT_TEST(lateResponseToEarlierRequestIsSkipped);
    CPPUNIT_TEST(truncatedAnswerIsLost);
    CPPUNIT_TEST(answerWithoutLengthEndsWithItsConnection);
    CPPUNIT_TEST(bytesThatAreNoAnswerAreInvalid);
    CPPUNIT_TEST(earlyAnswerEndsTheConnection);
    CPPUNIT_TEST(refusedConnectionIsConnectFailed);
    CPPUNIT_TEST(callerDisconnectIsDetected);
    CPPUNIT_TEST(ambiguousLengthIsRefused);
    CPPUNIT_TEST(invalidHeadsAndChunksAreRefused);
    CPPUNIT_TEST(largeHeaderIsRefused);
    CPPUNIT_TEST(chunkedBodyIsReassembled);
    CPPUNIT_TEST(pipelinedRequestsAreAnsweredInOrder);
    CPPUNIT_TEST(stoppingListenerClosesAfterTheAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against opening a new connection for each request.
    void connectionIsReusedAfterCompleteAnswer()
    {
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        RawServer server(m_context, {answer, answer});
        const auto connection = connect(server);
        CPPUNIT_ASSERT(exchange(connection).status == ClientStatus::ResponseReceived);
        CPPUNIT_ASSERT(connection->isReusable());
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), exchange(connection).response.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.accepted());
    }

    // Guards against treating surplus bytes as the response to the next request.
    void bytesAfterAnAnswerEndTheConnection()
    {
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        RawServer server(m_context, {answer + answer});
        const auto connection = connect(server);
        CPPUNIT_ASSERT(exchange(connection).status == ClientStatus::ResponseReceived);
        CPPUNIT_ASSERT(!connection->isOpen());
    }

    // Guards against treating a late response as the response to the next request.
    void lateResponseToEarlierRequestIsSkipped()
    {
        const std::string late = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nold";
        const std::string own = "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 3\r\n\r\nnew";
        RawServer server(m_context, {late + own});
        const auto connection = connect(server);
        const ClientResult result = exchange(connection, [](const loop::HttpResponse &response) {
            return findHeader(response.headers, "x-id") == "2";
        });
        CPPUNIT_ASSERT_EQUAL(std::string("new"), result.response.body);
    }

    // Guards against forwarding a truncated response as complete.
    void truncatedAnswerIsLost()
    {
        RawServer server(m_context, {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart"}, true);
        CPPUNIT_ASSERT(exchange(connect(server)).status == ClientStatus::ConnectionLost);
    }

    // Guards against waiting on after the end of the connection has completed a response.
    void answerWithoutLengthEndsWithItsConnection()
    {
        RawServer server(m_context, {"HTTP/1.1 200 OK\r\n\r\nwhole"}, true);
        const auto connection = connect(server);
        const ClientResult result = exchange(connection);
        CPPUNIT_ASSERT(result.status == ClientStatus::ResponseReceived);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), result.response.body);
        CPPUNIT_ASSERT(!connection->isReusable());
    }

    // Guards against forwarding malformed responses.
    void bytesThatAreNoAnswerAreInvalid()
    {
        RawServer server(m_context, {"no answer at all\r\n\r\n"});
        CPPUNIT_ASSERT(exchange(connect(server)).status == ClientStatus::InvalidResponse);
    }

    // Guards against reusing a connection whose request body was sent only in part: the server
    // would read the rest of it as the next request.
    void earlyAnswerEndsTheConnection()
    {
        RawServer server(m_context, {"HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n"});
        const auto connection = connect(server);
        const std::string body(std::size_t(64) * 1024 * 1024, 'x');
        const ClientResult result =
            exchange(connection, nullptr, formatRequest("POST", "/", {}, body, true));
        CPPUNIT_ASSERT(result.status != ClientStatus::ConnectFailed);
        CPPUNIT_ASSERT(!connection->isReusable());
    }

    // Guards against reporting that a request may have run although nothing was sent.
    void refusedConnectionIsConnectFailed()
    {
        Endpoint closed;
        {
            const RawServer server(m_context, {});
            closed = server.address();
        }
        const auto connection = std::make_shared<HttpClientConnection>(m_context, m_timers, closed);
        CPPUNIT_ASSERT(exchange(connection).status == ClientStatus::ConnectFailed);
    }

    // Guards against continued work for a caller that has disconnected.
    void callerDisconnectIsDetected()
    {
        bool isDisconnected = false;
        listen([&isDisconnected](const auto &connection) {
            connection->onCallerDisconnect([&isDisconnected] { isDisconnected = true; });
        });
        {
            asio::ip::tcp::socket caller = connectToListener();
            asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
            runUntil([this] { return m_listener->busyConnections() == 1; });
        }
        CPPUNIT_ASSERT(runUntil([&isDisconnected] { return isDisconnected; }));
    }

    // Guards against request smuggling through conflicting length headers.
    void ambiguousLengthIsRefused()
    {
        const std::string answer = sendRaw("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                                           "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 400"));
        CPPUNIT_ASSERT_EQUAL(0U, m_requests);
    }

    // Guards against request smuggling through bytes that a backend server reads in another way.
    void invalidHeadsAndChunksAreRefused()
    {
        const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
        const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
        for (const std::string &request :
             {head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", head + "X Y: v\r\n\r\n",
              head + "X-Y: v\r\n w: u\r\n\r\n", head + "\rX-Y: v\r\n\r\n",
              head + "\nX-Y: v\r\n\r\n", chunked + "2\r\nokXX0\r\n\r\n",
              chunked + "2\rXok\r\n0\r\n\r\n"}) {
            CPPUNIT_ASSERT_MESSAGE(request, sendRaw(request).starts_with("HTTP/1.1 400"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(request, 0U, m_requests);
        }
        CPPUNIT_ASSERT(sendRaw("\r\nPOST /a HTTP/1.1\nHost: h\nContent-Length: 0\n\n")
                           .starts_with("HTTP/1.1 200"));
    }

    // Guards against unbounded memory use by request headers.
    void largeHeaderIsRefused()
    {
        const std::string answer =
            sendRaw("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(20000, 'x') + "\r\n\r\n");
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 431"));
    }

    // Guards against a body that is corrupted when its chunks are joined.
    void chunkedBodyIsReassembled()
    {
        sendRaw("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string("abcde"), m_lastBody);
    }

    // Guards against responses in the wrong order on a pipelined connection.
    void pipelinedRequestsAreAnsweredInOrder()
    {
        const std::string answer = sendRaw("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                                           "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
                                           "/2");
        CPPUNIT_ASSERT(answer.find("/1") < answer.find("/2"));
        CPPUNIT_ASSERT_EQUAL(2U, m_requests);
    }

    // Guards against a shutdown that closes the connection before the response.
    void stoppingListenerClosesAfterTheAnswer()
    {
        serve();
        m_listener->closeAfterResponses();
        const std::string answer = sendRaw("GET /x HTTP/1.1\r\nHost: h\r\n\r\n", "/x");
        CPPUNIT_ASSERT(answer.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT(answer.ends_with("/x"));
    }

private:
    using Predicate = std::function<bool()>;

    bool runUntil(const Predicate &isDone)
    {
        const TimePoint limit = Clock::now() + 10s;
        while (!isDone() && Clock::now() < limit)
            m_context.run_for(5ms);
        return isDone();
    }

    std::shared_ptr<HttpClientConnection> connect(const RawServer &server)
    {
        return std::make_shared<HttpClientConnection>(m_context, m_timers, server.address());
    }

    ClientResult exchange(const std::shared_ptr<HttpClientConnection> &connection,
                          HttpClientConnection::Filter filter = nullptr,
                          std::string request = formatRequest("GET", "/", {}, {}, false))
    {
        std::optional<ClientResult> result;
        connection->send(std::move(request), false, 5s, std::move(filter),
                         [&result](ClientResult each) { result = std::move(each); });
        CPPUNIT_ASSERT(runUntil([&result] { return result.has_value(); }));
        return *result;
    }

    void listen(HttpListener::Handler handler)
    {
        // Finds a free port by binding to port 0, because the listener does not report its port.
        asio::ip::tcp::acceptor probe(m_context, {asio::ip::address_v4::loopback(), 0});
        m_port = probe.local_endpoint().port();
        probe.close();
        m_listener = std::make_unique<HttpListener>(m_context, m_timers, std::move(handler));
        CPPUNIT_ASSERT(m_listener->listen({"127.0.0.1", m_port}));
    }

    /// Starts a listener that responds to each request with its target.
    void serve()
    {
        if (m_listener)
            return;
        listen([this](const auto &connection) {
            ++m_requests;
            m_lastBody = connection->request().body;
            connection->respond(200, {}, connection->request().target, false);
        });
    }

    asio::ip::tcp::socket connectToListener()
    {
        asio::ip::tcp::socket socket(m_context);
        socket.connect({asio::ip::address_v4::loopback(), m_port});
        socket.non_blocking(true);
        return socket;
    }

    /// Sends \a bytes and reads until the received data contains \a expected.
    std::string sendRaw(const std::string &bytes, const std::string &expected = "HTTP/1.1")
    {
        serve();
        asio::ip::tcp::socket socket = connectToListener();
        socket.non_blocking(false);
        asio::write(socket, asio::buffer(bytes));
        socket.non_blocking(true);
        std::string answer;
        runUntil([&] {
            std::array<char, 4096> buffer{};
            std::error_code error;
            const std::size_t count = socket.read_some(asio::buffer(buffer), error);
            answer.append(buffer.data(), count);
            return answer.find(expected) != std::string::npos
                && answer.find("\r\n\r\n") != std::string::npos;
        });
        return answer;
    }

    asio::io_context m_context;
    LoopTimers m_timers{m_context};
    std::unique_ptr<HttpListener> m_listener;
    std::uint16_t m_port = 0;
    unsigned m_requests = 0;
    std::string m_lastBody;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);
