#include "instance.h"
#include "instancemetrics.h"
#include "operatorservice.h"
#include "plannedstop.h"
#include "wallclock.h"

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
    CPPUNIT_TEST(boundKeyRunsOnceThroughAnyInstance);
    CPPUNIT_TEST(operatorsSeeAndStopTheInstance);
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

    // Guards against an action that runs twice because its caller resends it to another instance
    // (G4), and against a forward that loses its answer.
    void boundKeyRunsOnceThroughAnyInstance()
    {
        TestPlatform platform;
        RawServer server({{{{std::chrono::milliseconds(0), goodAnswer}}, false}});
        const Settings first = testSettings(platform.url());
        Instance owner(first);
        CPPUNIT_ASSERT(owner.start());
        const Settings second = testSettings(platform.url(), "a2", first.listen.peers.toString());
        Instance other(second);
        CPPUNIT_ASSERT(other.start());
        platform.publish(testConfiguration(server.endpoint()));
        waitFor("configuration", [&] { return owner.isReady() && other.isReady(); });
        waitFor("link", [&] { return other.peers().size() == 1; });
        const WallTime now = wallNow();
        const std::string key =
            owner.incarnation().toString() + '.' + Uuid7::make(now, 1, 2).toString();
        const std::string header = "Idempotency-Key: " + key + "\r\n";
        for (const Settings &settings : {second, second, first}) {
            const std::string answer = call(settings, "POST /services/orders/a", header);
            CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("\r\n\r\nok"));
            CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "Served-By: a1\r\n"));
            CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "Request-Outcome: done\r\n"));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.requests().size());
        CPPUNIT_ASSERT(contains(call(second, "GET /addresses?zone=z1"), "\"instance\":\"a1\""));
        other.stop();
        owner.stop();
    }

    // Guards against operators who cannot see or stop an instance, and against a crash by a
    // malformed request of theirs.
    void operatorsSeeAndStopTheInstance()
    {
        TestPlatform platform;
        RawServer server({{{{std::chrono::milliseconds(0), goodAnswer}}, false}});
        const Settings settings = testSettings(platform.url());
        Instance instance(settings);
        std::atomic<bool> isDrainRequested{false};
        instance.onDrainRequested([&isDrainRequested] { isDrainRequested = true; });
        OperatorService operators(instance);
        CPPUNIT_ASSERT(instance.start());
        const InstanceMetrics instanceMetrics(instance);
        CPPUNIT_ASSERT(operators.start());
        const auto ask = [&settings](const std::string &requestLine) {
            return call(settings, requestLine, "", settings.listen.operators.port);
        };
        CPPUNIT_ASSERT(contains(ask("GET /healthz"), " 200 "));
        CPPUNIT_ASSERT(contains(ask("GET /readyz"), " 503 "));
        platform.publish(testConfiguration(server.endpoint()));
        waitFor("configuration", [&instance] { return instance.isReady(); });
        CPPUNIT_ASSERT(contains(ask("GET /readyz"), " 200 "));
        CPPUNIT_ASSERT(contains(ask("GET /status"), "\"name\":\"orders-1\""));
        call(settings, "GET /services/other/");
        const std::string text = ask("GET /metrics");
        for (const char *line :
             {"apricotrock_refusals_total{kind=\"unknown_service\",outcome=\"not-run\"} 1\n",
              "apricotrock_configuration_version 1\n",
              "apricotrock_ring_refusals_total{ring=\"results\",lane=\"0\"} 0\n"})
            CPPUNIT_ASSERT_MESSAGE(line, contains(text, line));
        CPPUNIT_ASSERT(
            contains(ask("POST /trace?duration_ms=1"), "\"event\":\"ConfigurationAccepted\""));
        CPPUNIT_ASSERT(contains(ask("POST /trace?duration_ms=0"), " 400 "));
        CPPUNIT_ASSERT(contains(ask("POST /trace?duration_ms=1&lane=1"), " 400 "));
        CPPUNIT_ASSERT(contains(ask("DELETE /quarantine/x"), " 400 "));
        CPPUNIT_ASSERT(contains(ask("DELETE /quarantine/0123456789abcdef"), " 404 "));
        CPPUNIT_ASSERT(contains(ask("POST /drain"), " 202 "));
        CPPUNIT_ASSERT(isDrainRequested);
        operators.stop();
        instance.stop();
    }

private:
    static std::string call(const Settings &settings, const std::string &requestLine,
                            const std::string &headers = "", std::uint16_t port = 0)
    {
        RawClient client(port == 0 ? settings.listen.callers.port : port);
        client.send(requestLine + " HTTP/1.1\r\nContent-Length: 0\r\nConnection: close\r\n"
                    + headers + "\r\n");
        return client.readAll();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceTest);
