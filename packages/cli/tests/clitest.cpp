#include "apricotrock/cli.h"
#include "apricotrock/config.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <random>
#include <sstream>

using namespace apricotrock;
using namespace apricotrock::cli;
using platform::PlatformError;
using platform::PlatformFailure;

namespace {

const std::string dataDir = std::string(TEST_DATA_DIR) + '/';
const std::string validFile = dataDir + "check/valid.ini";

/// The platform's log; each test sets what happens to the next appends.
struct FakeLog
{
    std::vector<std::string> records;
    std::uint64_t first = 0;
    /// Ends each append after it took effect, or did not, with this failure.
    std::optional<PlatformFailure> appendFailure;
    bool hasEffect = true;
    /// Runs once before the next append, as another operator that is quicker.
    std::function<void()> beforeAppend;
    /// Reads fail after this many.
    std::size_t readsLeft = 1000;
};

class FakeStream : public ConfigStream
{
public:
    explicit FakeStream(FakeLog &log) : m_log(log) { }

    platform::PlatformResult<platform::ReadAnswer> read(std::uint64_t from) override
    {
        if (m_log.readsLeft == 0)
            return tl::make_unexpected(PlatformError{PlatformFailure::NotDone, "outage"});
        --m_log.readsLeft;
        platform::ReadAnswer answer{m_log.first, m_log.records.size(), {}};
        // Two records for each read, so that a log takes several reads.
        for (auto i = std::max(from, m_log.first); i < m_log.records.size(); ++i) {
            if (answer.records.size() < 2)
                answer.records.push_back({i, m_log.records[i]});
        }
        return answer;
    }

    platform::PlatformResult<std::uint64_t> append(const wire::LogRecordT &record, std::uint64_t,
                                                   TimePoint) override
    {
        if (const auto quicker = std::exchange(m_log.beforeAppend, nullptr))
            quicker();
        if (m_log.hasEffect)
            m_log.records.push_back(wire::encodeLogRecord(record));
        if (m_log.appendFailure)
            return tl::make_unexpected(PlatformError{*m_log.appendFailure, "outage"});
        return m_log.records.size() - 1;
    }

private:
    FakeLog &m_log;
};

} // namespace

class CliTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CliTest);
    CPPUNIT_TEST(checkReportsMatchGoldenFiles);
    CPPUNIT_TEST(wrongUsageIsRefused);
    CPPUNIT_TEST(publicationIsReadBack);
    CPPUNIT_TEST(loserOfARaceIsTold);
    CPPUNIT_TEST(unconfirmedAppendIsNotReportedAsFailure);
    CPPUNIT_TEST(unknownVerdictIsNotReportedAsSuccess);
    CPPUNIT_TEST(lostConfigurationNeedsInitial);
    CPPUNIT_TEST(drainChangesOnlyTheState);
    CPPUNIT_TEST(statusShowsDifferentConfigurations);
    CPPUNIT_TEST(malformedAnswersNeverCrash);
    CPPUNIT_TEST(storiesOfRequestsMatchGoldenFiles);
    CPPUNIT_TEST(requestWithoutLinesIsNotExplained);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_log = FakeLog();
        m_answer = {200, {}, ""};
    }

    // Guards against changes in what operators and scripts read, and against hidden problems.
    void checkReportsMatchGoldenFiles()
    {
        for (const std::string name : {"faulty", "valid", "empty"}) {
            const bool isValid = name == "valid";
            CPPUNIT_ASSERT_EQUAL(isValid ? 0 : 2,
                                 run({"check", dataDir + "check/" + name + ".ini"}));
            std::ostringstream expected;
            expected << std::ifstream(dataDir + "check/" + name + ".txt").rdbuf();
            std::string output = m_output;
            for (auto at = output.find(dataDir); at != std::string::npos; at = output.find(dataDir))
                output.erase(at, dataDir.size());
            CPPUNIT_ASSERT_EQUAL(expected.str(), output);
        }
    }

    // Guards against scripts that take a usage error for success.
    void wrongUsageIsRefused()
    {
        const std::vector<std::vector<std::string>> cases = {
            {},
            {"fly"},
            {"check"},
            {"publish", validFile},
            {"status"},
            {"drain"},
            {"status", "--instance", "here"},
            {"history", "--log", "ftp://x"},
            {"history", "--log", "http://127.0.0.1:1", "--timeout", "5"},
            {"check", validFile, "--output", "xml"},
            {"replay", "/nonexistent"},
            {"quarantine", "clear", "12", "--instance", "127.0.0.1:1"}};
        for (const auto &arguments : cases)
            CPPUNIT_ASSERT_EQUAL(2, run(arguments));
        CPPUNIT_ASSERT_EQUAL(0, run({"--help"}));
        CPPUNIT_ASSERT_EQUAL(0, run({"quarantine", "clear", "--help"}));
    }

    // Guards against a publication that only its author believes in.
    void publicationIsReadBack()
    {
        CPPUNIT_ASSERT_EQUAL(0, runLog({"publish", validFile, "--author", "awa"}));
        CPPUNIT_ASSERT(m_output.find("published version 1 at offset 0") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, runLog({"publish", validFile}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_log.records.size());
        CPPUNIT_ASSERT_EQUAL(0, runLog({"history"}));
        CPPUNIT_ASSERT(m_output.find("awa") != std::string::npos);
    }

    // Guards against a story that leaves out a decision, its inputs, or the state behind it, and
    // against lines of other requests in it.
    void storiesOfRequestsMatchGoldenFiles()
    {
        const std::string first = dataDir + "explain/first.jsonl";
        const std::string second = dataDir + "explain/second.jsonl";
        for (const std::string request : {"lost", "refused", "unfinished"}) {
            CPPUNIT_ASSERT_EQUAL(0, run({"explain", request, first, second}));
            std::ostringstream expected;
            expected << std::ifstream(dataDir + "explain/" + request + ".txt").rdbuf();
            CPPUNIT_ASSERT_EQUAL(expected.str(), m_output);
        }
    }

    // Guards against an empty story that reads as "nothing happened".
    void requestWithoutLinesIsNotExplained()
    {
        m_input = R"({"time":1.0,"level":"info","event":"request_routed","request":"other"})";
        CPPUNIT_ASSERT_EQUAL(1, run({"explain", "lost"}));
        CPPUNIT_ASSERT(m_errors.find("no line is about request lost") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, run({"explain", "other"}));
        CPPUNIT_ASSERT(m_output.find("no line tells its end") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(2, run({"explain", "lost", dataDir + "explain/none.jsonl"}));
    }

    // Guards against the later of two operators being told that it won.
    void loserOfARaceIsTold()
    {
        m_log.beforeAppend = [this] {
            CPPUNIT_ASSERT_EQUAL(0, runLog({"publish", otherFile(), "--author", "a"}));
        };
        CPPUNIT_ASSERT_EQUAL(4, runLog({"publish", validFile, "--author", "b"}));
        CPPUNIT_ASSERT(m_errors.find("version 1 of a came first") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(4, runLog({"publish", validFile, "--base", "0"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_log.records.size());
    }

    // Guards against "not published" for a record that is, or may be, in the log.
    void unconfirmedAppendIsNotReportedAsFailure()
    {
        m_log.appendFailure = PlatformFailure::Uncertain;
        CPPUNIT_ASSERT_EQUAL(3, runLog({"publish", validFile}));
        CPPUNIT_ASSERT(m_errors.find("may still take effect") != std::string::npos);
        CPPUNIT_ASSERT(m_errors.find("not published") == std::string::npos);
        m_log.appendFailure = PlatformFailure::NotDone;
        m_log.hasEffect = false;
        CPPUNIT_ASSERT_EQUAL(3, runLog({"publish", otherFile()}));
        CPPUNIT_ASSERT(m_errors.find("not published") != std::string::npos);
    }

    // Guards against claiming success when the log cannot be read after the append.
    void unknownVerdictIsNotReportedAsSuccess()
    {
        m_log.readsLeft = 1;
        CPPUNIT_ASSERT_EQUAL(3, runLog({"publish", validFile, "--timeout", "1ms"}));
        CPPUNIT_ASSERT(m_errors.find("verdict is not known") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(3, runLog({"history"}));
    }

    // Guards against starting anew by accident, and below a version that instances still have.
    void lostConfigurationNeedsInitial()
    {
        CPPUNIT_ASSERT_EQUAL(0, runLog({"publish", otherFile()}));
        CPPUNIT_ASSERT_EQUAL(1, runLog({"publish", validFile, "--initial"}));
        m_log.first = 1;
        CPPUNIT_ASSERT_EQUAL(1, runLog({"publish", validFile}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_log.records.size());
        m_log.beforeAppend = [this] {
            CPPUNIT_ASSERT_EQUAL(0, runLog({"publish", otherFile(), "--initial", "--base", "7"}));
        };
        CPPUNIT_ASSERT_EQUAL(4, runLog({"publish", validFile, "--initial", "--base", "7"}));
        CPPUNIT_ASSERT_EQUAL(0, runLog({"publish", validFile, "--base", "8"}));
        CPPUNIT_ASSERT(m_output.find("published version 9") != std::string::npos);
    }

    // Guards against a drain that also undoes what others published, or that cannot be undone.
    void drainChangesOnlyTheState()
    {
        CPPUNIT_ASSERT_EQUAL(0, runLog({"publish", validFile}));
        CPPUNIT_ASSERT_EQUAL(0, runLog({"drain", "tracking-1"}));
        CPPUNIT_ASSERT_EQUAL(0, runLog({"diff", validFile}));
        CPPUNIT_ASSERT_EQUAL(std::string("changed [backend-server tracking-1]\n"
                                         "  - state = draining\n1 change to version 2\n"),
                             m_output);
        CPPUNIT_ASSERT_EQUAL(0, runLog({"drain", "tracking-1", "--undo"}));
        CPPUNIT_ASSERT_EQUAL(0, runLog({"diff", validFile}));
        CPPUNIT_ASSERT_EQUAL(std::string("0 changes to version 3\n"), m_output);
        CPPUNIT_ASSERT_EQUAL(2, runLog({"drain", "nobody"}));
    }

    // Guards against a summary that hides an instance with another configuration.
    void statusShowsDifferentConfigurations()
    {
        m_answer.body = R"({"configuration":{"version":3,"digest":"d","since_ms":1000}})";
        CPPUNIT_ASSERT_EQUAL(0, run(statusOfTwo()));
        CPPUNIT_ASSERT(m_output.find("all have version 3") != std::string::npos);
        CPPUNIT_ASSERT(m_output.find("1970-01-01T00:00:01.000Z") != std::string::npos);
        m_secondBody = R"({"configuration":{"version":3,"digest":"e"}})";
        CPPUNIT_ASSERT_EQUAL(0, run(statusOfTwo()));
        CPPUNIT_ASSERT(m_output.find("2 different configurations") != std::string::npos);
        m_answer.status = 0;
        CPPUNIT_ASSERT_EQUAL(3, run(statusOfTwo()));
    }

    // Guards against crashes on what a faulty instance or log sends; run under sanitizers.
    void malformedAnswersNeverCrash()
    {
        std::mt19937_64 random(20261204);
        const std::string good =
            R"({"instance":"a","configuration":{"version":3,"digest":"\u00e9"},"quarantines":[{}]})";
        for (int i = 0; i < 500; ++i) {
            m_answer.body = good;
            for (int j = 0; j < 3; ++j)
                m_answer.body[random() % good.size()] = static_cast<char>(random());
            m_log.records.push_back(m_answer.body);
            run({"quarantine", "list", "--instance", "127.0.0.1:1", "--output", "json"});
            CPPUNIT_ASSERT(run(statusOfTwo()) % 3 == 0);
            CPPUNIT_ASSERT(run({"status", "--instance", "127.0.0.1:1", "--output", "json"}) % 3
                           == 0);
        }
        CPPUNIT_ASSERT_EQUAL(0, runLog({"publish", validFile}));
    }

private:
    static std::vector<std::string> statusOfTwo()
    {
        return {"status", "--instance", "127.0.0.1:1", "--instance", "127.0.0.1:2"};
    }

    static std::string otherFile() { return dataDir + "other.ini"; }

    int run(const std::vector<std::string> &arguments)
    {
        std::ostringstream out;
        std::ostringstream err;
        std::istringstream in(m_input);
        const Environment environment{out,
                                      err,
                                      in,
                                      [this](const std::string &, std::chrono::milliseconds) {
                                          return std::make_unique<FakeStream>(m_log);
                                      },
                                      [this](const InstanceCall &call) -> Result<HttpResponse> {
                                          if (m_answer.status == 0)
                                              return makeError("connection refused");
                                          HttpResponse answer = m_answer;
                                          if (call.instance.port == 2 && !m_secondBody.empty())
                                              answer.body = m_secondBody;
                                          return answer;
                                      },
                                      nullptr,
                                      "tester"};
        const ExitCode code = runCommand(arguments, environment);
        m_output = out.str();
        m_errors = err.str();
        return static_cast<int>(code);
    }

    int runLog(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), {"--log", "http://127.0.0.1:1"});
        return run(arguments);
    }

    FakeLog m_log;
    HttpResponse m_answer;
    std::string m_secondBody;
    std::string m_input;
    std::string m_output;
    std::string m_errors;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CliTest);
