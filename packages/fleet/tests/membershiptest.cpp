#include "apricotrock/fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

using namespace apricotrock;
using namespace apricotrock::fleet;
using namespace std::chrono_literals;

namespace {

InstanceInfo makeInfo(const std::string &ip, InstancePhase phase = InstancePhase::Ready,
                      std::uint64_t incarnation = 1)
{
    InstanceInfo info;
    info.ip = ip;
    info.incarnation = incarnation;
    info.phase = phase;
    return info;
}

bool contains(const std::vector<std::string> &list, const std::string &item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

} // namespace

class MembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(namedInstanceIsNotServingBeforeItSpeaks);
    CPPUNIT_TEST(leavingInstanceIsNotNamedToCallers);
    CPPUNIT_TEST(lateMessageDoesNotUndoALeave);
    CPPUNIT_TEST(restartedInstanceIsWelcome);
    CPPUNIT_TEST(silentInstanceIsLost);
    CPPUNIT_TEST(allInstancesNameTheSameHolder);
    CPPUNIT_TEST(dutiesPassOverSuspects);
    CPPUNIT_TEST(dutiesFollowTheWeights);
    CPPUNIT_TEST(smallInstancesHoldDutiesOnlyWithoutLargeOnes);
    CPPUNIT_TEST(readerMustReachTheStore);
    CPPUNIT_TEST(zoneReportReplacesHeartbeats);
    CPPUNIT_TEST(instanceMissingFromTheReportIsLost);
    CPPUNIT_TEST(relayReachesEveryInstanceAlthoughOneIsLost);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against sending callers to an address from an old record.
    void namedInstanceIsNotServingBeforeItSpeaks()
    {
        Membership membership(makeInfo("10.0.0.1"));
        membership.addPeer(makeInfo("10.0.0.2"), m_now);
        CPPUNIT_ASSERT(!contains(membership.serving(), "10.0.0.2"));
        membership.hear(makeInfo("10.0.0.2"), m_now);
        CPPUNIT_ASSERT(contains(membership.serving(), "10.0.0.2"));
    }

    // Guards against new callers at an instance that stops.
    void leavingInstanceIsNotNamedToCallers()
    {
        Membership membership(makeInfo("10.0.0.1"));
        membership.hear(makeInfo("10.0.0.2"), m_now);
        membership.hear(makeInfo("10.0.0.2", InstancePhase::Leaving), m_now);
        CPPUNIT_ASSERT(!contains(membership.serving(), "10.0.0.2"));
        membership.setPhase(InstancePhase::Leaving);
        CPPUNIT_ASSERT(membership.serving().empty());
    }

    // Guards against a delayed datagram that makes a stopping instance look ready.
    void lateMessageDoesNotUndoALeave()
    {
        Membership membership(makeInfo("10.0.0.1"));
        membership.hear(makeInfo("10.0.0.2", InstancePhase::Leaving), m_now);
        membership.hear(makeInfo("10.0.0.2", InstancePhase::Ready), m_now);
        CPPUNIT_ASSERT(!contains(membership.serving(), "10.0.0.2"));
    }

    // Guards against ignoring a process that was started again at the same address.
    void restartedInstanceIsWelcome()
    {
        Membership membership(makeInfo("10.0.0.1"));
        membership.hear(makeInfo("10.0.0.2", InstancePhase::Stopped, 1), m_now);
        CPPUNIT_ASSERT(membership.hear(makeInfo("10.0.0.2", InstancePhase::Ready, 2), m_now));
        CPPUNIT_ASSERT(contains(membership.serving(), "10.0.0.2"));
    }

    // Guards against naming a dead instance to callers for good.
    void silentInstanceIsLost()
    {
        Membership membership(makeInfo("10.0.0.1"));
        membership.hear(makeInfo("10.0.0.2"), m_now);
        CPPUNIT_ASSERT(membership.expire(m_now + 1s).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), membership.expire(m_now + 2s).size());
        CPPUNIT_ASSERT(!contains(membership.serving(), "10.0.0.2"));
    }

    // Guards against two instances that keep the slots of one service in calm times.
    void allInstancesNameTheSameHolder()
    {
        const std::vector<std::string> ips = {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"};
        std::vector<std::string> holders;
        for (const std::string &self : ips) {
            Membership membership(makeInfo(self));
            for (const std::string &other : ips)
                membership.hear(makeInfo(other), m_now);
            holders.push_back(membership.holderOf("slots/s", false, m_now));
        }
        CPPUNIT_ASSERT(std::count(holders.begin(), holders.end(), holders[0]) == 4);
    }

    // Guards against asking a silent holder again and again.
    void dutiesPassOverSuspects()
    {
        Membership membership(makeInfo("10.0.0.1", InstancePhase::Leaving));
        membership.hear(makeInfo("10.0.0.2"), m_now);
        membership.hear(makeInfo("10.0.0.3"), m_now);
        const std::string first = membership.holderOf("slots/s", false, m_now);
        membership.markSuspect(first, 500ms, m_now);
        CPPUNIT_ASSERT(membership.holderOf("slots/s", false, m_now) != first);
        CPPUNIT_ASSERT_EQUAL(first, membership.holderOf("slots/s", false, m_now + 600ms));
    }

    // Guards against duties that fall to the smallest instances as often as to the largest.
    void dutiesFollowTheWeights()
    {
        InstanceInfo large = makeInfo("10.0.0.1");
        large.weight = 1.9;
        Membership membership(large);
        membership.hear(makeInfo("10.0.0.2"), m_now);
        int own = 0;
        for (int i = 0; i < 1000; ++i)
            own += membership.holderOf("k" + std::to_string(i), false, m_now) == "10.0.0.1" ? 1 : 0;
        CPPUNIT_ASSERT(own > 605 && own < 705);
    }

    // Guards against a fleet of few large and many small instances in which a small one keeps the
    // slots of the largest service.
    void smallInstancesHoldDutiesOnlyWithoutLargeOnes()
    {
        InstanceInfo large = makeInfo("10.0.0.1");
        large.weight = 0.5;
        Membership membership(large);
        for (int i = 2; i < 40; ++i) {
            InstanceInfo small = makeInfo("10.0.0." + std::to_string(i));
            small.weight = 0.1;
            membership.hear(small, m_now);
        }
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"),
                                 membership.holderOf("k" + std::to_string(i), false, m_now));
        membership.setPhase(InstancePhase::Leaving);
        CPPUNIT_ASSERT(membership.holderOf("k1", false, m_now) != "10.0.0.1");
    }

    // Guards against a reader of the store that is cut off from it.
    void readerMustReachTheStore()
    {
        InstanceInfo cutOff = makeInfo("10.0.0.2");
        cutOff.canReadStore = false;
        Membership membership(makeInfo("10.0.0.1"));
        membership.hear(cutOff, m_now);
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"),
                                 membership.holderOf("k" + std::to_string(i), true, m_now));
    }

    // Guards against losing another availability zone whose instances send no heartbeats here.
    void zoneReportReplacesHeartbeats()
    {
        Membership membership = makeLargeFleet();
        CPPUNIT_ASSERT(membership.usesZoneReports());
        CPPUNIT_ASSERT(membership.expire(m_now + 3s).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(31), membership.aliveCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(30), membership.expire(m_now + 5s).size());
    }

    // Guards against naming an instance to callers that its own zone knows as dead.
    void instanceMissingFromTheReportIsLost()
    {
        Membership membership = makeLargeFleet();
        std::vector<InstanceInfo> rest = membership.instancesInZone("far");
        const std::string lost = rest.back().ip;
        rest.pop_back();
        membership.hearZone("far", rest, m_now + 2s);
        CPPUNIT_ASSERT(!contains(membership.serving(), lost));
        CPPUNIT_ASSERT_EQUAL(std::size_t(30), membership.aliveCount());
    }

    // Guards against news that do not reach an instance because another one is lost, and against
    // one instance that sends to all the others.
    void relayReachesEveryInstanceAlthoughOneIsLost()
    {
        std::vector<std::string> ips;
        for (int i = 0; i < 34; ++i)
            ips.push_back("10.0.0." + std::to_string(i));
        std::map<std::string, Membership> members;
        for (const std::string &ip : ips) {
            Membership &each = members.emplace(ip, makeInfo(ip)).first->second;
            for (const std::string &other : ips)
                each.hear(makeInfo(other), m_now);
        }
        const std::string zone = members.at(ips[0]).self().availabilityZone;
        for (const std::string &lost : ips) {
            std::set<std::string> reached;
            for (const RelayOrder order : {RelayOrder::Ascending, RelayOrder::Descending}) {
                std::vector<std::string> next{members.at(ips[0]).relayRoot(zone, order)};
                while (!next.empty()) {
                    const std::string ip = next.back();
                    next.pop_back();
                    if (ip == lost)
                        continue;
                    reached.insert(ip);
                    const auto targets = members.at(ip).relayTargets(order);
                    CPPUNIT_ASSERT(targets.size() <= 4);
                    next.insert(next.end(), targets.begin(), targets.end());
                }
            }
            CPPUNIT_ASSERT_EQUAL(ips.size() - 1, reached.size());
        }
    }

private:
    /// An instance that knows 30 instances of another zone through reports.
    Membership makeLargeFleet()
    {
        Membership membership(makeInfo("10.0.0.1"));
        std::vector<InstanceInfo> far;
        for (int i = 0; i < 30; ++i) {
            InstanceInfo info = makeInfo("10.1.0." + std::to_string(i));
            info.availabilityZone = "far";
            far.push_back(info);
        }
        for (int i = 0; i < 2; ++i)
            membership.hearZone("far", far, m_now);
        return membership;
    }

    TimePoint m_now{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
