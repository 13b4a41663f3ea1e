#include "apricotrock/fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace apricotrock;
using namespace apricotrock::fleet;
using namespace std::chrono_literals;

namespace {

ServerRecord makeRecord(const std::string &id, std::uint64_t offset,
                        ServerPhase phase = ServerPhase::Ready)
{
    ServerEntry entry;
    entry.id = id;
    entry.service = "s";
    entry.address = {"127.0.0.1", 8000};
    entry.slots = 2;
    entry.phase = phase;
    return {id, {0, offset}, entry};
}

/// A record of one process, which numbers its records.
ServerRecord makeProcess(const std::string &id, StorePosition position, std::uint64_t sequence,
                         ServerPhase phase = ServerPhase::Ready)
{
    ServerRecord record = makeRecord(id, position.offset, phase);
    record.position = position;
    record.entry->processStartMs = 10;
    record.entry->sequence = sequence;
    return record;
}

ServerRecord makeRemoval(const std::string &id, std::uint64_t offset)
{
    return {id, {0, offset}, std::nullopt};
}

bool isUsable(const ServerDirectory &directory, const std::string &id)
{
    const auto found = directory.servers().find(id);
    return found != directory.servers().end() && ServerDirectory::isUsable(found->second);
}

} // namespace

class ServerDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerDirectoryTest);
    CPPUNIT_TEST(olderRecordIsIgnored);
    CPPUNIT_TEST(heartbeatIsNotReportedAsChange);
    CPPUNIT_TEST(processThatBecomesColdAgainIsReportedOnce);
    CPPUNIT_TEST(snapshotRemovesMissingServers);
    CPPUNIT_TEST(snapshotKeepsServersRegisteredAfterIt);
    CPPUNIT_TEST(removalWithoutOutageTakesEffectImmediately);
    CPPUNIT_TEST(removalDuringOutageIsDelayed);
    CPPUNIT_TEST(removalAfterOneFailedCallTakesEffect);
    CPPUNIT_TEST(outageBeginsWithTheLastResponse);
    CPPUNIT_TEST(newRegistrationIsReportedAsChange);
    CPPUNIT_TEST(serverMissingAfterGracePeriodIsRemoved);
    CPPUNIT_TEST(drainingServerStaysUnusableDuringOutage);
    CPPUNIT_TEST(serverWithUnreadableRecordIsNotUsable);
    CPPUNIT_TEST(newProcessWithSameIdIsReportedAsChange);
    CPPUNIT_TEST(leavingServerIsNotUsable);
    CPPUNIT_TEST(leavingServerIsUsableAfterItHasReturned);
    CPPUNIT_TEST(markOfAnUnknownServerIsKept);
    CPPUNIT_TEST(markOfAnEarlierProcessIsIgnored);
    CPPUNIT_TEST(obsoleteRecordOfARemovedProcessIsIgnored);
    CPPUNIT_TEST(drainingThatTheCopyDoesNotHoldStaysInForce);
    CPPUNIT_TEST(positionsAreGivenOutTwice);
    CPPUNIT_TEST(serverMissingFromAnEraHasAGracePeriod);
    CPPUNIT_TEST(erasOfSeveralPeersAreMergedInAnyOrder);
    CPPUNIT_TEST(obsoleteRecordsAreReportedToOthers);
    CPPUNIT_TEST(earlierProcessInTheCopyIsIgnored);
    CPPUNIT_TEST(sequenceDoesNotMatterBeforeARestore);
    CPPUNIT_TEST(sequenceDoesNotMatterWithinAnEra);
    CPPUNIT_TEST(serverThatTheCopyDoesNotHoldRegistersTheSameRecord);
    CPPUNIT_TEST(obsoleteRecordsAreForgotten);
    CPPUNIT_TEST(lateRecordsDoNotBringAServerBack);
    CPPUNIT_TEST(newSnapshotAddsMissingServers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a record, a snapshot or a store outage that makes a server usable again which
    // said itself that it leaves.
    void leavingServerIsNotUsable()
    {
        ServerDirectory directory;
        directory.merge({makeRecord("a", 1)}, m_now);
        const auto change = directory.markLeaving({"a", 0}, m_now);
        CPPUNIT_ASSERT(change && change->what == "leaving");
        CPPUNIT_ASSERT(!directory.markLeaving({"a", 0}, m_now));
        directory.merge({makeRecord("a", 2)}, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "a"));
        directory.mergeSnapshot({makeRecord("a", 3)}, {0, 4}, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "a"));
        directory.storeFailed(m_now);
        directory.merge({makeRemoval("a", 5)}, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "a"));
        directory.merge({makeRecord("a", 6)}, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "a"));
    }

    // Guards against holding a mark against a server that drained and is ready again.
    void leavingServerIsUsableAfterItHasReturned()
    {
        ServerDirectory directory;
        directory.merge({makeRecord("a", 1)}, m_now);
        directory.markLeaving({"a", 0}, m_now);
        directory.merge({makeRecord("a", 2, ServerPhase::Draining)}, m_now);
        CPPUNIT_ASSERT(directory.leavingServers().empty());
        CPPUNIT_ASSERT(!directory.merge({makeRecord("a", 3)}, m_now).empty());
        CPPUNIT_ASSERT(isUsable(directory, "a"));
    }

    // Guards against losing a mark that arrives before the record of the server.
    void markOfAnUnknownServerIsKept()
    {
        ServerDirectory directory;
        directory.markLeaving({"a", 0}, m_now);
        directory.merge({makeRecord("a", 1)}, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.leavingServers().size());
    }

    // Guards against a late message about a process that has been replaced.
    void markOfAnEarlierProcessIsIgnored()
    {
        ServerDirectory directory;
        ServerRecord record = makeRecord("a", 1);
        record.entry->processStartMs = 20;
        directory.merge({record}, m_now);
        CPPUNIT_ASSERT(!directory.markLeaving({"a", 10}, m_now));
        CPPUNIT_ASSERT(isUsable(directory, "a"));
    }

    // Guards against using a removed server because the copy holds an earlier record of it, and
    // against excluding it when it registers again.
    void obsoleteRecordOfARemovedProcessIsIgnored()
    {
        ServerDirectory directory;
        directory.merge({makeProcess("a", {0, 90}, 5)}, m_now);
        directory.merge({makeRemoval("a", 100)}, m_now);
        directory.mergeSnapshot({makeProcess("a", {1, 50}, 3)}, {1, 60}, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "a"));
        directory.merge({makeProcess("a", {1, 61}, 5)}, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "a"));
        const auto changes = directory.merge({makeProcess("a", {1, 62}, 6)}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes.size());
        CPPUNIT_ASSERT(isUsable(directory, "a"));
    }

    // Guards against using a draining server because the copy calls it ready.
    void drainingThatTheCopyDoesNotHoldStaysInForce()
    {
        ServerDirectory directory;
        directory.merge({makeProcess("a", {0, 90}, 3)}, m_now);
        directory.merge({makeProcess("a", {0, 100}, 5, ServerPhase::Draining)}, m_now);
        directory.mergeSnapshot({makeProcess("a", {1, 50}, 3)}, {1, 60}, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "a"));
        directory.merge({makeProcess("a", {1, 61}, 6)}, m_now);
        CPPUNIT_ASSERT(isUsable(directory, "a"));
    }

    // Guards against ignoring what is written after the restore because its offset is not above
    // that of a record which the store has lost, and against a late datagram with the lost one.
    void positionsAreGivenOutTwice()
    {
        ServerDirectory directory;
        directory.merge({makeProcess("a", {0, 90}, 3), makeProcess("b", {0, 91}, 8)}, m_now);
        directory.advanceTo({0, 100});
        directory.mergeSnapshot({makeProcess("a", {1, 50}, 2), makeProcess("b", {1, 51}, 8)},
                                {1, 60}, m_now);
        directory.advanceTo({1, 60});
        CPPUNIT_ASSERT(directory.position() == (StorePosition{1, 60}));
        directory.merge({makeProcess("a", {1, 61}, 4, ServerPhase::Draining)}, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "a"));
        directory.merge({{"b", {1, 62}, std::nullopt}}, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "b"));
        directory.merge({makeProcess("a", {0, 95}, 3), makeProcess("b", {0, 96}, 8)}, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "a"));
        CPPUNIT_ASSERT(!isUsable(directory, "b"));
        directory.advanceTo({0, 200});
        CPPUNIT_ASSERT(directory.position() == (StorePosition{1, 60}));
    }

    // Guards against removing all servers that registered after the copy was taken.
    void serverMissingFromAnEraHasAGracePeriod()
    {
        ServerDirectory directory;
        directory.mergeSnapshot({makeProcess("a", {0, 90}, 1), makeProcess("b", {0, 91}, 1)},
                                {0, 100}, m_now);
        directory.advanceTo({0, 100});
        const auto changes = directory.mergeSnapshot({}, {1, 60}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), changes.size());
        directory.advanceTo({1, 60});
        m_now += 2s;
        directory.expire(m_now);
        CPPUNIT_ASSERT(isUsable(directory, "a"));
        directory.merge({makeProcess("a", {1, 61}, 2)}, m_now);
        m_now += 200ms;
        directory.expire(m_now);
        CPPUNIT_ASSERT(isUsable(directory, "a"));
        CPPUNIT_ASSERT(!isUsable(directory, "b"));
        // Only the first read of an era is incomplete.
        directory.mergeSnapshot({}, {1, 70}, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "a"));
    }

    // Guards against a result that depends on the order in which peers of both eras are heard.
    void erasOfSeveralPeersAreMergedInAnyOrder()
    {
        const std::vector<ServerRecord> records = {
            makeProcess("a", {0, 90}, 4), makeProcess("a", {0, 95}, 5, ServerPhase::Draining),
            makeProcess("a", {1, 50}, 3), makeProcess("a", {1, 61}, 6)};
        std::vector<std::size_t> order = {0, 1, 2, 3};
        do {
            ServerDirectory directory;
            for (const std::size_t each : order) {
                directory.merge({records[each]}, m_now);
                const auto &entry = directory.servers().at("a").entry;
                const bool isDraining = entry->sequence == 5;
                CPPUNIT_ASSERT(isUsable(directory, "a") != isDraining);
            }
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), directory.servers().at("a").entry->sequence);
            CPPUNIT_ASSERT(isUsable(directory, "a"));
        } while (std::next_permutation(order.begin(), order.end()));
    }

    // Guards against an instance that starts after the restore and reads only the copy.
    void obsoleteRecordsAreReportedToOthers()
    {
        ServerDirectory directory;
        directory.merge({makeProcess("a", {0, 90}, 5), makeProcess("b", {0, 91}, 5)}, m_now);
        directory.merge({makeRemoval("a", 100)}, m_now);
        directory.merge({makeProcess("b", {0, 101}, 6, ServerPhase::Draining)}, m_now);
        const std::vector<ServerRecord> copy = {makeProcess("a", {1, 50}, 3),
                                                makeProcess("b", {1, 51}, 3)};
        const auto reported = directory.leavingServers();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), reported.size());
        for (const bool isReportedFirst : {true, false}) {
            ServerDirectory starting;
            for (unsigned step = 0; step < 2; ++step) {
                if ((step == 0) != isReportedFirst) {
                    starting.mergeSnapshot(copy, {1, 60}, m_now);
                    continue;
                }
                for (const LeavingServer &each : reported)
                    starting.markLeaving(each, m_now);
            }
            CPPUNIT_ASSERT(!isUsable(starting, "a"));
            CPPUNIT_ASSERT(!isUsable(starting, "b"));
            starting.merge({makeProcess("a", {1, 61}, 6), makeProcess("b", {1, 62}, 7)}, m_now);
            CPPUNIT_ASSERT(isUsable(starting, "a"));
            CPPUNIT_ASSERT(isUsable(starting, "b"));
        }
    }

    // Guards against instances that know nothing of a cold period which began after the start, and
    // against a change with each heartbeat in it.
    void processThatBecomesColdAgainIsReportedOnce()
    {
        ServerDirectory directory;
        ServerRecord record = makeProcess("a", {0, 1}, 1);
        directory.merge({record}, m_now);
        std::size_t changes = 0;
        for (unsigned i = 0; i < 10; ++i) {
            record.position.offset += 1;
            // Read with a delay that varies.
            record.entry->slowStartRemaining = 10s - i * 1s;
            changes += directory.merge({record}, m_now + i * 1s + (i % 2) * 600ms).size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes);
    }

    // Guards against a return to the previous process of a server that was replaced after the copy
    // was taken.
    void earlierProcessInTheCopyIsIgnored()
    {
        ServerDirectory directory;
        directory.merge({makeProcess("a", {0, 90}, 1)}, m_now);
        ServerRecord earlier = makeProcess("a", {1, 50}, 40);
        earlier.entry->processStartMs -= 1;
        directory.mergeSnapshot({earlier}, {1, 60}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), directory.servers().at("a").entry->sequence);
        CPPUNIT_ASSERT(isUsable(directory, "a"));
    }

    // Guards against losing records of a store that was restored before this fleet started, or not
    // at all: a change of state within a heartbeat has an equal sequence number, and a server may
    // write its numbers in another order or none at all.
    void sequenceDoesNotMatterWithinAnEra()
    {
        for (const std::uint64_t sequence : {5, 4, 0}) {
            ServerDirectory directory;
            directory.mergeSnapshot({makeProcess("a", {1, 90}, 5)}, {1, 100}, m_now);
            directory.advanceTo({1, 100});
            directory.merge({makeProcess("a", {1, 101}, sequence, ServerPhase::Draining)}, m_now);
            CPPUNIT_ASSERT(!isUsable(directory, "a"));
            directory.merge({makeProcess("a", {1, 102}, sequence)}, m_now);
            CPPUNIT_ASSERT(isUsable(directory, "a"));
            directory.merge({{"a", {1, 103}, std::nullopt}}, m_now);
            CPPUNIT_ASSERT(!isUsable(directory, "a"));
            ServerDirectory starting;
            for (const LeavingServer &each : directory.leavingServers())
                starting.markLeaving(each, m_now);
            for (ServerDirectory *each : {&directory, &starting}) {
                each->merge({makeProcess("a", {1, 104}, sequence)}, m_now);
                CPPUNIT_ASSERT(isUsable(*each, "a"));
            }
            directory.merge({makeProcess("a", {1, 103}, 9, ServerPhase::Draining)}, m_now);
            CPPUNIT_ASSERT(isUsable(directory, "a"));
        }
    }

    // Guards against refusing a server that writes again what it wrote before the restore.
    void serverThatTheCopyDoesNotHoldRegistersTheSameRecord()
    {
        ServerDirectory directory;
        directory.mergeSnapshot({makeProcess("a", {0, 90}, 5)}, {0, 100}, m_now);
        directory.advanceTo({0, 100});
        directory.mergeSnapshot({}, {1, 60}, m_now);
        directory.advanceTo({1, 60});
        directory.merge({makeProcess("a", {1, 61}, 5)}, m_now);
        directory.expire(m_now + 10s);
        CPPUNIT_ASSERT(isUsable(directory, "a"));
    }

    // Guards against another order of records where the store was never restored.
    void sequenceDoesNotMatterBeforeARestore()
    {
        ServerDirectory directory;
        directory.merge({makeProcess("a", {0, 1}, 9, ServerPhase::Draining)}, m_now);
        directory.merge({makeProcess("a", {0, 2}, 1)}, m_now);
        CPPUNIT_ASSERT(isUsable(directory, "a"));
        directory.merge({makeRemoval("a", 3)}, m_now);
        directory.merge({makeProcess("a", {0, 4}, 1)}, m_now);
        CPPUNIT_ASSERT(isUsable(directory, "a"));
    }

    // Guards against memory that grows with each server that ever was removed.
    void obsoleteRecordsAreForgotten()
    {
        ServerDirectory directory;
        directory.mergeSnapshot({}, {1, 0}, m_now);
        directory.advanceTo({1, 0});
        for (unsigned i = 0; i < 10010; ++i)
            directory.markLeaving({"server-" + std::to_string(i), 1, 1}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(10000), directory.leavingServers().size());
        m_now += 11min;
        directory.expire(m_now);
        CPPUNIT_ASSERT(directory.leavingServers().empty());
    }

    // Guards against a stale read or a delayed datagram that reverts a server from draining to
    // ready.
    void olderRecordIsIgnored()
    {
        ServerDirectory directory;
        directory.merge({makeRecord("a", 5, ServerPhase::Draining)}, m_now);
        directory.merge({makeRecord("a", 4)}, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "a"));
    }

    // Guards against notifying all instances of every heartbeat of a server.
    void heartbeatIsNotReportedAsChange()
    {
        ServerDirectory directory;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.merge({makeRecord("a", 1)}, m_now).size());
        CPPUNIT_ASSERT(directory.merge({makeRecord("a", 2)}, m_now).empty());
    }

    // Guards against using servers that were removed in a part of the record stream that was lost.
    void snapshotRemovesMissingServers()
    {
        ServerDirectory directory;
        directory.merge({makeRecord("a", 1), makeRecord("b", 2)}, m_now);
        directory.mergeSnapshot({makeRecord("b", 2)}, {0, 10}, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "a"));
        CPPUNIT_ASSERT(isUsable(directory, "b"));
    }

    // Guards against removing a server that registered while a snapshot of several pages was read.
    void snapshotKeepsServersRegisteredAfterIt()
    {
        ServerDirectory directory;
        directory.merge({makeRecord("new", 12)}, m_now);
        directory.mergeSnapshot({makeRecord("b", 2)}, {0, 10}, m_now);
        CPPUNIT_ASSERT(isUsable(directory, "new"));
    }

    // Guards against sending requests to a server that was removed without draining first.
    void removalWithoutOutageTakesEffectImmediately()
    {
        ServerDirectory directory;
        directory.merge({makeRecord("a", 1)}, m_now);
        directory.merge({makeRemoval("a", 2)}, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "a"));
    }

    // Guards against removing all servers because their records expired during a store outage.
    void removalDuringOutageIsDelayed()
    {
        ServerDirectory directory;
        directory.merge({makeRecord("a", 1)}, m_now);
        directory.storeFailed(m_now);
        m_now += 5s;
        directory.merge({makeRemoval("a", 2)}, m_now);
        directory.storeAnswered(m_now);
        CPPUNIT_ASSERT(isUsable(directory, "a"));
        m_now += 1s;
        directory.expire(m_now);
        CPPUNIT_ASSERT(isUsable(directory, "a"));
        directory.merge({makeRecord("a", 3)}, m_now);
        m_now += 5s;
        directory.expire(m_now);
        CPPUNIT_ASSERT(isUsable(directory, "a"));
    }

    // Guards against taking one call without a response for an outage: a server that is removed
    // then would stay in use.
    void removalAfterOneFailedCallTakesEffect()
    {
        ServerDirectory directory;
        directory.merge({makeRecord("a", 1), makeRecord("b", 2)}, m_now);
        directory.storeAnswered(m_now);
        m_now += 1200ms;
        directory.storeFailed(m_now);
        directory.merge({makeRemoval("a", 3)}, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "a"));
        m_now += 200ms;
        directory.storeAnswered(m_now);
        directory.merge({makeRemoval("b", 4)}, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "b"));
    }

    // Guards against counting an outage from its first failed call only, which follows a long poll.
    void outageBeginsWithTheLastResponse()
    {
        ServerDirectory directory;
        directory.setMinOutage(2s);
        directory.merge({makeRecord("a", 1)}, m_now);
        directory.storeAnswered(m_now);
        m_now += 1500ms;
        directory.storeFailed(m_now);
        CPPUNIT_ASSERT(!directory.isInOutage(m_now));
        m_now += 500ms;
        CPPUNIT_ASSERT(directory.isInOutage(m_now));
        directory.merge({makeRemoval("a", 2)}, m_now);
        CPPUNIT_ASSERT(isUsable(directory, "a"));
    }

    // Guards against an instance that reads the store and does not report to the others that an
    // expired server has registered again: they would remove it at the end of its grace period.
    void newRegistrationIsReportedAsChange()
    {
        ServerDirectory directory;
        directory.merge({makeRecord("a", 1)}, m_now);
        directory.storeFailed(m_now);
        directory.merge({makeRemoval("a", 2)}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.merge({makeRecord("a", 3)}, m_now).size());
    }

    // Guards against sending requests to a server that failed during a store outage.
    void serverMissingAfterGracePeriodIsRemoved()
    {
        ServerDirectory directory;
        directory.merge({makeRecord("a", 1)}, m_now);
        directory.storeFailed(m_now);
        m_now += 5s;
        directory.merge({makeRemoval("a", 2)}, m_now);
        directory.storeAnswered(m_now);
        m_now += 3500ms;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.expire(m_now).size());
        CPPUNIT_ASSERT(!isUsable(directory, "a"));
    }

    // Guards against using a server during a store outage that was draining before it.
    void drainingServerStaysUnusableDuringOutage()
    {
        ServerDirectory directory;
        directory.merge({makeRecord("a", 1)}, m_now);
        directory.merge({makeRecord("a", 2, ServerPhase::Draining)}, m_now);
        directory.storeFailed(m_now);
        directory.merge({makeRemoval("a", 3)}, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "a"));
    }

    // Guards against sending requests to a server whose entry another writer has corrupted.
    void serverWithUnreadableRecordIsNotUsable()
    {
        ServerDirectory directory;
        directory.merge({makeRecord("a", 1), makeRecord("b", 2)}, m_now);
        directory.merge({{"a", {0, 3}, std::nullopt}}, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "a"));
        CPPUNIT_ASSERT(isUsable(directory, "b"));
    }

    // Guards against using connections to the previous process with the same id.
    void newProcessWithSameIdIsReportedAsChange()
    {
        ServerDirectory directory;
        directory.merge({makeRecord("a", 1)}, m_now);
        ServerRecord restarted = makeRecord("a", 2);
        restarted.entry->processStartMs = 1;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.merge({restarted}, m_now).size());
    }

    // Guards against a datagram, or the table of an instance that is behind, that brings back a
    // server which was removed before the snapshot of this instance.
    void lateRecordsDoNotBringAServerBack()
    {
        ServerDirectory directory;
        directory.mergeSnapshot({makeRecord("b", 2)}, {0, 10}, m_now);
        directory.advanceTo({0, 10});
        CPPUNIT_ASSERT(directory.merge({makeRecord("a", 5)}, m_now).empty());
        directory.mergeSnapshot({makeRecord("a", 5), makeRecord("b", 2)}, {0, 8}, m_now);
        CPPUNIT_ASSERT(!directory.servers().contains("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.merge({makeRecord("a", 10)}, m_now).size());
    }

    // Guards against a table that a newer snapshot cannot complete.
    void newSnapshotAddsMissingServers()
    {
        ServerDirectory directory;
        directory.mergeSnapshot({}, {0, 10}, m_now);
        directory.advanceTo({0, 10});
        directory.mergeSnapshot({makeRecord("a", 5)}, {0, 10}, m_now);
        CPPUNIT_ASSERT(directory.servers().contains("a"));
    }

private:
    TimePoint m_now{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerDirectoryTest);
