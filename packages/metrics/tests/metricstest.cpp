#include "apricotrock/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

using namespace apricotrock;
using namespace std::chrono_literals;

class MetricsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MetricsTest);
    CPPUNIT_TEST(textMatchesTheGoldenFile);
    CPPUNIT_TEST(quantilesOfAUniformSampleAreNear);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against text that a Prometheus server rejects: unescaped labels, a repeated header of
    // one name, or quantiles that are made up before there are enough samples.
    void textMatchesTheGoldenFile()
    {
        metrics::Registry registry;
        registry.counter("refusals_total", "Refused requests.", {{"kind", "ring_full"}}).add(3);
        registry.counter("refusals_total", "Ignored.", {{"kind", "queue_full"}}).add();
        registry.counter("refusals_total", "Ignored.", {{"kind", "ring_full"}}).add();
        registry.counter("odd_total", "A \\ and\na line.", {{"name", "a\"b\\c\nd"}});
        registry.gauge("memory_bytes", "Memory.", {}, [] { return 1.5e9; });
        registry.collector([] {
            return std::vector<metrics::Registry::Sample>{
                {"links", "Links.", {{"zone", "pikine"}}, 2, false},
                {"links", "Links.", {{"zone", "almadies"}}, 1, false}};
        });
        registry.summary("latency_seconds", "Latency.", {{"class", "lookup"}}).add(250ms);
        std::ifstream file(TEST_DATA_DIR "/metrics.expected");
        std::stringstream expected;
        expected << file.rdbuf();
        CPPUNIT_ASSERT_EQUAL(expected.str(), registry.text());
    }

    // Guards against swapped or mis-scaled quantiles.
    void quantilesOfAUniformSampleAreNear()
    {
        metrics::Registry registry;
        metrics::Summary &summary = registry.summary("t", "T.");
        // 7919 is prime to 10000, so that every millisecond value comes once in a mixed order.
        for (int i = 0; i < 10000; ++i)
            summary.add(std::chrono::milliseconds(i * 7919 % 10000));
        const std::string text = registry.text();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, value(text, "t{quantile=\"0.5\"} "), 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(9.9, value(text, "t{quantile=\"0.99\"} "), 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10000, value(text, "t_count "), 0);
    }

private:
    static double value(const std::string &text, const std::string &prefix)
    {
        const auto position = text.find(prefix);
        CPPUNIT_ASSERT_MESSAGE(prefix, position != std::string::npos);
        return std::stod(text.substr(position + prefix.size()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);
