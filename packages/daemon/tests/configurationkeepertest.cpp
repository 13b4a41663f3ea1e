#include "configurationkeeper.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::daemon;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint() + 1h;
constexpr auto retention = 60min;

std::shared_ptr<const wire::LogRecordT> makeRecord(wire::PublicationT publication)
{
    auto record = std::make_shared<wire::LogRecordT>();
    record->incarnation = 9;
    record->instance = "test";
    record->entries.push_back(wire::holdEntry(std::move(publication)));
    return record;
}

std::shared_ptr<const wire::LogRecordT> makeRecord(wire::SnapshotT snapshot)
{
    auto record = std::make_shared<wire::LogRecordT>();
    record->incarnation = 9;
    record->sequence = 1;
    record->instance = "test";
    record->entries.push_back(wire::holdEntry(std::move(snapshot)));
    return record;
}

wire::PublicationT firstPublication()
{
    std::vector<Problem> problems;
    const ObjectTexts objects = readObjects("test", "[availability-zone z1]\n", problems);
    return makePublication(emptyConfiguration(), objects, "test", "", {});
}

} // namespace

class ConfigurationKeeperTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationKeeperTest);
    CPPUNIT_TEST(emptyLogPutsNothingInForce);
    CPPUNIT_TEST(oldVersionsAreSkippedAtTheStart);
    CPPUNIT_TEST(peerConfigurationIsAdoptedOnlyIfNewer);
    CPPUNIT_TEST(snapshotIsDueAtOnceAndThenAtHalfOfTheRetention);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_versions.clear();
        m_keeper = std::make_unique<ConfigurationKeeper>(
            retention, [this](const auto &accepted) { m_versions.push_back(accepted->version); });
    }

    // Guards against an instance that is ready without any service, and answers unknown_service.
    void emptyLogPutsNothingInForce()
    {
        m_keeper->fold(0, nullptr, std::nullopt, start);
        m_keeper->catchUp();
        CPPUNIT_ASSERT(!m_keeper->current());
        m_keeper->fold(1, makeRecord(firstPublication()), 0, start);
        CPPUNIT_ASSERT(m_versions == std::vector<std::uint64_t>{1});
    }

    // Guards against a start that routes by every version of the log's history, one after the
    // other.
    void oldVersionsAreSkippedAtTheStart()
    {
        ConfigurationKeeper source(retention, [](const auto &) {});
        source.fold(0, makeRecord(firstPublication()), 0, start);
        source.catchUp();
        m_keeper->fold(0, makeRecord(firstPublication()), 0, start);
        std::vector<Problem> problems;
        const ObjectTexts more = readObjects("test", "[availability-zone z2]\n", problems);
        m_keeper->fold(1, makeRecord(makePublication(*source.current(), more, "test", "", {})), 0,
                       start);
        CPPUNIT_ASSERT(m_versions.empty());
        m_keeper->catchUp();
        CPPUNIT_ASSERT(m_versions == std::vector<std::uint64_t>{2});
    }

    // Guards against an older version that replaces a newer one (G7).
    void peerConfigurationIsAdoptedOnlyIfNewer()
    {
        ConfigurationKeeper source(retention, [](const auto &) {});
        source.fold(0, makeRecord(firstPublication()), 0, start);
        source.catchUp();
        const auto snapshot = source.snapshotFor(0);
        CPPUNIT_ASSERT(snapshot);
        CPPUNIT_ASSERT(!source.snapshotFor(1));
        CPPUNIT_ASSERT(m_keeper->adopt(*snapshot));
        CPPUNIT_ASSERT(!m_keeper->adopt(wire::SnapshotT()));
        CPPUNIT_ASSERT(m_keeper->adopt(*snapshot) == false);
        CPPUNIT_ASSERT(m_versions == std::vector<std::uint64_t>{1});
    }

    // Guards against a configuration that expires in the log, and against a snapshot from every
    // instance at once.
    void snapshotIsDueAtOnceAndThenAtHalfOfTheRetention()
    {
        m_keeper->fold(0, makeRecord(firstPublication()), 0, start);
        m_keeper->catchUp();
        CPPUNIT_ASSERT(!m_keeper->takeDueSnapshot(start, 10s));
        const auto snapshot = m_keeper->takeDueSnapshot(start + 10s, 10s);
        CPPUNIT_ASSERT(snapshot);
        CPPUNIT_ASSERT(!m_keeper->takeDueSnapshot(start + 11s, 10s));
        m_keeper->fold(1, makeRecord(*snapshot), 0, start + 12s);
        CPPUNIT_ASSERT(!m_keeper->takeDueSnapshot(start + 12s, 10s));
        CPPUNIT_ASSERT(!m_keeper->takeDueSnapshot(start + 30min + 21s, 10s));
        CPPUNIT_ASSERT(m_keeper->takeDueSnapshot(start + 30min + 22s, 10s));
    }

private:
    std::vector<std::uint64_t> m_versions;
    std::unique_ptr<ConfigurationKeeper> m_keeper;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationKeeperTest);
