#include "apricotrock/ledger.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::ledger;

class QuarantineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineTest);
    CPPUNIT_TEST(theOnlyCommonRequestIsQuarantined);
    CPPUNIT_TEST(requestsThatAlwaysRanTogetherAreNot);
    CPPUNIT_TEST(oneCrashCountsOnce);
    CPPUNIT_TEST(hintsOfSharedCrashesOnlyRaiseSuspicion);
    CPPUNIT_TEST(anAnswerInIsolationEndsTheIsolationOnly);
    CPPUNIT_TEST(clearedAndExpiredCrashesDoNotCount);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a request that crashes backend servers without end.
    void theOnlyCommonRequestIsQuarantined()
    {
        Quarantine quarantine;
        crash(quarantine, "b1", 100, {1, 2});
        CPPUNIT_ASSERT(!isQuarantined(quarantine, 1, 2));
        CPPUNIT_ASSERT(isSuspect(quarantine, 1) && isSuspect(quarantine, 2));
        crash(quarantine, "b2", 200, {1, 3});
        CPPUNIT_ASSERT(isQuarantined(quarantine, 1, 2));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, 2, 2) && !isQuarantined(quarantine, 3, 2));
    }

    // Guards against the quarantine of an innocent request beside a crashing one.
    void requestsThatAlwaysRanTogetherAreNot()
    {
        Quarantine quarantine;
        crash(quarantine, "b1", 100, {1, 2});
        crash(quarantine, "b2", 200, {1, 2});
        CPPUNIT_ASSERT(!isQuarantined(quarantine, 1, 2) && !isQuarantined(quarantine, 2, 2));
        crash(quarantine, "b1", 300, {1});
        CPPUNIT_ASSERT(isQuarantined(quarantine, 1, 2));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, 2, 2));
    }

    // Guards against counting the log's and the hint's copy of one suspicion as two crashes.
    void oneCrashCountsOnce()
    {
        Quarantine quarantine;
        for (int copies = 0; copies < 3; ++copies)
            crash(quarantine, "b1", 100, {1});
        CPPUNIT_ASSERT(!isQuarantined(quarantine, 1, 2));
    }

    // Guards against a verdict from a crash of which only some requests are known yet.
    void hintsOfSharedCrashesOnlyRaiseSuspicion()
    {
        Quarantine quarantine;
        for (const std::uint64_t expires : {100, 200}) {
            const auto suspicion = makeSuspicion("b1", expires, 1, false);
            addSuspicions(quarantine, {&suspicion}, false);
        }
        CPPUNIT_ASSERT(isSuspect(quarantine, 1));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, 1, 2));
    }

    // Guards against a frequent request that takes whole backend servers for half an hour, and
    // against forgetting the crashes of one that fails only now and then.
    void anAnswerInIsolationEndsTheIsolationOnly()
    {
        Quarantine quarantine;
        crash(quarantine, "b1", 100, {1});
        exonerate(quarantine, 1);
        CPPUNIT_ASSERT(!isSuspect(quarantine, 1));
        crash(quarantine, "b1", 200, {1});
        CPPUNIT_ASSERT(isSuspect(quarantine, 1));
        CPPUNIT_ASSERT(isQuarantined(quarantine, 1, 2));
    }

    // Guards against a quarantine that nobody can end.
    void clearedAndExpiredCrashesDoNotCount()
    {
        Quarantine quarantine;
        crash(quarantine, "b1", 100, {1});
        crash(quarantine, "b1", 200, {1});
        CPPUNIT_ASSERT(clearQuarantine(quarantine, 1));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, 1, 2));
        crash(quarantine, "b1", 200, {1});
        CPPUNIT_ASSERT(!isSuspect(quarantine, 1));
        crash(quarantine, "b1", 300, {1});
        crash(quarantine, "b1", 400, {1});
        CPPUNIT_ASSERT(isQuarantined(quarantine, 1, 2));
        expireCrashes(quarantine, WallTime(std::chrono::milliseconds(300)));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, 1, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), quarantine.crashes.size());
    }

private:
    static wire::CrashSuspicionT makeSuspicion(const std::string &server, std::uint64_t expires,
                                               std::uint64_t fingerprint, bool isAlone)
    {
        wire::CrashSuspicionT suspicion;
        suspicion.backend_server = server;
        suspicion.expires_ms = expires;
        suspicion.fingerprint = fingerprint;
        suspicion.alone = isAlone;
        return suspicion;
    }

    static void crash(Quarantine &quarantine, const std::string &server, std::uint64_t expires,
                      const std::vector<std::uint64_t> &fingerprints)
    {
        std::vector<wire::CrashSuspicionT> suspicions;
        for (const std::uint64_t fingerprint : fingerprints)
            suspicions.push_back(
                makeSuspicion(server, expires, fingerprint, fingerprints.size() == 1));
        std::vector<const wire::CrashSuspicionT *> pointers;
        for (const auto &suspicion : suspicions)
            pointers.push_back(&suspicion);
        addSuspicions(quarantine, pointers, true);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);
