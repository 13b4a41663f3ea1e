#include "apricotrock/base.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;

class BoundedRingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BoundedRingTest);
    CPPUNIT_TEST(pushToAFullRingFailsAndKeepsTheValue);
    CPPUNIT_TEST(wakeupIsCalledOncePerBurst);
    CPPUNIT_TEST(closedRingGivesOutWhatItHolds);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a request that is dropped silently when a thread falls behind.
    void pushToAFullRingFailsAndKeepsTheValue()
    {
        BoundedRing<std::unique_ptr<int>> ring(1);
        CPPUNIT_ASSERT(ring.tryPush(std::make_unique<int>(1)));
        auto second = std::make_unique<int>(2);
        CPPUNIT_ASSERT(!ring.tryPush(std::move(second)));
        CPPUNIT_ASSERT_EQUAL(2, *second);
        CPPUNIT_ASSERT_EQUAL(1, **ring.tryPop());
        CPPUNIT_ASSERT(ring.tryPush(std::move(second)));
    }

    // Guards against a consumer that sleeps beside a ring with values in it.
    void wakeupIsCalledOncePerBurst()
    {
        BoundedRing<int> ring(4);
        int wakeups = 0;
        ring.setWakeup([&wakeups] { ++wakeups; });
        ring.tryPush(1);
        ring.tryPush(2);
        CPPUNIT_ASSERT_EQUAL(1, wakeups);
        ring.tryPop();
        ring.tryPop();
        ring.tryPush(3);
        CPPUNIT_ASSERT_EQUAL(2, wakeups);
    }

    // Guards against requests lost at shutdown.
    void closedRingGivesOutWhatItHolds()
    {
        BoundedRing<int> ring(4);
        ring.tryPush(1);
        ring.close();
        CPPUNIT_ASSERT(!ring.tryPush(2));
        CPPUNIT_ASSERT_EQUAL(1, *ring.pop(TimePoint::max()));
        CPPUNIT_ASSERT(!ring.pop(TimePoint::max()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedRingTest);
