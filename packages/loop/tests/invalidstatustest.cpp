#include "fixedresponsefixture.h"

using namespace apricotrock;
using namespace apricotrock::loop;
using namespace apricotrock::loop::test;

namespace {

constexpr const char *body = "X-Id: 1\r\nContent-Length: 2\r\n\r\nok";

} // namespace

class InvalidStatusTest : public FixedResponseFixture
{
    CPPUNIT_TEST_SUITE(InvalidStatusTest);
    CPPUNIT_TEST(statusOutsideTheRangeIsNoResponse);
    CPPUNIT_TEST(interimResponseWithInvalidStatusIsNoResponse);
    CPPUNIT_TEST(otherVersionIsNoResponse);
    CPPUNIT_TEST(otherStatusesAreReceived);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a caller that gets a status which is none, or an invalid one that is read as
    // another status, whatever the pieces in which the bytes arrive.
    void statusOutsideTheRangeIsNoResponse()
    {
        for (const char *status : {"000 ", "099 Low", "600 High", "999 High", "0200 OK", "20 OK",
                                   "2 OK", "00 ", "1000 OK", "099"}) {
            for (const bool isSplit : {false, true})
                expectInvalid(std::string("HTTP/1.1 ") + status + "\r\n" + body, isSplit);
        }
    }

    // Guards against an invalid interim response that is skipped like a valid one.
    void interimResponseWithInvalidStatusIsNoResponse()
    {
        for (const char *status : {"000 ", "099 Low", "0100 Continue", "10 Continue"}) {
            for (const bool isSplit : {false, true})
                expectInvalid(std::string("HTTP/1.1 ") + status + "\r\n\r\nHTTP/1.1 200 OK\r\n"
                                  + body,
                              isSplit);
        }
        expectInvalid(std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 \r\n") + body, false);
    }

    // Guards against bytes that are no response of the protocol and are read as one.
    void otherVersionIsNoResponse()
    {
        for (const char *version : {"HXYZ/1.1", "HTTP-1.1", "HTTP/9.9", "HTTP/0.9", "http/1.1",
                                    "XHTTP/1.1", "HTTP/1.1/1.1", "HTTP/1.1x", "HTTP/1."}) {
            for (const bool isSplit : {false, true})
                expectInvalid(std::string(version) + " 200 OK\r\n" + body, isSplit);
        }
        CPPUNIT_ASSERT(receive(std::string("HTTP/1.0 200 OK\r\n") + body, false).status
                       == ClientStatus::ResponseReceived);
    }

    // Guards against refusing valid statuses, those without a name included.
    void otherStatusesAreReceived()
    {
        for (const char *status : {"200 OK", "200", "200 ", "299 Odd", "418 1000", "599 Last"}) {
            for (const bool isSplit : {false, true}) {
                const std::string line = std::string("HTTP/1.1 ") + status + "\r\n";
                for (const char *interim :
                     {"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 199 Odd\r\n\r\n", "\r\n"}) {
                    const ClientResult result = receive(interim + line + body, isSplit);
                    CPPUNIT_ASSERT_MESSAGE(line, result.status == ClientStatus::ResponseReceived);
                    CPPUNIT_ASSERT_EQUAL(std::atoi(status), result.response.status);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InvalidStatusTest);
