#include "apricotrock/fleet.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace apricotrock::fleet {

namespace {

using std::chrono::milliseconds;

/// Time after a store outage within which servers whose record expired during the outage register
/// again; the platform specifies about two seconds.
constexpr Duration registrationGrace = milliseconds(2100);
/// Removals that the outage causes can be read this long before the first call fails.
constexpr Duration outageDetectionDelay = milliseconds(1000);
/// Bound of the memory for leaving processes; more than the servers of a fleet.
constexpr std::size_t maxLeavingServers = 10000;
/// Obsolete records are remembered for this long; a copy from which the store is restored is some
/// seconds old.
constexpr Duration obsoleteLifetime = std::chrono::minutes(10);

/// A slow start that ends later by less than this is not reported as a change; covers the varying
/// delay with which the records of one slow start are read.
constexpr Duration slowStartTolerance = milliseconds(1000);

/// True if the sequence numbers of the two records tell which one is newer.
bool haveSameOrigin(std::uint64_t start, std::uint64_t sequence, const ServerEntry &entry)
{
    return start == entry.processStartMs && sequence > 0 && entry.sequence > 0;
}

} // namespace

bool ServerEntry::hasSameRoutingAs(const ServerEntry &other) const
{
    return std::tie(service, address, availabilityZone, slots, phase, processStartMs)
        == std::tie(other.service, other.address, other.availabilityZone, other.slots, other.phase,
                    other.processStartMs);
}

bool ServerDirectory::isUsable(const KnownServer &server)
{
    return server.entry && server.entry->phase == ServerPhase::Ready && !server.isLeaving
        && (server.record.entry || server.removalGraceUntil);
}

void ServerDirectory::storeFailed(TimePoint now)
{
    if (!m_unansweredSince)
        m_unansweredSince = m_lastAnswer.value_or(now);
}

bool ServerDirectory::isInOutage(TimePoint now) const
{
    return m_unansweredSince && now - *m_unansweredSince >= m_minOutage;
}

void ServerDirectory::storeAnswered(TimePoint now)
{
    if (isInOutage(now))
        m_outageEnded = now;
    m_unansweredSince.reset();
    m_lastAnswer = now;
}

std::optional<TimePoint> ServerDirectory::removalGrace(TimePoint now) const
{
    if (isInOutage(now))
        return now + registrationGrace + outageDetectionDelay;
    if (m_isFirstOfEra)
        return now + registrationGrace;
    if (m_outageEnded && now - *m_outageEnded < registrationGrace)
        return *m_outageEnded + registrationGrace;
    return std::nullopt;
}

bool ServerDirectory::isObsolete(const ServerEntry &entry, const StorePosition &position) const
{
    const auto found = m_obsolete.find(entry.id);
    if (found == m_obsolete.end())
        return false;
    const ObsoleteRecords &obsolete = found->second;
    if (position.era == obsolete.position.era)
        return entry.processStartMs <= obsolete.processStartMs && position <= obsolete.position;
    if (haveSameOrigin(obsolete.processStartMs, obsolete.sequence, entry))
        return entry.sequence <= obsolete.sequence;
    return obsolete.isFromPeer && entry.processStartMs < obsolete.processStartMs;
}

bool ServerDirectory::accepts(const ServerRecord &record) const
{
    const auto found = m_servers.find(record.id);
    if (found == m_servers.end()) {
        // All records before the position have been merged, so that the server was removed since.
        const bool isPast = m_hasSnapshot && !m_isNewSnapshot && record.position < m_position;
        // A server that the newer era does not know may have been lost with the older one.
        return record.entry && record.position.era >= m_position.era && !isPast;
    }
    const ServerRecord &known = found->second.record;
    const bool isLater = record.position > known.position;
    const bool hasEra = record.position.era > 0 || known.position.era > 0;
    if (!record.entry || !hasEra)
        return isLater;
    const StorePosition &accepted = found->second.acceptedPosition;
    const bool hasOtherEra = record.position.era != accepted.era;
    if (known.entry) {
        const bool isComparable =
            haveSameOrigin(known.entry->processStartMs, known.entry->sequence, *record.entry);
        // A peer gives its record the position of the obsolete one that the copy holds.
        const bool isDecidedBySequence = hasOtherEra || record.position == accepted;
        if (isComparable && isDecidedBySequence)
            return record.entry->sequence > known.entry->sequence;
        if (!hasOtherEra)
            return record.position > accepted;
        if (record.entry->processStartMs != known.entry->processStartMs)
            return record.entry->processStartMs > known.entry->processStartMs;
        return isLater;
    }
    const auto obsolete = m_obsolete.find(record.id);
    const bool isEarlierProcess = obsolete != m_obsolete.end() && hasOtherEra
        && record.entry->processStartMs < obsolete->second.processStartMs;
    return isLater && !isObsolete(*record.entry, record.position) && !isEarlierProcess;
}

std::optional<ServerDirectory::Change> ServerDirectory::mergeRecord(const ServerRecord &record,
                                                                    TimePoint now)
{
    if (!accepts(record)) {
        // Later records of this era are compared with the position of the obsolete one.
        const auto found = m_servers.find(record.id);
        if (found == m_servers.end())
            return std::nullopt;
        found->second.record.position = std::max(found->second.record.position, record.position);
        return excludeObsolete(found->second);
    }
    return record.entry ? mergeEntry(record, now) : mergeRemoval(record, now);
}

std::optional<ServerDirectory::Change> ServerDirectory::mergeEntry(const ServerRecord &record,
                                                                   TimePoint now)
{
    KnownServer &server = m_servers[record.id];
    const bool wasUsable = isUsable(server);
    const bool wasLapsed = server.removalGraceUntil.has_value();
    const std::optional<ServerEntry> before = server.entry;
    const TimePoint slowStartBefore = server.slowStartUntil;
    const StorePosition position = std::max(server.record.position, record.position);
    server.record = record;
    server.record.position = position;
    server.acceptedPosition = record.position;
    server.removalGraceUntil.reset();
    server.entry = record.entry;
    const bool hasReturned = before && before->phase == ServerPhase::Draining
        && record.entry->phase == ServerPhase::Ready;
    const auto leaving = m_leaving.find(record.id);
    if (leaving != m_leaving.end()
        && (hasReturned || leaving->second != record.entry->processStartMs))
        m_leaving.erase(leaving);
    const auto obsolete = m_obsolete.find(record.id);
    // Within an era, the position alone shows that the record is newer.
    if (record.entry->phase == ServerPhase::Ready && obsolete != m_obsolete.end()
        && record.position.era == obsolete->second.position.era
        && !isObsolete(*record.entry, record.position))
        m_obsolete.erase(obsolete);
    if (record.entry->phase == ServerPhase::Draining)
        recordObsolete(
            record.id,
            {record.entry->processStartMs, record.entry->sequence, record.position, now, false});
    server.isLeaving = m_leaving.contains(record.id)
        || (position.era > 0 && isObsolete(*record.entry, record.position));
    if (!before || before->processStartMs != record.entry->processStartMs
        || record.entry->slowStartRemaining > Duration::zero())
        server.slowStartUntil = now + record.entry->slowStartRemaining;
    const bool isColder =
        server.slowStartUntil > std::max(slowStartBefore, now) + slowStartTolerance;
    const bool isSame = before && before->hasSameRoutingAs(*record.entry) && !isColder;
    if (isSame && !wasLapsed && wasUsable == isUsable(server))
        return std::nullopt;
    const std::string_view what = !before              ? "joined"
        : record.entry->phase == ServerPhase::Draining ? "draining"
                                                       : "changed";
    return Change{record.id, std::string(what), position};
}

std::optional<ServerDirectory::Change> ServerDirectory::mergeRemoval(const ServerRecord &record,
                                                                     TimePoint now)
{
    KnownServer &server = m_servers[record.id];
    const bool wasUsable = isUsable(server);
    server.record = record;
    server.acceptedPosition = record.position;
    if (server.entry)
        recordObsolete(
            record.id,
            {server.entry->processStartMs, server.entry->sequence, record.position, now, false});
    if (wasUsable)
        server.removalGraceUntil = removalGrace(now);
    const std::string_view what = server.removalGraceUntil ? "lapsed" : "removed";
    if (!server.removalGraceUntil)
        server.entry.reset();
    return Change{record.id, std::string(what), record.position};
}

void ServerDirectory::recordObsolete(const std::string &id, const ObsoleteRecords &obsolete)
{
    if (obsolete.sequence == 0)
        return;
    if (!m_obsolete.contains(id) && m_obsolete.size() >= maxLeavingServers) {
        const auto oldest = std::min_element(
            m_obsolete.begin(), m_obsolete.end(), [](const auto &left, const auto &right) {
                return left.second.recordedAt < right.second.recordedAt;
            });
        m_obsolete.erase(oldest);
    }
    const auto [known, isNew] = m_obsolete.try_emplace(id, obsolete);
    const auto order = [](const ObsoleteRecords &each) {
        return std::tie(each.processStartMs, each.sequence, each.position);
    };
    if (isNew || order(known->second) > order(obsolete))
        return;
    const bool isFromPeer = known->second.isFromPeer || obsolete.isFromPeer;
    known->second = obsolete;
    known->second.isFromPeer = isFromPeer;
}

std::optional<ServerDirectory::Change> ServerDirectory::markObsolete(const LeavingServer &leaving,
                                                                     TimePoint now)
{
    const auto found = m_servers.find(leaving.id);
    const bool isKnown = found != m_servers.end() && found->second.entry;
    if (isKnown && found->second.entry->processStartMs > leaving.processStartMs)
        return std::nullopt;
    recordObsolete(
        leaving.id,
        {leaving.processStartMs, leaving.obsoleteSequence, leaving.obsoletePosition, now, true});
    return isKnown ? excludeObsolete(found->second) : std::nullopt;
}

std::optional<ServerDirectory::Change> ServerDirectory::excludeObsolete(KnownServer &server)
{
    // Before the first restore, the position alone shows that the record is newer.
    if (server.record.position.era == 0 || !isUsable(server)
        || !isObsolete(*server.entry, server.acceptedPosition))
        return std::nullopt;
    server.isLeaving = true;
    return Change{server.record.id, "obsolete", server.record.position};
}

std::optional<ServerDirectory::Change> ServerDirectory::markLeaving(const LeavingServer &leaving,
                                                                    TimePoint now)
{
    if (leaving.obsoleteSequence > 0)
        return markObsolete(leaving, now);
    const auto found = m_servers.find(leaving.id);
    const bool isKnown = hasEntry(leaving.id);
    if (isKnown && found->second.entry->processStartMs > leaving.processStartMs)
        return std::nullopt;
    if (m_leaving.size() >= maxLeavingServers)
        std::erase_if(m_leaving, [this](const auto &each) { return !hasEntry(each.first); });
    if (!m_leaving.contains(leaving.id) && m_leaving.size() >= maxLeavingServers)
        return std::nullopt;
    std::uint64_t &start = m_leaving[leaving.id];
    start = std::max(start, leaving.processStartMs);
    if (!isKnown || found->second.entry->processStartMs != start || !isUsable(found->second))
        return std::nullopt;
    found->second.isLeaving = true;
    return Change{leaving.id, "leaving", found->second.record.position};
}

bool ServerDirectory::hasEntry(const std::string &id) const
{
    const auto found = m_servers.find(id);
    return found != m_servers.end() && found->second.entry;
}

std::vector<LeavingServer> ServerDirectory::leavingServers() const
{
    std::vector<LeavingServer> leaving;
    for (const auto &[id, start] : m_leaving) {
        const auto found = m_servers.find(id);
        const bool isReady = found != m_servers.end() && found->second.entry
            && found->second.entry->phase == ServerPhase::Ready;
        if (isReady || found == m_servers.end())
            leaving.push_back({id, start, 0, {}});
    }
    for (const auto &[id, obsolete] : m_obsolete) {
        const auto found = m_servers.find(id);
        // A server in its grace period is expected to register again.
        if (found != m_servers.end() && found->second.removalGraceUntil)
            continue;
        leaving.push_back({id, obsolete.processStartMs, obsolete.sequence, obsolete.position});
    }
    return leaving;
}

std::vector<ServerDirectory::Change>
ServerDirectory::merge(const std::vector<ServerRecord> &records, TimePoint now)
{
    std::vector<Change> changes;
    for (const ServerRecord &record : records) {
        if (auto change = mergeRecord(record, now))
            changes.push_back(std::move(*change));
    }
    return changes;
}

std::vector<ServerDirectory::Change>
ServerDirectory::mergeSnapshot(const std::vector<ServerRecord> &records, StorePosition end,
                               TimePoint now)
{
    std::vector<ServerRecord> all = records;
    std::set<std::string> present;
    for (const ServerRecord &record : records)
        present.insert(record.id);
    const StorePosition last{end.era, end.offset > 0 ? end.offset - 1 : 0};
    for (const auto &[id, server] : m_servers) {
        // A record with a position at or after the end was written after the snapshot began.
        if (server.record.entry && server.record.position < end && !present.contains(id))
            all.push_back({id, last, std::nullopt});
    }
    m_isFirstOfEra = m_hasSnapshot && end.era > m_position.era;
    m_isNewSnapshot = end >= m_position;
    m_hasSnapshot = true;
    auto changes = merge(all, now);
    m_isFirstOfEra = false;
    m_isNewSnapshot = false;
    return changes;
}

void ServerDirectory::advanceTo(StorePosition position)
{
    m_position = std::max(m_position, position);
}

std::vector<ServerDirectory::Change> ServerDirectory::expire(TimePoint now)
{
    std::vector<Change> changes;
    for (auto &[id, server] : m_servers) {
        if (isInOutage(now) && server.removalGraceUntil)
            server.removalGraceUntil = now + registrationGrace;
        if (!server.removalGraceUntil || now < *server.removalGraceUntil)
            continue;
        server.removalGraceUntil.reset();
        server.entry.reset();
        changes.push_back({id, "removed", server.record.position});
    }
    std::erase_if(m_obsolete, [now](const auto &each) {
        return now - each.second.recordedAt > obsoleteLifetime;
    });
    return changes;
}

} // namespace apricotrock::fleet
