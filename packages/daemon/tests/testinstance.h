#pragma once

#include "instance.h"
#include "platformservice.h"

#include "rawclient.h"
#include "rawserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

/// The platform stand-in on a thread of its own.
class TestPlatform
{
public:
    TestPlatform() : m_service(m_context, {{"127.0.0.1", 0}})
    {
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~TestPlatform()
    {
        m_context.stop();
        m_thread.join();
    }

    [[nodiscard]] std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(m_service.port());
    }

    /// Publishes \a text as the first version.
    void publish(const std::string &text)
    {
        using namespace apricotrock;
        std::vector<Problem> problems;
        const ObjectTexts objects = readObjects("test", text, problems);
        wire::LogRecordT record;
        record.incarnation = 1;
        record.instance = "test";
        record.entries.push_back(
            wire::holdEntry(makePublication(emptyConfiguration(), objects, "test", "", {})));
        platform::Client client(url(), url(), std::chrono::seconds(10));
        CPPUNIT_ASSERT(client.append(wire::configStream, wire::encodeLogRecord(record)));
    }

private:
    asio::io_context m_context;
    apricotrock::emulator::PlatformService m_service;
    std::thread m_thread;
};

/// Settings with short times and ports that were free a moment ago.
inline apricotrock::Settings testSettings(const std::string &platformUrl,
                                          const std::string &name = "a1",
                                          const std::string &seed = "")
{
    const auto endpoint = [] { return "127.0.0.1:" + std::to_string(freePort()); };
    const std::string text = "[instance]\nname = " + name
        + "\navailability_zone = z1\n[listen]\ncallers = " + endpoint()
        + "\noperators = " + endpoint() + "\npeers = " + endpoint()
        + "\n[platform]\nlog = " + platformUrl + "\ninstances = " + platformUrl
        + "\n[callers]\naddress_lifetime = 100ms\n[shutdown]\ndrain_limit = 20s\n"
          "[peers]\nheartbeat_interval = 50ms\nheartbeat_timeout = 500ms\nseeds = "
        + seed + '\n';
    std::vector<apricotrock::Problem> problems;
    apricotrock::Settings settings = apricotrock::readSettings("test", text, problems);
    CPPUNIT_ASSERT_MESSAGE(problems.empty() ? "" : problems.front().toString(), problems.empty());
    return settings;
}

/// A configuration with the service `orders` on one backend server.
inline std::string testConfiguration(const apricotrock::Endpoint &backendServer)
{
    return "[availability-zone z1]\n[policy p1]\nprobe_budget = 0\nhedge_quantile = 1\n"
           "[service orders]\npolicy = p1\n[backend-server orders-1]\nservice = orders\n"
           "availability_zone = z1\nslots = 4\naddress = "
        + backendServer.toString() + '\n';
}

/// Waits for \a condition; fails the test after a time that no healthy run needs.
template <typename Condition>
void waitFor(const char *what, Condition condition)
{
    const auto deadline = apricotrock::Clock::now() + std::chrono::seconds(30);
    while (!condition() && apricotrock::Clock::now() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    CPPUNIT_ASSERT_MESSAGE(what, condition());
}
