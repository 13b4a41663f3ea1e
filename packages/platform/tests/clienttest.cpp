#include "fakeplatform.h"

#include <cppunit/extensions/HelperMacros.h>

namespace apricotrock::platform {

namespace {

constexpr std::chrono::seconds callTimeout{5};
constexpr std::chrono::milliseconds noWait{0};

std::string answer(int status, const std::string &body, std::size_t missingBytes = 0)
{
    return "HTTP/1.1 " + std::to_string(status)
        + " X\r\nContent-Length: " + std::to_string(body.size() + missingBytes) + "\r\n\r\n" + body;
}

} // namespace

/// Guards against answers of the platform that are taken for what they don't say.
class ClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClientTest);
    CPPUNIT_TEST(recordsComeBackAsTheyWereAppended);
    CPPUNIT_TEST(readBelowTheFirstOffsetStartsAtTheFirst);
    CPPUNIT_TEST(malformedReadAnswersAreRefused);
    CPPUNIT_TEST(malformedInstanceListsAreRefused);
    CPPUNIT_TEST(appendFailuresTellWhetherTheRecordMayStandInTheLog);
    CPPUNIT_TEST(invalidStatusesAreNoSuccess);
    CPPUNIT_TEST(headersAndTrailersAreBounded);
    CPPUNIT_TEST(cancelEndsALongPoll);
    CPPUNIT_TEST_SUITE_END();

public:
    void recordsComeBackAsTheyWereAppended()
    {
        FakePlatform platform;
        Client client(platform.url(), platform.url(), callTimeout);
        const std::vector<std::string> bodies = {"", std::string("\0\xff", 2), "abc",
                                                 std::string(100000, 'x')};
        for (const std::string &body : bodies)
            CPPUNIT_ASSERT(client.append("s", body));
        const auto records = client.read("s", 0, 100, noWait);
        CPPUNIT_ASSERT(records);
        CPPUNIT_ASSERT_EQUAL(bodies.size(), records->records.size());
        for (std::size_t i = 0; i < bodies.size(); ++i)
            CPPUNIT_ASSERT(bodies[i] == records->records[i].data);
    }

    void readBelowTheFirstOffsetStartsAtTheFirst()
    {
        FakePlatform platform;
        Client client(platform.url(), platform.url(), callTimeout);
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT(client.append("s", "x"));
        platform.expire(2);
        const auto records = client.read("s", 0, 100, noWait);
        CPPUNIT_ASSERT(records);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, records->first);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, records->records.at(0).offset);
    }

    void malformedReadAnswersAreRefused()
    {
        const std::vector<std::string> bodies = {
            R"({"first":0,"next":1,"records":[{"offs)",
            R"([])",
            R"({"first":0,"next":1})",
            R"({"first":2,"next":1,"records":[]})",
            R"({"first":0,"next":-1,"records":[]})",
            R"({"first":0,"next":9,"records":[{"offset":6,"data":""},{"offset":5,"data":""}]})",
            R"({"first":0,"next":9,"records":[{"offset":5,"data":""},{"offset":5,"data":""}]})",
            R"({"first":0,"next":9,"records":[{"offset":4,"data":""}]})",
            R"({"first":0,"next":9,"records":[{"offset":9,"data":""}]})",
            R"({"first":0,"next":9,"records":[{"offset":5,"data":"YWJj!"}]})",
            R"({"first":0,"next":9,"records":[{"offset":5,"data":"YWJjZ"}]})",
            R"({"first":0,"next":9,"records":[{"offset":5}]})"};
        for (const std::string &body : bodies) {
            FixedAnswerServer server(answer(200, body));
            Client client(server.url(), server.url(), callTimeout);
            const auto records = client.read("s", 5, 100, noWait);
            CPPUNIT_ASSERT_MESSAGE(body, !records);
            CPPUNIT_ASSERT_MESSAGE(body, records.error().failure == PlatformFailure::Malformed);
        }
    }

    void malformedInstanceListsAreRefused()
    {
        const std::string row =
            R"({"name":"a","role":"entry","address":"127.0.0.1:1","zone":"z","state":"live"})";
        CPPUNIT_ASSERT(acceptsList("[" + row + "]"));
        CPPUNIT_ASSERT(!acceptsList("{}"));
        CPPUNIT_ASSERT(!acceptsList("[1]"));
        CPPUNIT_ASSERT(!acceptsList("[" + row + ",{}]"));
        for (const std::string part : {"entry", "live", "127.0.0.1:1"}) {
            std::string broken = row;
            broken.replace(broken.find(part), part.size(), "wrong");
            CPPUNIT_ASSERT_MESSAGE(broken, !acceptsList("[" + broken + "]"));
        }
    }

    void appendFailuresTellWhetherTheRecordMayStandInTheLog()
    {
        CPPUNIT_ASSERT(appendFailure(answer(503, "")) == PlatformFailure::NotDone);
        CPPUNIT_ASSERT(appendFailure(answer(413, "")) == PlatformFailure::NotDone);
        CPPUNIT_ASSERT(appendFailure(answer(500, "")) == PlatformFailure::Uncertain);
        CPPUNIT_ASSERT(appendFailure(answer(201, R"({"offset":1})", 1))
                       == PlatformFailure::Uncertain);
        CPPUNIT_ASSERT(appendFailure("") == PlatformFailure::Uncertain);
        CPPUNIT_ASSERT(appendFailure(answer(201, "{}")) == PlatformFailure::Malformed);
        CPPUNIT_ASSERT(appendFailure(answer(201, R"({"offset":"1"})"))
                       == PlatformFailure::Malformed);
        CPPUNIT_ASSERT(appendFailure(answer(200, R"({"offset":1})")) == PlatformFailure::Malformed);
        CPPUNIT_ASSERT(appendFailure(answer(201, std::string(100000, ' ')))
                       == PlatformFailure::Malformed);
    }

    void invalidStatusesAreNoSuccess()
    {
        const std::string rest = "\r\nContent-Length: 35\r\n\r\n"
                                 R"({"first":0,"next":0,  "records":[]})";
        CPPUNIT_ASSERT(readsAnswer("HTTP/1.1 200 X" + rest));
        for (const char *status : {"000", "000 X", "099 X", "20 X", "2 X", "0200 X", "2000 X"})
            CPPUNIT_ASSERT_MESSAGE(status, !readsAnswer(std::string("HTTP/1.1 ") + status + rest));
    }

    // Guards against a server whose head or trailers do not end, and are all kept in memory.
    void headersAndTrailersAreBounded()
    {
        std::string lines;
        while (lines.size() < 128UL * 1024)
            lines += "X: y\r\n";
        const std::string chunked = "HTTP/1.1 201 X\r\nTransfer-Encoding: chunked\r\n";
        const std::string body = "c\r\n{\"offset\":1}\r\n0\r\n";
        CPPUNIT_ASSERT(appendFailure(chunked + "\r\n" + body + lines + "\r\n")
                       == PlatformFailure::Malformed);
        CPPUNIT_ASSERT(appendFailure(chunked + lines + "\r\n" + body + "\r\n")
                       == PlatformFailure::Malformed);
        FixedAnswerServer server(chunked + "\r\n" + body + "X: y\r\n\r\n");
        Client client(server.url(), server.url(), callTimeout);
        CPPUNIT_ASSERT(client.append("s", "x"));
    }

    void cancelEndsALongPoll()
    {
        FakePlatform platform;
        Client client(platform.url(), platform.url(), callTimeout);
        std::thread canceller([&client] { client.cancel(); });
        const auto records = client.read("s", 0, 1, std::chrono::hours(1));
        canceller.join();
        CPPUNIT_ASSERT(!records);
    }

private:
    static bool acceptsList(const std::string &list)
    {
        FixedAnswerServer server(answer(200, R"({"instances":)" + list + "}"));
        Client client(server.url(), server.url(), callTimeout);
        return client.instances().has_value();
    }

    static bool readsAnswer(const std::string &bytes)
    {
        FixedAnswerServer server(bytes);
        Client client(server.url(), server.url(), callTimeout);
        return client.read("s", 0, 10, noWait).has_value();
    }

    static PlatformFailure appendFailure(const std::string &bytes)
    {
        FixedAnswerServer server(bytes);
        Client client(server.url(), server.url(), callTimeout);
        const auto offset = client.append("s", "x");
        CPPUNIT_ASSERT_MESSAGE(bytes, !offset);
        return offset.error().failure;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientTest);

} // namespace apricotrock::platform
