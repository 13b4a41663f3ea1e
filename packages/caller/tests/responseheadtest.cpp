#include "responsehead.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::caller;

class ResponseHeadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResponseHeadTest);
    CPPUNIT_TEST(lengthFollowsTheBodyAndNotTheHeader);
    CPPUNIT_TEST(headAnswersKeepTheNamedLength);
    CPPUNIT_TEST(bodylessStatusesCarryNoLength);
    CPPUNIT_TEST(extraHeadersReplaceThoseOfTheResponse);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a response whose end the caller misjudges, so that it reads the next one
    // wrong.
    void lengthFollowsTheBodyAndNotTheHeader()
    {
        const HttpResponse response{200, {{"content-length", "9"}, {"Keep-Alive", "1"}}, "abc"};
        CPPUNIT_ASSERT_EQUAL(
            std::string("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: keep-alive\r\n\r\n"),
            formatResponseHead(response, {}, {}));
    }

    // Guards against HEAD answers that tell the length of the empty body.
    void headAnswersKeepTheNamedLength()
    {
        const HttpResponse named{200, {{"Content-Length", "9"}}, ""};
        const std::string text = formatResponseHead(named, {}, {true, true});
        CPPUNIT_ASSERT(text.find("Content-Length: 9\r\n") != std::string::npos);
        const std::string unnamed = formatResponseHead({200, {}, ""}, {}, {true, true});
        CPPUNIT_ASSERT(unnamed.find("Content-Length") == std::string::npos);
    }

    // Guards against a length on 204, which RFC 9110 forbids.
    void bodylessStatusesCarryNoLength()
    {
        const std::string text = formatResponseHead({204, {{"Content-Length", "0"}}, ""}, {}, {});
        CPPUNIT_ASSERT(text.find("Content-Length") == std::string::npos);
    }

    // Guards against a backend server that forges the outcome told to the caller.
    void extraHeadersReplaceThoseOfTheResponse()
    {
        const HttpResponse response{200, {{"request-outcome", "not-run"}}, ""};
        const std::string text =
            formatResponseHead(response, {{"Request-Outcome", "done"}}, {false, false});
        CPPUNIT_ASSERT(text.find("not-run") == std::string::npos);
        CPPUNIT_ASSERT(text.find("Request-Outcome: done\r\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("Connection: close\r\n") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseHeadTest);
