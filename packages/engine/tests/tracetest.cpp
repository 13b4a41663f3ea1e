#include "apricotrock/engine.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace apricotrock;
using namespace apricotrock::engine;
using namespace std::chrono_literals;

namespace {

std::string readFile(const std::filesystem::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

std::string firstDifference(const std::string &expected, const std::string &actual)
{
    std::istringstream expectedLines(expected);
    std::istringstream actualLines(actual);
    std::string expectedLine;
    std::string actualLine;
    for (int number = 1;; ++number) {
        const bool hasExpected = bool(std::getline(expectedLines, expectedLine));
        const bool hasActual = bool(std::getline(actualLines, actualLine));
        if (!hasExpected && !hasActual)
            return {};
        if (hasExpected != hasActual || expectedLine != actualLine)
            return "line " + std::to_string(number) + "\nexpected: " + expectedLine
                + "\nactual:   " + actualLine;
    }
}

template <typename EntryType>
void addEntry(wire::LogRecordT &record, EntryType entry)
{
    record.entries.push_back(wire::holdEntry(std::move(entry)));
}

} // namespace

class TraceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TraceTest);
    CPPUNIT_TEST(sessionsReplayToTheirExpectedOutput);
    CPPUNIT_TEST(everyEventRoundTrips);
    CPPUNIT_TEST(aTraceOfARunningEngineReplays);
    CPPUNIT_TEST(malformedLinesAreErrors);
    CPPUNIT_TEST(failedExpectationsAreReported);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against unintended changes of behaviour in recorded sessions; each trace file
    // describes its scenario.
    void sessionsReplayToTheirExpectedOutput()
    {
        std::vector<std::filesystem::path> traces;
        for (const auto &entry : std::filesystem::directory_iterator(TEST_DATA_DIR "/golden")) {
            if (entry.path().extension() == ".trace")
                traces.push_back(entry.path());
        }
        std::sort(traces.begin(), traces.end());
        CPPUNIT_ASSERT(!traces.empty());
        std::string differences;
        for (const auto &trace : traces) {
            const auto report = replayTrace(readFile(trace));
            CPPUNIT_ASSERT_MESSAGE(report ? "" : report.error().message, report.has_value());
            for (const std::string &failure : report->failures)
                differences += trace.filename().string() + ": " + failure + '\n';
            CPPUNIT_ASSERT(report->expectations > 0);
            auto expected = trace;
            expected.replace_extension(".expected");
            const std::string text = readFile(expected);
            if (text == report->output)
                continue;
            // Writes the new output to the working directory, for comparison and as the new
            // expectation.
            std::ofstream(expected.filename().string() + ".actual") << report->output;
            differences +=
                trace.filename().string() + ": " + firstDifference(text, report->output) + '\n';
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), differences);
    }

    // Guards against fields that are not written to a trace or not read back from it.
    void everyEventRoundTrips()
    {
        const std::vector<Event> events = makeEvents();
        CPPUNIT_ASSERT_EQUAL(std::variant_size_v<Event>, events.size());
        for (std::size_t index = 0; index < events.size(); ++index) {
            CPPUNIT_ASSERT_EQUAL(index, events[index].index());
            const std::string line = formatEvent(events[index], 1234567ns);
            CPPUNIT_ASSERT(line.find('\n') == std::string::npos);
            const auto parsed = parseEvent(line);
            CPPUNIT_ASSERT_MESSAGE(line, parsed.has_value());
            CPPUNIT_ASSERT(parsed->second == 1234567ns);
            CPPUNIT_ASSERT_EQUAL(index, parsed->first.index());
            CPPUNIT_ASSERT_EQUAL(line, formatEvent(parsed->first, 1234567ns));
        }
        const auto arrived = parseEvent(formatEvent(events[0], 0ns));
        const auto &request = std::get<RequestArrived>(arrived->first);
        CPPUNIT_ASSERT_EQUAL(std::string("\0\xff\n", 3), request.request.body);
        CPPUNIT_ASSERT(request.key == std::get<RequestArrived>(events[0]).key);
    }

    // Guards against a recorded trace that cannot be replayed because its first lines are missing.
    void aTraceOfARunningEngineReplays()
    {
        Parameters parameters;
        parameters.incarnation = IncarnationId{7};
        parameters.keyMaxAge = 1min;
        const StatePtr state = makeState(parameters, TimePoint());
        const std::string start = formatTraceStart(*state, 0ns);
        const auto report = replayTrace(start + formatEvent(SealRequested{}, 1ms));
        CPPUNIT_ASSERT_MESSAGE(report ? "" : report.error().message, report.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), report->events);
        CPPUNIT_ASSERT(report->output.find("Seal") != std::string::npos);
    }

    // Guards against a crash of the command-line tool on a damaged trace.
    void malformedLinesAreErrors()
    {
        for (const char *line :
             {"", "{", "[]", R"({"ns":1})", R"({"ns":1,"event":"Nothing"})",
              R"({"ns":1,"event":"CallerGone"})", R"({"ns":1,"event":"CallerGone","id":"x"})",
              R"({"ns":1,"event":"PeersChanged","reachable":["zz"]})"})
            CPPUNIT_ASSERT_MESSAGE(line, !parseEvent(line));
        const auto report = replayTrace("\n" + formatEvent(SealRequested{}, 0ns));
        CPPUNIT_ASSERT(!report && report.error().message.starts_with("line 2: "));
        CPPUNIT_ASSERT(!replayTrace(R"({"expect":"something"})"));
    }

    // Guards against a replay that reports success although expectations do not hold.
    void failedExpectationsAreReported()
    {
        const std::string trace = readFile(TEST_DATA_DIR "/golden/boundkey.trace");
        const auto report =
            replayTrace(trace + R"({"instance":"a1","expect":"reply","id":4,"outcome":"not-run"})"
                        + '\n' + R"({"instance":"a1","expect":"no-reply","id":4})" + '\n'
                        + R"({"instance":"a1","expect":"reply","id":99})" + '\n'
                        + R"({"expect":"runs","key":"never","min":1,"max":1})" + '\n');
        CPPUNIT_ASSERT(report.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), report->failures.size());
    }

private:
    static std::shared_ptr<const wire::LogRecordT> makeRecord()
    {
        wire::LogRecordT record;
        record.incarnation = 7;
        record.sequence = 8;
        record.instance = "a1";
        wire::ClaimT claim;
        claim.key = std::make_unique<wire::KeyId>(wire::fromKey(makeKey()));
        claim.fingerprint = ~0ULL;
        addEntry(record, std::move(claim));
        wire::ReleaseT release;
        release.key = std::make_unique<wire::KeyId>(wire::fromKey(makeKey()));
        addEntry(record, std::move(release));
        addEntry(record, makeSeal());
        addEntry(record, makeSuspicion());
        wire::QuarantineClearedT cleared;
        cleared.fingerprint = 9;
        addEntry(record, cleared);
        wire::LeavingMarkT mark;
        mark.backend_server = "b1";
        addEntry(record, mark);
        return std::make_shared<const wire::LogRecordT>(std::move(record));
    }

    static IdempotencyKey makeKey()
    {
        return {IncarnationId{7}, Uuid7::make(WallTime(1'760'000'000'000ms), 1, 2)};
    }

    static wire::CrashSuspicionT makeSuspicion()
    {
        wire::CrashSuspicionT suspicion;
        suspicion.fingerprint = ~0ULL;
        suspicion.backend_server = "b1";
        suspicion.alone = true;
        suspicion.service = "orders";
        suspicion.expires_ms = 5;
        return suspicion;
    }

    static wire::SealT makeSeal()
    {
        wire::SealT seal;
        seal.lanes = 2;
        seal.parts = 1;
        seal.watermark_ms = 3;
        seal.entries.emplace_back(1, 2, 3, 200, wire::KeyState::Done);
        return seal;
    }

    static std::vector<Event> makeEvents()
    {
        const LoadReport load{1, 2, 3};
        const auto response = std::make_shared<const HttpResponse>(
            HttpResponse{200, {{"X-Name", "caf\xc3\xa9"}}, "body"});
        RequestArrived arrived;
        arrived.id = 1;
        arrived.service = "orders";
        arrived.caller = "desk";
        arrived.request = {"POST", "/print?a=\"b\"", {{"A", "b"}}, std::string("\0\xff\n", 3)};
        arrived.key = makeKey();
        arrived.timeLeft = 5ms;
        arrived.isStatusQuery = true;
        arrived.forwardedBy = IncarnationId{9};
        arrived.wallTime = WallTime(77ms);
        AttemptFinished finished;
        finished.result = {3, routing::AttemptStatus::Shed, 503, 4ms, load, true};
        finished.response = response;
        AcceptedConfiguration accepted;
        accepted.version = 4;
        accepted.objects[{"availability-zone", "z"}] = "region = r\n";
        return {arrived,
                CallerGone{2},
                finished,
                ProbeFinished{{"b1", true, 5ms, load, true}},
                TimeAdvanced{WallTime(5ms)},
                ConfigurationAccepted{
                    std::make_shared<const AcceptedConfiguration>(std::move(accepted))},
                LogRecordRead{5, makeRecord(), WallTime(6ms)},
                LogStateChanged{true},
                LoadHintReceived{{"b1", load, 7ms, true}},
                SuspicionHintReceived{{IncarnationId{7}, 8}, makeSuspicion()},
                SealHintReceived{IncarnationId{7}, makeSeal()},
                ForwardAnswered{9, response},
                PeersChanged{{IncarnationId{7}, IncarnationId{8}}},
                BackendServerLeaving{"b1"},
                QuarantineClearRequested{~0ULL},
                PauseDetected{3s},
                SealRequested{}};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TraceTest);
