#include "fixedresponsefixture.h"

using namespace apricotrock;
using namespace apricotrock::loop;
using namespace apricotrock::loop::test;

namespace {

constexpr std::string_view tokenCharacters = "!#$%&'*+-.^_`|~0123456789"
                                             "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n";

} // namespace

class InvalidFieldNameTest : public FixedResponseFixture
{
    CPPUNIT_TEST_SUITE(InvalidFieldNameTest);
    CPPUNIT_TEST(nameWithAnotherByteIsNoResponse);
    CPPUNIT_TEST(nameThatEndsWithABlankIsNoResponse);
    CPPUNIT_TEST(lineThatBeginsWithABlankIsNoResponse);
    CPPUNIT_TEST(controlByteDoesNotEndTheHead);
    CPPUNIT_TEST(invalidNameInAnInterimResponseIsNoResponse);
    CPPUNIT_TEST(otherHeadsAreReceived);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a header that is passed on although its name holds a byte which no name may
    // hold: the caller or another system may read the line in another way. Only the characters of
    // a token may occur (RFC 9110, section 5.6.2).
    void nameWithAnotherByteIsNoResponse()
    {
        const std::string name = "X-Y";
        for (std::size_t position = 0; position <= name.size(); ++position) {
            for (unsigned value = 0; value < 256; ++value) {
                const char byte = static_cast<char>(value);
                // A colon ends the name, and only an empty name is invalid then.
                if (byte == ':' && position > 0)
                    continue;
                std::string field = name;
                field.insert(position, 1, byte);
                const std::string response = head + field + ": v\r\n\r\nok";
                if (tokenCharacters.find(byte) == std::string_view::npos) {
                    expectInvalid(response, value % 16 == 0);
                    continue;
                }
                const ClientResult result = receive(response, false);
                CPPUNIT_ASSERT_MESSAGE(response, result.status == ClientStatus::ResponseReceived);
                CPPUNIT_ASSERT(findHeader(result.response.headers, field) == "v");
                CPPUNIT_ASSERT_EQUAL(std::string("ok"), result.response.body);
            }
        }
    }

    // Guards against a field that is read as the length or the coding of the body here and passed
    // on as another one.
    void nameThatEndsWithABlankIsNoResponse()
    {
        for (const bool isSplit : {false, true}) {
            expectInvalid("HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", isSplit);
            expectInvalid("HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n"
                          "2\r\nok\r\n0\r\n\r\n",
                          isSplit);
        }
    }

    // Guards against a line that is joined to the value of the line before it, or whose name begins
    // with a blank. Folded lines are obsolete (RFC 9112, section 5.2).
    void lineThatBeginsWithABlankIsNoResponse()
    {
        for (const char *blank : {" ", "\t", "  \t"}) {
            for (const bool isSplit : {false, true}) {
                expectInvalid(head + blank + "X-Y: v\r\n\r\nok", isSplit);
                expectInvalid("HTTP/1.1 200 OK\r\n" + std::string(blank)
                                  + "X-Y: v\r\nContent-Length: 2\r\n\r\nok",
                              isSplit);
                expectInvalid("HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n" + std::string(blank)
                                  + "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                              isSplit);
            }
        }
    }

    // Guards against a body of other bytes than those of the server: a control byte at the
    // beginning of a name, or a carriage return alone, is taken for the end of the head.
    void controlByteDoesNotEndTheHead()
    {
        for (const bool isSplit : {false, true}) {
            expectInvalid(head + "\rX-Y: v\r\n\r\nok", isSplit);
            expectInvalid(head + "\nX-Y: v\r\n\r\nok", isSplit);
            expectInvalid(head + "\r\r\nok", isSplit);
            expectInvalid("HTTP/1.1 200 OK\rX-Id: 1\r\nContent-Length: 2\r\n\r\nok", isSplit);
        }
    }

    // Guards against an invalid interim response that is skipped like a valid one.
    void invalidNameInAnInterimResponseIsNoResponse()
    {
        for (const bool isSplit : {false, true})
            expectInvalid("HTTP/1.1 103 Early\r\nX Y: v\r\n\r\n" + head + "\r\nok", isSplit);
    }

    // Guards against refusing valid heads, those of servers that end their lines with a line feed
    // alone included.
    void otherHeadsAreReceived()
    {
        for (const std::string &response :
             {head + "\r\nok", head + "X-Empty:\r\n\r\nok", head + "X-Y:\tv w\t: u\r\n\r\nok",
              std::string("HTTP/1.1 200 OK\nContent-Length: 2\nX-Y: v\n\nok"),
              std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\nX-Y: v\n\nok"),
              "HTTP/1.1 103 Early\r\nX-Y: v\r\n\r\n" + head + "\r\nok"}) {
            for (const bool isSplit : {false, true}) {
                const ClientResult result = receive(response, isSplit);
                CPPUNIT_ASSERT_MESSAGE(response, result.status == ClientStatus::ResponseReceived);
                CPPUNIT_ASSERT_EQUAL(std::string("ok"), result.response.body);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InvalidFieldNameTest);
