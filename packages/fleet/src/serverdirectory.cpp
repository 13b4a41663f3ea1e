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

} // namespace

bool ServerEntry::isSameAs(const ServerEntry &other) const
{
    return std::tie(service, address, availabilityZone, slots, phase, bornMs)
        == std::tie(other.service, other.address, other.availabilityZone, other.slots, other.phase,
                    other.bornMs);
}

bool ServerDirectory::isUsable(const KnownServer &server)
{
    return server.entry && server.entry->phase == ServerPhase::Ready
        && (server.record.entry || server.lapsedUntil);
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
    m_returned = now;
}

std::optional<TimePoint> ServerDirectory::removalGrace(TimePoint now) const
{
    if (m_outageSince)
        return now + registrationGrace + outageDetectionDelay;
    if (m_returned && now - *m_returned < registrationGrace)
        return *m_returned + registrationGrace;
    return std::nullopt;
}

std::optional<ServerDirectory::Change> ServerDirectory::mergeOne(const ServerRecord &record,
                                                                 TimePoint now)
{
    const auto found = m_servers.find(record.id);
    if (found != m_servers.end() && record.offset <= found->second.record.offset)
        return std::nullopt;
    if (found == m_servers.end() && !record.entry)
        return std::nullopt;
    KnownServer &server = m_servers[record.id];
    const bool wasUsable = isUsable(server);
    const bool wasLapsed = server.lapsedUntil.has_value();
    const std::optional<ServerEntry> before = server.entry;
    server.record = record;
    Change change{record.id, {}, record.offset};
    if (record.entry) {
        server.lapsedUntil.reset();
        server.entry = record.entry;
        if (!before || before->bornMs != record.entry->bornMs
            || record.entry->coldRemaining > Duration::zero())
            server.coldUntil = now + record.entry->coldRemaining;
        const bool isSame = before && before->isSameAs(*record.entry);
        if (isSame && !wasLapsed && wasUsable == isUsable(server))
            return std::nullopt;
        change.what = !before                              ? "joined"
            : record.entry->phase == ServerPhase::Draining ? "draining"
                                                           : "changed";
        return change;
    }
    if (wasUsable)
        server.lapsedUntil = removalGrace(now);
    change.what = server.lapsedUntil ? "lapsed" : "removed";
    if (!server.lapsedUntil)
        server.entry.reset();
    return change;
}

std::vector<ServerDirectory::Change>
ServerDirectory::merge(const std::vector<ServerRecord> &records, TimePoint now)
{
    std::vector<Change> changes;
    for (const ServerRecord &record : records) {
        if (auto change = mergeOne(record, now))
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
        if (m_outageSince && server.lapsedUntil)
            server.lapsedUntil = now + registrationGrace;
        if (!server.lapsedUntil || now < *server.lapsedUntil)
            continue;
        server.lapsedUntil.reset();
        server.entry.reset();
        changes.push_back({id, "removed", server.record.offset});
    }
    return changes;
}

} // namespace apricotrock::fleet
