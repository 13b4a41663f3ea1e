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
    if (!m_outageSince)
        m_outageSince = now;
}

void ServerDirectory::storeAnswered(TimePoint now)
{
    if (!m_outageSince)
        return;
    m_outageSince.reset();
    m_outageEnded = now;
}

std::optional<TimePoint> ServerDirectory::removalGrace(TimePoint now) const
{
    if (m_outageSince)
        return now + registrationGrace + outageDetectionDelay;
    if (m_outageEnded && now - *m_outageEnded < registrationGrace)
        return *m_outageEnded + registrationGrace;
    return std::nullopt;
}

std::optional<ServerDirectory::Change> ServerDirectory::mergeRecord(const ServerRecord &record,
                                                                    TimePoint now)
{
    const auto found = m_servers.find(record.id);
    if (found != m_servers.end() && record.offset <= found->second.record.offset)
        return std::nullopt;
    if (found == m_servers.end() && !record.entry)
        return std::nullopt;
    KnownServer &server = m_servers[record.id];
    const bool wasUsable = isUsable(server);
    const bool wasLapsed = server.removalGraceUntil.has_value();
    const std::optional<ServerEntry> before = server.entry;
    server.record = record;
    Change change{record.id, {}, record.offset};
    if (record.entry) {
        server.removalGraceUntil.reset();
        server.entry = record.entry;
        const bool hasReturned = before && before->phase == ServerPhase::Draining
            && record.entry->phase == ServerPhase::Ready;
        const auto leaving = m_leaving.find(record.id);
        if (leaving != m_leaving.end()
            && (hasReturned || leaving->second != record.entry->processStartMs))
            m_leaving.erase(leaving);
        server.isLeaving = m_leaving.contains(record.id);
        if (!before || before->processStartMs != record.entry->processStartMs
            || record.entry->slowStartRemaining > Duration::zero())
            server.slowStartUntil = now + record.entry->slowStartRemaining;
        const bool isSame = before && before->hasSameRoutingAs(*record.entry);
        if (isSame && !wasLapsed && wasUsable == isUsable(server))
            return std::nullopt;
        change.what = !before                              ? "joined"
            : record.entry->phase == ServerPhase::Draining ? "draining"
                                                           : "changed";
        return change;
    }
    if (wasUsable)
        server.removalGraceUntil = removalGrace(now);
    change.what = server.removalGraceUntil ? "lapsed" : "removed";
    if (!server.removalGraceUntil)
        server.entry.reset();
    return change;
}

std::optional<ServerDirectory::Change> ServerDirectory::markLeaving(const LeavingServer &leaving)
{
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
    return Change{leaving.id, "leaving", found->second.record.offset};
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
            leaving.push_back({id, start});
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
ServerDirectory::mergeSnapshot(const std::vector<ServerRecord> &records, std::uint64_t end,
                               TimePoint now)
{
    std::vector<ServerRecord> all = records;
    std::set<std::string> present;
    for (const ServerRecord &record : records)
        present.insert(record.id);
    for (const auto &[id, server] : m_servers) {
        // A record with an offset at or after the end was written after the snapshot began.
        if (server.record.entry && server.record.offset < end && !present.contains(id))
            all.push_back({id, end - 1, std::nullopt});
    }
    m_hasSnapshot = true;
    return merge(all, now);
}

void ServerDirectory::advanceTo(std::uint64_t position)
{
    m_position = std::max(m_position, position);
}

std::vector<ServerDirectory::Change> ServerDirectory::expire(TimePoint now)
{
    std::vector<Change> changes;
    for (auto &[id, server] : m_servers) {
        if (m_outageSince && server.removalGraceUntil)
            server.removalGraceUntil = now + registrationGrace;
        if (!server.removalGraceUntil || now < *server.removalGraceUntil)
            continue;
        server.removalGraceUntil.reset();
        server.entry.reset();
        changes.push_back({id, "removed", server.record.offset});
    }
    return changes;
}

} // namespace apricotrock::fleet
