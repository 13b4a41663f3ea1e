#include "forwardtable.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::peer;

class ForwardTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForwardTableTest);
    CPPUNIT_TEST(answerAfterTheDeadlineIsIgnored);
    CPPUNIT_TEST(answerFromAnotherLinkIsIgnored);
    CPPUNIT_TEST(lostLinkFailsOnlyItsForwards);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a caller that gets two answers to one request.
    void answerAfterTheDeadlineIsIgnored()
    {
        ForwardTable table;
        table.add(1, 10, start + std::chrono::seconds(1));
        CPPUNIT_ASSERT(table.takeExpired(start).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             table.takeExpired(start + std::chrono::seconds(1)).size());
        CPPUNIT_ASSERT(!table.takeAnswered(1, 10));
    }

    // Guards against an answer that a peer sends for a request it was not given.
    void answerFromAnotherLinkIsIgnored()
    {
        ForwardTable table;
        table.add(1, 10, start);
        CPPUNIT_ASSERT(!table.takeAnswered(1, 11));
        CPPUNIT_ASSERT(table.takeAnswered(1, 10));
    }

    // Guards against forwards that wait for an answer from a dead peer until their deadline.
    void lostLinkFailsOnlyItsForwards()
    {
        ForwardTable table;
        table.add(1, 10, start);
        table.add(2, 11, start);
        CPPUNIT_ASSERT((table.takeLost(10) == std::vector<std::uint64_t>{1}));
        CPPUNIT_ASSERT(table.takeAnswered(2, 11));
    }

private:
    const TimePoint start{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardTableTest);
