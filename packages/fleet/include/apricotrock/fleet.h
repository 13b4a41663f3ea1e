#pragma once

#include "apricotrock/base.h"

#include <array>
#include <map>
#include <unordered_map>

/// State that an instance keeps about its peers, the backend servers and the routes.
///
/// The functions do no I/O and do not read the clock. Records from several sources are merged by
/// their position in the platform's store, so that the result does not depend on the order of
/// arrival.
namespace apricotrock::fleet {

/// A position in a topic of the store. The era rises when the store comes back from a copy; its
/// offsets then start again from an earlier one.
struct StorePosition
{
    std::uint32_t era = 0;
    std::uint64_t offset = 0;

    auto operator<=>(const StorePosition &) const = default;
};

// Routes

/// One destination of a route.
struct Destination
{
    std::string service;
    /// Share of the requests, relative to the weights of the other destinations.
    double weight = 1.0;
};

struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    bool isIdempotent = false;
    /// Maximum time that a caller waits for the response.
    Duration timeout{};
    /// Target for the latency of the response.
    Duration objective{};
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// Maximum number of backend servers to which one request is sent.
    unsigned maxAttempts = 1;
    /// True if requests need no API key, although the configuration has organisations.
    bool isPublic = false;
    std::vector<Destination> destinations;
};

struct ServiceSettings
{
    std::string name;
    std::string probePath;
    /// Connections that one backend server accepts from all instances together.
    unsigned maxConnections = 0;
    /// Time for which a backend server is cold after its start.
    Duration coldTime{};
    /// Limit of the requests per second that a cold backend server gets; 0 is none.
    double coldStartsPerSecond = 0;
};

/// A group of callers that authenticate with the API keys of one name and share a usage cap.
struct Organisation
{
    std::string name;
    std::vector<std::string> apiKeys;
    /// Replaces the priority of the route.
    std::optional<unsigned> priority;
    /// Usage cap over all instances: a rate plus a burst. There is no cap if the rate is 0.
    double requestsPerSecond = 0;
    double burst = 0;
};

/// Limits on what callers may send.
struct CallerLimits
{
    std::size_t maxHeaderBytes = std::size_t(16) * 1024;
    std::size_t maxBodyBytes = std::size_t(1024) * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// One accepted version of the configuration.
struct Configuration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSettings> services;
    /// Callers need no API keys if there are none.
    std::vector<Organisation> organisations;
    CallerLimits limits;
};

/// Finds organisations by API key.
class OrganisationTable
{
public:
    OrganisationTable() = default;
    explicit OrganisationTable(std::shared_ptr<const Configuration> configuration);

    /// Returns the organisation that holds \a key, compared exactly, or nullptr.
    [[nodiscard]] const Organisation *find(std::string_view key) const;
    /// True if the configuration has no organisations, so that callers need no API key.
    [[nodiscard]] bool isEmpty() const;

private:
    std::shared_ptr<const Configuration> m_configuration;
    /// Refers to texts of the configuration.
    std::unordered_map<std::string_view, const Organisation *> m_byKey;
};

/// Finds routes by host and longest path prefix.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(std::shared_ptr<const Configuration> configuration);

    /// Returns the route of \a host with the longest path prefix that \a path starts with, or
    /// nullptr.
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const;
    [[nodiscard]] const ServiceSettings *service(std::string_view name) const;
    [[nodiscard]] const Configuration *configuration() const { return m_configuration.get(); }
    /// Returns the organisations of the same configuration.
    [[nodiscard]] const OrganisationTable &organisations() const { return m_organisations; }

private:
    std::shared_ptr<const Configuration> m_configuration;
    std::unordered_map<std::string, std::vector<const Route *>> m_byHost;
    OrganisationTable m_organisations;
};

/// Chooses a destination in proportion to the weights. \a random is uniform in [0, 1).
const Destination &chooseDestination(const Route &route, double random);

/// Checks \a configuration and returns a message for every problem, not only for the first one.
/// Each message names the route or organisation and the field, and tells how to correct it. No
/// message contains an API key.
std::vector<std::string> validate(const Configuration &configuration);

// Backend servers

enum class ServerPhase : std::uint8_t { Ready, Draining };

/// What a backend server registered about itself.
struct ServerEntry
{
    std::string id;
    std::string service;
    Endpoint address;
    std::string availabilityZone;
    std::string softwareVersion;
    unsigned slots = 1;
    ServerPhase phase = ServerPhase::Ready;
    /// Remaining time in which the server is slow after its start.
    Duration slowStartRemaining{};
    /// Start of the process, Unix milliseconds; distinguishes processes with the same id.
    std::uint64_t processStartMs = 0;
    /// Rises with each record that the process writes; 0 if the record has no number.
    std::uint64_t sequence = 0;

    /// Compares the fields that affect routing; the remaining slow start does not.
    [[nodiscard]] bool hasSameRoutingAs(const ServerEntry &other) const;
};

/// The newest record of one backend server. It has no entry if the server was removed or the
/// record could not be read.
struct ServerRecord
{
    std::string id;
    StorePosition position;
    std::optional<ServerEntry> entry;
    /// The record as the store holds it, for other instances. Empty if there is no entry.
    std::string text = {};
};

/// The newest record of a backend server, and the state that this instance derives from it.
struct KnownServer
{
    ServerRecord record;
    /// Position of the last record that was accepted. That of \c record may be higher: it covers
    /// records that were found to be obsolete.
    StorePosition acceptedPosition;
    /// The last readable entry. It is kept after a removal while the server may register again
    /// after a store outage.
    std::optional<ServerEntry> entry;
    /// End of the grace period of a server that was removed during or shortly after a store
    /// outage. The server remains in use until then.
    std::optional<TimePoint> removalGraceUntil;
    /// End of the time in which the server is slow after its start.
    TimePoint slowStartUntil;
    /// The process of the entry said in a response that it leaves, or the entry is known to be
    /// obsolete. Its record may still say ready.
    bool isLeaving = false;
};

/// A process of a backend server that said in a response that it leaves, or whose records up to a
/// sequence number are obsolete because it was removed or is draining.
struct LeavingServer
{
    std::string id;
    std::uint64_t processStartMs = 0;
    /// Records up to this sequence number are obsolete; 0 means all of them.
    std::uint64_t obsoleteSequence = 0;
    /// Position of the removal or of the record that says draining. In its era the position
    /// decides, not the sequence number.
    StorePosition obsoletePosition = {};
};

/// The backend servers as of a position in the store's stream of records.
class ServerDirectory
{
public:
    struct Change
    {
        std::string id;
        std::string what;
        StorePosition position;
    };

    /// True if \a record replaces what is known of its server. Within an era, the higher position
    /// decides; a record from before the position of the directory adds no server that is unknown.
    /// Between records of different eras, the position does not show whether a record
    /// comes from the copy: the sequence number decides between records of one process, and the
    /// start time between records of different processes.
    [[nodiscard]] bool accepts(const ServerRecord &record) const;
    /// Merges the \a records that it accepts. Returns the changes that affect routing.
    std::vector<Change> merge(const std::vector<ServerRecord> &records, TimePoint now);
    /// Merges the complete set of records as of the position \a end. Known servers that are
    /// missing from it were removed before \a end, unless their record was written at \a end or
    /// later. In the first snapshot of an era they may be missing because the copy is older than
    /// their registration; they stay usable for a grace period. Returns the changes that affect
    /// routing.
    std::vector<Change> mergeSnapshot(const std::vector<ServerRecord> &records, StorePosition end,
                                      TimePoint now);
    /// Records that a process of a backend server leaves, as it said itself, or that its records
    /// up to a sequence number are obsolete. The first mark outlives later records of the same
    /// process, unless they say draining and then ready; the second ends with a record that has a
    /// higher sequence number, or a higher position in the same era. Returns the change if the
    /// server was usable until now.
    std::optional<Change> markLeaving(const LeavingServer &leaving, TimePoint now);
    /// Returns the processes that said that they leave while their record still says ready,
    /// and the last records of those that were removed or are draining. The latter take effect at
    /// an instance after the store has been restored from a copy.
    [[nodiscard]] std::vector<LeavingServer> leavingServers() const;
    /// Records that all records before \a position have been merged.
    void advanceTo(StorePosition position);
    /// Sets the shortest time without an answer of the store in which registrations can expire.
    void setMinOutage(Duration length) { m_minOutage = length; }
    /// Record the outcome of a call to the store. An outage is a time without any answer, from the
    /// last one before the first failed call, that is at least as long as the minimum. Servers
    /// whose removal is read during or shortly after an outage stay usable for a grace period, in
    /// which they can register again.
    void storeAnswered(TimePoint now);
    void storeFailed(TimePoint now);
    /// True while the store is in an outage.
    [[nodiscard]] bool isInOutage(TimePoint now) const;
    /// Removes servers whose grace period after a store outage has ended, and returns these
    /// changes.
    std::vector<Change> expire(TimePoint now);

    [[nodiscard]] bool hasSnapshot() const { return m_hasSnapshot; }
    [[nodiscard]] StorePosition position() const { return m_position; }
    [[nodiscard]] const std::map<std::string, KnownServer> &servers() const { return m_servers; }
    /// True if new requests may be sent to \a server.
    static bool isUsable(const KnownServer &server);

private:
    /// The last record of a process that was removed or is draining.
    struct ObsoleteRecords
    {
        std::uint64_t processStartMs = 0;
        std::uint64_t sequence = 0;
        /// Position of the removal or of the record that says draining.
        StorePosition position;
        TimePoint recordedAt;
        /// Another instance reported it.
        bool isFromPeer = false;
    };

    std::optional<Change> mergeRecord(const ServerRecord &record, TimePoint now);
    std::optional<Change> mergeEntry(const ServerRecord &record, TimePoint now);
    std::optional<Change> mergeRemoval(const ServerRecord &record, TimePoint now);
    std::optional<Change> markObsolete(const LeavingServer &leaving, TimePoint now);
    /// Excludes a usable server whose record comes from the copy and is obsolete.
    std::optional<Change> excludeObsolete(KnownServer &server);
    void recordObsolete(const std::string &id, const ObsoleteRecords &obsolete);
    [[nodiscard]] bool isObsolete(const ServerEntry &entry, const StorePosition &position) const;
    [[nodiscard]] bool hasEntry(const std::string &id) const;
    [[nodiscard]] std::optional<TimePoint> removalGrace(TimePoint now) const;

    std::map<std::string, KnownServer> m_servers;
    /// Start times of leaving processes by server id, also of servers that are not known yet.
    std::map<std::string, std::uint64_t> m_leaving;
    /// By server id, also of servers that are not known yet.
    std::map<std::string, ObsoleteRecords> m_obsolete;
    StorePosition m_position;
    bool m_hasSnapshot = false;
    /// True while the first snapshot of an era is merged.
    bool m_isFirstOfEra = false;
    /// True while a snapshot is merged that is not older than the position.
    bool m_isNewSnapshot = false;
    Duration m_minOutage = std::chrono::milliseconds(2250);
    std::optional<TimePoint> m_lastAnswer;
    /// Last answer before the first of the calls that failed since.
    std::optional<TimePoint> m_unansweredSince;
    std::optional<TimePoint> m_outageEnded;
};

// Evacuations

/// The newest record about the evacuation of an availability zone.
struct EvacuationOrder
{
    std::string availabilityZone;
    StorePosition position;
    /// False if the order was withdrawn.
    bool isActive = false;
};

/// The orders to send no requests to the backend servers of availability zones.
///
/// The newest record of each zone by its position in the store counts, whatever the order of
/// arrival.
class Evacuations
{
public:
    struct Change
    {
        std::string availabilityZone;
        bool isEvacuated = false;
        StorePosition position;
    };
    /// Bounds of the memory and of the messages that repeat the orders.
    static constexpr std::size_t maxOrders = 32;
    static constexpr std::size_t maxZoneBytes = 128;
    /// An order that is missing after the store was restored from a backup stays in force for this
    /// long, in which it can be written again.
    static constexpr Duration restoreGrace = std::chrono::seconds(10);

    /// Merges \a orders and returns the zones that are evacuated or no longer evacuated since.
    std::vector<Change> merge(const std::vector<EvacuationOrder> &orders, TimePoint now);
    /// Merges the complete set of records as of the position \a end. A known order that is missing
    /// from it was withdrawn before \a end if it is of the same era. One of an earlier era stays in
    /// force for restoreGrace from the first such read.
    std::vector<Change> mergeSnapshot(const std::vector<EvacuationOrder> &orders,
                                      const StorePosition &end, TimePoint now);
    /// Withdraws the orders whose grace has ended.
    std::vector<Change> expire(TimePoint now);

    [[nodiscard]] bool isEvacuated(std::string_view availabilityZone, TimePoint now) const;
    /// Returns the time at which this instance learned of the last withdrawal for a zone, or
    /// nothing if it knows of none or the zone is evacuated again.
    [[nodiscard]] std::optional<TimePoint> restoredAt(std::string_view availabilityZone) const;
    [[nodiscard]] std::size_t evacuatedCount(TimePoint now) const;
    /// Returns the newest records, withdrawals included, for other instances.
    [[nodiscard]] std::vector<EvacuationOrder> orders() const;
    /// Number of records that were ignored because of the bounds.
    [[nodiscard]] std::uint64_t ignoredRecords() const { return m_ignoredRecords; }

private:
    struct Known
    {
        StorePosition position;
        bool isActive = false;
        std::optional<TimePoint> restored;
        /// The order is missing from a later era and is withdrawn at this time, by a record at
        /// missingFrom.
        std::optional<TimePoint> graceUntil;
        StorePosition missingFrom;
    };

    std::optional<Change> mergeOrder(const EvacuationOrder &order, TimePoint now);
    /// Withdraws an order of a peer for a zone that was unknown here, if the last complete set of
    /// records should have held it. One of an earlier era gets its grace period.
    void applySnapshotEnd(Known &known, TimePoint now) const;
    /// Makes room for another zone. Returns false if all known orders are in force.
    bool makeRoom();

    std::map<std::string, Known, std::less<>> m_orders;
    /// Position up to which the newest complete set of records was merged.
    std::optional<StorePosition> m_snapshotEnd;
    std::uint64_t m_ignoredRecords = 0;
};

// Instances

enum class InstancePhase : std::uint8_t { Starting, Ready, Leaving, Stopped };

/// What an instance reports about itself.
struct InstanceInfo
{
    /// Random at each start of the process.
    std::uint64_t incarnation = 0;
    std::string ip;
    std::string availabilityZone;
    InstancePhase phase = InstancePhase::Starting;
    /// Relative processing capacity.
    double weight = 1.0;
    bool canReadStore = true;
};

struct Peer
{
    InstanceInfo info;
    TimePoint lastHeard;
    /// Time of the last message that came from the peer itself.
    TimePoint lastMessage;
    /// Until then, the peer counts as one that does not hear the own availability zone.
    TimePoint deafUntil;
    bool isAlive = false;
    /// True if the peer is known through the reports of its availability zone instead of its own
    /// heartbeats.
    bool isFromZoneReport = false;
    /// The peer gets no roles until then, because requests to it were not answered.
    TimePoint suspectUntil;
    TimePoint lastHeartbeatSent;
    /// Time at which contact to the peer was lost; nothing if it was never alive or said that it
    /// stops.
    std::optional<TimePoint> lostAt;
};

/// How much of the fleet an instance is in contact with, itself included.
struct FleetContact
{
    std::size_t alive = 1;
    /// The live instances and those that were lost less than 12 s ago without announcing a stop.
    std::size_t known = 1;

    /// True if contact to at least half of the known fleet is lost.
    [[nodiscard]] bool hasLostHalf() const { return (known - alive) * 2 >= known; }
};

/// Order of the instances of an availability zone in the tree by which they relay a message.
/// Instances that relay it in one order are leaves in the other, so that a message sent in both
/// orders reaches all other instances if one fails.
enum class RelayOrder : std::uint8_t { None, Ascending, Descending };

/// The other instances, by IP number.
class Membership
{
public:
    explicit Membership(InstanceInfo self) : m_self(std::move(self)) { }

    [[nodiscard]] const InstanceInfo &self() const { return m_self; }
    void setPhase(InstancePhase phase)
    {
        m_self.phase = phase;
        ++m_generation;
    }
    void setCanReadStore(bool canRead)
    {
        m_generation += m_self.canReadStore != canRead ? 1 : 0;
        m_self.canReadStore = canRead;
    }

    /// Adds an instance that is known from another source than its own messages. It counts as
    /// alive only after its first message. Returns true if it was unknown.
    bool addPeer(const InstanceInfo &info, TimePoint now);
    /// Updates a peer from its own message. Returns true if the peer is alive and either was not
    /// alive before or has restarted.
    bool updatePeer(const InstanceInfo &info, TimePoint now);
    /// Records a message without a state report from a peer that runs as \a incarnation.
    void recordMessage(const std::string &ip, std::uint64_t incarnation, TimePoint now);
    /// Records that the message of the last updatePeer() came from the peer itself.
    void recordHeartbeat(const std::string &ip, TimePoint now);
    /// Returns the availability zones with an instance that should be heard, but none was lately.
    [[nodiscard]] std::vector<std::string> unheardZones(TimePoint now) const;
    /// Records that the peer at \a ip, or all peers of \a availabilityZone, said that they do not
    /// hear the zones in \a unheard.
    void recordUnheardZones(const std::string &ip, const std::vector<std::string> &unheard,
                            TimePoint now);
    void recordUnheardZonesOf(const std::string &availabilityZone,
                              const std::vector<std::string> &unheard, TimePoint now);
    /// Applies the report of another availability zone about all of its live instances. Instances
    /// of that zone that are missing from the report and sent no recent message are marked as
    /// dead.
    void applyZoneReport(const std::string &availabilityZone,
                         const std::vector<InstanceInfo> &instances, TimePoint now);
    /// True if the instances of other availability zones are known through zone reports, because
    /// heartbeats to all of them would cost too much.
    [[nodiscard]] bool usesZoneReports() const;
    /// Returns the live instances of \a availabilityZone in a fixed order.
    [[nodiscard]] std::vector<InstanceInfo>
    instancesInZone(std::string_view availabilityZone) const;
    /// Returns the instance of \a availabilityZone that gets a message first, or an empty text.
    [[nodiscard]] std::string relayRoot(std::string_view availabilityZone, RelayOrder order) const;
    /// Returns the instances of the own zone to which this instance relays a message.
    [[nodiscard]] std::vector<std::string> relayTargets(RelayOrder order) const;
    /// Excludes the instance \a ip from roles for \a length.
    void markSuspect(const std::string &ip, Duration length, TimePoint now);
    /// Marks peers without recent messages as dead and returns their IP numbers.
    std::vector<std::string> expire(TimePoint now);

    [[nodiscard]] const std::map<std::string, Peer> &peers() const { return m_peers; }
    std::map<std::string, Peer> &peers() { return m_peers; }

    /// Returns the IP number of the leader for \a role, by weighted rendezvous hashing over the
    /// live instances of large weight, including this one. If \a mustReadStore is set, only
    /// instances that can read the store are candidates. While no instance is ready, those that
    /// start are candidates. The result is kept until a candidate changes.
    [[nodiscard]] std::string leaderFor(std::string_view role, bool mustReadStore,
                                        TimePoint now) const;
    /// Returns the leader for \a role as leaderFor() does, but excludes suspected instances only if
    /// they have sent no message for 0.8 s: an instance that is heard may still act as leader
    /// for others. The result is not kept.
    [[nodiscard]] std::string leaderAmongHeard(std::string_view role, TimePoint now) const;
    /// Returns the IP numbers of the live instances that accept connections from callers.
    [[nodiscard]] std::vector<std::string> serving() const;
    /// Returns the number of live instances, including this one.
    [[nodiscard]] std::size_t aliveCount() const;
    [[nodiscard]] FleetContact contact(TimePoint now) const;
    /// Returns the contact for limits that a separated part of the fleet must not exceed even
    /// before its peers count as lost: an instance that heard nobody for 1.2 s reaches only itself.
    /// Peers that were added less than 12 s ago and have not sent a message yet count as known,
    /// because they may lead another part.
    [[nodiscard]] FleetContact recentContact(TimePoint now) const;
    /// Returns the contact for limits that two separated parts of the fleet must not exceed
    /// together: the instances of another availability zone count as alive only if one of them was
    /// heard less than 0.8 s ago, and those that said that they do not hear the own zone do not
    /// count. This shows a partition between zones, also in one direction only, before its
    /// instances count as lost. Lost instances are known for as long as they are kept, 60 s.
    [[nodiscard]] FleetContact zoneContact(TimePoint now) const;
    /// Returns the IP numbers of the other instances that accept connections from callers: those
    /// alive, or if there are none, those that count as known in contact().
    [[nodiscard]] std::vector<std::string> otherServing(TimePoint now) const;
    /// Returns the number of live instances of \a availabilityZone without this one.
    [[nodiscard]] std::size_t alivePeersIn(std::string_view availabilityZone) const;

private:
    struct KnownLeader
    {
        std::string ip;
        std::uint64_t generation = 0;
        /// End of the first suspicion that excluded a candidate.
        TimePoint validUntil;
    };

    /// Suspected instances without a message for \a silence are no candidates.
    [[nodiscard]] KnownLeader findLeader(std::string_view role, bool mustReadStore, TimePoint now,
                                         Duration silence) const;

    InstanceInfo m_self;
    std::map<std::string, Peer> m_peers;
    /// Increased with each change that can affect findLeader().
    std::uint64_t m_generation = 1;
    /// Leaders by role; the second map requires that they can read the store.
    mutable std::array<std::map<std::string, KnownLeader, std::less<>>, 2> m_leaders;
};

} // namespace apricotrock::fleet
