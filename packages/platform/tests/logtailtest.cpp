#include "fakeplatform.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace apricotrock::platform {

namespace {

constexpr std::chrono::seconds callTimeout{5};
/// Bounds a test that would otherwise never end; no verdict depends on the speed of the machine.
constexpr std::chrono::seconds testTimeout{60};

/// Collects what a tail tells.
class Collector
{
public:
    LogTailCallbacks callbacks()
    {
        LogTailCallbacks result;
        result.onRecord = [this](std::uint64_t offset, const auto &record, std::uint64_t) {
            const std::lock_guard lock(m_mutex);
            m_offsets.push_back(offset);
            if (m_ids.insert({{record->incarnation}, record->sequence}).second) {
                for (const auto &entry : record->entries)
                    m_marks.push_back(entry->entry.AsLeavingMark()->backend_server);
            }
            m_changed.notify_all();
        };
        result.onBadRecord = [this](std::uint64_t, const Error &) { change(m_badRecords); };
        result.onCaughtUp = [this] { change(m_caughtUp); };
        result.onStateChanged = [this](bool isAvailable) {
            const std::lock_guard lock(m_mutex);
            m_states.push_back(isAvailable);
            m_changed.notify_all();
        };
        return result;
    }

    /// Waits until \a condition holds; fails the test if it never does.
    void waitFor(const std::function<bool(const Collector &)> &condition)
    {
        std::unique_lock lock(m_mutex);
        CPPUNIT_ASSERT(m_changed.wait_for(lock, testTimeout, [&] { return condition(*this); }));
    }

    std::vector<std::uint64_t> m_offsets;
    std::vector<std::string> m_marks;
    std::vector<bool> m_states;
    int m_badRecords = 0;
    int m_caughtUp = 0;

private:
    void change(int &counter)
    {
        const std::lock_guard lock(m_mutex);
        ++counter;
        m_changed.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::set<RecordId> m_ids;
};

std::vector<std::shared_ptr<const wire::LogEntryT>> mark(const std::string &name)
{
    wire::LeavingMarkT entry;
    entry.backend_server = name;
    return {std::shared_ptr<const wire::LogEntryT>(wire::holdEntry(entry))};
}

LogTailParameters parametersOf(const FakePlatform &platform)
{
    LogTailParameters parameters;
    parameters.stream = "s";
    parameters.logUrl = platform.url();
    parameters.instancesUrl = platform.url();
    parameters.requestTimeout = callTimeout;
    parameters.pollWait = std::chrono::seconds(1);
    parameters.incarnation = {7};
    parameters.instance = "a1";
    parameters.ringEntries = 200;
    return parameters;
}

} // namespace

/// Guards the reading order, the group commit and the handling of outages.
class LogTailTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogTailTest);
    CPPUNIT_TEST(existingRecordsAreReadBeforeCaughtUpIsTold);
    CPPUNIT_TEST(entriesThatWaitGoIntoOneRecordInOrder);
    CPPUNIT_TEST(lostAnswerNeitherLosesNorDoublesAnEntry);
    CPPUNIT_TEST(entriesPastTheirDeadlineAreDroppedAndCounted);
    CPPUNIT_TEST(fullQueueRefusesEntries);
    CPPUNIT_TEST(outageAndReturnAreTold);
    CPPUNIT_TEST_SUITE_END();

public:
    void existingRecordsAreReadBeforeCaughtUpIsTold()
    {
        FakePlatform platform;
        Client client(platform.url(), platform.url(), callTimeout);
        CPPUNIT_ASSERT(client.append("s", wire::encodeLogRecord(makeRecord(1, "first"))));
        CPPUNIT_ASSERT(client.append("s", "not a record"));
        CPPUNIT_ASSERT(client.append("s", wire::encodeLogRecord(makeRecord(2, "second"))));
        Collector seen;
        LogTail tail(parametersOf(platform), seen.callbacks());
        seen.waitFor([](const Collector &c) { return c.m_caughtUp > 0; });
        CPPUNIT_ASSERT((std::vector<std::uint64_t>{0, 2}) == seen.m_offsets);
        CPPUNIT_ASSERT_EQUAL(1, seen.m_badRecords);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, tail.counters().badRecords);
    }

    void entriesThatWaitGoIntoOneRecordInOrder()
    {
        FakePlatform platform;
        platform.setOutage(emulator::Outage::Refuse);
        Collector seen;
        LogTail tail(parametersOf(platform), seen.callbacks());
        std::vector<std::string> expected;
        for (int i = 0; i < 100; ++i) {
            expected.push_back(std::to_string(i));
            CPPUNIT_ASSERT(tail.append(mark(expected.back()), Clock::now() + testTimeout));
        }
        platform.setOutage(emulator::Outage::Off);
        seen.waitFor([](const Collector &c) { return c.m_marks.size() >= 100; });
        tail.stop(Clock::now() + testTimeout);
        CPPUNIT_ASSERT(expected == seen.m_marks);
        // The entries that were there when the first attempt began are one record, all the others
        // the second. Which entries the first attempt finds depends on the scheduling of the
        // threads.
        CPPUNIT_ASSERT(tail.counters().appends <= 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, tail.counters().appendedEntries);
    }

    void lostAnswerNeitherLosesNorDoublesAnEntry()
    {
        FakePlatform platform;
        platform.setOutage(emulator::Outage::LoseAnswers, 1);
        Collector seen;
        LogTail tail(parametersOf(platform), seen.callbacks());
        CPPUNIT_ASSERT(tail.append(mark("first"), Clock::now() + testTimeout));
        CPPUNIT_ASSERT(tail.append(mark("second"), Clock::now() + testTimeout));
        tail.stop(Clock::now() + testTimeout);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, tail.counters().appendsUncertain);
        Collector later;
        LogTail reader(parametersOf(platform), later.callbacks());
        later.waitFor([](const Collector &c) { return c.m_caughtUp > 0; });
        // A second copy of the record has the same id, so that readers ignore it.
        CPPUNIT_ASSERT((std::vector<std::string>{"first", "second"}) == later.m_marks);
    }

    void entriesPastTheirDeadlineAreDroppedAndCounted()
    {
        FakePlatform platform;
        platform.setOutage(emulator::Outage::Refuse);
        Collector seen;
        LogTail tail(parametersOf(platform), seen.callbacks());
        CPPUNIT_ASSERT(tail.append(mark("expired"), Clock::now() - std::chrono::seconds(1)));
        CPPUNIT_ASSERT(tail.append(mark("kept"), Clock::now() + testTimeout));
        platform.setOutage(emulator::Outage::Off);
        seen.waitFor([](const Collector &c) { return !c.m_marks.empty(); });
        tail.stop(Clock::now() + testTimeout);
        CPPUNIT_ASSERT((std::vector<std::string>{"kept"}) == seen.m_marks);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, tail.counters().appendsDropped);
    }

    void fullQueueRefusesEntries()
    {
        FakePlatform platform;
        platform.setOutage(emulator::Outage::Refuse);
        LogTailParameters parameters = parametersOf(platform);
        parameters.ringEntries = 2;
        LogTail tail(parameters, {});
        // The appender holds at most 256 entries beside the ring.
        int accepted = 0;
        for (int i = 0; i < 1000; ++i)
            accepted += tail.append(mark("x"), Clock::now() + testTimeout) ? 1 : 0;
        CPPUNIT_ASSERT(accepted < 1000);
    }

    void outageAndReturnAreTold()
    {
        FakePlatform platform;
        Collector seen;
        LogTailParameters parameters = parametersOf(platform);
        parameters.pollWait = std::chrono::milliseconds(50);
        LogTail tail(parameters, seen.callbacks());
        seen.waitFor([](const Collector &c) { return c.m_states.size() == 1; });
        platform.setOutage(emulator::Outage::Refuse);
        seen.waitFor([](const Collector &c) { return c.m_states.size() == 2; });
        platform.setOutage(emulator::Outage::Off);
        seen.waitFor([](const Collector &c) { return c.m_states.size() == 3; });
        CPPUNIT_ASSERT((std::vector<bool>{true, false, true}) == seen.m_states);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTailTest);

} // namespace apricotrock::platform
