#include "fakeplatform.h"

#include <cppunit/extensions/HelperMacros.h>

namespace apricotrock::platform {

namespace {

constexpr std::chrono::seconds callTimeout{5};
constexpr std::chrono::seconds appendTimeout{30};

} // namespace

/// Guards against records that are lost or repeated when the answer to an append is lost.
class AppendOnceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AppendOnceTest);
    CPPUNIT_TEST(lostAnswerIsFoundInTheLogAndNotAppendedAgain);
    CPPUNIT_TEST(refusedAppendIsRepeatedUntilItStandsInTheLog);
    CPPUNIT_TEST(recordsOfOthersWithTheSameSequenceAreNotTakenForOwn);
    CPPUNIT_TEST(hangingPlatformLeavesTheOutcomeUncertain);
    CPPUNIT_TEST(unreachablePlatformIsReportedAsNotDone);
    CPPUNIT_TEST_SUITE_END();

public:
    void lostAnswerIsFoundInTheLogAndNotAppendedAgain()
    {
        FakePlatform platform;
        Client client(platform.url(), platform.url(), callTimeout);
        CPPUNIT_ASSERT(client.append("s", "other"));
        platform.setOutage(emulator::Outage::LoseAnswers, 1);
        const auto offset = appendOnce(client, "s", makeRecord(1), 0, Clock::now() + appendTimeout);
        CPPUNIT_ASSERT(offset);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, *offset);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, endOfLog(client));
    }

    void refusedAppendIsRepeatedUntilItStandsInTheLog()
    {
        FakePlatform platform;
        Client client(platform.url(), platform.url(), callTimeout);
        platform.setOutage(emulator::Outage::Refuse, 2);
        const auto offset = appendOnce(client, "s", makeRecord(1), 0, Clock::now() + appendTimeout);
        CPPUNIT_ASSERT(offset);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, *offset);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, endOfLog(client));
    }

    void recordsOfOthersWithTheSameSequenceAreNotTakenForOwn()
    {
        FakePlatform platform;
        Client client(platform.url(), platform.url(), callTimeout);
        wire::LogRecordT foreign = makeRecord(1);
        foreign.incarnation = 8;
        CPPUNIT_ASSERT(client.append("s", wire::encodeLogRecord(foreign)));
        platform.setOutage(emulator::Outage::LoseAnswers, 1);
        const auto offset = appendOnce(client, "s", makeRecord(1), 0, Clock::now() + appendTimeout);
        CPPUNIT_ASSERT(offset);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, *offset);
    }

    void hangingPlatformLeavesTheOutcomeUncertain()
    {
        FakePlatform platform;
        platform.setOutage(emulator::Outage::Hang);
        Client client(platform.url(), platform.url(), std::chrono::seconds(1));
        const auto offset = appendOnce(client, "s", makeRecord(1), 0,
                                       Clock::now() + std::chrono::milliseconds(1500));
        CPPUNIT_ASSERT(!offset);
        CPPUNIT_ASSERT(offset.error().failure == PlatformFailure::Uncertain);
    }

    void unreachablePlatformIsReportedAsNotDone()
    {
        // Port 1 of the loopback address has no listener.
        Client client("http://127.0.0.1:1", "http://127.0.0.1:1", callTimeout);
        const auto offset = appendOnce(client, "s", makeRecord(1), 0,
                                       Clock::now() + std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(!offset);
        CPPUNIT_ASSERT(offset.error().failure == PlatformFailure::NotDone);
    }

private:
    static std::uint64_t endOfLog(Client &client)
    {
        const auto answer = client.read("s", 0, 100, std::chrono::milliseconds(0));
        CPPUNIT_ASSERT(answer);
        return answer->next;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AppendOnceTest);

} // namespace apricotrock::platform
