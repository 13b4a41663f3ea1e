#include "apricotrock/base.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>

using namespace apricotrock;

class TimerServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TimerServiceTest);
    CPPUNIT_TEST(callbacksRunInDeadlineOrder);
    CPPUNIT_TEST(cancelledCallbackDoesNotRun);
    CPPUNIT_TEST(lateTimerReportsAPause);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against timers that run in the order of subscription.
    void callbacksRunInDeadlineOrder()
    {
        TimerService timers;
        std::promise<std::string> done;
        std::string order;
        const TimePoint base = Clock::now() + std::chrono::milliseconds(20);
        timers.callAt(base + std::chrono::milliseconds(5), [&](TimePoint) {
            order += 'b';
            done.set_value(order);
        });
        timers.callAt(base, [&](TimePoint) { order += 'a'; });
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), done.get_future().get());
    }

    // Guards against a timeout that fires after its request has ended.
    void cancelledCallbackDoesNotRun()
    {
        TimerService timers;
        bool isCalled = false;
        const TimePoint base = Clock::now() + std::chrono::milliseconds(20);
        const auto id = timers.callAt(base, [&](TimePoint) { isCalled = true; });
        timers.cancel(id);
        std::promise<void> later;
        timers.callAt(base + std::chrono::milliseconds(1), [&](TimePoint) { later.set_value(); });
        later.get_future().get();
        CPPUNIT_ASSERT(!isCalled);
    }

    // Guards against a stopped process that acts on lapsed knowledge after it wakes.
    void lateTimerReportsAPause()
    {
        TimerService timers(std::chrono::seconds(1));
        std::promise<Duration> pause;
        timers.onPause([&](Duration late) { pause.set_value(late); });
        timers.callAt(Clock::now() - std::chrono::seconds(5), [](TimePoint) {});
        CPPUNIT_ASSERT(pause.get_future().get() >= std::chrono::seconds(5));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimerServiceTest);
