#include "apricotrock/base.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace apricotrock;

class ErrorKindTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ErrorKindTest);
    CPPUNIT_TEST(everyRowStandsAtTheIndexOfItsKind);
    CPPUNIT_TEST(namesAreUnique);
    CPPUNIT_TEST(outcomeNamesRoundTrip);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a kind that is added to the list without its row in the table.
    void everyRowStandsAtTheIndexOfItsKind()
    {
        const auto last = static_cast<std::size_t>(ErrorKind::AnswerNotRetained);
        CPPUNIT_ASSERT_EQUAL(last + 1, errorTable().size());
        for (std::size_t i = 0; i < errorTable().size(); ++i)
            CPPUNIT_ASSERT_EQUAL(i, static_cast<std::size_t>(errorTable()[i].kind));
    }

    // Guards against two kinds that share a counter.
    void namesAreUnique()
    {
        std::set<std::string_view> names;
        for (const ErrorInfo &info : errorTable())
            CPPUNIT_ASSERT(names.insert(info.name).second);
    }

    // Guards against an outcome header that the parser of a peer or caller does not accept.
    void outcomeNamesRoundTrip()
    {
        for (const Outcome outcome : {Outcome::Done, Outcome::NotRun, Outcome::Unknown})
            CPPUNIT_ASSERT(parseOutcome(outcomeName(outcome)) == outcome);
        CPPUNIT_ASSERT(!parseOutcome("Done"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ErrorKindTest);
