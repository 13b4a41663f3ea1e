#include "apricotrock/ledger.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::ledger;
using namespace std::chrono_literals;

namespace {

const IncarnationId own{0xa1};
const IncarnationId other{0xb2};
const WallTime start{std::chrono::milliseconds(1'760'000'000'000)};

std::shared_ptr<const HttpResponse> makeAnswer(std::size_t bytes)
{
    return std::make_shared<const HttpResponse>(HttpResponse{200, {}, std::string(bytes, 'x')});
}

} // namespace

class LedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LedgerTest);
    CPPUNIT_TEST(aKeyIsDispatchedOnce);
    CPPUNIT_TEST(onlyTheOwnerDispatchesABoundKey);
    CPPUNIT_TEST(aNotRunAnswerClosesTheKey);
    CPPUNIT_TEST(aStatusQueryClosesAnUnseenKey);
    CPPUNIT_TEST(aReusedKeyIsRefused);
    CPPUNIT_TEST(theFirstClaimInLogOrderWins);
    CPPUNIT_TEST(aClaimReadAfterGivingUpIsReleased);
    CPPUNIT_TEST(aClaimReadAfterTheSealIsReleased);
    CPPUNIT_TEST(onlyTheClaimHolderReleases);
    CPPUNIT_TEST(aClaimOfAnExpiredKeyDecidesNothing);
    CPPUNIT_TEST(aClaimWithoutRoomRaisesTheWatermark);
    CPPUNIT_TEST(plainKeysNeedTheLog);
    CPPUNIT_TEST(keysOutsideTheirAgeAreRefused);
    CPPUNIT_TEST(evictionRaisesTheWatermarkAndSparesRequestsInFlight);
    CPPUNIT_TEST(answersAreKeptUpToTheLimit);
    CPPUNIT_TEST(duplicateRecordsAreIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_ledger = {};
        m_ledger.parameters = {own, 0, 1, 10min, 1min, 100, 1000};
    }

    // Guards against dispatching a retry that arrives while the first copy runs or after it was
    // answered.
    void aKeyIsDispatchedOnce()
    {
        const KeyedRequest copy = makeCopy(bound(1));
        assertVerdict(Verdict::Dispatch, receive(m_ledger, copy));
        assertVerdict(Verdict::Wait, receive(m_ledger, copy));
        closeDone(m_ledger, scopeKey(copy.key, copy.service), makeAnswer(3));
        const Decision decision = receive(m_ledger, copy);
        assertVerdict(Verdict::Answer, decision);
        CPPUNIT_ASSERT(decision.answer.outcome == Outcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::string("xxx"), decision.answer.response->body);
    }

    // Guards against dispatching a bound key at an instance that took over the owner's address.
    void onlyTheOwnerDispatchesABoundKey()
    {
        KeyedRequest copy = makeCopy(bound(1));
        copy.key.owner = other;
        const Decision decision = receive(m_ledger, copy);
        assertVerdict(Verdict::ForwardToOwner, decision);
        CPPUNIT_ASSERT(decision.owner == other);
        CPPUNIT_ASSERT(m_ledger.entries.empty());
    }

    // Guards against dispatching a request after its caller received "not run".
    void aNotRunAnswerClosesTheKey()
    {
        const KeyedRequest copy = makeCopy(bound(1));
        receive(m_ledger, copy);
        CPPUNIT_ASSERT(
            closeNotRun(m_ledger, scopeKey(copy.key, copy.service), ErrorKind::QueueFull));
        const Decision decision = receive(m_ledger, copy);
        assertVerdict(Verdict::Answer, decision);
        CPPUNIT_ASSERT(decision.answer.outcome == Outcome::NotRun);
        CPPUNIT_ASSERT(decision.answer.kind == ErrorKind::QueueFull);
    }

    // Guards against dispatching a copy that arrives after a status query was answered "not run".
    void aStatusQueryClosesAnUnseenKey()
    {
        KeyedRequest query = makeCopy(bound(1));
        query.isStatusQuery = true;
        query.fingerprint = 0;
        CPPUNIT_ASSERT(receive(m_ledger, query).answer.outcome == Outcome::NotRun);
        const Decision late = receive(m_ledger, makeCopy(bound(1)));
        assertVerdict(Verdict::Answer, late);
        CPPUNIT_ASSERT(late.answer.outcome == Outcome::NotRun);
    }

    // Guards against returning the answer of one request for a different request with the same key.
    void aReusedKeyIsRefused()
    {
        KeyedRequest copy = makeCopy(bound(1));
        receive(m_ledger, copy);
        copy.fingerprint = 8;
        const Decision decision = receive(m_ledger, copy);
        assertVerdict(Verdict::Answer, decision);
        CPPUNIT_ASSERT(decision.answer.kind == ErrorKind::KeyReused);
        CPPUNIT_ASSERT(decision.answer.outcome == Outcome::Unknown);
    }

    // Guards against dispatching a plain key at two instances.
    void theFirstClaimInLogOrderWins()
    {
        assertVerdict(Verdict::Claim, receive(m_ledger, makeCopy(plain(1))));
        CPPUNIT_ASSERT(read(claim(1), other) == ClaimVerdict::Lost);
        CPPUNIT_ASSERT(read(claim(1), own) == ClaimVerdict::Ignored);
        assertVerdict(Verdict::ForwardToOwner, receive(m_ledger, makeCopy(plain(1))));

        assertVerdict(Verdict::Claim, receive(m_ledger, makeCopy(plain(2))));
        CPPUNIT_ASSERT(read(claim(2), own) == ClaimVerdict::Won);
        CPPUNIT_ASSERT(read(claim(2), other) == ClaimVerdict::Ignored);
        assertVerdict(Verdict::Wait, receive(m_ledger, makeCopy(plain(2))));
    }

    // Guards against dispatching a request that was abandoned and reported to its caller as failed
    // before its claim was read back.
    void aClaimReadAfterGivingUpIsReleased()
    {
        const KeyedRequest copy = makeCopy(plain(1));
        receive(m_ledger, copy);
        abandonClaim(m_ledger, scopeKey(copy.key, copy.service));
        CPPUNIT_ASSERT(read(claim(1), own) == ClaimVerdict::WonMustRelease);
        CPPUNIT_ASSERT(receive(m_ledger, copy).verdict == Verdict::Wait);
        CPPUNIT_ASSERT(processRelease(m_ledger, release(1), own));
        CPPUNIT_ASSERT(receive(m_ledger, copy).answer.outcome == Outcome::NotRun);
        CPPUNIT_ASSERT(read(claim(1), other) == ClaimVerdict::Ignored);
    }

    // Guards against a dispatch after the seal, from which other instances conclude that nothing
    // runs.
    void aClaimReadAfterTheSealIsReleased()
    {
        receive(m_ledger, makeCopy(plain(1)));
        makeSeal(m_ledger);
        CPPUNIT_ASSERT(read(claim(1), own) == ClaimVerdict::WonMustRelease);
    }

    // Guards against answering "not run" after a release by an incarnation that does not hold the
    // claim.
    void onlyTheClaimHolderReleases()
    {
        receive(m_ledger, makeCopy(plain(1)));
        read(claim(1), own);
        CPPUNIT_ASSERT(!processRelease(m_ledger, release(1), other));
        assertVerdict(Verdict::Wait, receive(m_ledger, makeCopy(plain(1))));
        read(claim(2), other);
        CPPUNIT_ASSERT(!processRelease(m_ledger, release(2), IncarnationId{0xc3}));
        assertVerdict(Verdict::ForwardToOwner, receive(m_ledger, makeCopy(plain(2))));
        CPPUNIT_ASSERT(processRelease(m_ledger, release(2), other));
    }

    // Guards against treating a late claim as the first one after the actual first claim has
    // expired from the log. Found by the histories test, seed 86989.
    void aClaimOfAnExpiredKeyDecidesNothing()
    {
        const KeyedRequest copy = makeCopy(plain(1));
        receive(m_ledger, copy);
        const WallTime late = start + 11min;
        CPPUNIT_ASSERT(processClaim(m_ledger, claim(2), other, late) == ClaimVerdict::Ignored);
        CPPUNIT_ASSERT(processClaim(m_ledger, claim(1), own, late) == ClaimVerdict::Expired);
        CPPUNIT_ASSERT(receive(m_ledger, copy).answer.outcome == Outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_ledger.entries.size());
    }

    // Guards against losing a claim that is read while the ledger is full of entries in flight.
    // Found by the histories test, seed 132345.
    void aClaimWithoutRoomRaisesTheWatermark()
    {
        m_ledger.parameters.maxEntries = 1;
        receive(m_ledger, makeCopy(bound(1)));
        CPPUNIT_ASSERT(read(claim(2), other) == ClaimVerdict::Ignored);
        m_ledger.parameters.maxEntries = 100;
        const Decision decision = receive(m_ledger, makeCopy(plain(2)));
        CPPUNIT_ASSERT(decision.answer.kind == ErrorKind::KeyExpired);
        CPPUNIT_ASSERT(decision.answer.outcome == Outcome::Unknown);
    }

    // Guards against claiming a key while the log is unavailable, and against answering "not run"
    // then, when another instance may have run the request.
    void plainKeysNeedTheLog()
    {
        KeyedRequest copy = makeCopy(plain(1));
        copy.isLogAvailable = false;
        const Decision decision = receive(m_ledger, copy);
        CPPUNIT_ASSERT(decision.answer.kind == ErrorKind::ClaimLogUnavailable);
        CPPUNIT_ASSERT(decision.answer.outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(m_ledger.entries.empty());
    }

    // Guards against dispatching a key whose earlier claims have expired from the log, or whose
    // claim would expire from it before the key does.
    void keysOutsideTheirAgeAreRefused()
    {
        KeyedRequest copy = makeCopy(plain(1));
        copy.wallTime = start + 11min;
        CPPUNIT_ASSERT(receive(m_ledger, copy).answer.kind == ErrorKind::KeyExpired);
        copy.wallTime = start - 2min;
        CPPUNIT_ASSERT(receive(m_ledger, copy).answer.kind == ErrorKind::KeyMalformed);
        CPPUNIT_ASSERT(receive(m_ledger, copy).answer.outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(m_ledger.entries.empty());
    }

    // Guards against dispatching an evicted key again, and against evicting a running request.
    void evictionRaisesTheWatermarkAndSparesRequestsInFlight()
    {
        m_ledger.parameters.maxEntries = 2;
        for (const std::uint64_t number : {1, 2})
            receive(m_ledger, makeCopy(bound(number)));
        CPPUNIT_ASSERT(receive(m_ledger, makeCopy(bound(3))).answer.kind == ErrorKind::QueueFull);
        closeUnknown(m_ledger, scopeKey(bound(2), "orders"), ErrorKind::BackendTimeout);
        assertVerdict(Verdict::Dispatch, receive(m_ledger, makeCopy(bound(3))));
        CPPUNIT_ASSERT(receive(m_ledger, makeCopy(bound(2))).answer.kind == ErrorKind::KeyExpired);
        assertVerdict(Verdict::Wait, receive(m_ledger, makeCopy(bound(1))));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_ledger.entries.size());
    }

    // Guards against unbounded memory use by answers, and against losing the outcome when the
    // answer is dropped.
    void answersAreKeptUpToTheLimit()
    {
        for (const std::uint64_t number : {1, 2, 3}) {
            receive(m_ledger, makeCopy(bound(number)));
            closeDone(m_ledger, scopeKey(bound(number), "orders"), makeAnswer(400));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(800), m_ledger.retainedBytes);
        const Decision decision = receive(m_ledger, makeCopy(bound(1)));
        CPPUNIT_ASSERT(decision.answer.kind == ErrorKind::AnswerNotRetained);
        CPPUNIT_ASSERT(decision.answer.outcome == Outcome::Done);
        CPPUNIT_ASSERT(receive(m_ledger, makeCopy(bound(3))).answer.response != nullptr);
    }

    // Guards against applying a record twice that was appended twice, in whatever order records
    // arrive.
    void duplicateRecordsAreIgnored()
    {
        SeenRecords seen;
        CPPUNIT_ASSERT(markSeen(seen, {own, 5}));
        CPPUNIT_ASSERT(markSeen(seen, {own, 4}));
        CPPUNIT_ASSERT(markSeen(seen, {other, 5}));
        CPPUNIT_ASSERT(!markSeen(seen, {own, 4}));
        for (std::uint64_t sequence = 6; sequence < 5000; ++sequence)
            CPPUNIT_ASSERT(markSeen(seen, {own, sequence}));
        CPPUNIT_ASSERT(!markSeen(seen, {own, 5}));
        CPPUNIT_ASSERT(seen.byIncarnation.at(own).recent.size() <= 1024);
    }

private:
    static IdempotencyKey plain(std::uint64_t number)
    {
        return {std::nullopt, Uuid7::make(start + std::chrono::milliseconds(number), 0, number)};
    }

    static IdempotencyKey bound(std::uint64_t number) { return {own, plain(number).uuid}; }

    static KeyedRequest makeCopy(const IdempotencyKey &key)
    {
        KeyedRequest copy;
        copy.key = key;
        copy.service = "orders";
        copy.fingerprint = 7;
        copy.wallTime = start + 1s;
        copy.isLogAvailable = true;
        return copy;
    }

    static wire::ClaimT claim(std::uint64_t number)
    {
        wire::ClaimT entry;
        entry.key = std::make_unique<wire::KeyId>(wire::fromKey(plain(number)));
        entry.service_hash = hash64("orders");
        entry.fingerprint = 7;
        return entry;
    }

    static wire::ReleaseT release(std::uint64_t number)
    {
        wire::ReleaseT entry;
        entry.key = std::make_unique<wire::KeyId>(wire::fromKey(plain(number)));
        entry.service_hash = hash64("orders");
        return entry;
    }

    ClaimVerdict read(const wire::ClaimT &entry, IncarnationId from)
    {
        return processClaim(m_ledger, entry, from, start + 1s);
    }

    static void assertVerdict(Verdict expected, const Decision &decision)
    {
        CPPUNIT_ASSERT_EQUAL(int(expected), int(decision.verdict));
    }

    Ledger m_ledger;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);
