#include "apricotrock/backend.h"

#include "rawserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace apricotrock;
using namespace std::chrono_literals;
using routing::AttemptStatus;

namespace {

constexpr auto patience = 30s;

struct Finished
{
    routing::AttemptResult result;
    std::shared_ptr<const HttpResponse> response;
};

struct TestSender
{
    TestSender() = default;
    explicit TestSender(backend::Parameters newParameters)
        : parameters(std::move(newParameters)) { }

    void start(AttemptId id, const Endpoint &address, HttpRequest request,
               Duration timeLeft = patience, bool useNewConnection = false)
    {
        backend::AttemptOrder order;
        order.start.attempt = id;
        order.start.address = address;
        order.start.deadline = Clock::now() + timeLeft;
        order.start.useNewConnection = useNewConnection;
        order.request = std::make_shared<const HttpRequest>(std::move(request));
        CPPUNIT_ASSERT(sender.start(std::move(order)));
    }

    Finished next()
    {
        auto result = finished.pop(Clock::now() + patience);
        CPPUNIT_ASSERT_MESSAGE("no attempt finished", result);
        return std::move(*result);
    }

    Finished run(const Endpoint &address, const HttpRequest &request = {"GET", "/a", {}, {}},
                 Duration timeLeft = patience, bool useNewConnection = false)
    {
        start(1, address, request, timeLeft, useNewConnection);
        return next();
    }

    const backend::Parameters parameters{64, 1000, 1000, 10s, "a1"};
    BoundedRing<Finished> finished{64};
    BoundedRing<routing::ProbeResult> probes{64};
    backend::Sender sender{
        parameters,
        {[this](routing::AttemptResult result, std::shared_ptr<const HttpResponse> response) {
             finished.tryPush({result, std::move(response)});
         },
         [this](routing::ProbeResult result) { probes.tryPush(std::move(result)); }}};
};

Reaction sendAtOnce(std::string bytes, bool closesConnection = false)
{
    return {{{0ms, std::move(bytes)}}, closesConnection};
}

const std::string goodAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const HttpRequest post{"POST", "/a", {}, "abc"};

} // namespace

class SenderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SenderTest);
    CPPUNIT_TEST(faultyAnswersAreNeverHandedOn);
    CPPUNIT_TEST(invalidFieldNamesAreNeverHandedOn);
    CPPUNIT_TEST(answersThatDoNotEndShareTheMemory);
    CPPUNIT_TEST(secondAnswerIsNotTakenForTheNextRequest);
    CPPUNIT_TEST(requestIsNotWrittenTwiceOnALostConnection);
    CPPUNIT_TEST(lateAnswerIsATimeoutAndClosesTheConnection);
    CPPUNIT_TEST(cancelClosesTheConnection);
    CPPUNIT_TEST(refusedConnectionIsProofThatNothingWasWritten);
    CPPUNIT_TEST(actionsUseNewConnections);
    CPPUNIT_TEST(pooledConnectionsAreNotUsedAfterAPause);
    CPPUNIT_TEST(requestIsPassedOnExactly);
    CPPUNIT_TEST(refusalWithProofIsShed);
    CPPUNIT_TEST(probesTellLoadAndState);
    CPPUNIT_TEST(stopCancelsWhatIsLeft);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against partial, oversized and ambiguous answers that reach a caller. Each case names
    // its fault and what the routing side is told.
    void faultyAnswersAreNeverHandedOn()
    {
        struct Case
        {
            const char *fault;
            Reaction reaction;
            AttemptStatus status;
        };
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        const std::vector<Case> cases = {
            {"close before the answer", sendAtOnce("", true), AttemptStatus::ConnectionLost},
            {"close within the head", sendAtOnce(ok + "Content-Le", true),
             AttemptStatus::AnswerInvalid},
            {"body shorter than its length", sendAtOnce(ok + "Content-Length: 9\r\n\r\nab", true),
             AttemptStatus::AnswerInvalid},
            {"no last chunk",
             sendAtOnce(ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", true),
             AttemptStatus::AnswerInvalid},
            {"malformed chunk", sendAtOnce(ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
             AttemptStatus::AnswerInvalid},
            {"body without length", sendAtOnce(ok + "\r\nab", true), AttemptStatus::AnswerInvalid},
            {"oversized length",
             sendAtOnce(ok + "Content-Length: 1001\r\n\r\n" + std::string(1001, 'a')),
             AttemptStatus::AnswerInvalid},
            {"oversized chunks",
             sendAtOnce(ok + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + std::string(1001, 'a')
                        + "\r\n0\r\n\r\n"),
             AttemptStatus::AnswerInvalid},
            {"oversized head", sendAtOnce(ok + "A: " + std::string(1000, 'a') + "\r\n\r\n"),
             AttemptStatus::AnswerInvalid},
            {"no HTTP", sendAtOnce("ok\r\n\r\n", true), AttemptStatus::AnswerInvalid},
        };
        for (const Case &test : cases) {
            RawServer server({test.reaction});
            TestSender sender;
            const Finished finished = sender.run(server.endpoint(), post, patience, true);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(test.fault, static_cast<int>(test.status),
                                         static_cast<int>(finished.result.status));
            CPPUNIT_ASSERT_MESSAGE(test.fault, !finished.response);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(test.fault, std::size_t(1), server.requests().size());
        }
    }

    // Guards against an answer with an invalid name in its head that reaches a caller, with that
    // line or with a body of other bytes, whatever libcurl makes of it.
    void invalidFieldNamesAreNeverHandedOn()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n";
        for (const std::string name :
             {"X Y", "X\tY", "X\x01Y", "X\x7f", "X ", " X", "\tX", "\rX", "\nX"}) {
            RawServer server({sendAtOnce(head + name + ": v\r\n\r\nok")});
            TestSender sender;
            const Finished finished = sender.run(server.endpoint(), post, patience, true);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, static_cast<int>(AttemptStatus::AnswerInvalid),
                                         static_cast<int>(finished.result.status));
            CPPUNIT_ASSERT_MESSAGE(name, !finished.response);
        }
        const std::string chunks = "\r\n2\r\nok\r\n0\r\n\r\n";
        RawServer server({sendAtOnce("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                                     "Transfer-Encoding\t: chunked\r\n"
                                     + chunks)});
        TestSender sender;
        CPPUNIT_ASSERT(!sender.run(server.endpoint(), post, patience, true).response);
    }

    // Guards against an instance that runs out of memory because many answers, each within its
    // limit, are received at the same time and do not end.
    void answersThatDoNotEndShareTheMemory()
    {
        backend::Parameters parameters{64, 1000, 1000, 10s, "a1"};
        parameters.maxReceivingBytes = 2500;
        TestSender sender(parameters);
        const std::string body(900, 'x');
        RawServer faulty({sendAtOnce("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + body)});
        // run() uses the first id.
        std::set<AttemptId> held = {2, 3, 4, 5, 6, 7, 8, 9};
        constexpr std::size_t fitting = 2;
        for (const AttemptId id : held)
            sender.start(id, faulty.endpoint(), post, patience, true);
        while (held.size() > fitting) {
            const Finished finished = sender.next();
            CPPUNIT_ASSERT_EQUAL(static_cast<int>(AttemptStatus::AnswerInvalid),
                                 static_cast<int>(finished.result.status));
            held.erase(finished.result.attempt);
        }
        const std::string good = "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + body;
        RawServer server({sendAtOnce(good)});
        CPPUNIT_ASSERT(!sender.run(server.endpoint()).response);
        for (const AttemptId id : held)
            sender.sender.cancel(id);
        for (std::size_t i = 0; i < fitting; ++i)
            sender.next();
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT(sender.run(server.endpoint()).response);
    }

    // Guards against a duplicated answer that another caller gets for its request.
    void secondAnswerIsNotTakenForTheNextRequest()
    {
        const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
        const Reaction together = sendAtOnce(first + first);
        const Reaction apart{{{0ms, first}, {0ms, first}}, false};
        for (const Reaction &reaction : {together, apart}) {
            RawServer server({reaction, sendAtOnce(goodAnswer)});
            TestSender sender;
            CPPUNIT_ASSERT_EQUAL(std::string("first"),
                                 sender.run(server.endpoint()).response->body);
            // The second copy has arrived when the connection holds unread bytes.
            std::this_thread::sleep_for(500ms);
            CPPUNIT_ASSERT_EQUAL(std::string("ok"), sender.run(server.endpoint()).response->body);
            CPPUNIT_ASSERT_EQUAL(2, server.connections());
        }
    }

    // Guards against libcurl's silent resend when a pooled connection ends without an answer: the
    // request may have run, and may be the reason for the end.
    void requestIsNotWrittenTwiceOnALostConnection()
    {
        RawServer server({sendAtOnce(goodAnswer), sendAtOnce("", true), sendAtOnce(goodAnswer)});
        TestSender sender;
        CPPUNIT_ASSERT(sender.run(server.endpoint()).response);
        const Finished second = sender.run(server.endpoint());
        CPPUNIT_ASSERT(second.result.status == AttemptStatus::ConnectionLost);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), server.requests().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), sender.sender.counters().connectionsReused);
    }

    // Guards against waiting past the deadline, and against a late answer on a pooled connection.
    void lateAnswerIsATimeoutAndClosesTheConnection()
    {
        // Far apart, so that a stalled test machine neither delays the connection past the deadline
        // nor lets the answer arrive before it.
        const Reaction late{{{3s, goodAnswer}}, false};
        const Reaction silent{{}, false};
        for (const Reaction &reaction : {late, silent}) {
            RawServer server({reaction, sendAtOnce(goodAnswer)});
            TestSender sender;
            const Finished finished = sender.run(server.endpoint(), {"GET", "/a", {}, {}}, 1s);
            CPPUNIT_ASSERT(finished.result.status == AttemptStatus::Timeout);
            CPPUNIT_ASSERT(!finished.response);
            waitForClosedConnections(server);
            CPPUNIT_ASSERT(sender.run(server.endpoint()).response);
        }
    }

    // Guards against the answer of a cancelled attempt on a pooled connection.
    void cancelClosesTheConnection()
    {
        RawServer server({Reaction{}});
        TestSender sender;
        sender.start(7, server.endpoint(), {"GET", "/a", {}, {}});
        while (server.requests().empty())
            std::this_thread::sleep_for(1ms);
        CPPUNIT_ASSERT(sender.sender.cancel(7));
        const Finished finished = sender.next();
        CPPUNIT_ASSERT_EQUAL(AttemptId(7), finished.result.attempt);
        CPPUNIT_ASSERT(finished.result.status == AttemptStatus::Cancelled);
        waitForClosedConnections(server);
    }

    // Guards against an action that is told as not run although bytes were written, or the reverse.
    void refusedConnectionIsProofThatNothingWasWritten()
    {
        Endpoint closed;
        {
            RawServer server({Reaction{}});
            closed = server.endpoint();
        }
        TestSender sender;
        CPPUNIT_ASSERT(sender.run(closed, post).result.status == AttemptStatus::ConnectFailed);
    }

    // Guards against an action on a connection that may have become unresponsive.
    void actionsUseNewConnections()
    {
        RawServer server({sendAtOnce(goodAnswer)});
        TestSender sender;
        sender.run(server.endpoint());
        sender.run(server.endpoint());
        CPPUNIT_ASSERT_EQUAL(1, server.connections());
        sender.run(server.endpoint(), post, patience, true);
        CPPUNIT_ASSERT_EQUAL(2, server.connections());
    }

    // Guards against connections that died unnoticed while the process was stopped.
    void pooledConnectionsAreNotUsedAfterAPause()
    {
        RawServer server({sendAtOnce(goodAnswer)});
        TestSender sender;
        sender.run(server.endpoint());
        sender.sender.closeIdleConnections();
        sender.run(server.endpoint());
        CPPUNIT_ASSERT_EQUAL(2, server.connections());
    }

    // Guards against changes of the request on the way: method, target, headers, body length.
    void requestIsPassedOnExactly()
    {
        RawServer server({sendAtOnce(goodAnswer)});
        TestSender sender;
        const HttpRequest request{"PROPFIND",
                                  "/a/../b?x=%2F&y",
                                  {{"Idempotency-Key", "k"},
                                   {"Empty", ""},
                                   {"Request-Deadline-Ms", "99"},
                                   {"Served-By", "forged"}},
                                  "abc"};
        sender.run(server.endpoint(), request);
        const std::string head = server.requests().at(0);
        CPPUNIT_ASSERT(head.starts_with("PROPFIND /a/../b?x=%2F&y HTTP/1.1\r\n"));
        for (const char *line : {"Idempotency-Key: k\r\n", "Empty:\r\n", "Content-Length: 3\r\n",
                                 "Served-By: a1\r\n", "Request-Deadline-Ms: 2"})
            CPPUNIT_ASSERT_MESSAGE(line, head.find(line) != std::string::npos);
        for (const char *name : {"Expect:", "Accept:", "Content-Type:", "User-Agent:", "forged"})
            CPPUNIT_ASSERT_MESSAGE(name, head.find(name) == std::string::npos);
    }

    // Guards against "not run" without proof, and against a lost proof.
    void refusalWithProofIsShed()
    {
        const std::string tail = "Content-Length: 0\r\n\r\n";
        const std::string proof = "Request-Outcome: not-run\r\n";
        const std::vector<std::pair<std::string, AttemptStatus>> cases = {
            {"HTTP/1.1 503 Busy\r\n" + proof + tail, AttemptStatus::Shed},
            {"HTTP/1.1 429 Busy\r\n" + proof + tail, AttemptStatus::Shed},
            {"HTTP/1.1 503 Busy\r\n" + tail, AttemptStatus::Answered},
            {"HTTP/1.1 500 Fault\r\n" + proof + tail, AttemptStatus::Answered},
        };
        for (const auto &[answer, status] : cases) {
            RawServer server({sendAtOnce(answer)});
            TestSender sender;
            CPPUNIT_ASSERT_MESSAGE(answer, sender.run(server.endpoint()).result.status == status);
        }
    }

    // Guards against reports that are lost on the way to the routing side.
    void probesTellLoadAndState()
    {
        RawServer server(
            {sendAtOnce("HTTP/1.1 200 OK\r\nLoad-Report: outstanding=1, queued=2, "
                        "slots=4\r\nServer-State: draining\r\nContent-Length: 0\r\n\r\n")});
        TestSender sender;
        sender.sender.probe({"b1", server.endpoint(), "/health", Clock::now() + patience});
        const auto result = sender.probes.pop(Clock::now() + patience);
        CPPUNIT_ASSERT(result && result->isHealthy && result->isDraining);
        CPPUNIT_ASSERT(result->load == (LoadReport{1, 2, 4}));
        CPPUNIT_ASSERT_EQUAL(std::string("b1"), result->backendServer);
    }

    // Guards against a request that is never answered because its attempt vanished in a stop.
    void stopCancelsWhatIsLeft()
    {
        RawServer server({Reaction{}});
        TestSender sender;
        sender.start(1, server.endpoint(), post);
        sender.start(2, server.endpoint(), post);
        sender.sender.stop();
        CPPUNIT_ASSERT(sender.next().result.status == AttemptStatus::Cancelled);
        CPPUNIT_ASSERT(sender.next().result.status == AttemptStatus::Cancelled);
    }

private:
    static void waitForClosedConnections(const RawServer &server)
    {
        const TimePoint deadline = Clock::now() + patience;
        while (server.openConnections() > 0 && Clock::now() < deadline)
            std::this_thread::sleep_for(1ms);
        CPPUNIT_ASSERT_EQUAL(0, server.openConnections());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SenderTest);
