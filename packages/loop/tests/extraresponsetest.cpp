#include "apricotrock/loop.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::loop;
using namespace std::chrono_literals;

namespace {

/// Responds to the first request on its connection, writes extra bytes and another response after
/// the second one, and closes the connection.
class SpoilingServer
{
public:
    explicit SpoilingServer(asio::io_context &context)
        : m_acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }

    void setResponses(std::string first, std::string extra, std::string second)
    {
        m_first = std::move(first);
        m_second = std::move(extra) + std::move(second);
    }
    [[nodiscard]] Endpoint address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    struct Connection
    {
        explicit Connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) { }

        asio::ip::tcp::socket socket;
        std::array<char, 4096> input{};
    };

    void accept()
    {
        m_acceptor.async_accept([this](std::error_code error, asio::ip::tcp::socket accepted) {
            if (error)
                return;
            const auto connection = std::make_shared<Connection>(std::move(accepted));
            read(connection, [this, connection] {
                asio::write(connection->socket, asio::buffer(m_first));
                read(connection, [this, connection] {
                    asio::write(connection->socket, asio::buffer(m_second));
                    connection->socket.close();
                });
            });
            accept();
        });
    }

    static void read(const std::shared_ptr<Connection> &connection,
                     const std::function<void()> &handle)
    {
        connection->socket.async_read_some(asio::buffer(connection->input),
                                           [handle, connection](std::error_code error, auto) {
                                               if (!error)
                                                   handle();
                                           });
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::string m_first;
    std::string m_second;
};

} // namespace

/// A second response to a request that breaks off, ahead of the response to the next request.
class ExtraResponseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExtraResponseTest);
    CPPUNIT_TEST(beginningOfAnExtraResponseDoesNotChangeTheNextOne);
    CPPUNIT_TEST(responsesThatNameAnotherStatusAreReceived);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a response with the status or a header of another one: the bytes of the extra
    // response end anywhere, and the whole response that follows continues its line.
    void beginningOfAnExtraResponseDoesNotChangeTheNextOne()
    {
        for (const char *status : {"200 OK", "204 No Content", "404 Not Found", "100 Continue"}) {
            for (const bool isIdLast : {false, true}) {
                const std::string first = response("200 OK", "1", isIdLast);
                const std::string extra = response(status, "1", isIdLast);
                const std::string second = response("503 Busy", "2", isIdLast);
                for (std::size_t size = 1; size <= extra.size(); ++size) {
                    const ClientResult result = receive(first, extra.substr(0, size), second);
                    if (result.status != ClientStatus::ResponseReceived)
                        continue;
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(extra.substr(0, size), 503,
                                                 result.response.status);
                    CPPUNIT_ASSERT_EQUAL(std::string("body of 2"), result.response.body);
                    CPPUNIT_ASSERT_EQUAL(
                        std::string("signature of 2"),
                        std::string(findHeader(result.response.headers, "x-sign").value_or("")));
                }
            }
        }
    }

    // Guards against refusing a response because the text of a header looks like a status line.
    // Only the version, a space and three digits in a row are the beginning of a response.
    void responsesThatNameAnotherStatusAreReceived()
    {
        const std::string first = response("200 OK", "1", false);
        const std::string second = "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nX-Note: HTTP 404\r\n"
                                   "X-Id: 2\r\nContent-Length: 0\r\n\r\n";
        CPPUNIT_ASSERT(receive(first, "", second).status == ClientStatus::ResponseReceived);
    }

private:
    static std::string response(const std::string &status, const std::string &id, bool isIdLast)
    {
        const std::string idHeader = "X-Id: " + id + "\r\n";
        return "HTTP/1.1 " + status + "\r\n" + (isIdLast ? "" : idHeader)
            + "X-Type: text\r\nX-Sign: signature of " + id + "\r\nContent-Length: 9\r\n"
            + (isIdLast ? idHeader : "") + "\r\nbody of " + id;
    }

    /// Returns the result of the second request on a connection.
    ClientResult receive(const std::string &first, const std::string &extra,
                         const std::string &second)
    {
        m_server.setResponses(first, extra, second);
        const auto connection =
            std::make_shared<HttpClientConnection>(m_context, m_timers, m_server.address());
        CPPUNIT_ASSERT(exchange(connection, "1").status == ClientStatus::ResponseReceived);
        CPPUNIT_ASSERT(connection->isReusable());
        return exchange(connection, "2");
    }

    ClientResult exchange(const std::shared_ptr<HttpClientConnection> &connection,
                          const std::string &id)
    {
        std::optional<ClientResult> result;
        connection->send(
            formatRequest("GET", "/", {}, {}, false), false, 5s,
            [id](const loop::HttpResponse &each) { return findHeader(each.headers, "x-id") == id; },
            [&result](ClientResult each) { result = std::move(each); });
        const TimePoint limit = Clock::now() + 10s;
        while (!result && Clock::now() < limit)
            m_context.run_one_for(10ms);
        CPPUNIT_ASSERT(result);
        return *result;
    }

    asio::io_context m_context;
    LoopTimers m_timers{m_context};
    SpoilingServer m_server{m_context};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExtraResponseTest);
