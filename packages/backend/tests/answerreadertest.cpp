#include "answerreader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

using namespace apricotrock;
using namespace apricotrock::backend;

namespace {

/// Feeds each line of \a head; returns false if a line is refused.
bool feed(AnswerReader &reader, const std::string &head)
{
    std::istringstream lines(head);
    for (std::string line; std::getline(lines, line);) {
        if (!reader.addHeaderLine(line + "\r\n"))
            return false;
    }
    return true;
}

bool isAccepted(const std::string &head, bool isHead = false)
{
    AnswerReader reader({1000, 10}, isHead);
    return feed(reader, head) && reader.isHeadComplete();
}

} // namespace

class AnswerReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerReaderTest);
    CPPUNIT_TEST(ambiguousOrUnverifiableFramingIsRefused);
    CPPUNIT_TEST(malformedHeadsAreRefused);
    CPPUNIT_TEST(invalidStatusesAreRefused);
    CPPUNIT_TEST(fieldNamesThatAreNoTokensAreRefused);
    CPPUNIT_TEST(interimAnswersAndTrailersAreNotPartOfTheAnswer);
    CPPUNIT_TEST(boundsAreEnforced);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an answer whose end cannot be proven: a truncated one would look complete.
    void ambiguousOrUnverifiableFramingIsRefused()
    {
        const std::string ok = "HTTP/1.1 200 OK\n";
        CPPUNIT_ASSERT(isAccepted(ok + "Content-Length: 3\n\n"));
        CPPUNIT_ASSERT(isAccepted(ok + "Transfer-Encoding: chunked\n\n"));
        CPPUNIT_ASSERT(isAccepted(ok + "\n", true));
        CPPUNIT_ASSERT(isAccepted("HTTP/1.1 204 No Content\n\n"));
        CPPUNIT_ASSERT(!isAccepted(ok + "\n"));
        for (const char *headers :
             {"Content-Length: 3\nContent-Length: 3\n\n", "Content-Length: +3\n\n",
              "Content-Length: 3, 3\n\n", "Content-Length: 3\nTransfer-Encoding: chunked\n\n",
              "Transfer-Encoding: gzip, chunked\n\n", "Content-Length: 11\n\n"})
            CPPUNIT_ASSERT_MESSAGE(headers, !isAccepted(ok + headers));
    }

    // Guards against heads that another parser behind this one reads in another way.
    void malformedHeadsAreRefused()
    {
        for (const char *head :
             {"HTTP/1.1 20 OK\n", "HTTP/1.1 2x0 OK\n", "HTTP/2 200\n", "HTTP/1.1\n",
              "HTTP/1.1 101 Switching Protocols\n\n", "HTTP/1.1 999 Odd\n\n",
              "HTTP/1.1 200 OK\nName : 1\n", "HTTP/1.1 200 OK\nA: 1\n folded\n",
              "HTTP/1.1 200 OK\nno colon\n", "HTTP/1.1 200 OK\n: 1\n"})
            CPPUNIT_ASSERT_MESSAGE(head, !isAccepted(std::string(head) + "Content-Length: 0\n\n"));
    }

    // Guards against an invalid status that is skipped like that of an interim answer, or read as
    // another one.
    void invalidStatusesAreRefused()
    {
        for (const char *status : {"000 ", "099 Low", "0200 OK", "0100 Continue", "2000 OK"}) {
            AnswerReader reader({1000, 10}, false);
            CPPUNIT_ASSERT_MESSAGE(status,
                                   !feed(reader, std::string("HTTP/1.1 ") + status + "\n\n"));
            CPPUNIT_ASSERT(reader.isInvalid());
        }
    }

    // Guards against a header that is handed on although its name holds a blank or a control byte,
    // and against a line feed at the beginning of a name that ends the head.
    void fieldNamesThatAreNoTokensAreRefused()
    {
        for (unsigned value = 0; value < 256; ++value) {
            const char byte = static_cast<char>(value);
            // A colon ends the name; lines come without a line feed in their middle.
            if (byte == ':' || byte == '\n')
                continue;
            for (const std::string &line :
                 {byte + std::string("X: v"), std::string("X") + byte + "Y: v",
                  std::string("X") + byte + ": v"}) {
                AnswerReader reader({1000, 10}, false);
                CPPUNIT_ASSERT(feed(reader, "HTTP/1.1 200 OK\nContent-Length: 3\n"));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(line, isTokenCharacter(byte), feed(reader, line));
            }
        }
        AnswerReader reader({1000, 10}, false);
        CPPUNIT_ASSERT(feed(reader, "HTTP/1.1 200 OK\nContent-Length: 3\n"));
        CPPUNIT_ASSERT(!reader.addHeaderLine("\n"));
        AnswerReader lineFeeds({1000, 10}, false);
        CPPUNIT_ASSERT(lineFeeds.addHeaderLine("HTTP/1.1 200 OK\n"));
        CPPUNIT_ASSERT(lineFeeds.addHeaderLine("Content-Length: 3\n"));
        CPPUNIT_ASSERT(lineFeeds.addHeaderLine("\n"));
        CPPUNIT_ASSERT(lineFeeds.isHeadComplete());
        CPPUNIT_ASSERT(!isAccepted("HTTP/1.1 200 OK\nHTTP/1.1 404 X: v\nContent-Length: 3\n\n"));
    }

    // Guards against a trailer that overrides a header, and against headers of an interim answer.
    void interimAnswersAndTrailersAreNotPartOfTheAnswer()
    {
        AnswerReader reader({1000, 10}, false);
        CPPUNIT_ASSERT(feed(reader, "HTTP/1.1 103 Early Hints\nA: 1\n\n"));
        CPPUNIT_ASSERT(!reader.isHeadComplete());
        CPPUNIT_ASSERT(feed(reader, "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\nB: 2\n\n"));
        CPPUNIT_ASSERT(feed(reader, "Request-Outcome: not-run\n\n"));
        const HttpResponse response = reader.takeResponse();
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT(response.headers == (HttpHeaders{{"B", "2"}}));
    }

    // Guards against a backend server that exhausts the memory of an instance.
    void boundsAreEnforced()
    {
        AnswerReader reader({1000, 10}, false);
        CPPUNIT_ASSERT(feed(reader, "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n"));
        CPPUNIT_ASSERT(reader.addBody("0123456789"));
        CPPUNIT_ASSERT(!reader.addBody("x"));
        CPPUNIT_ASSERT(reader.isInvalid());
        CPPUNIT_ASSERT(!isAccepted("HTTP/1.1 200 OK\nA: " + std::string(1000, 'a') + "\n\n", true));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerReaderTest);
