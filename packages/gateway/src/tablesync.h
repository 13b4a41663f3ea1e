#pragma once

#include "peerchannel.h"

namespace apricotrock::gateway {

/// How long the store holds a request for news of the backend servers; it answers at once when
/// there are some. News must be everywhere within two seconds, a change of the reader included.
inline constexpr Duration serverLongPollTimeout = std::chrono::milliseconds(800);

/// Keeps the configuration and the backend servers up to date with few calls to the store.
///
/// One instance reads the store and tells the others. Every instance reads for itself as soon as it
/// has not heard from the reader for a moment, so that a lost reader delays news by about a second.
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
    /// True once the configuration and the backend servers are known.
    [[nodiscard]] bool isComplete() const;
    /// Forgets when the store was read last, after a pause of the process.
    void resume();

private:
    void tick();
    void readSnapshot();
    void readServers();
    /// Lets the store wait for news for \a wait.
    void readServers(Duration wait);
    void watchConfiguration();
    void readConfiguration();
    void registerInstance();
    void readInstances();
    void handleStoreSuccess();
    /// Takes news of the servers that were read at \a readAt.
    void recordServerRead(TimePoint readAt);
    void handleStoreFailure(std::string_view operation, const Error &error);
    void applyServers(const std::vector<StoredRecord> &records, std::uint64_t from,
                      std::uint64_t end, bool isSnapshot, std::string_view source);
    void applyConfiguration(const std::string &text, std::string_view source);
    void applyConfigurationRecords(const std::vector<StoredRecord> &records);
    /// Tells the others what changed between two positions.
    void broadcastUpdates(std::vector<StoredRecord> updates, std::uint64_t from, std::uint64_t end);
    /// Tells of tables of a peer that could not be used.
    void logUnusableTables(const std::string &ip, std::string_view reason);
    /// Turns to the store, the other source of tables.
    void readFromStore(bool wantsServers);
    /// Reads from the store what a change up to \a position needs, unless it arrives meanwhile.
    void scheduleCatchUp(std::uint64_t position);
    void fetchConfiguration(const std::string &ip, std::uint64_t version);
    /// True if this instance gets news for its availability zone.
    [[nodiscard]] bool isZoneFetcher() const;
    void fetchTables(const std::string &ip, bool wantsServers);
    void handlePeerRequest(const std::shared_ptr<loop::HttpServerConnection> &connection);
    [[nodiscard]] bool isReader() const;
    [[nodiscard]] Duration shortestReadInterval() const;
    void logChanges(const std::vector<fleet::ServerDirectory::Change> &changes,
                    std::string_view source);

    Context &m_context;
    PeerChannel &m_peers;
    Handlers m_handlers;
    loop::HttpListener m_listener;
    /// The raw records of the backend servers, for peers.
    std::map<std::string, StoredRecord> m_records;
    std::uint64_t m_lastChange = 0;
    std::uint64_t m_configurationPosition = 0;
    bool m_hasConfigurationPosition = false;
    TimePoint m_started;
    /// When the tables were known for the first time.
    TimePoint m_completedAt;
    TimePoint m_lastReaderContact;
    /// Start of the last read, and answer of the last one that succeeded.
    TimePoint m_serversRead;
    TimePoint m_lastSuccessfulRead;
    TimePoint m_nextRead;
    unsigned m_failedReads = 0;
    TimePoint m_instancesRead;
    TimePoint m_registered;
    TimePoint m_configurationRead;
    TimePoint m_tablesFetched;
    bool m_isReadingServers = false;
    bool m_isWatching = false;
    bool m_isReadingConfiguration = false;
    bool m_isRegistered = false;
    bool m_isRegistering = false;
    bool m_isReadingInstances = false;
    bool m_hasInstances = false;
    bool m_isFetching = false;
    bool m_isFetchScheduled = false;
    bool m_isCatchUpScheduled = false;
    bool m_isStoreFailing = false;
    bool m_wasReading = false;
};

} // namespace apricotrock::gateway
