#include "apricotrock/ledger.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::ledger;
using namespace std::chrono_literals;

namespace {

const IncarnationId owner{0xa1};
const WallTime start{std::chrono::milliseconds(1'760'000'000'000)};

ScopedKey makeKey(std::uint64_t number)
{
    return {Uuid7::make(start + std::chrono::milliseconds(number), 0, number), owner,
            hash64("orders")};
}

Ledger makeLedger(std::uint64_t entries)
{
    Ledger ledger;
    ledger.parameters = {owner, 0, 1, 10min, 1min, 100'000, 1000};
    for (std::uint64_t number = 0; number < entries; ++number)
        ledger.entries[makeKey(number)].state = EntryState::Done;
    return ledger;
}

} // namespace

class SealTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SealTest);
    CPPUNIT_TEST(aSealAnswersListedAndUnlistedKeys);
    CPPUNIT_TEST(anIncompleteSealAnswersNothing);
    CPPUNIT_TEST(partsStayWellUnderTheRecordLimit);
    CPPUNIT_TEST(aSealedLedgerDispatchesNothing);
    CPPUNIT_TEST(sealsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against answering with a wrong outcome for the keys of a stopped instance.
    void aSealAnswersListedAndUnlistedKeys()
    {
        Ledger ledger = makeLedger(2);
        ledger.entries[makeKey(3)].state = EntryState::Running;
        ledger.entries[makeKey(4)].state = EntryState::NotRun;
        ledger.watermark = start;
        Seals seals;
        seals.maxEntries = 100;
        for (const auto &part : makeSeal(ledger))
            addSealPart(seals, owner, part);
        assertOutcome(Outcome::Done, seals, makeKey(1));
        assertOutcome(Outcome::Unknown, seals, makeKey(3));
        assertOutcome(Outcome::NotRun, seals, makeKey(4));
        assertOutcome(Outcome::NotRun, seals, makeKey(9));
        // Keys below the watermark may have been evicted after they ran.
        ScopedKey old = makeKey(9);
        old.uuid = Uuid7::make(start - 1ms, 0, 1);
        assertOutcome(Outcome::Unknown, seals, old);
    }

    // Guards against answering "not run" for a key that is listed in a part not yet read.
    void anIncompleteSealAnswersNothing()
    {
        Ledger ledger = makeLedger(sealPartEntries + 1);
        const auto parts = makeSeal(ledger);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), parts.size());
        Seals seals;
        seals.maxEntries = 100'000;
        addSealPart(seals, owner, parts[1]);
        addSealPart(seals, owner, parts[1]);
        CPPUNIT_ASSERT(!answerFromSeal(seals, owner, makeKey(1)));
        addSealPart(seals, owner, parts[0]);
        assertOutcome(Outcome::Done, seals, makeKey(1));
    }

    // Guards against a seal part that exceeds the record limit of the log.
    void partsStayWellUnderTheRecordLimit()
    {
        Ledger ledger = makeLedger(3 * sealPartEntries);
        for (auto &part : makeSeal(ledger)) {
            wire::LogRecordT record;
            record.entries.push_back(wire::holdEntry(part));
            CPPUNIT_ASSERT(wire::encodeLogRecord(record).size() < wire::maxLogRecordBytes / 2);
        }
    }

    // Guards against a dispatch by a sealed instance while the others answer from its seal.
    void aSealedLedgerDispatchesNothing()
    {
        Ledger ledger = makeLedger(0);
        makeSeal(ledger);
        KeyedRequest copy;
        copy.key = {owner, makeKey(1).uuid};
        copy.service = "orders";
        copy.wallTime = start;
        copy.isLogAvailable = true;
        const Decision decision = receive(ledger, copy);
        CPPUNIT_ASSERT(decision.verdict == Verdict::Answer);
        CPPUNIT_ASSERT(decision.answer.kind == ErrorKind::Stopping);
        CPPUNIT_ASSERT(decision.answer.outcome == Outcome::NotRun);
        copy.key.owner.reset();
        CPPUNIT_ASSERT(receive(ledger, copy).answer.outcome == Outcome::Unknown);
    }

    // Guards against memory use that grows with every planned stop.
    void sealsAreBounded()
    {
        Seals seals;
        seals.maxEntries = 25;
        for (std::uint64_t number = 0; number < 10; ++number) {
            Ledger ledger = makeLedger(10);
            for (const auto &part : makeSeal(ledger))
                addSealPart(seals, IncarnationId{100 + number}, part);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), seals.entryCount);
        CPPUNIT_ASSERT(!answerFromSeal(seals, IncarnationId{100}, makeKey(1)));
        CPPUNIT_ASSERT(answerFromSeal(seals, IncarnationId{109}, makeKey(1)));
    }

private:
    static void assertOutcome(Outcome expected, const Seals &seals, const ScopedKey &key)
    {
        const auto answer = answerFromSeal(seals, owner, key);
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string(outcomeName(expected)),
                             std::string(outcomeName(answer->outcome)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SealTest);
