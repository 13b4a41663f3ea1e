#include "tablesync.h"

#include <algorithm>
#include <set>

// Reads the backend servers from the store and applies them; tablesync.cpp decides when they are
// read.
namespace apricotrock::gateway {

namespace {

using std::chrono::milliseconds;

/// Delay after a failed read; doubles with each further failure.
constexpr Duration initialRetryDelay = milliseconds(200);
constexpr unsigned maxRetryDoublings = 3;
/// Minimum interval of reads, so that servers that register at the same time are read in one call.
constexpr Duration minReadInterval = milliseconds(100);
/// Minimum intervals in fleets that use zone reports: for the reader, and for an instance that has
/// missed updates; the latter is longer because many instances may miss them at the same time.
constexpr Duration largeFleetReadInterval = milliseconds(300);
constexpr Duration largeFleetOwnReadInterval = milliseconds(1000);
/// Obsolete records are reported several times after a restore, because datagrams get lost and
/// instances may be starting.
constexpr unsigned obsoleteReports = 3;
constexpr Duration obsoleteReportInterval = milliseconds(400);

} // namespace

void TableSync::readSnapshot()
{
    if (m_isReadingServers)
        return;
    m_isReadingServers = true;
    m_serversRead = Clock::now();
    m_context.adapter.store->readNewest(
        Topic::BackendServers, [this](Result<StoredRecords> result) {
            m_isReadingServers = false;
            if (!result) {
                ++m_failedSnapshots;
                handleStoreFailure("read_servers", result.error());
                return;
            }
            if (acceptsEra(result->end.era)) {
                m_failedSnapshots = 0;
                applyServers(result->records, {}, result->end, true, "store");
            }
            handleStoreSuccess();
        });
}

void TableSync::readServers()
{
    // Without a recent successful read the store must answer at once.
    const bool isUpToDate = Clock::now() - m_lastSuccessfulRead < serverLongPollTimeout;
    readServers(isUpToDate ? serverLongPollTimeout : Duration::zero());
}

void TableSync::readServers(Duration wait)
{
    if (m_isReadingServers)
        return;
    m_isReadingServers = true;
    m_serversRead = Clock::now();
    const fleet::StorePosition from = m_context.servers.position();
    m_context.adapter.store->readFrom(
        Topic::BackendServers, from, wait, [this, from](Result<StoredRecords> result) {
            m_isReadingServers = false;
            if (!result) {
                handleStoreFailure("read_servers", result.error());
                const unsigned doublings = std::min(m_failedReads++, maxRetryDoublings);
                m_nextRead = Clock::now() + initialRetryDelay * (1U << doublings);
                return;
            }
            m_failedReads = 0;
            m_nextRead = m_serversRead + shortestReadInterval();
            if (!acceptsEra(result->end.era)) {
                handleStoreSuccess();
                return;
            }
            if (result->end.era != from.era) {
                handleStoreSuccess();
                readSnapshot();
                return;
            }
            if (result->isTruncated) {
                m_context.log.write(
                    EventLog::Level::Warning, "store_history_lost", [from](LogLine &line) {
                        line.number("position", static_cast<std::int64_t>(from.offset));
                    });
                handleStoreSuccess();
                readSnapshot();
                return;
            }
            applyServers(result->records, from, result->end, false, "store");
            handleStoreSuccess();
            recordServerRead(Clock::now());
            // Announces that there are no other changes up to this position.
            if (isReader())
                m_peers.announceTables(PeerChannel::Scope::Fleet);
            else if (isZoneReader())
                m_peers.announceTables(PeerChannel::Scope::OwnZone);
        });
}

Duration TableSync::shortestReadInterval() const
{
    if (!m_context.membership.usesZoneReports())
        return minReadInterval;
    return isReader() ? largeFleetReadInterval : largeFleetOwnReadInterval;
}

void TableSync::recordServerRead(TimePoint readAt)
{
    m_lastSuccessfulRead = std::max(m_lastSuccessfulRead, readAt);
    m_context.servers.storeAnswered(Clock::now());
}

void TableSync::applyServers(const std::vector<StoredRecord> &records, fleet::StorePosition from,
                             fleet::StorePosition end, bool isSnapshot, std::string_view source)
{
    const TimePoint now = Clock::now();
    std::vector<fleet::ServerRecord> decoded;
    for (const StoredRecord &record : records) {
        fleet::ServerRecord each{record.key, record.position, std::nullopt};
        if (record.value)
            each.entry = m_context.adapter.decodeServer(record.key, *record.value);
        if (record.value && !each.entry)
            m_context
                .counter("server_records_unreadable_total",
                         "Records of backend servers that name no usable server.")
                .add();
        // Peers need to know only that a record names no server. It can be too large for a
        // datagram.
        if (each.entry)
            each.text = *record.value;
        decoded.push_back(std::move(each));
    }
    const fleet::StorePosition before = m_context.servers.position();
    const bool isRestored = isSnapshot && m_context.servers.hasSnapshot() && end.era > before.era;
    const auto changes = isSnapshot ? m_context.servers.mergeSnapshot(decoded, end, now)
                                    : m_context.servers.merge(decoded, now);
    if ((from.era == before.era && from <= before) || isSnapshot)
        m_context.servers.advanceTo(end);
    for (const auto &change : changes)
        m_lastChange = std::max(m_lastChange, {change.position.era, change.position.offset + 1});
    // A snapshot does not show which servers were removed before it, so that others must not skip
    // the records up to its end.
    if (isSnapshot)
        m_lastChange = std::max(m_lastChange, end);
    if (isRestored && (isReader() || isZoneFetcher())) {
        m_obsoleteReports = obsoleteReports;
        reportObsoleteServers();
    }
    if (changes.empty())
        return;
    logChanges(changes, source);
    m_handlers.serversChanged();
    if (source != "store" || isSnapshot || !(isReader() || isZoneReader()))
        return;
    // A server that changed several times is sent once, with its newest record.
    std::set<std::string_view> changed;
    for (const auto &change : changes)
        changed.insert(change.id);
    std::vector<StoredRecord> updates;
    updates.reserve(changed.size());
    const auto &servers = m_context.servers.servers();
    for (const std::string_view id : changed)
        updates.push_back(toStoredRecord(servers.at(std::string(id)).record));
    broadcastUpdates(std::move(updates), from, end);
}

void TableSync::logChanges(const std::vector<fleet::ServerDirectory::Change> &changes,
                           std::string_view source)
{
    for (const auto &change : changes) {
        m_context.log.write(EventLog::Level::Info, "server_changed", [&](LogLine &line) {
            line.text("server", change.id)
                .text("change", change.what)
                .number("offset", static_cast<std::int64_t>(change.position.offset))
                .text("source", source);
        });
    }
}

void TableSync::reportObsoleteServers()
{
    if (m_obsoleteReports == 0)
        return;
    --m_obsoleteReports;
    m_peers.broadcastLeaving(m_context.servers.leavingServers());
    m_context.timers.callAfter(obsoleteReportInterval, [this] { reportObsoleteServers(); });
}

} // namespace apricotrock::gateway
