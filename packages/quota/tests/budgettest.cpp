#include "apricotrock/quota.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

using namespace apricotrock;
using namespace apricotrock::quota;
using namespace std::chrono_literals;

namespace {

const TimePoint start{std::chrono::hours(1)};
const Limit limit{100, 200};

Budget makeOwner(const Limit &quotaLimit = limit)
{
    Budget budget = makeBudget(quotaLimit, {}, start);
    setStanding(budget, Standing::Owner, start);
    return budget;
}

/// Asks until a refusal and returns the number of tokens.
int drain(Budget &budget, TimePoint now)
{
    int count = 0;
    while (takeToken(budget, Timeliness::InTime, 0.5, now).verdict == Verdict::Granted)
        ++count;
    return count;
}

} // namespace

class BudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BudgetTest);
    CPPUNIT_TEST(newOwnerStartsWithHalfOfTheExcess);
    CPPUNIT_TEST(ownerRefillsToTheBurst);
    CPPUNIT_TEST(shareReducesRateAndLevel);
    CPPUNIT_TEST(loweredQuotaCutsTheLevel);
    CPPUNIT_TEST(pauseIsNotRefilled);
    CPPUNIT_TEST(displacedOwnerGrantsLess);
    CPPUNIT_TEST(retryAfterCoversTheRefusals);
    CPPUNIT_TEST(holdOffLosesNoToken);
    CPPUNIT_TEST(localBucketStartsEmpty);
    CPPUNIT_TEST(repeatedTicketHasOneAnswer);
    CPPUNIT_TEST(ticketMemoryIsBounded);
    CPPUNIT_TEST(lateRequestsLeaveTokensToOthersAtTheQuota);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an excess when several owners follow each other.
    void newOwnerStartsWithHalfOfTheExcess()
    {
        Budget budget = makeOwner();
        CPPUNIT_ASSERT_EQUAL(45, drain(budget, start));
        CPPUNIT_ASSERT_EQUAL(15, drain(budget, start + 500ms));
        CPPUNIT_ASSERT_EQUAL(65, drain(budget, start + 1500ms));
        Budget small = makeOwner({1, 3});
        CPPUNIT_ASSERT_EQUAL(3, drain(small, start));
        Budget tiny = makeOwner({0.1, 0});
        CPPUNIT_ASSERT_EQUAL(1, drain(tiny, start));
    }

    void ownerRefillsToTheBurst()
    {
        Budget budget = makeOwner();
        CPPUNIT_ASSERT_EQUAL(200, drain(budget, start + 60s));
        CPPUNIT_ASSERT_EQUAL(100, drain(budget, start + 61s));
        giveBack(budget, start + 61s);
        CPPUNIT_ASSERT_EQUAL(1, drain(budget, start + 61s));
    }

    // Guards against two parts of a fleet that grant more than the quota together, and against a
    // reduction for the few instances that restart at any time.
    void shareReducesRateAndLevel()
    {
        CPPUNIT_ASSERT_EQUAL(1.0, shareOf(96, 100));
        CPPUNIT_ASSERT_EQUAL(0.65, shareOf(65, 100));
        CPPUNIT_ASSERT(shareOf(65, 100) + shareOf(35, 100) < 1);
        CPPUNIT_ASSERT(shareOf(1, 123) < 1.0 / 123);
        Budget budget = makeOwner();
        setShare(budget, 0.5, start + 60s);
        CPPUNIT_ASSERT_EQUAL(100, drain(budget, start + 60s));
        CPPUNIT_ASSERT_EQUAL(50, drain(budget, start + 61s));
    }

    void loweredQuotaCutsTheLevel()
    {
        Budget budget = makeOwner();
        setLimit(budget, {10, 20}, start + 60s);
        CPPUNIT_ASSERT_EQUAL(20, drain(budget, start + 60s));
        CPPUNIT_ASSERT_EQUAL(10, drain(budget, start + 61s));
    }

    // Guards against tokens that another owner has granted while the process was stopped.
    void pauseIsNotRefilled()
    {
        Budget budget = makeOwner();
        drain(budget, start + 60s);
        skipPause(budget, start + 63s);
        CPPUNIT_ASSERT_EQUAL(0, drain(budget, start + 63s));
    }

    void displacedOwnerGrantsLess()
    {
        Budget budget = makeOwner();
        setStanding(budget, Standing::Displaced, start + 60s);
        CPPUNIT_ASSERT_EQUAL(45, drain(budget, start + 60s));
        CPPUNIT_ASSERT_EQUAL(25, drain(budget, start + 60500ms));
    }

    // Guards against refused callers that all come back at the same moment, or before there are
    // tokens for them.
    void retryAfterCoversTheRefusals()
    {
        Budget budget = makeOwner();
        drain(budget, start);
        for (int i = 0; i < 80; ++i)
            takeToken(budget, Timeliness::InTime, 0, start);
        CPPUNIT_ASSERT(takeToken(budget, Timeliness::InTime, 0, start).retryAfter == 50ms);
        CPPUNIT_ASSERT(takeToken(budget, Timeliness::InTime, 1, start).retryAfter > 800ms);
        for (int i = 0; i < 1000; ++i)
            CPPUNIT_ASSERT(takeToken(budget, Timeliness::InTime, 1, start).retryAfter <= 1500ms);
    }

    void holdOffLosesNoToken()
    {
        Budget budget = makeOwner({1000, 20});
        drain(budget, start);
        CPPUNIT_ASSERT(takeToken(budget, Timeliness::InTime, 0, start).holdOff == 0ms);
        for (int i = 0; i < 1000; ++i)
            takeToken(budget, Timeliness::InTime, 0, start);
        CPPUNIT_ASSERT(takeToken(budget, Timeliness::InTime, 0, start).holdOff == 10ms);
    }

    // Guards against an excess when many instances lose contact at once.
    void localBucketStartsEmpty()
    {
        LocalBudget local{0, start};
        CPPUNIT_ASSERT(!takeLocalToken(local, limit, 100, start));
        CPPUNIT_ASSERT(!takeLocalToken(local, limit, 100, start + 3900ms));
        CPPUNIT_ASSERT(takeLocalToken(local, limit, 100, start + 4100ms));
        CPPUNIT_ASSERT(!takeLocalToken(local, limit, 100, start + 4200ms));
    }

    // Guards against tokens that are taken or given back twice because a datagram was repeated, or
    // that are lost because a return overtook its request.
    void repeatedTicketHasOneAnswer()
    {
        TicketMemory memory(10);
        const TicketKey key{1, 2};
        CPPUNIT_ASSERT(!memory.find(key, start));
        memory.add(key, {}, start);
        CPPUNIT_ASSERT(memory.find(key, start + 9s)->verdict == Verdict::Granted);
        CPPUNIT_ASSERT(memory.takeBack(key, start + 9s));
        CPPUNIT_ASSERT(!memory.takeBack(key, start + 9s));
        CPPUNIT_ASSERT(!memory.find(key, start + 10s));
        CPPUNIT_ASSERT(!memory.takeBack({1, 3}, start));
        CPPUNIT_ASSERT(memory.find({1, 3}, start)->verdict == Verdict::Exceeded);
    }

    void ticketMemoryIsBounded()
    {
        TicketMemory memory(100);
        for (std::uint64_t i = 0; i < 1000; ++i)
            memory.add({1, i}, {}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), memory.size());
        CPPUNIT_ASSERT(memory.find({1, 999}, start));
        CPPUNIT_ASSERT(!memory.find({1, 1}, start));
        CPPUNIT_ASSERT(!memory.find({1, 999}, start + 10s));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), memory.size());
    }

    // Guards against tokens for callers that come back after a refusal and can't be answered in
    // time any more, while as many requests as the quota allows could be answered in time. Load:
    // an organisation sends one and a half times its quota, and the refused callers come back.
    void lateRequestsLeaveTokensToOthersAtTheQuota()
    {
        Budget budget = makeOwner({100, 100});
        unsigned inTime = 0;
        unsigned late = 0;
        const auto isGranted = [&budget](Timeliness timeliness, TimePoint now) {
            return takeToken(budget, timeliness, 0.5, now).verdict == Verdict::Granted;
        };
        constexpr unsigned steps = 3000;
        for (unsigned i = 0; i < steps; ++i) {
            const TimePoint now = start + 1s + i * 1ms;
            late += i % 10 == 0 && isGranted(Timeliness::Late, now) ? 1 : 0;
            inTime += i % 20 < 3 && isGranted(Timeliness::InTime, now) ? 1 : 0;
        }
        CPPUNIT_ASSERT(inTime + late >= 300);
        CPPUNIT_ASSERT(late <= 60);
        // Late requests get the tokens that nobody else wants.
        late = 0;
        for (unsigned i = 0; i < 1000; ++i)
            late += i % 10 == 0 && isGranted(Timeliness::Late, start + 10s + i * 1ms) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(100U, late);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BudgetTest);
