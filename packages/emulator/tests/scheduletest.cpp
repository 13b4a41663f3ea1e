#include "schedule.h"
#include "runreport.h"

#include <cppunit/extensions/HelperMacros.h>

namespace apricotrock::emulator {

/// Guards against a benchmark that offers another load than it states.
class ScheduleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ScheduleTest);
    CPPUNIT_TEST(swingKeepsTheMeanRateAndReachesTenToOne);
    CPPUNIT_TEST(sameSeedGivesTheSameTimes);
    CPPUNIT_TEST(quantilesAreRanksOfTheSamples);
    CPPUNIT_TEST_SUITE_END();

public:
    void swingKeepsTheMeanRateAndReachesTenToOne()
    {
        const ScheduleParameters parameters{ScheduleShape::Swing, 1000,
                                            std::chrono::milliseconds(400),
                                            std::chrono::seconds(20), 7};
        const Schedule rates(parameters);
        const double high = rates.rateAt(std::chrono::milliseconds(5));
        const double low = rates.rateAt(std::chrono::milliseconds(205));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, high / low, 1e-9);
        // Five standard deviations of a Poisson count of 20,000.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20000.0, static_cast<double>(times(parameters).size()), 707);
    }

    void sameSeedGivesTheSameTimes()
    {
        ScheduleParameters parameters;
        const auto first = times(parameters);
        CPPUNIT_ASSERT(first == times(parameters));
        parameters.seed = 2;
        CPPUNIT_ASSERT(first != times(parameters));
    }

    void quantilesAreRanksOfTheSamples()
    {
        std::vector<double> values;
        for (int i = 1; i <= 1000; ++i)
            values.push_back(i);
        CPPUNIT_ASSERT_EQUAL(500.0, quantile(values, 0.5));
        CPPUNIT_ASSERT_EQUAL(990.0, quantile(values, 0.99));
        CPPUNIT_ASSERT_EQUAL(999.0, quantile(values, 0.999));
        CPPUNIT_ASSERT_EQUAL(0.0, quantile({}, 0.5));
    }

private:
    static std::vector<Duration> times(const ScheduleParameters &parameters)
    {
        Schedule schedule(parameters);
        std::vector<Duration> result;
        while (const auto time = schedule.next())
            result.push_back(*time);
        return result;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScheduleTest);

} // namespace apricotrock::emulator
