#include "foldfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace apricotrock;
using namespace apricotrock::testing;

namespace {

constexpr int runs = 60;
constexpr std::uint64_t steps = 150;
constexpr std::uint64_t seed = 20261204;

/// One random history of the stream: authors that race, lag and err, and readers that start late,
/// pause past the retention and ask one another.
class RandomRun
{
public:
    explicit RandomRun(std::uint64_t runSeed) : m_random(runSeed) { m_readers.resize(3); }

    void run()
    {
        for (std::uint64_t step = 0; step < steps; ++step) {
            appendRandomRecord();
            m_log.read(m_truth);
            m_past.push_back(m_truth);
            if (chance(3) && m_log.records.size() > 20)
                m_log.first = std::max(m_log.first, pick(m_log.records.size() - 20, 20));
            if (chance(10))
                m_readers.emplace_back();
            for (PublicationState &reader : m_readers)
                advance(reader);
        }
    }

    std::uint64_t accepted() const { return m_truth.current->version; }
    std::uint64_t compared() const { return m_compared; }

private:
    bool chance(std::uint64_t outOf) { return m_random() % outOf == 0; }

    /// Returns a number below \a end, at most \a reach away from it.
    std::uint64_t pick(std::uint64_t end, std::uint64_t reach)
    {
        const std::uint64_t span = std::min(end, reach);
        return end - span + m_random() % span;
    }

    const PublicationState &pastState()
    {
        static const PublicationState empty = [] {
            PublicationState state;
            state.current = emptyConfiguration();
            return state;
        }();
        return m_past.empty() ? empty : m_past[pick(m_past.size(), chance(2) ? 1 : 12)];
    }

    void appendRandomRecord()
    {
        const std::uint64_t kind = m_random() % 10;
        if (kind < 5)
            appendPublication();
        else if (kind < 8)
            m_log.append(makeSnapshot(pastState()));
        else if (kind == 8 && !m_log.records.empty())
            m_log.records.push_back(m_log.records[pick(m_log.records.size(), 12)]);
        else
            m_log.records.push_back(nullptr);
    }

    ObjectTexts randomSet()
    {
        std::vector<int> servers;
        for (int server = 0; server < 3; ++server) {
            if (chance(2))
                servers.push_back(server);
        }
        return makeSet(servers);
    }

    void appendPublication()
    {
        AcceptedConfiguration base = *pastState().current;
        // A base that may come into being between two copies of the record.
        if (chance(6)) {
            ++base.version;
            base.objects = randomSet();
            base.digest = configurationDigest(base.objects);
        }
        wire::PublicationT publication = makePublication(base, randomSet(), "a", "", WallTime());
        if (chance(8))
            publication.digest = digest128("wrong");
        m_log.append(std::move(publication));
    }

    void advance(PublicationState &reader)
    {
        const std::uint64_t version = versionOf(reader);
        if (chance(8))
            (void)adoptSnapshot(reader, makeSnapshot(chance(2) ? m_truth : pastState()));
        if (!chance(3) && m_log.records.size() > reader.nextOffset)
            m_log.read(reader, reader.nextOffset + 1 + m_random() % 30);
        CPPUNIT_ASSERT_MESSAGE("a version went back", versionOf(reader) >= version);
        if (isContinuous(reader))
            compare(reader);
    }

    /// A reader with all records up to an offset must have what a reader of the whole log had.
    void compare(const PublicationState &reader)
    {
        const PublicationState &expected =
            reader.nextOffset == 0 ? reader : m_past.at(reader.nextOffset - 1);
        CPPUNIT_ASSERT_EQUAL(expected.current->version, reader.current->version);
        CPPUNIT_ASSERT_EQUAL(expected.current->digest, reader.current->digest);
        CPPUNIT_ASSERT(configurationDigest(reader.current->objects) == reader.current->digest);
        ++m_compared;
    }

    std::mt19937_64 m_random;
    FakeLog m_log;
    PublicationState m_truth;
    std::vector<PublicationState> m_past;
    std::vector<PublicationState> m_readers;
    std::uint64_t m_compared = 0;
};

} // namespace

class FoldPropertyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FoldPropertyTest);
    CPPUNIT_TEST(readersAgreeAndNeverGoBack);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against readers that disagree on the configuration after any mix of races, duplicates,
    // lagging snapshots, expired records and peer answers.
    void readersAgreeAndNeverGoBack()
    {
        std::uint64_t accepted = 0;
        std::uint64_t compared = 0;
        for (std::uint64_t i = 0; i < runs; ++i) {
            RandomRun run(seed + i);
            run.run();
            accepted += run.accepted();
            compared += run.compared();
        }
        // The property would hold without meaning if hardly anything was accepted or compared.
        CPPUNIT_ASSERT(accepted > runs * 10);
        CPPUNIT_ASSERT(compared > runs * steps);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FoldPropertyTest);
