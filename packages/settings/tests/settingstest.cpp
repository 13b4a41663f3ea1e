#include "apricotrock/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace apricotrock;
using namespace std::chrono_literals;

namespace {

std::string readData(const std::string &name)
{
    std::vector<Problem> problems;
    const auto text = readTextFile(std::string(TEST_DATA_DIR) + '/' + name, problems);
    CPPUNIT_ASSERT_MESSAGE(name, text.has_value());
    return *text;
}

std::string problemLines(const std::vector<Problem> &problems)
{
    std::string lines;
    for (const Problem &problem : problems)
        lines += problem.toString() + '\n';
    return lines;
}

std::string faultsOf(const std::string &extra)
{
    std::vector<Problem> problems;
    readSettings("f", readData("minimal.ini") + extra, problems);
    return problemLines(problems);
}

} // namespace

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(everyFaultIsReportedAtOnce);
    CPPUNIT_TEST(minimalFileGetsDefaults);
    CPPUNIT_TEST(keyAgeMustStayBelowLogRetention);
    CPPUNIT_TEST(longLinesAreReadWhole);
    CPPUNIT_TEST(longSectionNamesStayDistinct);
    CPPUNIT_TEST(unitsAreReadExactly);
    CPPUNIT_TEST(unreadableFilesAreProblems);
    CPPUNIT_TEST(randomTextNeverCrashes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a fault that hides another, which costs the operator one run for each.
    void everyFaultIsReportedAtOnce()
    {
        std::vector<Problem> problems;
        readSettings("faulty.ini", readData("faulty.ini"), problems);
        CPPUNIT_ASSERT_EQUAL(readData("faulty.txt"), problemLines(problems));
    }

    // Guards against defaults that their own bounds or conflict rules refuse.
    void minimalFileGetsDefaults()
    {
        std::vector<Problem> problems;
        const Settings settings = readSettings("f", readData("minimal.ini"), problems);
        CPPUNIT_ASSERT_EQUAL(std::string(), problemLines(problems));
        CPPUNIT_ASSERT(settings.keys.maxAge == 10min);
        CPPUNIT_ASSERT_EQUAL(std::string("[::1]:21102"), settings.listen.peers.toString());
        CPPUNIT_ASSERT(settings.listen.advertise == Endpoint());
        CPPUNIT_ASSERT(settings.log.level == LogLevel::Info);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(32) << 20, settings.keys.retainedAnswerBytes);
    }

    // Guards against accepting keys whose claims the log may have lost: the limit is exclusive.
    void keyAgeMustStayBelowLogRetention()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), faultsOf("[keys]\nmax_age = 57m\n"));
        CPPUNIT_ASSERT(faultsOf("[keys]\nmax_age = 58m\n").find("log could lose the claim")
                       != std::string::npos);
    }

    // Guards against inih's line buffer of 200 bytes, which cuts a longer list in two.
    void longLinesAreReadWhole()
    {
        std::string seeds = "[peers]\nseeds =";
        for (int i = 0; i < 100; ++i)
            seeds += " 127.100.100.100:" + std::to_string(21000 + i);
        std::vector<Problem> problems;
        const Settings settings = readSettings("f", readData("minimal.ini") + seeds, problems);
        CPPUNIT_ASSERT_EQUAL(std::string(), problemLines(problems));
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), settings.peers.seeds.size());
        CPPUNIT_ASSERT(faultsOf("[log]\nlevel = " + std::string(5000, 'x')).find("5008 bytes")
                       != std::string::npos);
    }

    // Guards against inih's section buffer of 50 bytes and against sections without keys, which it
    // does not tell: two long names must not become one, nor an empty section vanish.
    void longSectionNamesStayDistinct()
    {
        const std::string name(60, 'n');
        std::vector<Problem> problems;
        const auto sections =
            parseIni("f", '[' + name + "1]\n[" + name + "2]\na=1\n[" + name + "1]\n", problems);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), sections.size());
        CPPUNIT_ASSERT(sections.at(0).values.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), problems.size());
    }

    // Guards against silent overflow and against units that are taken for others.
    void unitsAreReadExactly()
    {
        CPPUNIT_ASSERT(parseDuration("100us") == 100us);
        CPPUNIT_ASSERT(parseDuration("30d") == 720h);
        CPPUNIT_ASSERT(parseBytes("64KiB") == 65536U);
        for (const char *text : {"", "5", "s", "-1s", "1.5s", "1 s", "1S", "9223372036854775807d"})
            CPPUNIT_ASSERT_MESSAGE(text, !parseDuration(text));
        for (const char *text : {"", "1", "1KB", "1kib", "18446744073709551615GiB"})
            CPPUNIT_ASSERT_MESSAGE(text, !parseBytes(text));
        CPPUNIT_ASSERT_EQUAL(std::string("90s"), formatDuration(90s));
        CPPUNIT_ASSERT_EQUAL(std::string("1500us"), formatDuration(1500us));
    }

    // Guards against a missing file that passes for an empty one.
    void unreadableFilesAreProblems()
    {
        std::vector<Problem> problems;
        readSettingsFile("/nonexistent", problems);
        readSettingsFile(TEST_DATA_DIR, problems);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), problems.size());
    }

    // Guards against crashes on incorrect input; run under sanitizers.
    void randomTextNeverCrashes()
    {
        const std::string good = readData("faulty.ini");
        std::mt19937_64 random(20261204);
        std::size_t problemCount = 0;
        for (int i = 0; i < 3000; ++i) {
            std::string text = good;
            for (int j = 0; j < 20; ++j)
                text[random() % text.size()] = static_cast<char>(random());
            std::vector<Problem> problems;
            readSettings("f", text.substr(0, random() % text.size()), problems);
            problemCount += problems.size();
        }
        CPPUNIT_ASSERT(problemCount > 3000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
