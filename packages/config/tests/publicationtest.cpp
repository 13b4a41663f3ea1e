#include "foldfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::testing;
using Verdict = PublicationVerdict;

class PublicationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PublicationTest);
    CPPUNIT_TEST(firstOfTwoRacingPublicationsWins);
    CPPUNIT_TEST(secondCopyOfARecordIsIgnored);
    CPPUNIT_TEST(faultyPublicationsAreRejected);
    CPPUNIT_TEST(laggingSnapshotIsCompletedFromTheLog);
    CPPUNIT_TEST(snapshotBelowTheFirstOffsetIsUnusable);
    CPPUNIT_TEST(faultySnapshotsAreIgnored);
    CPPUNIT_TEST(readerThatMissedRecordsWaitsForASnapshot);
    CPPUNIT_TEST(olderPeerVersionsAreRefused);
    CPPUNIT_TEST(olderLogVersionsAreRefused);
    CPPUNIT_TEST(faultyPeerSnapshotsAreRefused);
    CPPUNIT_TEST(adoptedConfigurationContinuesInTheLog);
    CPPUNIT_TEST(adoptionBeforeAGapDoesNotJudgePendingRecords);
    CPPUNIT_TEST(onlyOneOfTwoInitialPublicationsCounts);
    CPPUNIT_TEST(publicationsDoNotReplaceSnapshots);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_log = FakeLog();
        m_log.publish(emptyConfiguration(), makeSet({1}));
        m_reader = PublicationState();
        m_log.read(m_reader);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), versionOf(m_reader));
    }

    // Guards against the later of two operators silently undoing the work of the first.
    void firstOfTwoRacingPublicationsWins()
    {
        const AcceptedConfiguration base = *m_reader.current;
        m_log.publish(base, makeSet({1, 2}));
        m_log.publish(base, makeSet({1, 3}));
        CPPUNIT_ASSERT(m_log.read(m_reader));
        CPPUNIT_ASSERT(m_reader.current->objects == makeSet({1, 2}));
        CPPUNIT_ASSERT((verdicts(m_reader)
                        == std::vector{Verdict::Accepted, Verdict::Accepted, Verdict::LostRace}));
    }

    // Guards against a publication that counts twice after its append answer was lost and the
    // author sent it again; also when the second copy comes after other publications.
    void secondCopyOfARecordIsIgnored()
    {
        m_log.publish(*m_reader.current, makeSet({1, 2}));
        m_log.records.push_back(m_log.records.back());
        m_log.read(m_reader);
        m_log.publish(*m_reader.current, makeSet({1}));
        m_log.records.push_back(m_log.records[1]);
        m_log.read(m_reader);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), versionOf(m_reader));
        CPPUNIT_ASSERT(m_reader.current->objects == makeSet({1}));
        CPPUNIT_ASSERT(verdicts(m_reader).back() == Verdict::Duplicate);
    }

    // Guards against a set in force that its author did not mean, or that cannot be used.
    void faultyPublicationsAreRejected()
    {
        wire::PublicationT wrong =
            makePublication(*m_reader.current, makeSet({1, 2}), "a", "", WallTime());
        wrong.digest.back() = wrong.digest.back() == '0' ? '1' : '0';
        m_log.append(std::move(wrong));
        m_log.publish(*m_reader.current, makeSet({}));
        ObjectTexts notCanonical = makeSet({1});
        notCanonical[{"policy", "p"}] = "queue_limit=10\n";
        m_log.publish(*m_reader.current, notCanonical);
        wire::PublicationT otherBase =
            makePublication(*m_reader.current, makeSet({1, 2}), "a", "", WallTime());
        otherBase.base_digest = emptyConfiguration().digest;
        m_log.append(std::move(otherBase));
        CPPUNIT_ASSERT(!m_log.read(m_reader));
        CPPUNIT_ASSERT((verdicts(m_reader)
                        == std::vector{Verdict::Accepted, Verdict::WrongDigest, Verdict::InvalidSet,
                                       Verdict::InvalidSet, Verdict::LostRace}));
    }

    // Guards against losing the publications between what the author of a snapshot had read and
    // the place where the snapshot stands in the log.
    void laggingSnapshotIsCompletedFromTheLog()
    {
        const wire::SnapshotT lagging = makeSnapshot(m_reader);
        m_log.publish(*m_reader.current, makeSet({1, 2}));
        m_log.append(wire::SnapshotT(lagging));
        m_log.read(m_reader);
        m_log.publish(*m_reader.current, makeSet({2}));
        m_log.first = 1;
        PublicationState late;
        m_log.read(late);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), versionOf(late));
        CPPUNIT_ASSERT(late.current->objects == makeSet({2}));
        CPPUNIT_ASSERT(isContinuous(late));
        CPPUNIT_ASSERT_EQUAL(lagging.next_offset, late.newestSnapshotOffset);
    }

    // Guards against starting from a snapshot when a publication after it has expired already.
    void snapshotBelowTheFirstOffsetIsUnusable()
    {
        const wire::SnapshotT lagging = makeSnapshot(m_reader);
        m_log.publish(*m_reader.current, makeSet({1, 2}));
        m_log.append(wire::SnapshotT(lagging));
        m_log.read(m_reader);
        m_log.first = 2;
        PublicationState late;
        CPPUNIT_ASSERT(!m_log.read(late));
        CPPUNIT_ASSERT(!late.current);
        m_log.append(makeSnapshot(m_reader));
        CPPUNIT_ASSERT(m_log.read(late));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), versionOf(late));
    }

    // Guards against a corrupt snapshot, or one from a faulty author, as the start of a reader.
    void faultySnapshotsAreIgnored()
    {
        wire::SnapshotT wrongDigest = makeSnapshot(m_reader);
        wrongDigest.digest = emptyConfiguration().digest;
        m_log.append(std::move(wrongDigest));
        wire::SnapshotT ahead = makeSnapshot(m_reader);
        ahead.next_offset = 100;
        m_log.append(std::move(ahead));
        m_log.first = 1;
        PublicationState late;
        CPPUNIT_ASSERT(!m_log.read(late));
        CPPUNIT_ASSERT(!late.current);
    }

    // Guards against judging publications on an outdated base after unread records expired, and
    // against losing the configuration in force meanwhile.
    void readerThatMissedRecordsWaitsForASnapshot()
    {
        PublicationState paused = m_reader;
        m_log.publish(*m_reader.current, makeSet({1, 2}));
        m_log.publish(*m_reader.current, makeSet({1, 3}));
        m_log.read(m_reader);
        m_log.first = 2;
        CPPUNIT_ASSERT(!m_log.read(paused));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), versionOf(paused));
        CPPUNIT_ASSERT(!isContinuous(paused));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), makeSnapshot(paused).next_offset);
        m_log.append(makeSnapshot(m_reader));
        CPPUNIT_ASSERT(m_log.read(paused));
        CPPUNIT_ASSERT(paused.current->objects == makeSet({1, 2}));
        // The snapshot covers the pending publication, which must not be judged on top of it.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), paused.history.size());
    }

    // Guards against going back to an older version that a peer still has.
    void olderPeerVersionsAreRefused()
    {
        wire::SnapshotT old = makeSnapshot(m_reader);
        m_log.publish(*m_reader.current, makeSet({1, 2}));
        m_log.read(m_reader);
        CPPUNIT_ASSERT(!adoptSnapshot(m_reader, old));
        old.next_offset = 100;
        CPPUNIT_ASSERT(!adoptSnapshot(m_reader, old));
        CPPUNIT_ASSERT(!adoptSnapshot(m_reader, makeSnapshot(m_reader)).value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), versionOf(m_reader));
    }

    // Guards against going back when the log was started anew below the version of a peer.
    void olderLogVersionsAreRefused()
    {
        wire::SnapshotT newer = makeSnapshot(m_reader);
        newer.version = 7;
        PublicationState reader;
        CPPUNIT_ASSERT(adoptSnapshot(reader, newer).value());
        m_log.append(wire::SnapshotT());
        m_log.append(makeInitialEntries(0, 2, makeSet({2}), "a", "", WallTime()));
        m_log.first = 2;
        CPPUNIT_ASSERT(!m_log.read(reader));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), versionOf(reader));
    }

    // Guards against a peer with corrupt memory, another set under the same version, or a state
    // that contradicts what the log says.
    void faultyPeerSnapshotsAreRefused()
    {
        wire::SnapshotT corrupt = makeSnapshot(m_reader);
        corrupt.version = 9;
        corrupt.next_offset = 9;
        corrupt.objects.pop_back();
        CPPUNIT_ASSERT(!adoptSnapshot(m_reader, corrupt));
        wire::SnapshotT other = makeSnapshot(m_reader);
        other.objects.clear();
        other.digest = emptyConfiguration().digest;
        other.next_offset = 9;
        CPPUNIT_ASSERT(!adoptSnapshot(m_reader, other));
        wire::SnapshotT contradicting = makeSnapshot(m_reader);
        contradicting.version = 9;
        CPPUNIT_ASSERT(!adoptSnapshot(m_reader, contradicting));
        contradicting.version = 0;
        PublicationState fresh;
        CPPUNIT_ASSERT(!adoptSnapshot(fresh, contradicting));
    }

    // Guards against counting a publication twice, or not at all, when the log comes back after an
    // instance took its configuration from a peer.
    void adoptedConfigurationContinuesInTheLog()
    {
        m_log.publish(*m_reader.current, makeSet({1, 2}));
        m_log.read(m_reader);
        PublicationState fresh;
        CPPUNIT_ASSERT(adoptSnapshot(fresh, makeSnapshot(m_reader)).value());
        m_log.publish(*m_reader.current, makeSet({2}));
        for (std::uint64_t offset = 0; offset < m_log.records.size(); ++offset)
            foldRecord(fresh, offset, m_log.records[offset], 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), versionOf(fresh));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fresh.history.size());
    }

    // Guards against accepting a publication whose base was replaced by a record that expired.
    void adoptionBeforeAGapDoesNotJudgePendingRecords()
    {
        const wire::SnapshotT old = makeSnapshot(m_reader);
        m_log.publish(*m_reader.current, makeSet({1, 2}));
        m_log.publish(*m_reader.current, makeSet({1, 3}));
        m_log.first = 2;
        PublicationState late;
        m_log.read(late);
        CPPUNIT_ASSERT(adoptSnapshot(late, old).value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), versionOf(late));
        CPPUNIT_ASSERT(!isContinuous(late));
    }

    // Guards against two operators who both start the configuration anew after the log lost it:
    // readers must agree on one, whatever part of the log they still see.
    void onlyOneOfTwoInitialPublicationsCounts()
    {
        m_log.append(wire::SnapshotT());
        m_log.first = 2;
        m_log.append(makeInitialEntries(7, 2, makeSet({1}), "first", "", WallTime()));
        m_log.append(makeInitialEntries(7, 2, makeSet({2}), "second", "", WallTime()));
        PublicationState early;
        m_log.read(early);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), versionOf(early));
        CPPUNIT_ASSERT(early.current->objects == makeSet({1}));
        m_log.append(makeInitialEntries(7, 3, makeSet({3}), "third", "", WallTime()));
        m_log.first = 3;
        PublicationState late;
        m_log.read(late);
        CPPUNIT_ASSERT(!late.current);
    }

    // Guards against a log without a usable snapshot: frequent publications must not make the
    // authors of snapshots believe that one is there.
    void publicationsDoNotReplaceSnapshots()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_reader.newestSnapshotOffset);
        m_log.append(makeSnapshot(m_reader));
        m_log.publish(*m_reader.current, makeSet({1, 2}));
        m_log.read(m_reader);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_reader.newestSnapshotOffset);
    }

private:
    FakeLog m_log;
    PublicationState m_reader;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublicationTest);
