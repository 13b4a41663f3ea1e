#include "lane.h"

#include "forwarding.h"
#include "logging.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>

using namespace apricotrock;
using namespace apricotrock::daemon;
using namespace std::chrono_literals;

class LaneTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LaneTest);
    CPPUNIT_TEST(fullIntakeRefusesRequestsAndNothingElse);
    CPPUNIT_TEST(forwardsKeepWhatTheOwnerNeeds);
    CPPUNIT_TEST(logValuesCannotForgeFields);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against results that are lost behind a flood of new requests, and against a request
    // that vanishes without an answer.
    void fullIntakeRefusesRequestsAndNothingElse()
    {
        TimerService timer;
        TraceRecorder recorder;
        LaneParameters parameters;
        parameters.intakeEntries = 2;
        parameters.pendingLimit = 16;
        BoundedRing<RequestId> replies(16);
        LaneCallbacks callbacks;
        callbacks.onReply = [&replies](const engine::Reply &reply, Duration) {
            replies.tryPush(RequestId(reply.id));
        };
        Lane lane(parameters, callbacks, timer, recorder);
        std::promise<void> release;
        std::promise<void> held;
        std::thread holder([&] {
            lane.run(
                [&](engine::State &, TimePoint) {
                    held.set_value();
                    release.get_future().wait();
                },
                30s);
        });
        held.get_future().wait();
        engine::RequestArrived request;
        for (request.id = 1; request.id <= 2; ++request.id)
            CPPUNIT_ASSERT(lane.pushRequest(request));
        CPPUNIT_ASSERT(!lane.pushRequest(request));
        for (int i = 0; i < 100; ++i)
            lane.push(engine::CallerGone{99});
        release.set_value();
        holder.join();
        CPPUNIT_ASSERT(replies.pop(Clock::now() + 30s) == RequestId(1));
        CPPUNIT_ASSERT(replies.pop(Clock::now() + 30s) == RequestId(2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), lane.intakeRefusals());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), lane.resultRefusals());
        CPPUNIT_ASSERT(lane.pushRequest(request));
        timer.stop();
        lane.stop();
    }

    // Guards against a forwarded action that differs from the one that the caller sent.
    void forwardsKeepWhatTheOwnerNeeds()
    {
        engine::ForwardRequest forward;
        forward.id = 5;
        forward.service = "orders";
        forward.key =
            *IdempotencyKey::parse("00000000000000aa.018f0000-0000-7000-8000-000000000001");
        forward.request = std::make_shared<const HttpRequest>(
            HttpRequest{"POST", "/a", {{"A", "1"}}, std::string("b\0c", 3)});
        forward.caller = "desk";
        const TimePoint now = Clock::now();
        forward.deadline = now + 250ms;
        const auto read = readForward(makeForward(forward, now), 9, {3}, {});
        CPPUNIT_ASSERT(read && read->key == forward.key && read->forwardedBy->value == 3);
        CPPUNIT_ASSERT(read->timeLeft == Duration(250ms) && read->id == 9);
        CPPUNIT_ASSERT(read->request.body == forward.request->body);
        CPPUNIT_ASSERT(read->request.headers == forward.request->headers);
        CPPUNIT_ASSERT(!readForward(wire::ForwardT(), 9, {3}, {}));
        CPPUNIT_ASSERT(!readForwardAnswer(wire::ForwardAnswerT()));
    }

    // Guards against a header value that writes fields or lines into the log.
    void logValuesCannotForgeFields()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string(R"(event=x a=1 b="2 c=3" d="\n\"" e="")"),
            formatLogLine("x", {{"a", "1"}, {"b", "2 c=3"}, {"d", "\n\""}, {"e", ""}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LaneTest);
