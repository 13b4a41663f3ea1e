#include "apricotrock/wire.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace apricotrock;
using namespace apricotrock::wire;

class WireTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WireTest);
    CPPUNIT_TEST(recordsRoundTrip);
    CPPUNIT_TEST(corruptRecordsAreRejected);
    CPPUNIT_TEST(otherFormatsAreRejected);
    CPPUNIT_TEST(framesAreCutAtAnyBoundary);
    CPPUNIT_TEST(oversizedFramesAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a field that one side writes and the other does not read.
    void recordsRoundTrip()
    {
        const auto decoded = decodeLogRecord(encodeLogRecord(makeRecord()));
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), decoded->sequence);
        const ClaimT *claim = decoded->entries.at(0)->entry.AsClaim();
        CPPUNIT_ASSERT(claim != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(77), claim->fingerprint);
    }

    // Guards against a crash on truncated or corrupt bytes from the log; run under sanitizers.
    void corruptRecordsAreRejected()
    {
        const std::string good = encodeLogRecord(makeRecord());
        for (std::size_t length = 0; length < good.size(); ++length)
            (void)decodeLogRecord(std::string_view(good).substr(0, length));
        std::mt19937_64 random(20261204);
        for (int i = 0; i < 20'000; ++i) {
            std::string bad = good;
            bad[random() % bad.size()] = static_cast<char>(random());
            (void)decodeLogRecord(bad);
        }
        CPPUNIT_ASSERT(!decodeLogRecord(""));
        CPPUNIT_ASSERT(!decodeLogRecord(std::string_view(good).substr(0, good.size() / 2)));
    }

    // Guards against misreading the records of a later version.
    void otherFormatsAreRejected()
    {
        LogRecordT record = makeRecord();
        record.format = logFormat + 1;
        CPPUNIT_ASSERT(!decodeLogRecord(encodeLogRecord(record)));
    }

    // Guards against messages lost or joined when TCP splits them.
    void framesAreCutAtAnyBoundary()
    {
        const std::string stream =
            encodePeerMessage(makeHeartbeat(1)) + encodePeerMessage(makeHeartbeat(2));
        FrameReader reader;
        std::vector<std::uint64_t> versions;
        for (const char byte : stream) {
            reader.append(std::string_view(&byte, 1));
            while (const auto frame = reader.next().value())
                versions.push_back(
                    decodePeerMessage(*frame)->body.AsHeartbeat()->configuration_version);
        }
        CPPUNIT_ASSERT((versions == std::vector<std::uint64_t>{1, 2}));
    }

    // Guards against a peer that makes an instance allocate without bound.
    void oversizedFramesAreRejected()
    {
        FrameReader reader;
        reader.append("\xff\xff\xff\xff");
        CPPUNIT_ASSERT(!reader.next());
    }

private:
    static LogRecordT makeRecord()
    {
        ClaimT claim;
        claim.key = std::make_unique<KeyId>(0, 1, 2);
        claim.fingerprint = 77;
        LogRecordT record;
        record.sequence = 9;
        record.instance = "a1";
        record.entries.push_back(holdEntry(std::move(claim)));
        return record;
    }

    static PeerMessageT makeHeartbeat(std::uint64_t version)
    {
        HeartbeatT heartbeat;
        heartbeat.configuration_version = version;
        PeerMessageT message;
        message.body.Set(std::move(heartbeat));
        return message;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireTest);
