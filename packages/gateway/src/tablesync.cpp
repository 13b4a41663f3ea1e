#include "tablesync.h"

#include <nlohmann/json.hpp>

#include <algorithm>

// Decides when tables are read from the store or fetched from a peer, and finds instances in the
// store. serversync.cpp and configurationsync.cpp read the tables, tableexchange.cpp exchanges them
// with other instances.
namespace apricotrock::gateway {

namespace {

using std::chrono::milliseconds;

constexpr Duration tickInterval = milliseconds(50);
/// An instance that has not heard from the reader for this long reads the store itself.
constexpr Duration baseReaderTimeout = milliseconds(1150);
/// In large fleets two instances of a zone read for the others of it, which wait for them this much
/// longer.
constexpr Duration zoneReaderDelay = milliseconds(600);
/// Interval of configuration reads by an instance that has lost contact with the reader.
constexpr Duration configurationInterval = milliseconds(800);
constexpr unsigned maxSnapshotDoublings = 2;
/// An instance may become the reader this long after it received its tables, when it knows most of
/// the other instances.
constexpr Duration readerTakeoverDelay = milliseconds(600);
/// The reader timeout starts this long after the instance received its tables; in large fleets it
/// takes longer until all agree on the reader.
constexpr Duration smallFleetStartupGrace = milliseconds(800);
constexpr Duration largeFleetStartupGrace = milliseconds(2000);
/// Instances are looked up in the store if no seed has named any within this time, plus a random
/// part of the second: the first to look register, and the others find them.
constexpr Duration seedTimeout = milliseconds(600);
constexpr Duration maxDiscoveryDelay = milliseconds(1400);
/// Tables are read from the store if no peer has supplied them within this time, plus a random part
/// of the second. Seeds read them at once.
constexpr Duration peerTablesTimeout = milliseconds(1000);
constexpr Duration maxPeerTablesDelay = milliseconds(1500);
/// The first configuration is looked for in the store if no reader has sent it within this time.
constexpr Duration firstConfigurationTimeout = milliseconds(3000);
/// An instance is registered in the store when the fleet has had this time to find itself.
constexpr Duration registrationDelay = milliseconds(2000);
/// Number of instances of each availability zone that are registered.
constexpr std::size_t registrarsPerZone = 3;
constexpr unsigned maxDiscoveryDoublings = 3;
/// Tables are requested from a peer if the store has not supplied all within this time.
constexpr Duration storeTimeout = milliseconds(400);
constexpr Duration fetchInterval = milliseconds(250);
/// Instances that learn from a peer that the store was restored read it again at random within this
/// time, so that it does not get all reads at once.
constexpr Duration smallFleetRereadSpread = milliseconds(100);
constexpr Duration largeFleetRereadSpread = milliseconds(600);

/// The reader confirms its configuration in this time: two long polls, the first of which returned
/// a version. Above it, it counts as one that has not read the store.
constexpr Duration maxReaderConfirmationAge = 2 * configurationLongPollTimeout;
/// Time after a pause of the event loop in which the messages that arrived meanwhile are handled.
constexpr Duration stallRecoveryTime = milliseconds(100);

} // namespace

TableSync::TableSync(Context &context, PeerChannel &peers, Handlers handlers)
    : m_context(context), m_peers(peers), m_handlers(std::move(handlers)),
      m_listener(context.io, context.timers,
                 [this](const auto &exchange) { handlePeerRequest(exchange); })
{
    m_context.metrics.gauge("apricotrock_configuration_version", "Version in force.", {}, [this] {
        const fleet::Configuration *configuration = m_context.routes.configuration();
        return configuration ? static_cast<double>(configuration->version) : 0.0;
    });
    m_context.metrics.gauge(
        "apricotrock_evacuated_zones", "Availability zones that are evacuated.", {},
        [this] { return static_cast<double>(m_context.evacuations.evacuatedCount(Clock::now())); });
    m_context.metrics.gauge(
        "apricotrock_evacuation_records_ignored",
        "Records of evacuations beyond the bound of their number or length.", {},
        [this] { return static_cast<double>(m_context.evacuations.ignoredRecords()); });
    m_context.metrics.gauge(
        "apricotrock_usable_servers", "Backend servers that may get new requests.", {}, [this] {
            const auto &servers = m_context.servers.servers();
            const TimePoint now = Clock::now();
            return static_cast<double>(
                std::count_if(servers.begin(), servers.end(), [this, now](const auto &each) {
                    return isUsable(m_context, each.second, now);
                }));
        });
    m_context.metrics.gauge(
        "apricotrock_server_position", "Position in the server records.", {},
        [this] { return static_cast<double>(m_context.servers.position().offset); });
    m_context.metrics.gauge("apricotrock_store_reader",
                            "1 while this instance reads the store for the fleet.", {},
                            [this] { return m_wasReading && isReader() ? 1.0 : 0.0; });
    m_context.metrics.gauge("apricotrock_store_era", "Highest era of the store that was reported.",
                            {}, [this] { return static_cast<double>(m_storeEra); });
    m_context.metrics.gauge("apricotrock_configuration_overdue",
                            "1 while a newer configuration may be in force elsewhere.", {},
                            [this] { return m_wasOverdue ? 1.0 : 0.0; });
}

Result<void> TableSync::start()
{
    m_started = Clock::now();
    auto listening = m_listener.listen({m_context.settings.ip, m_context.settings.tablePort});
    if (!listening)
        return listening;
    const std::vector<std::string> &seeds = m_context.settings.seeds;
    const bool isSeed = seeds.empty()
        || std::find(seeds.begin(), seeds.end(), m_context.settings.ip) != seeds.end();
    m_nextDiscovery = m_started + seedTimeout + randomPart(maxDiscoveryDelay);
    m_storeReadFrom =
        m_started + (isSeed ? Duration(0) : peerTablesTimeout + randomPart(maxPeerTablesDelay));
    if (isSeed) {
        readSnapshot();
        readConfiguration();
    }
    m_context.timers.callEvery(tickInterval, [this] { tick(); });
    return {};
}

bool TableSync::isComplete() const
{
    return m_context.routes.configuration() != nullptr && m_context.servers.hasSnapshot();
}

wire::TableState TableSync::state() const
{
    const fleet::Configuration *configuration = m_context.routes.configuration();
    const TimePoint now = Clock::now();
    // A reader that can read only the servers confirms no configuration to the others.
    const bool confirms = m_context.routes.organisations().isEmpty()
        || now - m_context.configurationConfirmedAt < maxReaderConfirmationAge;
    const TimePoint readAt = confirms
        ? m_lastSuccessfulRead
        : std::min(m_lastSuccessfulRead, m_context.configurationConfirmedAt);
    const auto age = std::chrono::duration_cast<milliseconds>(now - readAt);
    const fleet::StorePosition position = m_context.servers.position();
    return {configuration ? configuration->version : 0,
            position.offset,
            m_lastChange.era == position.era ? m_lastChange.offset : 0,
            static_cast<std::uint32_t>(std::min<std::int64_t>(age.count(), UINT32_MAX)),
            position.era,
            isReader() || isZoneReader()};
}

Duration TableSync::randomPart(Duration length)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, length.count())(m_random));
}

bool TableSync::isAlone() const
{
    return m_context.membership.aliveCount() <= 1;
}

bool TableSync::isRegistrar() const
{
    const fleet::InstanceInfo &self = m_context.membership.self();
    const auto zone = m_context.membership.instancesInZone(self.availabilityZone);
    return std::any_of(zone.begin(),
                       zone.begin()
                           + static_cast<std::ptrdiff_t>(std::min(zone.size(), registrarsPerZone)),
                       [&self](const auto &each) { return each.ip == self.ip; });
}

Duration TableSync::readerTimeout() const
{
    return m_context.membership.usesZoneReports() && !isZoneFetcher()
        ? baseReaderTimeout + zoneReaderDelay
        : baseReaderTimeout;
}

Duration TableSync::readerStartupGrace() const
{
    return m_context.membership.usesZoneReports() ? largeFleetStartupGrace : smallFleetStartupGrace;
}

bool TableSync::isZoneReader() const
{
    return m_wasReading && m_context.membership.usesZoneReports() && isZoneFetcher();
}

void TableSync::discoverInstances(TimePoint now)
{
    if (m_isRegistered && m_registeredEra < m_storeEra) {
        // The registration may have been written after the copy was taken.
        if (now - m_registered > retryInterval)
            registerInstance();
    } else if (!isAlone()) {
        const bool isDue = m_completedAt != TimePoint() && now - m_completedAt > registrationDelay
            && isRegistrar();
        if (isDue && !m_isRegistered && now - m_registered > retryInterval)
            registerInstance();
    } else if (now >= m_nextDiscovery) {
        readInstances();
    }
}

bool TableSync::isReader() const
{
    return m_context.membership.leaderFor("store-reader", true, Clock::now())
        == m_context.settings.ip;
}

void TableSync::resume()
{
    m_lastReaderContact = TimePoint();
}

void TableSync::tick()
{
    const TimePoint now = Clock::now();
    if (now - m_ticked > stallLimit)
        m_peersConfirmFrom = now + stallRecoveryTime;
    m_ticked = now;
    logConfirmation(now);
    const auto expired = m_context.servers.expire(now);
    if (!expired.empty()) {
        logChanges(expired, "grace_after_outage");
        m_handlers.serversChanged();
    }
    handleEvacuations(m_context.evacuations.expire(now), "grace_after_restore");
    discoverInstances(now);
    if (m_completedAt == TimePoint() && isComplete()) {
        m_completedAt = now;
        m_lastReaderContact = std::max(m_lastReaderContact, now + readerStartupGrace());
    }
    const bool isSettled =
        m_completedAt != TimePoint() && now - m_completedAt > readerTakeoverDelay;
    const bool isReading = isSettled && (isReader() || now - m_lastReaderContact > readerTimeout());
    if (isReading != m_wasReading) {
        m_wasReading = isReading;
        m_context.log.write(EventLog::Level::Info,
                            isReading ? "store_reading_started" : "store_reading_stopped",
                            [&](LogLine &line) {
                                line.flag("reads_for_fleet", isReader())
                                    .milliseconds("reader_silent", now - m_lastReaderContact);
                            });
    }
    if (!m_context.servers.hasSnapshot() || needsNewRead()) {
        readMissingServers(now);
    } else if (isReading && now >= m_nextRead) {
        readServers();
    }
    // Until the first version is published, the instance that will be the reader watches for it.
    const bool awaitsFirstConfiguration = !m_context.routes.configuration()
        && now >= m_storeReadFrom
        && (isReader() || isAlone() || now - m_storeReadFrom > firstConfigurationTimeout);
    if (isReading && !isReader()) {
        if (now - m_configurationRead > configurationInterval)
            readConfiguration();
    } else if (isReading || awaitsFirstConfiguration) {
        watchConfiguration();
    }
    fetchMissingTables(now);
}

void TableSync::readMissingServers(TimePoint now)
{
    const unsigned doublings = std::min(m_failedSnapshots, maxSnapshotDoublings);
    const TimePoint due = m_context.servers.hasSnapshot() ? m_rereadFrom : m_storeReadFrom;
    if (now >= due && now - m_serversRead > retryInterval * (1U << doublings))
        readSnapshot();
}

void TableSync::fetchMissingTables(TimePoint now)
{
    if (now - m_tablesFetched <= fetchInterval || now - m_started <= storeTimeout)
        return;
    if (needsNewRead()) {
        if ((m_isStoreFailing || m_failedSnapshots > 0) && !m_eraSource.empty())
            fetchTables(m_eraSource, true);
        return;
    }
    if (isComplete())
        return;
    // A peer may have the tables while the store is unavailable.
    const auto serving = m_context.membership.serving();
    if (serving.empty())
        return;
    const auto index =
        static_cast<std::size_t>(now.time_since_epoch().count() / 1000) % serving.size();
    fetchTables(serving[index], !m_context.servers.hasSnapshot());
}

bool TableSync::needsNewRead() const
{
    return m_context.servers.hasSnapshot() && m_context.servers.position().era < m_storeEra;
}

bool TableSync::acceptsEra(std::uint32_t era)
{
    if (era < m_storeEra) {
        m_context
            .counter("store_answers_obsolete_total",
                     "Answers of the store from before it was restored from a copy.")
            .add();
        return false;
    }
    handleEra(era, {});
    return true;
}

void TableSync::handleEra(std::uint32_t era, const std::string &source)
{
    const bool isRestored = m_isEraKnown && era > m_storeEra;
    const std::uint32_t before = m_storeEra;
    m_isEraKnown = true;
    m_storeEra = std::max(m_storeEra, era);
    if (!source.empty() && era == m_storeEra && needsNewRead())
        m_eraSource = source;
    if (!isRestored)
        return;
    m_context.log.write(EventLog::Level::Warning, "store_era_changed", [&](LogLine &line) {
        line.number("era", static_cast<std::int64_t>(era))
            .number("before", static_cast<std::int64_t>(before))
            .text("source", source.empty() ? "store" : "peer");
    });
    m_hasConfigurationPosition = false;
    m_failedSnapshots = 0;
    m_rereadFrom = Clock::now();
    if (source.empty())
        readConfiguration();
    else
        m_rereadFrom += randomPart(m_context.membership.usesZoneReports() ? largeFleetRereadSpread
                                                                          : smallFleetRereadSpread);
}

void TableSync::handleStoreSuccess()
{
    m_context.membership.setCanReadStore(true);
    if (std::exchange(m_isStoreFailing, false))
        m_context.log.write(EventLog::Level::Info, "store_regained");
}

void TableSync::handleStoreFailure(std::string_view operation, const Error &error)
{
    m_context.servers.storeFailed(Clock::now());
    m_context.membership.setCanReadStore(false);
    m_context
        .counter("store_failures_total", "Calls to the store without a usable answer.",
                 {{"operation", std::string(operation)}})
        .add();
    if (!std::exchange(m_isStoreFailing, true)) {
        m_context.log.write(EventLog::Level::Warning, "store_lost", [&](LogLine &line) {
            line.text("operation", operation).text("reason", error.message);
        });
        m_peers.announce();
    }
}

void TableSync::registerInstance()
{
    if (m_isRegistering)
        return;
    m_isRegistering = true;
    m_registered = Clock::now();
    const std::uint32_t era = m_storeEra;
    const nlohmann::json value = {{"zone", m_context.settings.availabilityZone}};
    m_context.adapter.store->put(Topic::Instances, m_context.settings.ip, value.dump(),
                                 [this, era](Result<void> result) {
                                     m_isRegistering = false;
                                     if (!result) {
                                         handleStoreFailure("register", result.error());
                                         return;
                                     }
                                     m_isRegistered = true;
                                     m_registeredEra = era;
                                 });
}

void TableSync::readInstances()
{
    // The answer, or the time of the next call after a failure, sets it anew.
    m_nextDiscovery = TimePoint::max();
    m_context.adapter.store->readNewest(Topic::Instances, [this](Result<StoredRecords> result) {
        const TimePoint now = Clock::now();
        if (!result) {
            handleStoreFailure("read_instances", result.error());
            const unsigned doublings = std::min(m_failedDiscoveries++, maxDiscoveryDoublings);
            m_nextDiscovery = now + retryInterval * (1U << doublings) + randomPart(retryInterval);
            return;
        }
        if (!acceptsEra(result->end.era)) {
            m_nextDiscovery = now + retryInterval;
            return;
        }
        m_failedDiscoveries = 0;
        bool hasNewPeer = false;
        for (const StoredRecord &record : result->records) {
            const auto value = nlohmann::json::parse(record.value.value_or("null"), nullptr, false);
            if (value.is_object() && value.contains("zone") && value["zone"].is_string())
                hasNewPeer |= m_peers.addPeer(record.key, value["zone"].get<std::string>(), true);
        }
        if (hasNewPeer) {
            // They may have stopped; if none answers, the list is read again.
            m_nextDiscovery = now + seedTimeout + randomPart(maxDiscoveryDelay);
            m_storeReadFrom =
                std::max(m_storeReadFrom, now + peerTablesTimeout + randomPart(maxPeerTablesDelay));
        } else if (!m_isRegistered && isAlone()) {
            // Others find this instance from now on. The later of two that register at the same
            // time finds the other when it reads the list again.
            registerInstance();
            m_nextDiscovery = now + retryInterval;
            m_storeReadFrom = std::min(m_storeReadFrom, now + 2 * retryInterval);
        }
    });
}

} // namespace apricotrock::gateway
