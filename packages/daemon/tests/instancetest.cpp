#include "instance.h"
#include "plannedstop.h"

#include "testinstance.h"

using namespace apricotrock;
using namespace apricotrock::daemon;

namespace {

const std::string goodAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

class InstanceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(InstanceTest);
    CPPUNIT_TEST(requestsAreServedAfterAConfigurationIsInForce);
    CPPUNIT_TEST(plannedStopInterruptsNoRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a break anywhere on the path from caller to backend server and back, and
    // against requests that are routed without a configuration.
    void requestsAreServedAfterAConfigurationIsInForce()
    {
        TestPlatform platform;
        RawServer server({{{{std::chrono::milliseconds(0), goodAnswer}}, false}});
        const Settings settings = testSettings(platform.url());
        Instance instance(settings);
        CPPUNIT_ASSERT(instance.start());
        RawClient client(settings.listen.callers.port);
        client.send("GET /services/orders/a?b=1 HTTP/1.1\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT(contains(client.readAll(), "Error-Kind: not_ready"));
        platform.publish(testConfiguration(server.endpoint()));
        waitFor("configuration", [&instance] { return instance.isReady(); });
        const std::string lookup = call(settings, "GET /services/orders/a?b=1");
        CPPUNIT_ASSERT_MESSAGE(lookup, lookup.ends_with("\r\n\r\nok"));
        for (const char *header :
             {"Served-By: a1", "Backend-Server: orders-1", "Request-Outcome: done"})
            CPPUNIT_ASSERT_MESSAGE(lookup, contains(lookup, header));
        CPPUNIT_ASSERT(server.requests().at(0).starts_with("GET /a?b=1 HTTP/1.1\r\n"));
        CPPUNIT_ASSERT(contains(call(settings, "POST /services/orders/b"), "done"));
        CPPUNIT_ASSERT(contains(call(settings, "GET /services/other/"), "unknown_service"));
        CPPUNIT_ASSERT(
            contains(call(settings, "GET /addresses"), instance.incarnation().toString()));
        instance.stop();
    }

    // Guards against a stop that cuts off a request in flight (G6), and against an address that is
    // still given out.
    void plannedStopInterruptsNoRequest()
    {
        TestPlatform platform;
        RawServer server({{{{std::chrono::milliseconds(700), goodAnswer}}, false}});
        const Settings settings = testSettings(platform.url());
        Instance instance(settings);
        CPPUNIT_ASSERT(instance.start());
        platform.publish(testConfiguration(server.endpoint()));
        waitFor("configuration", [&instance] { return instance.isReady(); });
        RawClient client(settings.listen.callers.port);
        client.send("POST /services/orders/a HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
        waitFor("attempt", [&server] { return !server.requests().empty(); });
        PlannedStop stop(instance, Clock::now());
        CPPUNIT_ASSERT(!instance.isReady());
        waitFor("stop", [&stop] { return stop.advance(Clock::now()); });
        CPPUNIT_ASSERT(stop.isClean());
        const std::string answer = client.readAll();
        CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("\r\n\r\nok"));
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "Connection: close"));
        instance.stop();
    }

private:
    static std::string call(const Settings &settings, const std::string &requestLine)
    {
        RawClient client(settings.listen.callers.port);
        client.send(requestLine + " HTTP/1.1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        return client.readAll();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceTest);
