#include "apricotrock/loop.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::loop;
using namespace std::chrono_literals;

namespace {

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

constexpr const char *body = "X-Id: 1\r\nContent-Length: 2\r\n\r\nok";

} // namespace

class InvalidStatusTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(InvalidStatusTest);
    CPPUNIT_TEST(statusOutsideTheRangeIsNoResponse);
    CPPUNIT_TEST(interimResponseWithInvalidStatusIsNoResponse);
    CPPUNIT_TEST(otherStatusesAreReceived);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a caller that gets a status which is none, or an invalid one that is read as
    // another status, whatever the pieces in which the bytes arrive.
    void statusOutsideTheRangeIsNoResponse()
    {
        for (const char *status : {"000 ", "099 Low", "600 High", "999 High", "0200 OK", "20 OK",
                                   "2 OK", "00 ", "1000 OK", "099"}) {
            for (const bool isSplit : {false, true})
                expectInvalid(std::string("HTTP/1.1 ") + status + "\r\n" + body, isSplit);
        }
    }

    // Guards against an invalid interim response that is skipped like a valid one.
    void interimResponseWithInvalidStatusIsNoResponse()
    {
        for (const char *status : {"000 ", "099 Low", "0100 Continue", "10 Continue"}) {
            for (const bool isSplit : {false, true})
                expectInvalid(std::string("HTTP/1.1 ") + status + "\r\n\r\nHTTP/1.1 200 OK\r\n"
                                  + body,
                              isSplit);
        }
        expectInvalid(std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 \r\n") + body, false);
    }

    // Guards against refusing valid statuses, those without a name included.
    void otherStatusesAreReceived()
    {
        for (const char *status : {"200 OK", "200", "200 ", "299 Odd", "418 1000", "599 Last"}) {
            for (const bool isSplit : {false, true}) {
                const std::string line = std::string("HTTP/1.1 ") + status + "\r\n";
                for (const char *interim :
                     {"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 199 Odd\r\n\r\n", "\r\n"}) {
                    const ClientResult result = receive(interim + line + body, isSplit);
                    CPPUNIT_ASSERT_MESSAGE(line, result.status == ClientStatus::ResponseReceived);
                    CPPUNIT_ASSERT_EQUAL(std::atoi(status), result.response.status);
                }
            }
        }
    }

private:
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

    asio::io_context m_context;
    LoopTimers m_timers{m_context};
    FixedResponseServer m_server{m_context};
};

CPPUNIT_TEST_SUITE_REGISTRATION(InvalidStatusTest);
