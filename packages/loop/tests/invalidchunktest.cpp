#include "fixedresponsefixture.h"

using namespace apricotrock;
using namespace apricotrock::loop;
using namespace apricotrock::loop::test;

class InvalidChunkTest : public FixedResponseFixture
{
    CPPUNIT_TEST_SUITE(InvalidChunkTest);
    CPPUNIT_TEST(otherBytesAroundAChunkAreNoResponse);
    CPPUNIT_TEST(validChunksAreReceived);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a body that lost or gained bytes: the size of a chunk is not that of its data,
    // or the line of the size does not end with a carriage return and a line feed.
    void otherBytesAroundAChunkAreNoResponse()
    {
        for (const char *chunks :
             {"2\r\nokXX0\r\n\r\n", "2\r\nok\rX0\r\n\r\n", "2\r\nokX\n0\r\n\r\n",
              "2\rXok\r\n0\r\n\r\n", "2;a\rXok\r\n0\r\n\r\n", "2;a\nb\r\nok\r\n0\r\n\r\n",
              "2\r\nok\r\n0\rX\r\n\r\n"}) {
            for (const bool isSplit : {false, true})
                expectInvalid(head + chunks, isSplit);
        }
    }

    // Guards against refusing valid chunks, those with extensions and trailers included.
    void validChunksAreReceived()
    {
        for (const char *chunks :
             {"2\r\nok\r\n0\r\n\r\n", "1\r\no\r\n01\r\nk\r\n000\r\n\r\n", "2 \r\nok\r\n0\r\n\r\n",
              "2;a=b;c\r\nok\r\n0;d\r\n\r\n", "2\r\nok\r\n0\r\nX-Y: v\r\nX-Z: w\r\n\r\n"}) {
            for (const bool isSplit : {false, true}) {
                const ClientResult result = receive(head + chunks, isSplit);
                CPPUNIT_ASSERT_MESSAGE(chunks, result.status == ClientStatus::ResponseReceived);
                CPPUNIT_ASSERT_EQUAL(std::string("ok"), result.response.body);
            }
        }
        const std::string body(0xAbc, '\r');
        const ClientResult result = receive(head + "aBC\r\n" + body + "\r\n0\r\n\r\n", false);
        CPPUNIT_ASSERT(result.status == ClientStatus::ResponseReceived);
        CPPUNIT_ASSERT_EQUAL(body, result.response.body);
    }

private:
    inline static const std::string head =
        "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
};

CPPUNIT_TEST_SUITE_REGISTRATION(InvalidChunkTest);
