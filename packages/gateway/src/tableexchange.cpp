#include "tablesync.h"

#include "evacuationexchange.h"
#include "leavingexchange.h"

#include <algorithm>
#include <zlib.h>

// Exchange of tables between instances; tablesync.cpp decides when the store is read.
namespace apricotrock::gateway {

namespace {

using std::chrono::milliseconds;

/// Bytes of updates in one datagram, before compression to about a sixth.
constexpr std::size_t updateBytes = std::size_t(16) * 1024;
/// Maximum size of decompressed updates; about 25,000 backend servers.
constexpr std::size_t maxUnpackedBytes = std::size_t(8) * 1024 * 1024;
/// Relayed updates may arrive after a heartbeat that announces them; covers several hops between
/// small machines.
constexpr Duration catchUpDelay = milliseconds(100);
/// If the store has not supplied the changes within this time, the peer that told of them is asked.
constexpr Duration peerCatchUpDelay = milliseconds(250);
/// Number of instances of a zone that fetch a new configuration from another zone at once; the
/// other instances of the zone wait for them for zoneFetchDelay.
constexpr std::size_t zoneFetchers = 2;
constexpr Duration zoneFetchDelay = milliseconds(350);
constexpr Duration fetchTimeout = milliseconds(400);
/// An encoded table is sent to all peers that ask for it within this time.
constexpr Duration encodedTablesLifetime = milliseconds(500);
/// Largest compressed configuration that is sent in one datagram; instances fetch a larger one.
constexpr std::size_t maxConfigurationDatagram = std::size_t(32) * 1024;
/// Time after the start in which an instance fetches tables from its own availability zone only.
constexpr Duration ownZoneTablesTime = milliseconds(500);
/// Leaving servers are collected for this long, because many leave at the same time.
constexpr Duration leavingBroadcastDelay = milliseconds(150);
constexpr std::string_view configurationPath = "/configuration";
constexpr std::string_view serversPath = "/servers";

std::vector<std::uint8_t> compress(const std::uint8_t *data, std::size_t count)
{
    uLongf size = compressBound(count);
    std::vector<std::uint8_t> packed(size);
    // Cannot fail: the buffer has the size that compressBound() returned.
    compress2(packed.data(), &size, data, count, Z_BEST_SPEED);
    packed.resize(size);
    return packed;
}

/// Compresses \a records into \a message.
void packUpdates(const std::vector<StoredRecord> &records, wire::GatewayMessageT &message)
{
    wire::ServerUpdatesT table;
    for (const StoredRecord &each : records) {
        auto update = std::make_unique<wire::ServerUpdateT>();
        update->id = each.key;
        update->offset = each.position.offset;
        update->era = each.position.era;
        if (each.value)
            update->value.assign(each.value->begin(), each.value->end());
        table.updates.push_back(std::move(update));
    }
    flatbuffers::FlatBufferBuilder builder(updateBytes);
    builder.Finish(wire::ServerUpdates::Pack(builder, &table));
    message.unpacked_bytes = builder.GetSize();
    message.packed_updates = compress(builder.GetBufferPointer(), builder.GetSize());
}

Result<std::vector<StoredRecord>> unpackUpdates(const wire::GatewayMessageT &message)
{
    std::vector<StoredRecord> records;
    if (message.packed_updates.empty())
        return records;
    if (message.unpacked_bytes > maxUnpackedBytes)
        return makeError("updates are larger than the tables can be");
    std::vector<std::uint8_t> bytes(message.unpacked_bytes);
    uLongf size = bytes.size();
    const int result = uncompress(bytes.data(), &size, message.packed_updates.data(),
                                  message.packed_updates.size());
    flatbuffers::Verifier verifier(bytes.data(), size);
    if (result != Z_OK || !verifier.VerifyBuffer<wire::ServerUpdates>())
        return makeError("updates cannot be unpacked");
    wire::ServerUpdatesT table;
    flatbuffers::GetRoot<wire::ServerUpdates>(bytes.data())->UnPackTo(&table);
    for (const auto &each : table.updates) {
        StoredRecord record{each->id, {each->era, each->offset}, std::nullopt};
        if (!each->value.empty())
            record.value = std::string(each->value.begin(), each->value.end());
        records.push_back(std::move(record));
    }
    return records;
}

} // namespace

StoredRecord toStoredRecord(const fleet::ServerRecord &record)
{
    StoredRecord stored{record.id, record.position, std::nullopt};
    if (record.entry)
        stored.value = record.text;
    return stored;
}

void TableSync::broadcastUpdates(std::vector<StoredRecord> updates, fleet::StorePosition from,
                                 fleet::StorePosition end)
{
    std::sort(updates.begin(), updates.end(),
              [](const auto &left, const auto &right) { return left.position < right.position; });
    std::size_t next = 0;
    while (next < updates.size()) {
        wire::GatewayMessageT message;
        message.incarnation = m_context.membership.self().incarnation;
        message.updates_from = from.offset;
        std::size_t bytes = 0;
        std::vector<StoredRecord> packed;
        while (next < updates.size() && (bytes == 0 || bytes < updateBytes)) {
            bytes += updates[next].value.value_or("").size() + updates[next].key.size();
            packed.push_back(std::move(updates[next++]));
        }
        packUpdates(packed, message);
        // Each datagram covers the positions up to the first update of the next one.
        const fleet::StorePosition to = next < updates.size() ? updates[next].position : end;
        const wire::TableState now = state();
        message.tables = std::make_unique<wire::TableState>(
            now.configuration_version(), to.offset, std::min(now.last_change(), to.offset),
            now.read_age_ms(), to.era, now.is_reader());
        addEvacuations(m_context.evacuations, message);
        m_peers.broadcastTables(
            message, isReader() ? PeerChannel::Scope::Fleet : PeerChannel::Scope::OwnZone);
        from = to;
    }
}

void TableSync::broadcastConfiguration()
{
    const std::string &text = m_context.configurationText;
    wire::GatewayMessageT message;
    message.incarnation = m_context.membership.self().incarnation;
    message.tables = std::make_unique<wire::TableState>(state());
    addEvacuations(m_context.evacuations, message);
    message.packed_configuration =
        compress(reinterpret_cast<const std::uint8_t *>(text.data()), text.size());
    message.unpacked_configuration_bytes = static_cast<std::uint32_t>(text.size());
    if (message.packed_configuration.size() > maxConfigurationDatagram)
        message.packed_configuration.clear();
    m_peers.broadcastTables(message);
}

void TableSync::handleConfiguration(const std::string &ip, const wire::GatewayMessageT &message)
{
    if (message.packed_configuration.empty())
        return;
    if (message.unpacked_configuration_bytes > maxUnpackedBytes) {
        logUnusableTables(ip, "configuration is larger than it can be");
        return;
    }
    std::string text(message.unpacked_configuration_bytes, '\0');
    uLongf size = text.size();
    const int result =
        uncompress(reinterpret_cast<Bytef *>(text.data()), &size,
                   message.packed_configuration.data(), message.packed_configuration.size());
    if (result != Z_OK || size != text.size()) {
        logUnusableTables(ip, "configuration cannot be unpacked");
        return;
    }
    applyConfiguration(text, "peer");
}

void TableSync::fetchFirstTables(const std::string &ip, const wire::TableState &tables)
{
    const fleet::Membership &membership = m_context.membership;
    const auto sender = membership.peers().find(ip);
    const bool isNear = sender != membership.peers().end()
        && sender->second.info.availabilityZone == membership.self().availabilityZone;
    // All instances may start at the same time; each that has the tables then serves its zone.
    const bool isWaiting = membership.usesZoneReports() && !isNear && !isZoneFetcher()
        && Clock::now() - m_started < ownZoneTablesTime;
    if (tables.server_position() > 0 && !isWaiting)
        fetchTables(ip, true);
}

void TableSync::handleTables(const std::string &ip, const wire::GatewayMessageT &message)
{
    const wire::TableState &tables = *message.tables;
    applyPeerEvacuations(message);
    handleConfiguration(ip, message);
    // Positions of a peer without tables tell nothing.
    if (tables.server_position() > 0 || tables.store_era() > 0)
        handleEra(tables.store_era(), ip);
    if (!m_context.servers.hasSnapshot())
        fetchFirstTables(ip, tables);
    if (const auto updates = unpackUpdates(message); !updates)
        logUnusableTables(ip, updates.error().message);
    else if (!updates->empty())
        applyServers(*updates, {tables.store_era(), message.updates_from},
                     {tables.store_era(), tables.server_position()}, false, "peer");
    if (tables.is_reader())
        handleReaderState(ip, tables);
    const fleet::Configuration *configuration = m_context.routes.configuration();
    const std::uint64_t version = configuration ? configuration->version : 0;
    const TimePoint now = Clock::now();
    const bool isCurrent = now - m_ticked <= stallLimit && now >= m_peersConfirmFrom;
    if (isCurrent && tables.is_reader() && tables.configuration_version() == version)
        confirmConfiguration(now - milliseconds(tables.read_age_ms()));
    if (tables.configuration_version() > version)
        fetchConfiguration(ip, tables.configuration_version());
}

void TableSync::handleReaderState(const std::string &ip, const wire::TableState &tables)
{
    const fleet::StorePosition position = m_context.servers.position();
    const fleet::StorePosition lastChange{tables.store_era(), tables.last_change()};
    // What a reader has read before the store was restored is obsolete. A reader of a newer era is
    // a reason to read everything anew, not only the changes.
    if (!m_context.servers.hasSnapshot() || tables.store_era() != position.era)
        return;
    if (lastChange > position) {
        scheduleCatchUp(ip, lastChange);
        return;
    }
    const TimePoint readAt = Clock::now() - milliseconds(tables.read_age_ms());
    m_lastReaderContact = std::max(m_lastReaderContact, readAt);
    m_context.servers.advanceTo({tables.store_era(), tables.server_position()});
    // A recent read by the reader shows that the store is available to the fleet.
    if (milliseconds(tables.read_age_ms()) < serverLongPollTimeout)
        m_context.servers.storeAnswered(Clock::now());
}

void TableSync::applyPeerEvacuations(const wire::GatewayMessageT &message)
{
    if (!message.evacuations.empty())
        handleEvacuations(m_context.evacuations.merge(evacuationsOf(message), Clock::now()),
                          "peer");
}

void TableSync::handleEvacuations(const std::vector<fleet::Evacuations::Change> &changes,
                                  std::string_view source)
{
    if (changes.empty())
        return;
    logEvacuations(m_context.log, changes, source);
    m_encodedTables.clear();
    m_handlers.serversChanged();
    // Repeated with every message that carries tables, in case a datagram is lost.
    if (source != "peer")
        m_peers.announceTables(isReader() ? PeerChannel::Scope::Fleet
                                          : PeerChannel::Scope::OwnZone);
    else if (m_context.membership.usesZoneReports() && isZoneFetcher())
        m_peers.announce();
}

void TableSync::handleLeaving(const std::vector<fleet::LeavingServer> &servers,
                              std::string_view source, bool tellsOthers)
{
    std::vector<fleet::ServerDirectory::Change> changes;
    for (const fleet::LeavingServer &each : servers) {
        auto change = m_context.servers.markLeaving(each, Clock::now());
        if (!change)
            continue;
        changes.push_back(std::move(*change));
        if (!tellsOthers)
            continue;
        if (m_newlyLeaving.empty())
            m_context.timers.callAfter(leavingBroadcastDelay, [this] {
                m_peers.broadcastLeaving(std::exchange(m_newlyLeaving, {}));
            });
        m_newlyLeaving.push_back(each);
    }
    if (changes.empty())
        return;
    logChanges(changes, source);
    m_handlers.serversChanged();
}

void TableSync::logUnusableTables(const std::string &ip, std::string_view reason)
{
    m_context.log.write(EventLog::Level::Warning, "peer_tables_failed",
                        [&](LogLine &line) { line.text("peer", ip).text("reason", reason); });
}

void TableSync::readFromStore(bool wantsServers)
{
    if (!wantsServers)
        readConfiguration();
    else if (needsNewRead())
        readSnapshot();
    else if (m_context.servers.hasSnapshot())
        readServers();
}

void TableSync::scheduleCatchUp(const std::string &ip, fleet::StorePosition position)
{
    if (m_isCatchUpScheduled)
        return;
    m_isCatchUpScheduled = true;
    m_context.timers.callAfter(catchUpDelay, [this, ip, position] {
        m_isCatchUpScheduled = false;
        const fleet::StorePosition known = m_context.servers.position();
        if (known >= position)
            return;
        m_context.log.write(EventLog::Level::Info, "server_updates_missed", [&](LogLine &line) {
            line.text("peer", ip)
                .number("position", static_cast<std::int64_t>(known.offset))
                .number("changed_until", static_cast<std::int64_t>(position.offset));
        });
        // A datagram was lost, or the changes do not fit into one. The store returns only what is
        // missing; the peer returns all, but can be reached by an instance without the store.
        if (m_isStoreFailing) {
            fetchTables(ip, true);
            return;
        }
        if (Clock::now() >= m_nextRead)
            readServers(Duration::zero());
        schedulePeerCatchUp(ip, position);
    });
}

void TableSync::schedulePeerCatchUp(const std::string &ip, fleet::StorePosition position)
{
    if (m_isPeerCatchUpScheduled)
        return;
    m_isPeerCatchUpScheduled = true;
    m_context.timers.callAfter(peerCatchUpDelay, [this, ip, position] {
        m_isPeerCatchUpScheduled = false;
        if (m_context.servers.position() < position)
            fetchTables(ip, true);
    });
}

void TableSync::fetchConfiguration(const std::string &ip, std::uint64_t version)
{
    const fleet::Membership &membership = m_context.membership;
    const std::string &zone = membership.self().availabilityZone;
    const auto sender = membership.peers().find(ip);
    const bool isNear = !membership.usesZoneReports() || sender == membership.peers().end()
        || sender->second.info.availabilityZone == zone;
    if (isNear || isZoneFetcher()) {
        fetchTables(ip, false);
        return;
    }
    if (m_isFetchScheduled)
        return;
    m_isFetchScheduled = true;
    m_context.timers.callAfter(zoneFetchDelay, [this, ip, version] {
        m_isFetchScheduled = false;
        const fleet::Configuration *configuration = m_context.routes.configuration();
        if (!configuration || configuration->version < version)
            fetchTables(ip, false);
    });
}

bool TableSync::isZoneFetcher() const
{
    const fleet::InstanceInfo &self = m_context.membership.self();
    const auto zone = m_context.membership.instancesInZone(self.availabilityZone);
    for (std::size_t i = 0; i < std::min(zone.size(), zoneFetchers); ++i) {
        if (zone[i].ip == self.ip)
            return true;
    }
    return false;
}

void TableSync::fetchTables(const std::string &ip, bool wantsServers)
{
    if (m_isFetching || ip == m_context.settings.ip)
        return;
    m_isFetching = true;
    m_tablesFetched = Clock::now();
    auto connection = std::make_shared<loop::HttpClientConnection>(
        m_context.io, m_context.timers, Endpoint{ip, m_context.settings.tablePort});
    const std::string_view path = wantsServers ? serversPath : configurationPath;
    const auto timer =
        m_context.timers.callAfter(fetchTimeout, [this, connection, ip, wantsServers] {
            connection->close();
            m_isFetching = false;
            m_context.log.write(EventLog::Level::Warning, "peer_tables_timeout",
                                [&ip](LogLine &line) { line.text("peer", ip); });
            readFromStore(wantsServers);
        });
    connection->send(loop::formatRequest("GET", path, {{"Host", ip}}, {}, false), false,
                     fetchTimeout, nullptr,
                     [this, timer, ip, wantsServers](const loop::ClientResult &result) {
                         m_context.timers.cancel(timer);
                         m_isFetching = false;
                         if (result.status != loop::ClientStatus::ResponseReceived
                             || result.response.status != 200) {
                             logUnusableTables(ip, result.detail);
                             readFromStore(wantsServers);
                             return;
                         }
                         const std::string &body = result.response.body;
                         if (!wantsServers) {
                             applyConfiguration(body, "peer");
                             return;
                         }
                         flatbuffers::Verifier verifier(
                             reinterpret_cast<const std::uint8_t *>(body.data()), body.size());
                         if (!wire::VerifyGatewayMessageBuffer(verifier))
                             return;
                         wire::GatewayMessageT message;
                         wire::GetGatewayMessage(body.data())->UnPackTo(&message);
                         applyPeerEvacuations(message);
                         applyPeerTables(ip, message);
                     });
}

void TableSync::applyPeerTables(const std::string &ip, const wire::GatewayMessageT &message)
{
    const auto updates = unpackUpdates(message);
    if (!updates) {
        logUnusableTables(ip, updates.error().message);
        return;
    }
    if (!message.tables)
        return;
    const fleet::StorePosition end{message.tables->store_era(), message.tables->server_position()};
    // The servers that a table of an older era does not hold may have registered since.
    if (m_context.servers.hasSnapshot() && end.era < m_context.servers.position().era)
        return;
    handleLeaving(leavingOf(message), "peer", false);
    handleEra(end.era, ip);
    applyServers(*updates, {}, end, true, "peer");
}

void TableSync::handlePeerRequest(const std::shared_ptr<loop::HttpExchange> &exchange)
{
    const std::string_view path = exchange->request().path();
    if (path == configurationPath && m_context.routes.configuration()) {
        exchange->respond(200, {}, m_context.configurationText, true);
        return;
    }
    if (path != serversPath || !m_context.servers.hasSnapshot()) {
        exchange->respond(404, {}, "not known here", true);
        return;
    }
    exchange->respond(200, {}, encodedTables(), true);
}

const std::string &TableSync::encodedTables()
{
    const TimePoint now = Clock::now();
    if (m_encodedPosition == m_context.servers.position() && !m_encodedTables.empty()
        && now - m_tablesEncoded < encodedTablesLifetime)
        return m_encodedTables;
    wire::GatewayMessageT message;
    message.tables = std::make_unique<wire::TableState>(state());
    addEvacuations(m_context.evacuations, message);
    std::vector<StoredRecord> updates;
    for (const auto &[id, server] : m_context.servers.servers()) {
        // The receiver takes servers that are missing for removed.
        if (server.record.entry)
            updates.push_back(toStoredRecord(server.record));
    }
    packUpdates(updates, message);
    // The receiver may read records from a copy that are obsolete.
    addLeaving(m_context.servers.leavingServers(), message);
    flatbuffers::FlatBufferBuilder builder(4096);
    builder.Finish(wire::GatewayMessage::Pack(builder, &message), wire::GatewayMessageIdentifier());
    m_encodedTables.assign(reinterpret_cast<const char *>(builder.GetBufferPointer()),
                           builder.GetSize());
    m_encodedPosition = m_context.servers.position();
    m_tablesEncoded = now;
    return m_encodedTables;
}

} // namespace apricotrock::gateway
