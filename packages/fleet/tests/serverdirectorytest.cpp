#include "apricotrock/fleet.h"

#include <cppunit/extensions/HelperMacros.h>

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
    return {id, offset, entry};
}

ServerRecord makeRemoval(const std::string &id, std::uint64_t offset)
{
    return {id, offset, std::nullopt};
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
    CPPUNIT_TEST(snapshotRemovesMissingServers);
    CPPUNIT_TEST(snapshotKeepsServersRegisteredAfterIt);
    CPPUNIT_TEST(removalWithoutOutageTakesEffectImmediately);
    CPPUNIT_TEST(removalDuringOutageIsDelayed);
    CPPUNIT_TEST(newRegistrationIsReportedAsChange);
    CPPUNIT_TEST(serverMissingAfterGracePeriodIsRemoved);
    CPPUNIT_TEST(drainingServerStaysUnusableDuringOutage);
    CPPUNIT_TEST(serverWithUnreadableRecordIsNotUsable);
    CPPUNIT_TEST(newProcessWithSameIdIsReportedAsChange);
    CPPUNIT_TEST(leavingServerIsNotUsable);
    CPPUNIT_TEST(leavingServerIsUsableAfterItHasReturned);
    CPPUNIT_TEST(markOfAnUnknownServerIsKept);
    CPPUNIT_TEST(markOfAnEarlierProcessIsIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a record, a snapshot or a store outage that makes a server usable again which
    // said itself that it leaves.
    void leavingServerIsNotUsable()
    {
        ServerDirectory directory;
        directory.merge({makeRecord("a", 1)}, m_now);
        const auto change = directory.markLeaving({"a", 0});
        CPPUNIT_ASSERT(change && change->what == "leaving");
        CPPUNIT_ASSERT(!directory.markLeaving({"a", 0}));
        directory.merge({makeRecord("a", 2)}, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "a"));
        directory.mergeSnapshot({makeRecord("a", 3)}, 4, m_now);
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
        directory.markLeaving({"a", 0});
        directory.merge({makeRecord("a", 2, ServerPhase::Draining)}, m_now);
        CPPUNIT_ASSERT(directory.leavingServers().empty());
        CPPUNIT_ASSERT(!directory.merge({makeRecord("a", 3)}, m_now).empty());
        CPPUNIT_ASSERT(isUsable(directory, "a"));
    }

    // Guards against losing a mark that arrives before the record of the server.
    void markOfAnUnknownServerIsKept()
    {
        ServerDirectory directory;
        directory.markLeaving({"a", 0});
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
        CPPUNIT_ASSERT(!directory.markLeaving({"a", 10}));
        CPPUNIT_ASSERT(isUsable(directory, "a"));
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
        directory.mergeSnapshot({makeRecord("b", 2)}, 10, m_now);
        CPPUNIT_ASSERT(!isUsable(directory, "a"));
        CPPUNIT_ASSERT(isUsable(directory, "b"));
    }

    // Guards against removing a server that registered while a snapshot of several pages was read.
    void snapshotKeepsServersRegisteredAfterIt()
    {
        ServerDirectory directory;
        directory.merge({makeRecord("new", 12)}, m_now);
        directory.mergeSnapshot({makeRecord("b", 2)}, 10, m_now);
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
        directory.merge({{"a", 3, std::nullopt}}, m_now);
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

private:
    TimePoint m_now{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerDirectoryTest);
