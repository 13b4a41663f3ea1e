#include "apricotrock/ledger.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::ledger;
using namespace std::chrono_literals;

namespace {

const IncarnationId own{0xa1};
const IncarnationId other{0xb2};
const WallTime start{std::chrono::milliseconds(1'760'000'000'000)};

std::shared_ptr<const HttpResponse> answerOfBytes(std::size_t bytes)
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
    CPPUNIT_TEST(recordsCountOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_ledger = {};
        m_ledger.parameters = {own, 0, 1, 10min, 1min, 100, 1000};
    }

    // Guards against a second dispatch of a copy that comes while the first runs, or later.
    void aKeyIsDispatchedOnce()
    {
        const Copy copy = makeCopy(bound(1));
        assertVerdict(Verdict::Dispatch, receive(m_ledger, copy));
        assertVerdict(Verdict::Wait, receive(m_ledger, copy));
        closeDone(m_ledger, scopeKey(copy.key, copy.service), answerOfBytes(3));
        const Decision decision = receive(m_ledger, copy);
        assertVerdict(Verdict::Answer, decision);
        CPPUNIT_ASSERT(decision.answer.outcome == Outcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::string("xxx"), decision.answer.response->body);
    }

    // Guards against a dispatch by an instance that took over an address.
    void onlyTheOwnerDispatchesABoundKey()
    {
        Copy copy = makeCopy(bound(1));
        copy.key.owner = other;
        const Decision decision = receive(m_ledger, copy);
        assertVerdict(Verdict::AskOwner, decision);
        CPPUNIT_ASSERT(decision.owner == other);
        CPPUNIT_ASSERT(m_ledger.entries.empty());
    }

    // Guards against a run after the caller was told that nothing runs.
    void aNotRunAnswerClosesTheKey()
    {
        const Copy copy = makeCopy(bound(1));
        receive(m_ledger, copy);
        CPPUNIT_ASSERT(
            closeNotRun(m_ledger, scopeKey(copy.key, copy.service), ErrorKind::QueueFull));
        const Decision decision = receive(m_ledger, copy);
        assertVerdict(Verdict::Answer, decision);
        CPPUNIT_ASSERT(decision.answer.outcome == Outcome::NotRun);
        CPPUNIT_ASSERT(decision.answer.kind == ErrorKind::QueueFull);
    }

    // Guards against a copy that arrives after its sender asked and was told "not run".
    void aStatusQueryClosesAnUnseenKey()
    {
        Copy query = makeCopy(bound(1));
        query.isStatusQuery = true;
        query.fingerprint = 0;
        CPPUNIT_ASSERT(receive(m_ledger, query).answer.outcome == Outcome::NotRun);
        const Decision late = receive(m_ledger, makeCopy(bound(1)));
        assertVerdict(Verdict::Answer, late);
        CPPUNIT_ASSERT(late.answer.outcome == Outcome::NotRun);
    }

    // Guards against the answer of one request under the key of another.
    void aReusedKeyIsRefused()
    {
        Copy copy = makeCopy(bound(1));
        receive(m_ledger, copy);
        copy.fingerprint = 8;
        const Decision decision = receive(m_ledger, copy);
        assertVerdict(Verdict::Answer, decision);
        CPPUNIT_ASSERT(decision.answer.kind == ErrorKind::KeyReused);
        CPPUNIT_ASSERT(decision.answer.outcome == Outcome::Unknown);
    }

    // Guards against two instances that both dispatch a plain key.
    void theFirstClaimInLogOrderWins()
    {
        assertVerdict(Verdict::Claim, receive(m_ledger, makeCopy(plain(1))));
        CPPUNIT_ASSERT(read(claim(1), other) == ClaimVerdict::Lost);
        CPPUNIT_ASSERT(read(claim(1), own) == ClaimVerdict::Ignored);
        assertVerdict(Verdict::AskOwner, receive(m_ledger, makeCopy(plain(1))));

        assertVerdict(Verdict::Claim, receive(m_ledger, makeCopy(plain(2))));
        CPPUNIT_ASSERT(read(claim(2), own) == ClaimVerdict::Won);
        CPPUNIT_ASSERT(read(claim(2), other) == ClaimVerdict::Ignored);
        assertVerdict(Verdict::Wait, receive(m_ledger, makeCopy(plain(2))));
    }

    // Guards against a dispatch after the caller was told that the request was given up.
    void aClaimReadAfterGivingUpIsReleased()
    {
        const Copy copy = makeCopy(plain(1));
        receive(m_ledger, copy);
        giveUp(m_ledger, scopeKey(copy.key, copy.service));
        CPPUNIT_ASSERT(read(claim(1), own) == ClaimVerdict::WonTooLate);
        CPPUNIT_ASSERT(receive(m_ledger, copy).verdict == Verdict::Wait);
        CPPUNIT_ASSERT(readRelease(m_ledger, release(1), own));
        CPPUNIT_ASSERT(receive(m_ledger, copy).answer.outcome == Outcome::NotRun);
        CPPUNIT_ASSERT(read(claim(1), other) == ClaimVerdict::Ignored);
    }

    // Guards against a dispatch after the seal told that nothing more runs.
    void aClaimReadAfterTheSealIsReleased()
    {
        receive(m_ledger, makeCopy(plain(1)));
        makeSeal(m_ledger);
        CPPUNIT_ASSERT(read(claim(1), own) == ClaimVerdict::WonTooLate);
    }

    // Guards against a "not run" that the holder of the claim has not decided.
    void onlyTheClaimHolderReleases()
    {
        receive(m_ledger, makeCopy(plain(1)));
        read(claim(1), own);
        CPPUNIT_ASSERT(!readRelease(m_ledger, release(1), other));
        assertVerdict(Verdict::Wait, receive(m_ledger, makeCopy(plain(1))));
        read(claim(2), other);
        CPPUNIT_ASSERT(!readRelease(m_ledger, release(2), IncarnationId{0xc3}));
        assertVerdict(Verdict::AskOwner, receive(m_ledger, makeCopy(plain(2))));
        CPPUNIT_ASSERT(readRelease(m_ledger, release(2), other));
    }

    // Guards against taking a late claim for the first one after the first has expired from the
    // log (histories, seed 86989).
    void aClaimOfAnExpiredKeyDecidesNothing()
    {
        const Copy copy = makeCopy(plain(1));
        receive(m_ledger, copy);
        const WallTime late = start + 11min;
        CPPUNIT_ASSERT(readClaim(m_ledger, claim(2), other, late) == ClaimVerdict::Ignored);
        CPPUNIT_ASSERT(readClaim(m_ledger, claim(1), own, late) == ClaimVerdict::Expired);
        CPPUNIT_ASSERT(receive(m_ledger, copy).answer.outcome == Outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_ledger.entries.size());
    }

    // Guards against forgetting a claim while every entry is in flight (histories, seed 132345).
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

    // Guards against a claim that nobody can read, and a false "not run" during an outage.
    void plainKeysNeedTheLog()
    {
        Copy copy = makeCopy(plain(1));
        copy.isLogAvailable = false;
        const Decision decision = receive(m_ledger, copy);
        CPPUNIT_ASSERT(decision.answer.kind == ErrorKind::ClaimLogUnavailable);
        CPPUNIT_ASSERT(decision.answer.outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(m_ledger.entries.empty());
    }

    // Guards against a run of a key whose earlier copies the log has forgotten, or will forget
    // before the key ends.
    void keysOutsideTheirAgeAreRefused()
    {
        Copy copy = makeCopy(plain(1));
        copy.wallTime = start + 11min;
        CPPUNIT_ASSERT(receive(m_ledger, copy).answer.kind == ErrorKind::KeyExpired);
        copy.wallTime = start - 2min;
        CPPUNIT_ASSERT(receive(m_ledger, copy).answer.kind == ErrorKind::KeyMalformed);
        CPPUNIT_ASSERT(receive(m_ledger, copy).answer.outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(m_ledger.entries.empty());
    }

    // Guards against an evicted key that runs again, and against forgetting a running request.
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

    // Guards against unbounded memory for answers, and against losing the outcome with the answer.
    void answersAreKeptUpToTheLimit()
    {
        for (const std::uint64_t number : {1, 2, 3}) {
            receive(m_ledger, makeCopy(bound(number)));
            closeDone(m_ledger, scopeKey(bound(number), "orders"), answerOfBytes(400));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(800), m_ledger.retainedBytes);
        const Decision decision = receive(m_ledger, makeCopy(bound(1)));
        CPPUNIT_ASSERT(decision.answer.kind == ErrorKind::AnswerNotRetained);
        CPPUNIT_ASSERT(decision.answer.outcome == Outcome::Done);
        CPPUNIT_ASSERT(receive(m_ledger, makeCopy(bound(3))).answer.response != nullptr);
    }

    // Guards against a second effect of a record that was appended twice, in any order.
    void recordsCountOnce()
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

    static Copy makeCopy(const IdempotencyKey &key)
    {
        Copy copy;
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
        return readClaim(m_ledger, entry, from, start + 1s);
    }

    static void assertVerdict(Verdict expected, const Decision &decision)
    {
        CPPUNIT_ASSERT_EQUAL(int(expected), int(decision.verdict));
    }

    Ledger m_ledger;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);
