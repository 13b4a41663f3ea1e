#include "fakeplatform.h"

#include <cppunit/extensions/HelperMacros.h>

namespace apricotrock::platform {

/// Guards against a poller that stops at the first failure or tells an empty list in an outage.
class InstanceListPollerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(InstanceListPollerTest);
    CPPUNIT_TEST(listIsToldAfterAnOutageAndNeverDuringIt);
    CPPUNIT_TEST(longListsArePolledLessOften);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against control traffic that grows with the number of instances and backend servers.
    void longListsArePolledLessOften()
    {
        using std::chrono::milliseconds;
        CPPUNIT_ASSERT(pollDelay(milliseconds(1000), 0) == milliseconds(1000));
        CPPUNIT_ASSERT(pollDelay(milliseconds(1000), 1024) == milliseconds(1000));
        CPPUNIT_ASSERT(pollDelay(milliseconds(1000), 204800) == milliseconds(200000));
    }

    void listIsToldAfterAnOutageAndNeverDuringIt()
    {
        FakePlatform platform;
        platform.setInstances(
            R"([{"name":"a1","role":"entry","address":"127.0.0.1:5","zone":"z","state":"leaving"}])");
        platform.setOutage(emulator::Outage::Refuse, 3);
        std::promise<std::vector<InstanceInfo>> firstList;
        bool isTold = false;
        InstanceListPoller poller(platform.url(), std::chrono::seconds(5),
                                  std::chrono::milliseconds(1), [&](const auto &instances) {
                                      if (!isTold)
                                          firstList.set_value(instances);
                                      isTold = true;
                                  });
        const auto instances = firstList.get_future().get();
        poller.stop();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, instances.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a1"), instances[0].name);
        CPPUNIT_ASSERT(instances[0].state == InstanceListState::Leaving);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceListPollerTest);

} // namespace apricotrock::platform
