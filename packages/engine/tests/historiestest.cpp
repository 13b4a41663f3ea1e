#include "historysimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>

using namespace history;

namespace {

/// Numbers of replies by outcome, for one kind of key under one fault.
struct OutcomeCounts
{
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t logUnavailable = 0;

    [[nodiscard]] double percentage(std::uint64_t count) const
    {
        const std::uint64_t all = done + notRun + unknown;
        return all == 0 ? 0 : 100.0 * double(count) / double(all);
    }
};

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

} // namespace

class HistoriesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HistoriesTest);
    CPPUNIT_TEST(noHistoryBreaksAGuarantee);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a key that runs twice, a key that runs after a reply said that it did not, and
    // missing or duplicate replies, under every simulated fault and all faults at once.
    void noHistoryBreaksAGuarantee()
    {
        const std::uint64_t count = numberFromEnvironment("APRICOTROCK_HISTORIES", 100'000);
        const std::uint64_t first = numberFromEnvironment("APRICOTROCK_HISTORY_SEED", 1);
        std::cout << "histories: seeds " << first << " to " << first + count - 1 << '\n';
        for (std::uint64_t seed = first; seed < first + count; ++seed) {
            const auto fault = Fault(seed % std::size_t(Fault::Count));
            const bool isLogDown = seed / std::size_t(Fault::Count) % 2 == 1;
            Simulation simulation(seed, fault, isLogDown, false);
            const std::string failure = simulation.run();
            if (!failure.empty())
                report(seed, fault, isLogDown, failure);
            if (!simulation.hasSmallLedger())
                countOutcomes(simulation, fault, isLogDown);
        }
        printTable();
    }

private:
    static void report(std::uint64_t seed, Fault fault, bool isLogDown, const std::string &failure)
    {
        Simulation simulation(seed, fault, isLogDown, true);
        CPPUNIT_ASSERT_EQUAL(failure, simulation.run());
        std::cerr << simulation.trace();
        CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " + failure
                     + " (the trace of the history is above)");
    }

    void countOutcomes(const Simulation &simulation, Fault fault, bool isLogDown)
    {
        for (const SentRequest &sent : simulation.keyedReplies()) {
            const bool isBound = simulation.keys().at(sent.key).key->owner.has_value();
            OutcomeCounts &entry = m_outcomeCounts[{int(fault), isLogDown, isBound}];
            if (sent.outcome == Outcome::Done)
                ++entry.done;
            else if (sent.outcome == Outcome::NotRun)
                ++entry.notRun;
            else
                ++entry.unknown;
            entry.logUnavailable += sent.error == ErrorKind::ClaimLogUnavailable ? 1 : 0;
        }
    }

    void printTable() const
    {
        std::printf("%-14s %-5s %-6s %9s %7s %8s %9s %12s\n", "fault", "log", "key", "answers",
                    "done %", "not-run%", "unknown %", "log refused%");
        for (const auto &[row, entry] : m_outcomeCounts) {
            const auto &[fault, isLogDown, isBound] = row;
            std::printf("%-14s %-5s %-6s %9llu %7.2f %8.2f %9.2f %12.2f\n",
                        faultNames.at(std::size_t(fault)), isLogDown ? "down" : "up",
                        isBound ? "bound" : "plain",
                        (unsigned long long)(entry.done + entry.notRun + entry.unknown),
                        entry.percentage(entry.done), entry.percentage(entry.notRun),
                        entry.percentage(entry.unknown), entry.percentage(entry.logUnavailable));
        }
    }

    std::map<std::tuple<int, bool, bool>, OutcomeCounts> m_outcomeCounts;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoriesTest);
