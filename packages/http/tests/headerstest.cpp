#include "apricotrock/http.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;

class HeadersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HeadersTest);
    CPPUNIT_TEST(malformedLoadReportsAreIgnored);
    CPPUNIT_TEST(deadlinesOutOfRangeAreRejected);
    CPPUNIT_TEST(queryValuesAreDecoded);
    CPPUNIT_TEST(errorAnswerCarriesKindAndOutcome);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a backend server that distorts routing with a malformed report.
    void malformedLoadReportsAreIgnored()
    {
        const auto report = parseLoadReport("outstanding=1, queued=2, slots=4");
        CPPUNIT_ASSERT(report == (LoadReport{1, 2, 4}));
        for (const char *text : {"", "outstanding=1", "outstanding=-1, slots=2",
                                 "outstanding=99999999999, slots=2", "slots=0", "slots"})
            CPPUNIT_ASSERT_MESSAGE(text, !parseLoadReport(text));
    }

    // Guards against a deadline that overflows or never expires.
    void deadlinesOutOfRangeAreRejected()
    {
        CPPUNIT_ASSERT(parseDeadline("250") == std::chrono::milliseconds(250));
        for (const char *text : {"", "0", "-1", "1e3", "86400001", "99999999999999999999"})
            CPPUNIT_ASSERT_MESSAGE(text, !parseDeadline(text));
    }

    // Guards against reading past the end of a truncated escape.
    void queryValuesAreDecoded()
    {
        CPPUNIT_ASSERT(queryValue("/a?x=1&zone=pik%69ne", "zone") == "pikine");
        CPPUNIT_ASSERT(!queryValue("/a?zone=%6", "zone"));
        CPPUNIT_ASSERT(!queryValue("/a?zone=%zz", "zone"));
        CPPUNIT_ASSERT(!queryValue("/a", "zone"));
    }

    // Guards against an error answer without the headers that callers decide on.
    void errorAnswerCarriesKindAndOutcome()
    {
        const HttpResponse response = errorResponse(ErrorKind::QueueFull, Outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT(findHeader(response.headers, "error-kind") == "queue_full");
        CPPUNIT_ASSERT(findHeader(response.headers, "request-outcome") == "unknown");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeadersTest);
