#include "apricotrock/loop.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::loop;
using namespace std::chrono_literals;

/// Bodies of requests that take up memory at the same time. The budget holds one large body.
class RequestBodyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestBodyTest);
    CPPUNIT_TEST(bodiesShareTheBudget);
    CPPUNIT_TEST(bodiesOfUnknownSizeShareTheBudget);
    CPPUNIT_TEST(smallRequestsAreServedBesideLargeOnes);
    CPPUNIT_TEST(refusedBodyReturnsItsMemory);
    CPPUNIT_TEST(callerWhoLeavesReturnsItsMemory);
    CPPUNIT_TEST(clientDoesNotCopyTheBody);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        asio::ip::tcp::acceptor probe(m_context, {asio::ip::address_v4::loopback(), 0});
        m_port = probe.local_endpoint().port();
        probe.close();
        m_listener = std::make_unique<HttpListener>(
            m_context, m_timers, [this](const auto &each) { m_handled.push_back(each); });
        m_listener->setLimits({16384, 10 * largeBytes, 3s, 15s});
        m_listener->setBodyBudget(m_budget);
        CPPUNIT_ASSERT(m_listener->listen({"127.0.0.1", m_port}));
    }

    // Guards against bodies that are within the limit of a request one by one and together exceed
    // the memory of the process. What does not fit is refused before its body is received.
    void bodiesShareTheBudget()
    {
        Caller first(*this);
        first.send(post(largeBytes) + std::string(largeBytes, 'x'));
        CPPUNIT_ASSERT(runUntil([this] { return m_handled.size() == 1; }));
        CPPUNIT_ASSERT_EQUAL(largeBytes, m_handled[0]->request().body.size());
        CPPUNIT_ASSERT_EQUAL(largeBytes, m_budget->used());
        Caller second(*this);
        second.send(post(largeBytes));
        expectRefused(second);
        finishAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_budget->used());
        Caller third(*this);
        third.send(post(largeBytes) + std::string(largeBytes, 'x'));
        CPPUNIT_ASSERT(runUntil([this] { return m_handled.size() == 1; }));
    }

    // Guards against the same for a body whose header names no size.
    void bodiesOfUnknownSizeShareTheBudget()
    {
        Caller first(*this);
        first.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
        const std::string chunk = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
        for (std::size_t sent = 0; sent < 2 * largeBytes && !first.isAnswered(); sent += 0x1000) {
            first.send(chunk);
            m_context.run_for(1ms);
            CPPUNIT_ASSERT(m_budget->used() <= budgetBytes);
        }
        expectRefused(first);
        CPPUNIT_ASSERT(m_handled.empty());
    }

    // Guards against large requests of a few callers that keep all others from being served.
    void smallRequestsAreServedBesideLargeOnes()
    {
        Caller large(*this);
        large.send(post(budgetBytes));
        CPPUNIT_ASSERT(runUntil([this] { return m_budget->used() == budgetBytes; }));
        for (std::size_t i = 1; i <= 20; ++i) {
            Caller small(*this);
            small.send(post(1000) + std::string(1000, 'x'));
            CPPUNIT_ASSERT(runUntil([this, i] { return m_handled.size() == i; }));
        }
    }

    // Guards against memory of a refused request that is held while its connection closes.
    void refusedBodyReturnsItsMemory()
    {
        Caller first(*this);
        first.send(post(largeBytes) + std::string(largeBytes / 2, 'x'));
        CPPUNIT_ASSERT(runUntil([this] { return m_budget->used() == largeBytes; }));
        m_listener->refuseIncompleteRequests(503, "stops", {{"Retry-After", "1"}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_budget->used());
        expectRefused(first);
    }

    // Guards against memory that is not returned when a caller disconnects in the middle of a body.
    void callerWhoLeavesReturnsItsMemory()
    {
        {
            Caller first(*this);
            first.send(post(largeBytes) + std::string(largeBytes / 2, 'x'));
            CPPUNIT_ASSERT(runUntil([this] { return m_budget->used() == largeBytes; }));
        }
        CPPUNIT_ASSERT(runUntil([this] { return m_budget->used() == 0; }));
    }

    // Guards against a second copy of each body, and against one that stays with a connection which
    // is kept for later requests.
    void clientDoesNotCopyTheBody()
    {
        const auto body = std::make_shared<const std::string>(largeBytes, 'y');
        const auto connection = std::make_shared<HttpClientConnection>(
            m_context, m_timers, Endpoint{"127.0.0.1", m_port});
        std::optional<ClientResult> result;
        connection->send(formatRequestHead("POST", "/", {{"Host", "h"}}, body->size(), true), body,
                         false, 5s, nullptr,
                         [&result](ClientResult each) { result = std::move(each); });
        CPPUNIT_ASSERT(runUntil([this] { return m_handled.size() == 1; }));
        CPPUNIT_ASSERT_EQUAL(*body, m_handled[0]->request().body);
        finishAll();
        CPPUNIT_ASSERT(runUntil([&result] { return result.has_value(); }));
        CPPUNIT_ASSERT(connection->isReusable());
        CPPUNIT_ASSERT_EQUAL(1L, body.use_count());
    }

private:
    static constexpr std::size_t largeBytes = 600'000;
    static constexpr std::size_t budgetBytes = 1'000'000;

    /// Connection of a caller, which collects what it receives.
    class Caller
    {
    public:
        explicit Caller(RequestBodyTest &test) : m_test(test)
        {
            m_socket.connect({asio::ip::address_v4::loopback(), test.m_port});
            m_socket.non_blocking(true);
        }

        /// Sends all of \a data, unless the connection ends.
        void send(std::string_view data)
        {
            while (!data.empty()) {
                std::error_code error;
                data.remove_prefix(m_socket.write_some(asio::buffer(data), error));
                if (error && error != asio::error::would_block)
                    return;
                m_test.m_context.run_for(1ms);
            }
        }

        [[nodiscard]] bool isAnswered() { return !received().empty(); }

        const std::string &received()
        {
            std::array<char, 4096> buffer{};
            std::error_code error;
            m_received.append(buffer.data(), m_socket.read_some(asio::buffer(buffer), error));
            return m_received;
        }

    private:
        RequestBodyTest &m_test;
        asio::ip::tcp::socket m_socket{m_test.m_context};
        std::string m_received;
    };

    static std::string post(std::size_t size)
    {
        return formatRequestHead("POST", "/", {{"Host", "h"}}, size, true);
    }

    void expectRefused(Caller &caller)
    {
        CPPUNIT_ASSERT(runUntil([&caller] { return caller.isAnswered(); }));
        CPPUNIT_ASSERT(caller.received().starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(caller.received().find("Retry-After: 1\r\n") != std::string::npos);
    }

    /// Responds to the requests in work and forgets them.
    void finishAll()
    {
        for (const auto &each : m_handled)
            each->respond(200, {}, "", false);
        m_handled.clear();
        m_context.run_for(20ms);
    }

    bool runUntil(const std::function<bool()> &isDone)
    {
        const TimePoint end = Clock::now() + 5s;
        while (!isDone() && Clock::now() < end)
            m_context.run_for(1ms);
        return isDone();
    }

    asio::io_context m_context;
    LoopTimers m_timers{m_context};
    std::shared_ptr<ByteBudget> m_budget = std::make_shared<ByteBudget>(budgetBytes);
    std::uint16_t m_port = 0;
    std::unique_ptr<HttpListener> m_listener;
    std::vector<std::shared_ptr<HttpExchange>> m_handled;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestBodyTest);
