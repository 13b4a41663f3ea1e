#include "apricotrock/ledger.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::ledger;

class QuarantineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineTest);
    CPPUNIT_TEST(theOnlyCommonRequestIsQuarantined);
    CPPUNIT_TEST(requestsThatAlwaysRanTogetherAreNotQuarantined);
    CPPUNIT_TEST(duplicateSuspicionsCountAsOneCrash);
    CPPUNIT_TEST(hintsOfSharedCrashesOnlyRaiseSuspicion);
    CPPUNIT_TEST(anAnswerInIsolationEndsTheIsolationOnly);
    CPPUNIT_TEST(clearedAndExpiredCrashesDoNotCount);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a request that keeps crashing backend servers because it is never quarantined.
    void theOnlyCommonRequestIsQuarantined()
    {
        Quarantine quarantine;
        reportCrash(quarantine, "b1", 100, {1, 2});
        CPPUNIT_ASSERT(!isQuarantined(quarantine, 1, 2));
        CPPUNIT_ASSERT(isSuspect(quarantine, 1) && isSuspect(quarantine, 2));
        reportCrash(quarantine, "b2", 200, {1, 3});
        CPPUNIT_ASSERT(isQuarantined(quarantine, 1, 2));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, 2, 2) && !isQuarantined(quarantine, 3, 2));
    }

    // Guards against quarantining a harmless request that ran at the same time as a crashing one.
    void requestsThatAlwaysRanTogetherAreNotQuarantined()
    {
        Quarantine quarantine;
        reportCrash(quarantine, "b1", 100, {1, 2});
        reportCrash(quarantine, "b2", 200, {1, 2});
        CPPUNIT_ASSERT(!isQuarantined(quarantine, 1, 2) && !isQuarantined(quarantine, 2, 2));
        reportCrash(quarantine, "b1", 300, {1});
        CPPUNIT_ASSERT(isQuarantined(quarantine, 1, 2));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, 2, 2));
    }

    // Guards against counting one crash twice when its suspicion arrives both from the log and as a
    // hint.
    void duplicateSuspicionsCountAsOneCrash()
    {
        Quarantine quarantine;
        for (int copies = 0; copies < 3; ++copies)
            reportCrash(quarantine, "b1", 100, {1});
        CPPUNIT_ASSERT(!isQuarantined(quarantine, 1, 2));
    }

    // Guards against quarantining a request for crashes whose other requests are not known yet.
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

    // Guards against a frequent request that occupies whole backend servers for half an hour, and
    // against discarding the crashes of a request that crashes only occasionally.
    void anAnswerInIsolationEndsTheIsolationOnly()
    {
        Quarantine quarantine;
        reportCrash(quarantine, "b1", 100, {1});
        endIsolation(quarantine, 1);
        CPPUNIT_ASSERT(!isSuspect(quarantine, 1));
        reportCrash(quarantine, "b1", 200, {1});
        CPPUNIT_ASSERT(isSuspect(quarantine, 1));
        CPPUNIT_ASSERT(isQuarantined(quarantine, 1, 2));
    }

    // Guards against a quarantine that neither an operator nor its expiry ends.
    void clearedAndExpiredCrashesDoNotCount()
    {
        Quarantine quarantine;
        reportCrash(quarantine, "b1", 100, {1});
        reportCrash(quarantine, "b1", 200, {1});
        CPPUNIT_ASSERT(clearQuarantine(quarantine, 1));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, 1, 2));
        reportCrash(quarantine, "b1", 200, {1});
        CPPUNIT_ASSERT(!isSuspect(quarantine, 1));
        reportCrash(quarantine, "b1", 300, {1});
        reportCrash(quarantine, "b1", 400, {1});
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

    static void reportCrash(Quarantine &quarantine, const std::string &server,
                            std::uint64_t expires, const std::vector<std::uint64_t> &fingerprints)
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
