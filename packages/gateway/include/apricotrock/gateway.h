#pragma once

#include "apricotrock/broker.h"
#include "apricotrock/fleet.h"
#include "apricotrock/loop.h"
#include "apricotrock/metrics.h"
#include "apricotrock/quota.h"

/// The request path of an entry instance on one event loop.
///
/// Independent of the platform: header names, record formats and store calls come from an Adapter.
namespace apricotrock::gateway {

/// Names of the headers that the gateway reads or sets.
struct HeaderNames
{
    /// Identifies one request of a caller; backend servers echo it.
    std::string requestId;
    /// Time in milliseconds that the caller waits for the response.
    std::string deadlineMs;
    /// Id of the intended backend server; any other one refuses the request.
    std::string expectedServer;
    /// Signature of a response that a backend server produced.
    std::string signature;
    /// Load report of a backend server.
    std::string load;
    /// Marks an answer of a backend server that did not run the request.
    std::string notExecuted;
    /// Id of the backend server that answered a probe.
    std::string serverId;
    /// "1" in every response of a backend server that is going to stop.
    std::string leaving;
    /// API key of a caller; never passed on.
    std::string apiKey;
    /// Name of the caller's organisation, for backend servers.
    std::string organisation;
    /// Time in milliseconds for which a backend server stays cold, in responses to probes.
    std::string coldRemainingMs;
};

enum class Topic { Configuration, BackendServers, Instances };

struct StoredRecord
{
    std::string key;
    fleet::StorePosition position;
    /// Nothing if the key was removed.
    std::optional<std::string> value;
};

/// Records read from the store.
struct StoredRecords
{
    std::vector<StoredRecord> records;
    /// Position after the last record of the topic, in the era of the answer.
    fleet::StorePosition end;
    /// The store does not hold the records from the position that was asked for: they have been
    /// discarded, or the store was restored from a copy that is older than the position.
    bool isTruncated = false;
};

/// The metadata store: a compacted log that keeps the newest record of each key.
class RecordStore
{
public:
    using ReadCallback = std::function<void(Result<StoredRecords>)>;
    using WriteCallback = std::function<void(Result<void>)>;

    RecordStore() = default;
    virtual ~RecordStore() = default;
    RecordStore(const RecordStore &) = delete;
    RecordStore &operator=(const RecordStore &) = delete;

    /// Reads the newest record of each key. Records written meanwhile may be among them; every
    /// record before `end` is.
    virtual void readNewest(Topic topic, ReadCallback callback) = 0;
    /// Reads the records from \a position on, and waits up to \a wait for one. If the answer has
    /// another era than \a position, its records are not those that follow what was read before.
    virtual void readFrom(Topic topic, fleet::StorePosition position, Duration wait,
                          ReadCallback callback) = 0;
    /// Writes one record. After an error it may have been written all the same.
    virtual void put(Topic topic, const std::string &key, const std::string &value,
                     WriteCallback callback) = 0;
};

/// Translates between the gateway and one platform.
struct Adapter
{
    HeaderNames headers;
    RecordStore *store = nullptr;
    std::function<std::optional<broker::LoadReport>(std::string_view header)> parseLoad;
    /// Nothing if the record names no server that can be used.
    std::function<std::optional<fleet::ServerEntry>(const std::string &id, std::string_view value)>
        decodeServer;
    std::function<Result<fleet::Configuration>(std::string_view value)> decodeConfiguration;
    /// Returns the availability zone that a record of the topic of the configuration orders to
    /// evacuate, by the key of the record, or nothing for other keys. May be empty.
    std::function<std::optional<std::string>(std::string_view key)> evacuatedZone;
};

struct GatewaySettings
{
    std::string instanceName;
    std::string ip;
    std::string availabilityZone;
    std::uint16_t callerPort = 0;
    /// UDP port of the datagrams between instances, the same on all instances.
    std::uint16_t peerPort = 0;
    /// TCP port on which instances serve their tables to each other.
    std::uint16_t tablePort = 0;
    std::uint16_t metricsPort = 0;
    /// IP addresses of instances that are queried for the others.
    std::vector<std::string> seeds;
    /// Processing capacity in relation to other instances.
    double weight = 1.0;
    /// Maximum time from the stop signal to the end of the process.
    Duration shutdownTimeout = std::chrono::seconds(6);
    broker::Policy policy;
    /// Bounds of the requests of an organisation, summed over all instances.
    quota::Bounds quota;
    /// Version of the program, and digest of the sources that it is made of; shown in the metrics.
    std::string version;
    std::string sourceDigest;
    /// Time after the acknowledgement of a configuration at which it must be in force.
    Duration configurationBound = std::chrono::milliseconds(2500);
    /// Shortest time without an answer of the store in which registrations of backend servers can
    /// expire.
    Duration minStoreOutage = std::chrono::milliseconds(2250);
    /// Memory for responses of backend servers, from their first byte until the caller has them.
    std::size_t responseMemoryBytes = std::size_t(32) * 1024 * 1024;
    /// Memory for the bodies of requests, from their header until the request is finished.
    std::size_t requestMemoryBytes = std::size_t(128) * 1024 * 1024;
    /// Rate of the own network link; 0 if it is not known.
    double linkBytesPerSecond = 0;
};

/// The time to send a body is taken into account for bodies above this size.
inline constexpr std::size_t minUploadBytes = std::size_t(16) * 1024;
inline constexpr Duration maxSendingTime = std::chrono::hours(1);

/// Returns the time to send a body of \a bodyBytes on a link of \a linkBytesPerSecond: 0 for a
/// small body or an unknown rate, and at most maxSendingTime.
Duration sendingTime(std::size_t bodyBytes, double linkBytesPerSecond);

/// One entry instance.
class Gateway
{
public:
    Gateway(asio::io_context &context, loop::LoopTimers &timers, loop::EventLog &log,
            const GatewaySettings &settings, Adapter adapter);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Opens all ports. Fails with the address that can't be used.
    Result<void> start();
    /// True while new callers are accepted.
    [[nodiscard]] bool isReady() const;
    /// Returns IP:PORT of instances for a caller, those in its availability zone first.
    [[nodiscard]] std::vector<std::string> callerAddresses(std::string_view availabilityZone) const;
    /// Announces the stop, finishes the active requests and then calls \a finished.
    void stop(const std::function<void()> &finished);

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace apricotrock::gateway
