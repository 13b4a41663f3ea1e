#include "apricotrock/loop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

using namespace apricotrock;
using namespace apricotrock::loop;

class EventLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventLogTest);
    CPPUNIT_TEST(lineIsOneJsonObject);
    CPPUNIT_TEST(stalledReaderDoesNotBlockAndDropsAreReported);
    CPPUNIT_TEST(ordinaryRequestsAreSampled);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { CPPUNIT_ASSERT_EQUAL(0, pipe(m_pipe.data())); }

    void tearDown() override
    {
        close(m_pipe[0]);
        close(m_pipe[1]);
    }

    // Guards against an unescaped value that breaks the line or injects members.
    void lineIsOneJsonObject()
    {
        EventLog log(m_timers, m_pipe[1], "a1");
        log.write(EventLog::Level::Info, "event", [](LogLine &line) {
            line.text("request", "x\",\"y\":\"\n").number("status", 503).flag("hedge", true);
        });
        log.flush();
        const std::string text = read();
        CPPUNIT_ASSERT(text.ends_with(
            R"("event":"event","request":"x\",\"y\":\"\u000a","status":503,"hedge":true,"instance":"a1"})"
            "\n"));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), std::count(text.begin(), text.end(), '\n'));
    }

    // Guards against blocking the request path on a slow reader of the log.
    void stalledReaderDoesNotBlockAndDropsAreReported()
    {
        EventLog log(m_timers, m_pipe[1], "a1");
        const std::string value(1000, 'x');
        for (int i = 0; i < 2000; ++i) {
            log.write(EventLog::Level::Info, "event",
                      [&value](LogLine &line) { line.text("value", value); });
            log.flush();
        }
        CPPUNIT_ASSERT(log.droppedLines() > 1000);
        std::string text;
        for (int i = 0; i < 100; ++i) {
            text += read();
            log.flush();
        }
        CPPUNIT_ASSERT(text.find("log_lines_dropped") != std::string::npos);
    }

    // Guards against a log volume that grows with the request rate.
    void ordinaryRequestsAreSampled()
    {
        EventLog log(m_timers, m_pipe[1], "a1");
        std::string lines;
        log.format(lines, EventLog::Level::Info, "request_answered", [](LogLine &) {});
        for (int i = 0; i < 200; ++i)
            log.addLines(lines, true);
        log.addLines("failed\n", false);
        log.flush();
        const std::string text = read();
        CPPUNIT_ASSERT(std::count(text.begin(), text.end(), '\n') < 20);
        CPPUNIT_ASSERT(text.ends_with("failed\n"));
    }

private:
    std::string read()
    {
        fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
        std::string text(100000, '\0');
        const ssize_t count = ::read(m_pipe[0], text.data(), text.size());
        text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return text;
    }

    asio::io_context m_context;
    LoopTimers m_timers{m_context};
    std::array<int, 2> m_pipe{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);
