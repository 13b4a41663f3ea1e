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

InstanceInfo makeZoneInfo(const std::string &ip, const std::string &availabilityZone)
{
    InstanceInfo info = makeInfo(ip);
    info.availabilityZone = availabilityZone;
    return info;
}

/// Returns a role whose leader is the instance at \a ip.
std::string roleOf(const Membership &membership, const std::string &ip, TimePoint now)
{
    std::string role;
    do {
        role += 'r';
    } while (membership.leaderFor(role, false, now) != ip);
    return role;
}

bool contains(const std::vector<std::string> &list, const std::string &item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

} // namespace

class MembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(addedPeerIsNotServingBeforeFirstMessage);
    CPPUNIT_TEST(leavingInstanceIsNotServing);
    CPPUNIT_TEST(delayedMessageDoesNotRevertLeaving);
    CPPUNIT_TEST(restartedInstanceIsServing);
    CPPUNIT_TEST(instanceWithoutMessagesExpires);
    CPPUNIT_TEST(allInstancesChooseTheSameLeader);
    CPPUNIT_TEST(rolesSkipSuspectedInstances);
    CPPUNIT_TEST(rolesAreAssignedByWeight);
    CPPUNIT_TEST(smallInstancesGetRolesOnlyWithoutLargeOnes);
    CPPUNIT_TEST(storeReaderMustReachTheStore);
    CPPUNIT_TEST(zoneReportReplacesHeartbeats);
    CPPUNIT_TEST(instanceMissingFromZoneReportIsDead);
    CPPUNIT_TEST(relayReachesAllOthersIfOneInstanceFails);
    CPPUNIT_TEST(startingInstancesAgreeOnALeader);
    CPPUNIT_TEST(leaderFollowsEveryChangeOfTheCandidates);
    CPPUNIT_TEST(recentlyLostInstancesAreKnown);
    CPPUNIT_TEST(zoneThatDoesNotHearThisOneIsNotReached);
    CPPUNIT_TEST(suspectedInstanceThatIsHeardStaysLeader);
    CPPUNIT_TEST(instanceThatHearsNobodyReachesOnlyItself);
    CPPUNIT_TEST(zoneThatIsNotHeardIsNotReached);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an isolated instance that takes itself for the whole fleet, and against
    // counting instances that have announced their stop.
    void recentlyLostInstancesAreKnown()
    {
        const TimePoint start{1h};
        Membership membership(makeInfo("10.0.0.1"));
        CPPUNIT_ASSERT(!membership.contact(start).hasLostHalf());
        for (int i = 2; i <= 5; ++i)
            membership.updatePeer(makeInfo("10.0.0." + std::to_string(i)), start);
        membership.updatePeer(makeInfo("10.0.0.5", InstancePhase::Leaving), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), membership.contact(start).alive);
        membership.updatePeer(makeInfo("10.0.0.2"), start + 2s);
        membership.expire(start + 2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), membership.contact(start + 2s).alive);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), membership.contact(start + 2s).known);
        CPPUNIT_ASSERT(membership.contact(start + 2s).hasLostHalf());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), membership.otherServing(start + 2s).size());
        membership.expire(start + 4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), membership.otherServing(start + 4s).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), membership.contact(start + 13s).known);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), membership.contact(start + 16s).known);
        CPPUNIT_ASSERT(membership.otherServing(start + 16s).empty());
        membership.updatePeer(makeInfo("10.0.0.2"), start + 16s);
        CPPUNIT_ASSERT(!membership.contact(start + 16s).hasLostHalf());
    }

    // Guards against an instance that grants for another availability zone until the instances of
    // that zone count as lost, and against counting a zone as lost while one instance of it is
    // heard.
    void zoneThatIsNotHeardIsNotReached()
    {
        Membership membership(makeZoneInfo("10.0.0.1", "a"));
        membership.updatePeer(makeZoneInfo("10.0.0.2", "a"), m_now);
        for (int i = 1; i <= 4; ++i)
            membership.updatePeer(makeZoneInfo("10.0.1." + std::to_string(i), "b"), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), membership.zoneContact(m_now + 799ms).alive);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), membership.zoneContact(m_now + 800ms).alive);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), membership.zoneContact(m_now + 800ms).known);
        membership.updatePeer(makeZoneInfo("10.0.1.1", "b"), m_now + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), membership.zoneContact(m_now + 1s).alive);
    }

    // Guards against using the limits of the whole fleet beside a zone that is heard, but does not
    // hear this instance and has an owner of its own.
    void zoneThatDoesNotHearThisOneIsNotReached()
    {
        Membership membership(makeZoneInfo("10.0.0.1", "a"));
        membership.updatePeer(makeZoneInfo("10.0.1.1", "b"), m_now);
        membership.updatePeer(makeZoneInfo("10.0.1.2", "b"), m_now);
        CPPUNIT_ASSERT(membership.unheardZones(m_now + 799ms).empty());
        CPPUNIT_ASSERT(membership.unheardZones(m_now + 800ms) == std::vector<std::string>{"b"});
        membership.recordUnheardZones("10.0.1.1", {"a"}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), membership.zoneContact(m_now).alive);
        membership.recordUnheardZonesOf("b", {"a", "c"}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), membership.zoneContact(m_now).alive);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), membership.zoneContact(m_now).known);
        membership.recordUnheardZonesOf("b", {"c"}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), membership.zoneContact(m_now).alive);
        membership.recordUnheardZonesOf("b", {"a"}, m_now);
        membership.updatePeer(makeZoneInfo("10.0.1.1", "b"), m_now + 1300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), membership.zoneContact(m_now + 1300ms).alive);
    }

    // Guards against a suspected instance and the next one acting as leader at the same time.
    void suspectedInstanceThatIsHeardStaysLeader()
    {
        Membership membership(makeInfo("10.0.0.1"));
        membership.updatePeer(makeInfo("10.0.0.2"), m_now);
        const std::string role = roleOf(membership, "10.0.0.2", m_now);
        membership.recordHeartbeat("10.0.0.2", m_now);
        membership.markSuspect("10.0.0.2", 2s, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"), membership.leaderFor(role, false, m_now));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2"),
                             membership.leaderAmongHeard(role, m_now + 799ms));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"),
                             membership.leaderAmongHeard(role, m_now + 800ms));
    }

    // Guards against an instance that uses the limits of the whole fleet after it was cut off,
    // until its peers count as lost, or after its start, until it has heard those that it was told
    // of.
    void instanceThatHearsNobodyReachesOnlyItself()
    {
        const auto expectContact = [](const FleetContact &contact, std::size_t alive,
                                      std::size_t known) {
            CPPUNIT_ASSERT_EQUAL(alive, contact.alive);
            CPPUNIT_ASSERT_EQUAL(known, contact.known);
        };
        Membership membership(makeInfo("10.0.0.1"));
        expectContact(membership.recentContact(m_now), 1, 1);
        for (int i = 2; i <= 5; ++i)
            membership.addPeer(makeInfo("10.0.0." + std::to_string(i)), m_now);
        expectContact(membership.recentContact(m_now), 1, 5);
        for (int i = 2; i <= 4; ++i)
            membership.updatePeer(makeInfo("10.0.0." + std::to_string(i)), m_now);
        membership.updatePeer(makeInfo("10.0.0.4", InstancePhase::Leaving), m_now);
        expectContact(membership.recentContact(m_now + 1199ms), 4, 5);
        expectContact(membership.recentContact(m_now + 1200ms), 1, 5);
        expectContact(membership.contact(m_now + 1200ms), 4, 4);
        membership.updatePeer(makeInfo("10.0.0.2"), m_now + 1300ms);
        expectContact(membership.recentContact(m_now + 1300ms), 4, 5);
        // The instance that announced its stop no longer counts when it is lost.
        membership.expire(m_now + 2s);
        expectContact(membership.recentContact(m_now + 2s), 2, 4);
        expectContact(membership.recentContact(m_now + 12s), 1, 3);
        membership.expire(m_now + 12s);
        expectContact(membership.recentContact(m_now + 14s), 1, 2);
        expectContact(membership.recentContact(m_now + 24s), 1, 1);
    }

    // Guards against a start at which each instance takes itself for the leader, so that all of
    // them read the store and probe the servers.
    void startingInstancesAgreeOnALeader()
    {
        constexpr int count = 6;
        std::set<std::string> leaders;
        for (int own = 1; own <= count; ++own) {
            Membership membership(
                makeInfo("10.0.0." + std::to_string(own), InstancePhase::Starting));
            for (int other = 1; other <= count; ++other)
                membership.updatePeer(
                    makeInfo("10.0.0." + std::to_string(other), InstancePhase::Starting), m_now);
            leaders.insert(membership.leaderFor("store-reader", true, m_now));
            membership.updatePeer(makeInfo("10.0.0.9"), m_now);
            CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.9"),
                                 membership.leaderFor("store-reader", true, m_now));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), leaders.size());
    }

    // Guards against a leader that is remembered although it can no longer be the leader.
    void leaderFollowsEveryChangeOfTheCandidates()
    {
        Membership membership(makeInfo("10.0.0.1", InstancePhase::Starting));
        const auto leader = [&membership](TimePoint now) {
            return membership.leaderFor("role", true, now);
        };
        const std::string other = "10.0.0.2";
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"), leader(m_now));
        membership.updatePeer(makeInfo(other), m_now);
        CPPUNIT_ASSERT_EQUAL(other, leader(m_now));
        membership.markSuspect(other, 600ms, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"), leader(m_now + 599ms));
        CPPUNIT_ASSERT_EQUAL(other, leader(m_now + 600ms));
        membership.markSuspect(other, 600ms, m_now);
        membership.recordMessage(other, 1, m_now + 10ms);
        CPPUNIT_ASSERT_EQUAL(other, leader(m_now + 10ms));
        InstanceInfo unableToRead = makeInfo(other);
        unableToRead.canReadStore = false;
        membership.updatePeer(unableToRead, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"), leader(m_now));
        membership.updatePeer(makeInfo(other), m_now);
        membership.expire(m_now + 10s);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"), leader(m_now + 10s));
        membership.updatePeer(makeInfo(other), m_now + 11s);
        CPPUNIT_ASSERT_EQUAL(other, leader(m_now + 11s));
        membership.updatePeer(makeInfo(other, InstancePhase::Leaving), m_now + 11s);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"), leader(m_now + 11s));
    }

    // Guards against directing callers to an address that is known only from an outdated record.
    void addedPeerIsNotServingBeforeFirstMessage()
    {
        Membership membership(makeInfo("10.0.0.1"));
        membership.addPeer(makeInfo("10.0.0.2"), m_now);
        CPPUNIT_ASSERT(!contains(membership.serving(), "10.0.0.2"));
        membership.updatePeer(makeInfo("10.0.0.2"), m_now);
        CPPUNIT_ASSERT(contains(membership.serving(), "10.0.0.2"));
    }

    // Guards against directing new callers to an instance that is shutting down.
    void leavingInstanceIsNotServing()
    {
        Membership membership(makeInfo("10.0.0.1"));
        membership.updatePeer(makeInfo("10.0.0.2"), m_now);
        membership.updatePeer(makeInfo("10.0.0.2", InstancePhase::Leaving), m_now);
        CPPUNIT_ASSERT(!contains(membership.serving(), "10.0.0.2"));
        membership.setPhase(InstancePhase::Leaving);
        CPPUNIT_ASSERT(membership.serving().empty());
    }

    // Guards against a delayed datagram that marks an instance as ready while it shuts down.
    void delayedMessageDoesNotRevertLeaving()
    {
        Membership membership(makeInfo("10.0.0.1"));
        membership.updatePeer(makeInfo("10.0.0.2", InstancePhase::Leaving), m_now);
        membership.updatePeer(makeInfo("10.0.0.2", InstancePhase::Ready), m_now);
        CPPUNIT_ASSERT(!contains(membership.serving(), "10.0.0.2"));
    }

    // Guards against ignoring a process that was restarted at the same address.
    void restartedInstanceIsServing()
    {
        Membership membership(makeInfo("10.0.0.1"));
        membership.updatePeer(makeInfo("10.0.0.2", InstancePhase::Stopped, 1), m_now);
        CPPUNIT_ASSERT(membership.updatePeer(makeInfo("10.0.0.2", InstancePhase::Ready, 2), m_now));
        CPPUNIT_ASSERT(contains(membership.serving(), "10.0.0.2"));
    }

    // Guards against directing callers to a dead instance permanently.
    void instanceWithoutMessagesExpires()
    {
        Membership membership(makeInfo("10.0.0.1"));
        membership.updatePeer(makeInfo("10.0.0.2"), m_now);
        CPPUNIT_ASSERT(membership.expire(m_now + 1s).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), membership.expire(m_now + 2s).size());
        CPPUNIT_ASSERT(!contains(membership.serving(), "10.0.0.2"));
    }

    // Guards against two instances that both lead the role for the slots of one service although no
    // instance has failed.
    void allInstancesChooseTheSameLeader()
    {
        const std::vector<std::string> ips = {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"};
        std::vector<std::string> leaders;
        for (const std::string &self : ips) {
            Membership membership(makeInfo(self));
            for (const std::string &other : ips)
                membership.updatePeer(makeInfo(other), m_now);
            leaders.push_back(membership.leaderFor("slots/s", false, m_now));
        }
        CPPUNIT_ASSERT(std::count(leaders.begin(), leaders.end(), leaders[0]) == 4);
    }

    // Guards against repeated requests to a leader that does not respond.
    void rolesSkipSuspectedInstances()
    {
        Membership membership(makeInfo("10.0.0.1", InstancePhase::Leaving));
        membership.updatePeer(makeInfo("10.0.0.2"), m_now);
        membership.updatePeer(makeInfo("10.0.0.3"), m_now);
        const std::string firstLeader = membership.leaderFor("slots/s", false, m_now);
        membership.markSuspect(firstLeader, 500ms, m_now);
        CPPUNIT_ASSERT(membership.leaderFor("slots/s", false, m_now) != firstLeader);
        CPPUNIT_ASSERT_EQUAL(firstLeader, membership.leaderFor("slots/s", false, m_now + 600ms));
    }

    // Guards against assigning as many roles to small instances as to large ones.
    void rolesAreAssignedByWeight()
    {
        InstanceInfo large = makeInfo("10.0.0.1");
        large.weight = 1.9;
        Membership membership(large);
        membership.updatePeer(makeInfo("10.0.0.2"), m_now);
        int ownCount = 0;
        for (int i = 0; i < 1000; ++i)
            ownCount +=
                membership.leaderFor("k" + std::to_string(i), false, m_now) == "10.0.0.1" ? 1 : 0;
        CPPUNIT_ASSERT(ownCount > 605 && ownCount < 705);
    }

    // Guards against a small instance that leads the role for the slots of the largest service,
    // which happens with few large and many small instances.
    void smallInstancesGetRolesOnlyWithoutLargeOnes()
    {
        InstanceInfo large = makeInfo("10.0.0.1");
        large.weight = 0.5;
        Membership membership(large);
        for (int i = 2; i < 40; ++i) {
            InstanceInfo small = makeInfo("10.0.0." + std::to_string(i));
            small.weight = 0.1;
            membership.updatePeer(small, m_now);
        }
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"),
                                 membership.leaderFor("k" + std::to_string(i), false, m_now));
        membership.setPhase(InstancePhase::Leaving);
        CPPUNIT_ASSERT(membership.leaderFor("k1", false, m_now) != "10.0.0.1");
    }

    // Guards against assigning the role of reading the store to an instance that cannot reach it.
    void storeReaderMustReachTheStore()
    {
        InstanceInfo withoutStore = makeInfo("10.0.0.2");
        withoutStore.canReadStore = false;
        Membership membership(makeInfo("10.0.0.1"));
        membership.updatePeer(withoutStore, m_now);
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"),
                                 membership.leaderFor("k" + std::to_string(i), true, m_now));
    }

    // Guards against marking the instances of another availability zone as dead because they send
    // no heartbeats to this instance.
    void zoneReportReplacesHeartbeats()
    {
        Membership membership = makeMembershipWithZoneReports();
        CPPUNIT_ASSERT(membership.usesZoneReports());
        CPPUNIT_ASSERT(membership.expire(m_now + 3s).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(31), membership.aliveCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(30), membership.expire(m_now + 5s).size());
    }

    // Guards against directing callers to an instance that its own availability zone has found
    // dead.
    void instanceMissingFromZoneReportIsDead()
    {
        Membership membership = makeMembershipWithZoneReports();
        std::vector<InstanceInfo> remaining = membership.instancesInZone("far");
        const std::string missing = remaining.back().ip;
        remaining.pop_back();
        membership.applyZoneReport("far", remaining, m_now + 2s);
        CPPUNIT_ASSERT(!contains(membership.serving(), missing));
        CPPUNIT_ASSERT_EQUAL(std::size_t(30), membership.aliveCount());
    }

    // Guards against a message that does not reach an instance because another one has failed, and
    // against one instance that sends the message to all the others.
    void relayReachesAllOthersIfOneInstanceFails()
    {
        std::vector<std::string> ips;
        for (int i = 0; i < 34; ++i)
            ips.push_back("10.0.0." + std::to_string(i));
        std::map<std::string, Membership> members;
        for (const std::string &ip : ips) {
            Membership &each = members.emplace(ip, makeInfo(ip)).first->second;
            for (const std::string &other : ips)
                each.updatePeer(makeInfo(other), m_now);
        }
        const std::string zone = members.at(ips[0]).self().availabilityZone;
        for (const std::string &failed : ips) {
            std::set<std::string> reached;
            for (const RelayOrder order : {RelayOrder::Ascending, RelayOrder::Descending}) {
                std::vector<std::string> pending{members.at(ips[0]).relayRoot(zone, order)};
                while (!pending.empty()) {
                    const std::string ip = pending.back();
                    pending.pop_back();
                    if (ip == failed)
                        continue;
                    reached.insert(ip);
                    const auto targets = members.at(ip).relayTargets(order);
                    CPPUNIT_ASSERT(targets.size() <= 4);
                    pending.insert(pending.end(), targets.begin(), targets.end());
                }
            }
            CPPUNIT_ASSERT_EQUAL(ips.size() - 1, reached.size());
        }
    }

private:
    /// Returns the membership of an instance that knows 30 instances of another availability zone
    /// through zone reports.
    Membership makeMembershipWithZoneReports()
    {
        Membership membership(makeInfo("10.0.0.1"));
        std::vector<InstanceInfo> far;
        for (int i = 0; i < 30; ++i) {
            InstanceInfo info = makeInfo("10.1.0." + std::to_string(i));
            info.availabilityZone = "far";
            far.push_back(info);
        }
        for (int i = 0; i < 2; ++i)
            membership.applyZoneReport("far", far, m_now);
        return membership;
    }

    TimePoint m_now{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
