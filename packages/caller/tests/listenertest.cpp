#include "apricotrock/caller.h"

#include "rawclient.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace std::chrono_literals;

namespace {

constexpr auto patience = 30s;

/// A listener whose requests the test takes and answers one by one.
struct ManualListener
{
    ManualListener()
    {
        const auto result = listener.start();
        CPPUNIT_ASSERT_MESSAGE(result ? "" : result.error().message, result);
    }

    caller::IncomingRequest next()
    {
        auto request = requests.pop(Clock::now() + patience);
        CPPUNIT_ASSERT_MESSAGE("no request arrived", request);
        return std::move(*request);
    }

    void answer(RequestId id, const std::string &body)
    {
        listener.answer(id, HttpResponse{200, {}, body}, false);
    }

    std::uint16_t port = freePort();
    BoundedRing<caller::IncomingRequest> requests{16};
    BoundedRing<RequestId> gone{16};
    caller::Listener listener{
        {{"127.0.0.1", port}, 2, 1024, 2048, 100, 60000ms, 60000ms},
        {[this](caller::IncomingRequest request) { requests.tryPush(std::move(request)); },
         [this](RequestId id) { gone.tryPush(std::move(id)); }}};
};

void expectStart(const std::string &start, const std::string &text)
{
    CPPUNIT_ASSERT_EQUAL(start, text.substr(0, start.size()));
}

} // namespace

class ListenerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ListenerTest);
    CPPUNIT_TEST(malformedAndOversizedRequestsAreAnsweredAndNotHandedOn);
    CPPUNIT_TEST(hopByHopHeadersAreNotHandedOn);
    CPPUNIT_TEST(connectionIsUsableAfterHead);
    CPPUNIT_TEST(closedConnectionIsReported);
    CPPUNIT_TEST(pipelinedRequestsAreHandedOnInTurn);
    CPPUNIT_TEST(errorOfALaterRequestIsNotSentForAnEarlierOne);
    CPPUNIT_TEST(occupiedAddressIsAnError);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that crash the listener, hang, or reach a backend server although
    // two parsers could read them differently (request smuggling).
    void malformedAndOversizedRequestsAreAnsweredAndNotHandedOn()
    {
        ManualListener manual;
        const std::vector<std::pair<std::string, std::string>> cases = {
            {"GARBAGE\r\n\r\n", "400"},
            {"GET http://other/ HTTP/1.1\r\n\r\n", "400"},
            {"CONNECT a:1 HTTP/1.1\r\n\r\n", "400"},
            {"GET / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx", "400"},
            {"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "400"},
            {"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", "400"},
            {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
            {"GET /" + std::string(3000, 'a') + " HTTP/1.1\r\n\r\n", "413"},
            {"GET / HTTP/1.1\r\nA: " + std::string(3000, 'a') + "\r\n\r\n", "413"},
            {"GET / HTTP/1.1\r\nA: " + std::string(1500, 'a') + "\r\nB: " + std::string(1500, 'b')
                 + "\r\n\r\n",
             "413"},
            {"POST / HTTP/1.1\r\nContent-Length: 1025\r\n\r\n" + std::string(1025, 'a'), "413"},
            {"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", "413"},
        };
        for (const auto &[request, status] : cases) {
            RawClient client(manual.port);
            client.send(request);
            expectStart("HTTP/1.1 " + status + ' ', client.readAll());
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(cases.size()),
                             manual.listener.counters().malformedRequests);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), manual.requests.size());
    }

    // Guards against headers of the caller's connection that act on the backend's connection.
    void hopByHopHeadersAreNotHandedOn()
    {
        ManualListener manual;
        RawClient client(manual.port);
        client.send("GET /a HTTP/1.1\r\nConnection: keep-alive, X-Secret\r\nX-Secret: 1\r\n"
                    "TE: trailers\r\nX-Kept: 2\r\n\r\n");
        const caller::IncomingRequest request = manual.next();
        CPPUNIT_ASSERT(request.request.headers == (HttpHeaders{{"X-Kept", "2"}}));
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1"), request.remoteAddress);
    }

    // Guards against body bytes after HEAD, which the caller would take for the next answer.
    void connectionIsUsableAfterHead()
    {
        ManualListener manual;
        RawClient client(manual.port);
        client.send("HEAD /a HTTP/1.1\r\n\r\n");
        manual.answer(manual.next().id, "body");
        CPPUNIT_ASSERT(client.readResponse(0).find("Content-Length: 4\r\n") != std::string::npos);
        client.send("GET /b HTTP/1.1\r\n\r\n");
        manual.answer(manual.next().id, "second");
        CPPUNIT_ASSERT(client.readResponse(6).ends_with("second"));
    }

    // Guards against work for callers that are gone, and against an answer to a closed connection.
    void closedConnectionIsReported()
    {
        ManualListener manual;
        RawClient client(manual.port);
        client.send("GET /a HTTP/1.1\r\n\r\n");
        const RequestId id = manual.next().id;
        client.close();
        const auto gone = manual.gone.pop(Clock::now() + patience);
        CPPUNIT_ASSERT(gone == id);
        manual.answer(id, "late");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), manual.listener.counters().answersDropped);
    }

    // Guards against pipelined actions that overtake each other.
    void pipelinedRequestsAreHandedOnInTurn()
    {
        ManualListener manual;
        RawClient client(manual.port);
        client.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n\r\n");
        for (const char *number : {"1", "2", "3"}) {
            const caller::IncomingRequest request = manual.next();
            CPPUNIT_ASSERT_EQUAL('/' + std::string(number), request.request.target);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), manual.requests.size());
            manual.answer(request.id, number);
            CPPUNIT_ASSERT(client.readResponse(1).ends_with(number));
        }
    }

    // Guards against an error that the caller takes for the answer to its earlier request.
    void errorOfALaterRequestIsNotSentForAnEarlierOne()
    {
        ManualListener manual;
        RawClient client(manual.port);
        client.send("POST /1 HTTP/1.1\r\nContent-Length: 0\r\n\r\nGARBAGE\r\n\r\n");
        const RequestId id = manual.next().id;
        CPPUNIT_ASSERT_EQUAL(std::string(), client.readAll());
        CPPUNIT_ASSERT(manual.gone.pop(Clock::now() + patience) == id);
    }

    // Guards against an instance that runs without its listener.
    void occupiedAddressIsAnError()
    {
        ManualListener first;
        caller::Listener second({{"127.0.0.1", first.port}, 1, 1, 1, 1, 1000ms, 1000ms}, {});
        const auto result = second.start();
        CPPUNIT_ASSERT(!result);
        CPPUNIT_ASSERT(result.error().message.find(std::to_string(first.port))
                       != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListenerTest);
