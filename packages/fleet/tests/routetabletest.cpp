#include "apricotrock/fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

using namespace apricotrock;
using namespace apricotrock::fleet;
using namespace std::chrono_literals;

namespace {

Route makeRoute(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    route.timeout = 1s;
    route.destinations = {{"s", 1.0}};
    return route;
}

Configuration makeConfiguration(std::vector<Route> routes)
{
    Configuration configuration;
    configuration.version = 1;
    configuration.routes = std::move(routes);
    configuration.services = {{"s", "/health", 100}};
    return configuration;
}

} // namespace

class RouteTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouteTableTest);
    CPPUNIT_TEST(longestMatchingPrefixIsFound);
    CPPUNIT_TEST(otherHostsAndPathsMatchNoRoute);
    CPPUNIT_TEST(requestsAreSplitByWeight);
    CPPUNIT_TEST(zeroWeightDestinationIsNeverChosen);
    CPPUNIT_TEST(everyPartOfASplitKeepsItsShare);
    CPPUNIT_TEST(validationReportsEveryProblem);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against routing a request by a shorter prefix although a longer one matches.
    void longestMatchingPrefixIsFound()
    {
        const RouteTable table(std::make_shared<Configuration>(
            makeConfiguration({makeRoute("short", "h", "/a/"), makeRoute("long", "h", "/a/b/"),
                               makeRoute("other", "g", "/a/b/c/")})));
        CPPUNIT_ASSERT_EQUAL(std::string("long"), table.find("h", "/a/b/c/d")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("short"), table.find("h", "/a/bb/")->name);
    }

    // Guards against forwarding requests for which the configuration has no route.
    void otherHostsAndPathsMatchNoRoute()
    {
        const RouteTable table(
            std::make_shared<Configuration>(makeConfiguration({makeRoute("r", "h", "/a/")})));
        CPPUNIT_ASSERT(!table.find("g", "/a/x"));
        CPPUNIT_ASSERT(!table.find("h", "/ab/"));
        CPPUNIT_ASSERT(!table.find("h", "/a"));
    }

    // Guards against a distribution of requests that ignores the weights.
    void requestsAreSplitByWeight()
    {
        Route route = makeRoute("r", "h", "/a/");
        route.destinations = {{"s", 90}, {"t", 10}};
        int secondCount = 0;
        for (int i = 0; i < 1000; ++i)
            secondCount += chooseDestination(route, i / 1000.0).service == "t" ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(100, secondCount);
    }

    // Guards against sending requests to a destination that was disabled by weight 0.
    void zeroWeightDestinationIsNeverChosen()
    {
        Route route = makeRoute("r", "h", "/a/");
        route.destinations = {{"s", 0}, {"t", 10}};
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("t"), chooseDestination(route, i / 100.0).service);
    }

    // Guards against a share that differs from the weight with several parts, and against rounding
    // that chooses a disabled destination for the greatest numbers below 1.
    void everyPartOfASplitKeepsItsShare()
    {
        Route route = makeRoute("r", "h", "/a/");
        route.destinations = {{"s", 0.1}, {"t", 0.2}, {"u", 0.7}, {"v", 0}};
        std::map<std::string, int> counts;
        for (int i = 0; i < 10000; ++i)
            ++counts[chooseDestination(route, i / 10000.0).service];
        // The first number of a part can be rounded into the part before.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000.0, counts["s"], 1.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2000.0, counts["t"], 1.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(7000.0, counts["u"], 1.0);
        CPPUNIT_ASSERT_EQUAL(0, counts["v"]);
        const double greatest = std::nextafter(1.0, 0.0);
        for (int first = 1; first < 100; ++first) {
            for (int second = 1; second < 100; ++second) {
                route.destinations = {{"s", first / 100.0}, {"t", second / 100.0}, {"v", 0}};
                CPPUNIT_ASSERT(chooseDestination(route, greatest).service != "v");
            }
        }
    }

    // Guards against a validation that stops at the first problem.
    void validationReportsEveryProblem()
    {
        Route invalid = makeRoute("bad", "", "a");
        invalid.timeout = {};
        invalid.maxAttempts = 0;
        invalid.destinations = {{"missing", -1}};
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), validate(makeConfiguration({invalid})).size());
        CPPUNIT_ASSERT(validate(makeConfiguration({makeRoute("r", "h", "/a/")})).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);
