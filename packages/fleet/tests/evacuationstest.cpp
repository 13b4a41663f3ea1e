#include "apricotrock/fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace apricotrock;
using namespace apricotrock::fleet;
using namespace std::chrono_literals;

namespace {

EvacuationOrder order(std::uint64_t offset, bool isActive, std::uint32_t era = 0,
                      const std::string &zone = "a")
{
    return {zone, {era, offset}, isActive};
}

} // namespace

class EvacuationsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EvacuationsTest);
    CPPUNIT_TEST(newestRecordCountsInAnyOrderOfArrival);
    CPPUNIT_TEST(orderMissingFromARead);
    CPPUNIT_TEST(orderMissingFromALaterEra);
    CPPUNIT_TEST(readWithoutTheOrderOutlivesAPeerThatHasIt);
    CPPUNIT_TEST(recordsBeyondTheBounds);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an older record that undoes a newer one: order, withdrawal, second order and
    // second withdrawal arrive in every order, from the store and from an instance with part of
    // them.
    void newestRecordCountsInAnyOrderOfArrival()
    {
        std::vector<EvacuationOrder> records = {order(10, true), order(12, false), order(14, true),
                                                order(16, false)};
        const auto isEarlier = [](const auto &left, const auto &right) {
            return left.position < right.position;
        };
        for (std::size_t count = 1; count <= records.size(); ++count) {
            std::vector<EvacuationOrder> shuffled(records.begin(),
                                                  records.begin() + std::ptrdiff_t(count));
            do {
                Evacuations direct;
                Evacuations peer;
                for (std::size_t i = 0; i < count; ++i) {
                    (i % 2 == 0 ? direct : peer).merge({shuffled[i]}, m_now);
                    peer.merge(direct.orders(), m_now);
                }
                direct.merge(peer.orders(), m_now);
                CPPUNIT_ASSERT_EQUAL(count % 2 == 1, direct.isEvacuated("a", m_now));
                CPPUNIT_ASSERT_EQUAL(count % 2 == 1, peer.isEvacuated("a", m_now));
                CPPUNIT_ASSERT(direct.merge(records, m_now).size() <= records.size());
                CPPUNIT_ASSERT(!direct.isEvacuated("a", m_now));
            } while (std::next_permutation(shuffled.begin(), shuffled.end(), isEarlier));
        }
        Evacuations evacuations;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), evacuations.merge({order(10, true)}, m_now).size());
        CPPUNIT_ASSERT(evacuations.merge({order(14, true)}, m_now).empty());
        CPPUNIT_ASSERT(evacuations.merge({order(12, false)}, m_now).empty());
        CPPUNIT_ASSERT(!evacuations.restoredAt("a"));
        evacuations.merge({order(16, false)}, m_now + 1s);
        CPPUNIT_ASSERT(evacuations.restoredAt("a") == m_now + 1s);
    }

    // Guards against an order that stays in force because the removal of its record was compacted
    // away, and against a withdrawal by a read that began before the order was written.
    void orderMissingFromARead()
    {
        Evacuations evacuations;
        evacuations.merge({order(10, true), order(20, true, 0, "b")}, m_now);
        const auto changes = evacuations.mergeSnapshot({}, {0, 20}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes.size());
        CPPUNIT_ASSERT(!changes[0].isEvacuated);
        CPPUNIT_ASSERT(!evacuations.isEvacuated("a", m_now));
        CPPUNIT_ASSERT(evacuations.isEvacuated("b", m_now));
        // A peer that has not seen the withdrawal does not undo it; the next order counts.
        evacuations.merge({order(10, true)}, m_now);
        CPPUNIT_ASSERT(!evacuations.isEvacuated("a", m_now));
        evacuations.mergeSnapshot({order(20, true, 0, "b"), order(21, true)}, {0, 22}, m_now);
        CPPUNIT_ASSERT(evacuations.isEvacuated("a", m_now));
    }

    // Guards against requests to an evacuated zone because the store was restored from a backup
    // without the order, and against an order that never ends.
    void orderMissingFromALaterEra()
    {
        Evacuations evacuations;
        evacuations.merge(
            {order(90, true), order(91, true, 0, "written"), order(92, true, 0, "withdrawn")},
            m_now);
        evacuations.mergeSnapshot({}, {1, 50}, m_now);
        evacuations.mergeSnapshot({}, {1, 60}, m_now + 9s);
        evacuations.merge({order(50, true, 1, "written"), order(51, false, 1, "withdrawn")},
                          m_now + 9s);
        CPPUNIT_ASSERT(evacuations.isEvacuated("a", m_now + 9900ms));
        CPPUNIT_ASSERT(!evacuations.isEvacuated("withdrawn", m_now + 9s));
        CPPUNIT_ASSERT(!evacuations.isEvacuated("a", m_now + 10s));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), evacuations.expire(m_now + 10s).size());
        CPPUNIT_ASSERT(evacuations.expire(m_now + 30s).empty());
        CPPUNIT_ASSERT(evacuations.isEvacuated("written", m_now + 30s));
        // An instance with the record of the earlier era does not undo the withdrawal, and learns
        // of it.
        Evacuations peer;
        peer.merge({order(90, true)}, m_now);
        evacuations.merge(peer.orders(), m_now + 30s);
        peer.merge(evacuations.orders(), m_now + 30s);
        CPPUNIT_ASSERT(!evacuations.isEvacuated("a", m_now + 30s));
        CPPUNIT_ASSERT(!peer.isEvacuated("a", m_now + 30s));
        // The first position of the new era holds an order that was written after an empty read.
        evacuations.mergeSnapshot({}, {2, 0}, m_now + 30s);
        evacuations.expire(m_now + 40s);
        evacuations.merge({order(0, true, 2)}, m_now + 40s);
        CPPUNIT_ASSERT(evacuations.isEvacuated("a", m_now + 40s));
    }

    // Guards against an order that nobody withdraws: the instances that saw the withdrawal have
    // been replaced, and one that was cut off since spreads the order.
    void readWithoutTheOrderOutlivesAPeerThatHasIt()
    {
        const auto end = fleet::StorePosition{0, 30};
        Evacuations started;
        started.mergeSnapshot({order(25, true, 0, "b")}, end, m_now);
        Evacuations cutOff;
        cutOff.merge({order(10, true), order(31, true, 0, "c")}, m_now);
        started.merge(cutOff.orders(), m_now);
        CPPUNIT_ASSERT(!started.isEvacuated("a", m_now));
        CPPUNIT_ASSERT(started.isEvacuated("b", m_now));
        CPPUNIT_ASSERT(started.isEvacuated("c", m_now));
        cutOff.merge(started.orders(), m_now);
        CPPUNIT_ASSERT(!cutOff.isEvacuated("a", m_now));
        // The store was restored meanwhile: the order can still be written again.
        Evacuations restored;
        restored.mergeSnapshot({}, {1, 20}, m_now);
        restored.merge({order(10, true)}, m_now + 5s);
        CPPUNIT_ASSERT(restored.isEvacuated("a", m_now + 14s));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), restored.expire(m_now + 15s).size());
        CPPUNIT_ASSERT(!restored.isEvacuated("a", m_now + 15s));
    }

    // Guards against unbounded memory and messages, and against the loss of an order in force.
    void recordsBeyondTheBounds()
    {
        Evacuations evacuations;
        evacuations.merge({order(0, true), order(1, false, 0, "old")}, m_now);
        for (unsigned i = 0; i < 100; ++i)
            evacuations.merge({order(2 + i, i % 2 == 0, 0, "zone" + std::to_string(i))}, m_now);
        evacuations.merge({order(200, true, 0, std::string(1000, 'z')), order(201, true, 0, "")},
                          m_now);
        CPPUNIT_ASSERT_EQUAL(Evacuations::maxOrders, evacuations.orders().size());
        CPPUNIT_ASSERT(evacuations.isEvacuated("a", m_now));
        CPPUNIT_ASSERT(evacuations.ignoredRecords() > 0);
    }

private:
    TimePoint m_now = TimePoint() + 1h;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationsTest);
