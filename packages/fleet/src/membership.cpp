#include "apricotrock/fleet.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_set>

namespace apricotrock::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An instance counts as dead if no message arrived for this long, which is 3.5 heartbeat
/// intervals.
constexpr Duration heartbeatTimeout = milliseconds(1750);
/// The same for instances known from zone reports; longer, because the reports pause while the
/// instance that sends them is replaced.
constexpr Duration zoneReportTimeout = milliseconds(4500);
/// With fewer peers than this, each instance sends heartbeats to each other one.
constexpr std::size_t maxFullMeshPeers = 24;
/// Number of instances to which one instance relays a message; small, so that a burst of large
/// messages fits into the queue of a link of low bandwidth.
constexpr std::size_t relayFanOut = 4;
/// Roles are assigned only to instances with at least this part of the largest weight. Otherwise,
/// with few large and many small instances, most roles would be assigned to a small instance that
/// lacks the capacity for the role.
constexpr double minRoleWeightShare = 0.5;
/// Time after which a dead instance is removed; it announces itself if it returns.
constexpr Duration deadPeerRetention = seconds(60);
/// Instances that were lost less than this ago count as known: as long as a part of the fleet is
/// expected to be cut off.
constexpr Duration lostPeerWindow = seconds(12);
/// An instance that heard no peer for this long reaches only itself in recentContact(): two
/// heartbeat intervals and the scheduling delay of a small machine.
constexpr Duration recentContactTimeout = milliseconds(1200);

/// An availability zone from which nothing was heard for this long does not count in zoneContact().
/// Longer than an interval of the zone reports with its delays, and shorter than the time in which
/// a new owner of a quota refills slowly.
constexpr Duration zoneContactTimeout = milliseconds(800);

/// How long a message counts in which a peer says that it does not hear the own zone: two intervals
/// of such messages with their delays.
constexpr Duration deafnessTimeout = milliseconds(1300);
/// A suspected instance that sent no message for this long cannot be a leader for others, as far as
/// is known here: more than an interval of the heartbeats with its delays.
constexpr Duration silenceTimeout = milliseconds(800);

/// Returns the weighted rendezvous score: the share of roles of an instance is proportional to its
/// weight.
double weightedScore(std::string_view role, const std::string &ip, double weight)
{
    constexpr double range = 18446744073709551616.0;
    const double uniform = (static_cast<double>(rendezvousScore(role, ip)) + 0.5) / range;
    return -weight / std::log(uniform);
}

/// True if the fields are equal by which a peer can become leader.
bool hasSameRank(const InstanceInfo &left, const InstanceInfo &right)
{
    return std::tie(left.phase, left.weight, left.canReadStore)
        == std::tie(right.phase, right.weight, right.canReadStore);
}

void markLost(Peer &peer, TimePoint now)
{
    peer.isAlive = false;
    if (peer.info.phase < InstancePhase::Leaving)
        peer.lostAt = now;
}

bool isRecentlyLost(const Peer &peer, TimePoint now)
{
    return !peer.isAlive && peer.lostAt && now - *peer.lostAt < lostPeerWindow;
}

/// True if the peer was added a short time ago and has not sent a message yet.
bool isExpected(const Peer &peer, TimePoint now)
{
    return !peer.isAlive && !peer.lostAt && peer.info.phase < InstancePhase::Leaving
        && now - peer.lastHeard < lostPeerWindow;
}

} // namespace

bool Membership::addPeer(const InstanceInfo &info, TimePoint now)
{
    if (info.ip == m_self.ip || m_peers.contains(info.ip))
        return false;
    Peer peer;
    peer.info = info;
    peer.lastHeard = now;
    m_peers.emplace(info.ip, std::move(peer));
    return true;
}

bool Membership::updatePeer(const InstanceInfo &info, TimePoint now)
{
    if (info.ip == m_self.ip)
        return false;
    Peer &peer = m_peers[info.ip];
    const bool isNew = !peer.isAlive || peer.info.incarnation != info.incarnation;
    // A delayed datagram of an instance that has stopped must not mark it as alive again.
    if (peer.info.incarnation == info.incarnation && peer.info.phase > info.phase)
        return false;
    const bool wasAlive = peer.isAlive;
    const bool isRankChanged = !hasSameRank(peer.info, info);
    peer.info = info;
    peer.lastHeard = now;
    peer.isFromZoneReport = usesZoneReports() && info.availabilityZone != m_self.availabilityZone;
    peer.isAlive = info.phase != InstancePhase::Stopped;
    peer.lostAt.reset();
    if (isNew)
        peer.suspectUntil = {};
    if (isNew || isRankChanged || wasAlive != peer.isAlive)
        ++m_generation;
    return isNew && peer.isAlive;
}

void Membership::recordMessage(const std::string &ip, std::uint64_t incarnation, TimePoint now)
{
    const auto found = m_peers.find(ip);
    if (found == m_peers.end() || found->second.info.incarnation != incarnation)
        return;
    found->second.lastHeard = now;
    found->second.lastMessage = now;
    m_generation += found->second.suspectUntil > now ? 1 : 0;
    found->second.suspectUntil = {};
}

void Membership::recordHeartbeat(const std::string &ip, TimePoint now)
{
    const auto found = m_peers.find(ip);
    if (found != m_peers.end())
        found->second.lastMessage = now;
}

std::vector<std::string> Membership::unheardZones(TimePoint now) const
{
    std::map<std::string_view, TimePoint> lastHeard;
    for (const auto &[ip, peer] : m_peers) {
        if (!peer.isAlive && !peer.lostAt)
            continue;
        TimePoint &last = lastHeard[peer.info.availabilityZone];
        last = std::max(last, peer.lastHeard);
    }
    std::vector<std::string> zones;
    for (const auto &[zone, last] : lastHeard) {
        if (zone != m_self.availabilityZone && now - last >= zoneContactTimeout)
            zones.emplace_back(zone);
    }
    return zones;
}

void Membership::recordUnheardZones(const std::string &ip, const std::vector<std::string> &unheard,
                                    TimePoint now)
{
    const auto found = m_peers.find(ip);
    if (found == m_peers.end())
        return;
    const bool isDeaf =
        std::find(unheard.begin(), unheard.end(), m_self.availabilityZone) != unheard.end();
    found->second.deafUntil = isDeaf ? now + deafnessTimeout : TimePoint();
}

void Membership::recordUnheardZonesOf(const std::string &availabilityZone,
                                      const std::vector<std::string> &unheard, TimePoint now)
{
    for (const auto &[ip, peer] : m_peers) {
        if (peer.info.availabilityZone == availabilityZone)
            recordUnheardZones(ip, unheard, now);
    }
}

void Membership::markSuspect(const std::string &ip, Duration length, TimePoint now)
{
    const auto found = m_peers.find(ip);
    if (found == m_peers.end())
        return;
    found->second.suspectUntil = now + length;
    ++m_generation;
}

bool Membership::usesZoneReports() const
{
    return m_peers.size() >= maxFullMeshPeers;
}

std::vector<InstanceInfo> Membership::instancesInZone(std::string_view availabilityZone) const
{
    std::vector<InstanceInfo> instances;
    if (m_self.availabilityZone == availabilityZone)
        instances.push_back(m_self);
    for (const auto &[ip, peer] : m_peers) {
        if (peer.isAlive && peer.info.availabilityZone == availabilityZone)
            instances.push_back(peer.info);
    }
    std::sort(
        instances.begin(), instances.end(),
        [](const InstanceInfo &left, const InstanceInfo &right) { return left.ip < right.ip; });
    return instances;
}

std::string Membership::relayRoot(std::string_view availabilityZone, RelayOrder order) const
{
    const std::vector<InstanceInfo> instances = instancesInZone(availabilityZone);
    if (instances.empty())
        return {};
    return order == RelayOrder::Ascending ? instances.front().ip : instances.back().ip;
}

std::vector<std::string> Membership::relayTargets(RelayOrder order) const
{
    std::vector<InstanceInfo> instances = instancesInZone(m_self.availabilityZone);
    if (order == RelayOrder::Descending)
        std::reverse(instances.begin(), instances.end());
    std::vector<std::string> targets;
    const auto self =
        std::find_if(instances.begin(), instances.end(),
                     [this](const InstanceInfo &each) { return each.ip == m_self.ip; });
    const auto index = static_cast<std::size_t>(self - instances.begin());
    const std::size_t first = index * relayFanOut + 1;
    for (std::size_t i = first; i < std::min(first + relayFanOut, instances.size()); ++i)
        targets.push_back(instances[i].ip);
    return targets;
}

void Membership::applyZoneReport(const std::string &availabilityZone,
                                 const std::vector<InstanceInfo> &instances, TimePoint now)
{
    if (availabilityZone == m_self.availabilityZone)
        return;
    for (const InstanceInfo &info : instances)
        updatePeer(info, now);
    std::unordered_set<std::string_view> named;
    for (const InstanceInfo &info : instances)
        named.insert(info.ip);
    for (auto &[ip, peer] : m_peers) {
        if (!peer.isAlive || peer.info.availabilityZone != availabilityZone || named.contains(ip)
            || now - peer.lastHeard <= heartbeatTimeout)
            continue;
        markLost(peer, now);
        ++m_generation;
    }
}

std::vector<std::string> Membership::expire(TimePoint now)
{
    std::vector<std::string> lost;
    for (auto &[ip, peer] : m_peers) {
        if (!peer.isAlive
            || now - peer.lastHeard
                < (peer.isFromZoneReport ? zoneReportTimeout : heartbeatTimeout))
            continue;
        markLost(peer, now);
        ++m_generation;
        lost.push_back(ip);
    }
    std::erase_if(m_peers, [now](const auto &each) {
        return !each.second.isAlive && now - each.second.lastHeard > deadPeerRetention;
    });
    return lost;
}

std::string Membership::leaderFor(std::string_view role, bool mustReadStore, TimePoint now) const
{
    auto &leaders = m_leaders[mustReadStore ? 1 : 0];
    auto found = leaders.find(role);
    if (found == leaders.end())
        found = leaders.emplace(role, KnownLeader()).first;
    KnownLeader &known = found->second;
    if (known.generation != m_generation || now >= known.validUntil)
        known = findLeader(role, mustReadStore, now, Duration::zero());
    return known.ip;
}

std::string Membership::leaderAmongHeard(std::string_view role, TimePoint now) const
{
    return findLeader(role, false, now, silenceTimeout).ip;
}

Membership::KnownLeader Membership::findLeader(std::string_view role, bool mustReadStore,
                                               TimePoint now, Duration silence) const
{
    KnownLeader leader{m_self.ip, m_generation, TimePoint::max()};
    std::vector<const InstanceInfo *> live{&m_self};
    for (const auto &[ip, peer] : m_peers) {
        const bool isSuspect = now < peer.suspectUntil && now - peer.lastMessage >= silence;
        if (peer.isAlive && !isSuspect)
            live.push_back(&peer.info);
        else if (peer.isAlive)
            leader.validUntil = std::min(leader.validUntil, peer.suspectUntil);
    }
    for (const InstancePhase phase : {InstancePhase::Ready, InstancePhase::Starting}) {
        const auto isCandidate = [&](const InstanceInfo &info) {
            return info.phase == phase && (info.canReadStore || !mustReadStore);
        };
        double largest = 0;
        for (const InstanceInfo *each : live) {
            if (isCandidate(*each))
                largest = std::max(largest, each->weight);
        }
        double best = -1;
        for (const InstanceInfo *each : live) {
            if (!isCandidate(*each) || each->weight < largest * minRoleWeightShare)
                continue;
            const double score = weightedScore(role, each->ip, each->weight);
            if (score > best) {
                best = score;
                leader.ip = each->ip;
            }
        }
        if (best >= 0)
            break;
    }
    return leader;
}

std::vector<std::string> Membership::serving() const
{
    std::vector<std::string> addresses;
    if (m_self.phase == InstancePhase::Ready)
        addresses.push_back(m_self.ip);
    for (const auto &[ip, peer] : m_peers) {
        if (peer.isAlive && peer.info.phase == InstancePhase::Ready)
            addresses.push_back(ip);
    }
    return addresses;
}

FleetContact Membership::contact(TimePoint now) const
{
    FleetContact contact;
    for (const auto &[ip, peer] : m_peers) {
        contact.alive += peer.isAlive ? 1 : 0;
        contact.known += peer.isAlive || isRecentlyLost(peer, now) ? 1 : 0;
    }
    return contact;
}

FleetContact Membership::recentContact(TimePoint now) const
{
    FleetContact recent = contact(now);
    bool isHeard = false;
    for (const auto &[ip, peer] : m_peers) {
        recent.known += isExpected(peer, now) ? 1 : 0;
        isHeard = isHeard || now - peer.lastHeard < recentContactTimeout;
    }
    if (!isHeard)
        recent.alive = 1;
    return recent;
}

FleetContact Membership::zoneContact(TimePoint now) const
{
    struct Zone
    {
        std::size_t alive = 0;
        TimePoint lastHeard;
    };
    std::map<std::string_view, Zone> zones;
    FleetContact result;
    for (const auto &[ip, peer] : m_peers) {
        result.known += peer.isAlive || peer.lostAt ? 1 : 0;
        if (!peer.isAlive)
            continue;
        Zone &zone = zones[peer.info.availabilityZone];
        zone.alive += now < peer.deafUntil ? 0 : 1;
        zone.lastHeard = std::max(zone.lastHeard, peer.lastHeard);
    }
    for (const auto &[name, zone] : zones) {
        if (name == m_self.availabilityZone || now - zone.lastHeard < zoneContactTimeout)
            result.alive += zone.alive;
    }
    return result;
}

std::vector<std::string> Membership::otherServing(TimePoint now) const
{
    std::vector<std::string> alive;
    std::vector<std::string> lost;
    for (const auto &[ip, peer] : m_peers) {
        if (peer.info.phase != InstancePhase::Ready)
            continue;
        if (peer.isAlive)
            alive.push_back(ip);
        else if (isRecentlyLost(peer, now))
            lost.push_back(ip);
    }
    return alive.empty() ? lost : alive;
}

std::size_t Membership::alivePeersIn(std::string_view availabilityZone) const
{
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [availabilityZone](const auto &each) {
            return each.second.isAlive && each.second.info.availabilityZone == availabilityZone;
        }));
}

std::size_t Membership::aliveCount() const
{
    return 1
        + static_cast<std::size_t>(std::count_if(
            m_peers.begin(), m_peers.end(), [](const auto &each) { return each.second.isAlive; }));
}

} // namespace apricotrock::fleet
