#include "apricotrock/loop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace apricotrock;
using namespace apricotrock::loop;
using namespace std::chrono_literals;

/// Requests that callers send before earlier ones on the same connection have been responded to.
/// Targets that begin with /read/ may overlap.
class PipeliningTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PipeliningTest);
    CPPUNIT_TEST(responsesKeepTheOrderOfTheRequests);
    CPPUNIT_TEST(timesCountFromTheArrival);
    CPPUNIT_TEST(requestsThatMayNotOverlapWait);
    CPPUNIT_TEST(requestsBehindACloseAreNotHandled);
    CPPUNIT_TEST(requestsBehindAMalformedOneAreNotHandled);
    CPPUNIT_TEST(callerDisconnectEndsAllRequests);
    CPPUNIT_TEST(readAheadIsBounded);
    CPPUNIT_TEST(stoppingListenerSendsOwedResponses);
    CPPUNIT_TEST(stoppingListenerHandlesNoFurtherRequests);
    CPPUNIT_TEST(acceptedConnectionIsNotClosedBeforeItsRequestIsRead);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        // Finds a free port by binding to port 0, because the listener does not report its port.
        asio::ip::tcp::acceptor probe(m_context, {asio::ip::address_v4::loopback(), 0});
        m_port = probe.local_endpoint().port();
        probe.close();
        m_listener = std::make_unique<HttpListener>(
            m_context, m_timers, [this](const auto &each) { m_handled.push_back(each); });
        m_listener->setOverlapFilter(
            [](const loop::HttpRequest &request) { return request.target.starts_with("/read/"); });
        CPPUNIT_ASSERT(m_listener->listen({"127.0.0.1", m_port}));
        m_caller.connect({asio::ip::address_v4::loopback(), m_port});
    }

    // Guards against a fast response that is taken for that of the slow request before it, and
    // against a slow request that delays the work on those behind it.
    void responsesKeepTheOrderOfTheRequests()
    {
        send(get("/read/1") + get("/read/2") + get("/read/3"));
        CPPUNIT_ASSERT(runUntil([this] { return m_handled.size() == 3; }));
        respond(2);
        respond(1);
        m_context.run_for(20ms);
        CPPUNIT_ASSERT_EQUAL(std::string(), receive());
        respond(0);
        const std::string text = receiveUntil("body of /read/3");
        const auto first = text.find("body of /read/1");
        const auto second = text.find("body of /read/2");
        CPPUNIT_ASSERT(first < second && second < text.find("body of /read/3"));
    }

    // Guards against a deadline that starts when an earlier request has been responded to.
    void timesCountFromTheArrival()
    {
        send(get("/write/1") + get("/write/2"));
        CPPUNIT_ASSERT(runUntil([this] { return m_handled.size() == 1; }));
        const TimePoint arrived = Clock::now();
        m_context.run_for(60ms);
        respond(0);
        CPPUNIT_ASSERT(runUntil([this] { return m_handled.size() == 2; }));
        CPPUNIT_ASSERT(m_handled[1]->requestReceivedAt() <= arrived);
    }

    // Guards against a request with an effect that overtakes an earlier one or is overtaken.
    void requestsThatMayNotOverlapWait()
    {
        send(get("/read/1") + get("/write/2") + get("/read/3"));
        CPPUNIT_ASSERT(runUntil([this] { return m_handled.size() == 1; }));
        m_context.run_for(20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_handled.size());
        respond(0);
        CPPUNIT_ASSERT(runUntil([this] { return m_handled.size() == 2; }));
        m_context.run_for(20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_handled.size());
        respond(1);
        CPPUNIT_ASSERT(runUntil([this] { return m_handled.size() == 3; }));
    }

    // Guards against passing on a request that the caller sends again, because the response before
    // it has closed the connection.
    void requestsBehindACloseAreNotHandled()
    {
        send("GET /read/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/read/2"));
        CPPUNIT_ASSERT(runUntil([this] { return !m_handled.empty(); }));
        respond(0);
        receiveUntil("body of /read/1");
        m_context.run_for(50ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_handled.size());
    }

    // Guards against a refusal that overtakes earlier responses, and against reading on after it.
    void requestsBehindAMalformedOneAreNotHandled()
    {
        send(get("/read/1") + "GET nowhere HTTP/1.1\r\nHost: h\r\n\r\n" + get("/read/3"));
        CPPUNIT_ASSERT(runUntil([this] { return !m_handled.empty(); }));
        m_context.run_for(20ms);
        CPPUNIT_ASSERT_EQUAL(std::string(), receive());
        respond(0);
        const std::string text = receiveUntil("HTTP/1.1 400");
        CPPUNIT_ASSERT(text.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_handled.size());
    }

    // Guards against work that goes on for a caller who has left.
    void callerDisconnectEndsAllRequests()
    {
        send(get("/read/1") + get("/read/2"));
        CPPUNIT_ASSERT(runUntil([this] { return m_handled.size() == 2; }));
        unsigned disconnects = 0;
        for (const auto &each : m_handled)
            each->onCallerDisconnect([&disconnects] { ++disconnects; });
        m_caller.close();
        CPPUNIT_ASSERT(runUntil([&disconnects] { return disconnects == 2; }));
    }

    // Guards against a caller that fills the memory with requests. All of them are answered.
    void readAheadIsBounded()
    {
        constexpr std::size_t sent = 200;
        constexpr std::size_t limit = 16;
        std::string requests;
        for (std::size_t i = 0; i < sent; ++i)
            requests += get("/read/" + std::to_string(i));
        send(requests);
        CPPUNIT_ASSERT(runUntil([this] { return m_handled.size() >= limit; }));
        m_context.run_for(20ms);
        CPPUNIT_ASSERT_EQUAL(limit, m_handled.size());
        std::size_t next = 0;
        CPPUNIT_ASSERT(runUntil([&] {
            while (next < m_handled.size())
                respond(next++);
            return next == sent;
        }));
        receiveUntil("body of /read/" + std::to_string(sent - 1));
    }

    // Guards against a planned stop that closes a connection with requests in work.
    void stoppingListenerSendsOwedResponses()
    {
        send(get("/read/1") + get("/read/2"));
        CPPUNIT_ASSERT(runUntil([this] { return m_handled.size() == 2; }));
        m_listener->closeAfterResponses();
        m_listener->closeIdleConnections(0ms);
        respond(0);
        m_context.run_for(20ms);
        respond(1);
        const std::string text = receiveUntil("body of /read/2");
        CPPUNIT_ASSERT(text.find("Connection: close") > text.find("body of /read/1"));
    }

    // Guards against a planned stop that does not end because a caller sends on, and against
    // passing on what the caller will send again.
    void stoppingListenerHandlesNoFurtherRequests()
    {
        send(get("/write/1") + get("/write/2"));
        CPPUNIT_ASSERT(runUntil([this] { return m_handled.size() == 1; }));
        m_listener->closeAfterResponses();
        send(get("/write/3"));
        m_context.run_for(20ms);
        respond(0);
        receiveUntil("body of /write/1");
        m_context.run_for(50ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_handled.size());
    }

    // Guards against a planned stop that cuts off a request which has arrived and is not read yet,
    // or whose connection is not accepted yet.
    void acceptedConnectionIsNotClosedBeforeItsRequestIsRead()
    {
        m_context.run_for(20ms);
        asio::ip::tcp::socket second(m_context);
        second.connect({asio::ip::address_v4::loopback(), m_port});
        asio::write(second, asio::buffer(get("/write/2")));
        send(get("/write/1"));
        m_listener->closeAfterResponses();
        m_listener->stopAccepting();
        m_listener->closeIdleConnections(0ms);
        CPPUNIT_ASSERT(runUntil([this] { return m_handled.size() == 2; }));
        respond(0);
        respond(1);
        receiveUntil("body of /write/1");
    }

private:
    static std::string get(const std::string &target)
    {
        return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    bool runUntil(const std::function<bool()> &isDone)
    {
        const TimePoint limit = Clock::now() + 10s;
        while (!isDone() && Clock::now() < limit)
            m_context.run_for(2ms);
        return isDone();
    }

    void send(const std::string &bytes) { asio::write(m_caller, asio::buffer(bytes)); }

    void respond(std::size_t index)
    {
        const auto exchange = m_handled[index];
        exchange->respond(200, {}, "body of " + exchange->request().target, false);
    }

    std::string receive()
    {
        m_caller.non_blocking(true);
        std::array<char, 8192> buffer{};
        std::error_code error;
        const std::size_t count = m_caller.read_some(asio::buffer(buffer), error);
        m_caller.non_blocking(false);
        return {buffer.data(), count};
    }

    std::string receiveUntil(const std::string &expected)
    {
        std::string text;
        CPPUNIT_ASSERT(runUntil([&] {
            text += receive();
            return text.find(expected) != std::string::npos;
        }));
        return text;
    }

    asio::io_context m_context;
    LoopTimers m_timers{m_context};
    std::unique_ptr<HttpListener> m_listener;
    std::uint16_t m_port = 0;
    asio::ip::tcp::socket m_caller{m_context};
    std::vector<std::shared_ptr<HttpExchange>> m_handled;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PipeliningTest);
