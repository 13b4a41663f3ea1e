#include "apricotrock/loop.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::loop;
using namespace std::chrono_literals;

namespace {

constexpr ResponseLimits limits{std::size_t(64) * 1024, std::size_t(1024) * 1024};
/// What the sockets of both sides may hold beyond what was read.
constexpr std::size_t socketBuffers = std::size_t(8) * 1024 * 1024;

/// Sends a text and then another one again and again until the connection is closed.
class EndlessServer
{
public:
    EndlessServer(asio::io_context &context, std::string first, const std::string &repeated)
        : m_acceptor(context, {asio::ip::address_v4::loopback(), 0}), m_next(std::move(first))
    {
        while (!repeated.empty() && m_repeated.size() < blockSize)
            m_repeated += repeated;
        accept();
    }

    [[nodiscard]] Endpoint address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }
    [[nodiscard]] std::size_t sentBytes() const { return m_sentBytes; }
    [[nodiscard]] unsigned openConnections() const { return m_openConnections; }

private:
    static constexpr std::size_t blockSize = 32768;

    void accept()
    {
        m_acceptor.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            ++m_openConnections;
            m_sockets.push_back(std::make_shared<asio::ip::tcp::socket>(std::move(socket)));
            send(m_sockets.back(), m_next);
            accept();
        });
    }

    void send(const std::shared_ptr<asio::ip::tcp::socket> &socket, const std::string &text)
    {
        asio::async_write(*socket, asio::buffer(text),
                          [this, socket](std::error_code error, std::size_t count) {
                              m_sentBytes += count;
                              if (error)
                                  --m_openConnections;
                              else if (!m_repeated.empty())
                                  send(socket, m_repeated);
                          });
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::string m_next;
    std::string m_repeated;
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> m_sockets;
    std::size_t m_sentBytes = 0;
    unsigned m_openConnections = 0;
};

} // namespace

class EndlessAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndlessAnswerTest);
    CPPUNIT_TEST(headOfOneLine);
    CPPUNIT_TEST(headOfManyLines);
    CPPUNIT_TEST(emptyLinesBeforeTheHead);
    CPPUNIT_TEST(interimAnswers);
    CPPUNIT_TEST(bodyWithoutLength);
    CPPUNIT_TEST(bodyOfAnnouncedLength);
    CPPUNIT_TEST(bodyInChunks);
    CPPUNIT_TEST(chunkExtension);
    CPPUNIT_TEST(trailers);
    CPPUNIT_TEST(answersToOtherRequests);
    CPPUNIT_TEST(bytesThatAreNoAnswer);
    CPPUNIT_TEST(longAnswerInSmallChunksIsReceived);
    CPPUNIT_TEST(allAnswersTogetherStayWithinTheBudget);
    CPPUNIT_TEST_SUITE_END();

public:
    // Each of these guards against a backend server whose answer never ends: the connection must be
    // closed within a bounded number of bytes, whatever part of the answer is without end.
    void headOfOneLine() { checkIsEnded("HTTP/1.1 200 OK\r\nX: ", "x"); }
    void headOfManyLines() { checkIsEnded("HTTP/1.1 200 OK\r\n", "X: y\r\n"); }
    void emptyLinesBeforeTheHead() { checkIsEnded("", "\r\n"); }
    void interimAnswers() { checkIsEnded("", "HTTP/1.1 103 Early\r\nX: y\r\n\r\n"); }
    void bodyWithoutLength() { checkIsEnded("HTTP/1.1 200 OK\r\n\r\n", "x"); }
    void bodyOfAnnouncedLength()
    {
        checkIsEnded("HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n", "x");
    }
    void bodyInChunks() { checkIsEnded(chunkedHead, "5\r\nabcde\r\n"); }
    void chunkExtension() { checkIsEnded(chunkedHead + "5;", "x=y;"); }
    void trailers() { checkIsEnded(chunkedHead + "0\r\n", "X: y\r\n"); }
    void answersToOtherRequests()
    {
        checkIsEnded("", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nold");
    }
    void bytesThatAreNoAnswer() { checkIsEnded("", "no answer "); }

    // Guards against bounds on the framing that refuse a complete answer.
    void longAnswerInSmallChunksIsReceived()
    {
        std::string answer = chunkedHead;
        constexpr std::size_t length = 200000;
        for (std::size_t i = 0; i < length; ++i)
            answer += "1\r\nx\r\n";
        answer += "0\r\n\r\n";
        EndlessServer server(m_context, answer, "\r\n");
        const ClientResult result = request(server);
        CPPUNIT_ASSERT(result.status == ClientStatus::ResponseReceived);
        CPPUNIT_ASSERT_EQUAL(length, result.response.body.size());
    }

    // Guards against many long answers, each within its bound, that together exceed the memory of
    // the instance.
    void allAnswersTogetherStayWithinTheBudget()
    {
        constexpr std::size_t budgetBytes = std::size_t(2) * 1024 * 1024;
        constexpr unsigned connections = 16;
        const auto budget = std::make_shared<ByteBudget>(budgetBytes);
        // Just below the bound of one answer, and never complete.
        const std::string body(limits.maxBodyBytes - 1, 'x');
        EndlessServer server(m_context, "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n" + body,
                             "");
        unsigned failed = 0;
        std::vector<std::shared_ptr<HttpClientConnection>> all;
        for (unsigned i = 0; i < connections; ++i) {
            all.push_back(std::make_shared<HttpClientConnection>(m_context, m_timers,
                                                                 server.address(), limits, budget));
            all.back()->send(formatRequest("GET", "/", {}, {}, false), false, 5s, nullptr,
                             [&failed](const ClientResult &result) {
                                 failed += result.status == ClientStatus::InvalidResponse ? 1 : 0;
                             });
        }
        constexpr unsigned fitting = budgetBytes / limits.maxBodyBytes;
        CPPUNIT_ASSERT(runUntil([&] {
            CPPUNIT_ASSERT_LESSEQUAL(budgetBytes, budget->used());
            return failed >= connections - fitting - 1;
        }));
        for (const auto &each : all)
            each->close();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), budget->used());
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

    ClientResult request(const EndlessServer &server)
    {
        m_connection = std::make_shared<HttpClientConnection>(m_context, m_timers, server.address(),
                                                              limits, nullptr);
        std::optional<ClientResult> result;
        m_connection->send(
            formatRequest("GET", "/", {}, {}, false), false, 5s,
            [](const loop::HttpResponse &response) {
                return !findHeader(response.headers, "x-id");
            },
            [&result](ClientResult each) { result = std::move(each); });
        CPPUNIT_ASSERT(runUntil([&result] { return result.has_value(); }));
        return *result;
    }

    void checkIsEnded(const std::string &first, const std::string &repeated)
    {
        EndlessServer server(m_context, first, repeated);
        CPPUNIT_ASSERT(request(server).status == ClientStatus::InvalidResponse);
        CPPUNIT_ASSERT(!m_connection->isOpen());
        CPPUNIT_ASSERT(runUntil([&server] { return server.openConnections() == 0; }));
        CPPUNIT_ASSERT_LESSEQUAL(limits.maxBodyBytes * 2 + socketBuffers, server.sentBytes());
    }

    inline static const std::string chunkedHead =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    asio::io_context m_context;
    LoopTimers m_timers{m_context};
    std::shared_ptr<HttpClientConnection> m_connection;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessAnswerTest);
