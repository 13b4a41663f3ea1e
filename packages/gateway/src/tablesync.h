#pragma once

#include "peerchannel.h"

#include <random>

namespace apricotrock::gateway {

/// Long-poll time of a read of the backend servers; the store answers at once when there are
/// changes. Changes must reach all instances within two seconds, even if the reader changes.
inline constexpr Duration serverLongPollTimeout = std::chrono::milliseconds(800);

/// Long-poll time of a read of the configuration. Together with the call timeout it stays below the
/// two seconds within which a version must be in force, even if the connection stops responding.
inline constexpr Duration configurationLongPollTimeout = std::chrono::milliseconds(1200);

/// Interval of retries of calls to the store.
inline constexpr Duration retryInterval = std::chrono::milliseconds(300);

/// Messages that arrived while the event loop stood still for longer than this may be as old as the
/// pause. They confirm no configuration.
inline constexpr Duration stallLimit = std::chrono::milliseconds(400);

/// Returns \a record in the form in which instances exchange it.
StoredRecord toStoredRecord(const fleet::ServerRecord &record);

/// Keeps the configuration and the backend servers up to date with few calls to the store.
///
/// One instance, the reader, reads the store and distributes changes to the others. An instance
/// that has lost contact with the reader reads the store itself, so that the loss of the reader
/// delays changes by about a second.
class TableSync
{
public:
    struct Handlers
    {
        std::function<void()> serversChanged;
        std::function<void()> configurationChanged;
    };

    TableSync(Context &context, PeerChannel &peers, Handlers handlers);
    Result<void> start();

    [[nodiscard]] wire::TableState state() const;
    void handleTables(const std::string &ip, const wire::GatewayMessageT &message);
    /// Excludes backend servers that said that they leave. \a source is written to the log. If
    /// \a tellsOthers is set, the other instances are told.
    void handleLeaving(const std::vector<fleet::LeavingServer> &servers, std::string_view source,
                       bool tellsOthers);
    /// True once the configuration and the backend servers are known.
    [[nodiscard]] bool isComplete() const;
    /// Resets the time of the last contact with the reader, after the process was suspended.
    void resume();

private:
    void tick();
    void readSnapshot();
    void readServers();
    /// Reads changes, for which the store waits up to \a wait.
    void readServers(Duration wait);
    void watchConfiguration();
    void readConfiguration();
    void registerInstance();
    void readInstances();
    /// Finds other instances through the store if the seeds have not named any, and lets others
    /// find this one.
    void discoverInstances(TimePoint now);
    /// True if this instance is one of those of its zone that others find through the store.
    [[nodiscard]] bool isRegistrar() const;
    /// True while no other instance is known to live.
    [[nodiscard]] bool isAlone() const;
    /// Returns a random time up to \a length, so that instances that start together act in turn.
    Duration randomPart(Duration length);
    /// Time without contact to the reader after which this instance reads the store itself.
    [[nodiscard]] Duration readerTimeout() const;
    [[nodiscard]] Duration readerStartupGrace() const;
    /// True if this instance reads the store for those of its zone.
    [[nodiscard]] bool isZoneReader() const;
    /// Sends the accepted configuration to all instances of a large fleet.
    void broadcastConfiguration();
    void handleConfiguration(const std::string &ip, const wire::GatewayMessageT &message);
    /// Fetches the backend servers from a peer that knows them, if this instance does not.
    void fetchFirstTables(const std::string &ip, const wire::TableState &tables);
    [[nodiscard]] const std::string &encodedTables();
    void handleStoreSuccess();
    /// Records a successful read of the backend servers at \a readAt.
    void recordServerRead(TimePoint readAt);
    /// Records that the configuration in force was the newest one at \a time.
    void confirmConfiguration(TimePoint time);
    /// Writes to the log when the configuration becomes overdue or is confirmed again.
    void logConfirmation(TimePoint now);
    void handleStoreFailure(std::string_view operation, const Error &error);
    void applyServers(const std::vector<StoredRecord> &records, fleet::StorePosition from,
                      fleet::StorePosition end, bool isSnapshot, std::string_view source);
    void applyConfiguration(const std::string &text, std::string_view source);
    /// Applies records of the topic of the configuration. \a snapshotEnd is the position up to
    /// which they are complete, if they are the newest records of all keys.
    void applyConfigurationRecords(std::vector<StoredRecord> records,
                                   const std::optional<fleet::StorePosition> &snapshotEnd);
    void applyPeerEvacuations(const wire::GatewayMessageT &message);
    /// Applies and logs changes of the evacuated zones, and tells the other instances.
    void handleEvacuations(const std::vector<fleet::Evacuations::Change> &changes,
                           std::string_view source);
    /// Sends the changes between two positions to all instances.
    void broadcastUpdates(std::vector<StoredRecord> updates, fleet::StorePosition from,
                          fleet::StorePosition end);
    /// Notes the era of an answer of the store. Returns false if the answer is obsolete.
    bool acceptsEra(std::uint32_t era);
    /// Schedules a new read of the newest records if \a era is higher than all before. \a source is
    /// the peer that reported it, or empty for the store.
    void handleEra(std::uint32_t era, const std::string &source);
    /// True while the backend servers have not been read in the newest era.
    [[nodiscard]] bool needsNewRead() const;
    /// Reads all backend servers when it is time, from the store or a peer.
    void readMissingServers(TimePoint now);
    /// Fetches the tables that are missing from a peer while the store does not supply them.
    void fetchMissingTables(TimePoint now);
    /// Tells the other instances which records of the copy are obsolete.
    void reportObsoleteServers();
    void applyPeerTables(const std::string &ip, const wire::GatewayMessageT &message);
    /// Compares the position of a reader with that of this instance.
    void handleReaderState(const std::string &ip, const wire::TableState &tables);
    /// Logs that the tables of a peer could not be used.
    void logUnusableTables(const std::string &ip, std::string_view reason);
    /// Reads the tables from the store after a peer could not supply them.
    void readFromStore(bool wantsServers);
    /// Schedules a read of the changes up to \a position, which the peer at \a ip knows. It is
    /// skipped if they arrive meanwhile.
    void scheduleCatchUp(const std::string &ip, fleet::StorePosition position);
    /// Schedules a request to the peer at \a ip for its tables, in case the store answers late.
    void schedulePeerCatchUp(const std::string &ip, fleet::StorePosition position);
    void fetchConfiguration(const std::string &ip, std::uint64_t version);
    /// True if this instance fetches new configurations for its availability zone.
    [[nodiscard]] bool isZoneFetcher() const;
    void fetchTables(const std::string &ip, bool wantsServers);
    void handlePeerRequest(const std::shared_ptr<loop::HttpExchange> &exchange);
    [[nodiscard]] bool isReader() const;
    [[nodiscard]] Duration shortestReadInterval() const;
    void logChanges(const std::vector<fleet::ServerDirectory::Change> &changes,
                    std::string_view source);

    Context &m_context;
    PeerChannel &m_peers;
    Handlers m_handlers;
    loop::HttpListener m_listener;
    /// Position after the last record that changed routing, or the end of the last snapshot if it
    /// is higher. The records from there on are known to contain no other change.
    fleet::StorePosition m_lastChange;
    /// Leaving servers that the other instances are not told of yet.
    std::vector<fleet::LeavingServer> m_newlyLeaving;
    fleet::StorePosition m_configurationPosition;
    bool m_hasConfigurationPosition = false;
    /// The highest era that the store or a peer has reported, and whether any has.
    std::uint32_t m_storeEra = 0;
    bool m_isEraKnown = false;
    /// The peer that last reported the newest era before this instance had read it.
    std::string m_eraSource;
    /// Time at which the backend servers are read again after a change of the era.
    TimePoint m_rereadFrom;
    unsigned m_obsoleteReports = 0;
    /// Era in which this instance last registered itself.
    std::uint32_t m_registeredEra = 0;
    TimePoint m_started;
    /// The store is not read before this, because peers are likely to supply the tables.
    TimePoint m_storeReadFrom;
    /// Time at which an instance that is alone looks for others in the store.
    TimePoint m_nextDiscovery;
    /// The backend servers as sent to peers, when they were encoded, and at which position.
    std::string m_encodedTables;
    TimePoint m_tablesEncoded;
    fleet::StorePosition m_encodedPosition;
    /// Time at which all tables were first available.
    TimePoint m_completedAt;
    TimePoint m_lastReaderContact;
    /// Start of the last read, and time of the last successful one.
    TimePoint m_serversRead;
    TimePoint m_lastSuccessfulRead;
    TimePoint m_nextRead;
    unsigned m_failedReads = 0;
    unsigned m_failedSnapshots = 0;
    unsigned m_failedDiscoveries = 0;
    std::mt19937 m_random{std::random_device{}()};
    TimePoint m_registered;
    TimePoint m_configurationRead;
    TimePoint m_tablesFetched;
    bool m_isReadingServers = false;
    bool m_isWatching = false;
    bool m_isReadingConfiguration = false;
    bool m_isRegistered = false;
    bool m_isRegistering = false;
    bool m_isFetching = false;
    bool m_isFetchScheduled = false;
    bool m_isCatchUpScheduled = false;
    bool m_isPeerCatchUpScheduled = false;
    bool m_isStoreFailing = false;
    bool m_wasReading = false;
    bool m_wasOverdue = false;
    /// Last run of tick().
    TimePoint m_ticked;
    /// Messages of other instances confirm the configuration from then on.
    TimePoint m_peersConfirmFrom;
};

} // namespace apricotrock::gateway
