#pragma once

#include "apricotrock/base.h"
#include "apricotrock/wire.h"

namespace apricotrock::platform {

/// A record as the log service returned it.
struct RawRecord
{
    std::uint64_t offset = 0;
    std::string data;
};

struct ReadAnswer
{
    /// First offset that the log still holds.
    std::uint64_t first = 0;
    /// Offset that the next append will get.
    std::uint64_t next = 0;
    std::vector<RawRecord> records;
};

enum class InstanceRole { Entry, Backend };
enum class InstanceListState { Live, Leaving };

/// One row of the platform's instance list.
struct InstanceInfo
{
    std::string name;
    InstanceRole role = InstanceRole::Entry;
    Endpoint address;
    std::string availabilityZone;
    InstanceListState state = InstanceListState::Live;
};

/// Ways in which a call to the platform fails.
enum class PlatformFailure {
    /// The service refused, or no byte was sent: the call had no effect.
    NotDone,
    /// The answer was lost: an append may have taken effect.
    Uncertain,
    /// The answer could not be understood.
    Malformed,
};

struct PlatformError
{
    PlatformFailure failure = PlatformFailure::NotDone;
    std::string message;
};

template <typename T>
using PlatformResult = tl::expected<T, PlatformError>;

/// Blocking client of the log service and the instance list over HTTP. Not thread safe: each thread
/// has its own. Connections idle for long are not reused.
class Client
{
public:
    /// Base URLs `http://IP:PORT`; every call ends within \a timeout (plus the wait of a read).
    Client(std::string logUrl, std::string instancesUrl, std::chrono::milliseconds timeout);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Returns the offset of the record.
    PlatformResult<std::uint64_t> append(std::string_view stream, std::string_view data);
    /// Waits up to \a wait for a record at \a from or later.
    PlatformResult<ReadAnswer> read(std::string_view stream, std::uint64_t from,
                                    std::size_t maxRecords, std::chrono::milliseconds wait);
    PlatformResult<std::vector<InstanceInfo>> instances();
    /// Size of the last answer of instances() in bytes; 0 before the first one.
    [[nodiscard]] std::size_t listBytes() const;
    /// Makes the call under way and all later ones fail at once; for any thread.
    void cancel();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

/// Appends a record and finds out whether it took effect: after an uncertain append it reads the
/// stream forward from \a from for the record's id, and appends again only with the same id.
/// Returns the offset at which the record stands first in the log; an error with
/// PlatformFailure::Uncertain if \a deadline passed before that was known.
PlatformResult<std::uint64_t> appendOnce(Client &client, std::string_view stream,
                                         const wire::LogRecordT &record, std::uint64_t from,
                                         TimePoint deadline);

struct LogTailParameters
{
    std::string stream;
    std::string logUrl;
    std::string instancesUrl;
    std::chrono::milliseconds requestTimeout{};
    std::chrono::milliseconds pollWait{std::chrono::seconds(5)};
    IncarnationId incarnation;
    std::string instance;
    std::size_t ringEntries = 1024;
    /// Shortest time between two appends; see appendIntervalFor().
    std::chrono::milliseconds appendInterval{40};
};

/// Appends a second that all instances together may make, below the several hundred that the log
/// takes from all its users.
inline constexpr std::uint64_t appendsPerSecond = 400;

/// Returns the time between two appends of one instance with which \a instances of them stay within
/// appendsPerSecond.
constexpr std::chrono::milliseconds appendIntervalFor(std::uint64_t instances)
{
    constexpr std::uint64_t millisecondsPerSecond = 1000;
    return std::chrono::milliseconds(instances * millisecondsPerSecond / appendsPerSecond);
}

/// Callbacks of a LogTail; they run on its threads and must not block.
struct LogTailCallbacks
{
    /// Called for each record in log order, also for records of this instance. \a firstOffset is
    /// the first offset that the log still held.
    std::function<void(std::uint64_t offset, std::shared_ptr<const wire::LogRecordT> record,
                       std::uint64_t firstOffset)>
        onRecord;
    /// Called for a record that could not be decoded; it counts as read.
    std::function<void(std::uint64_t offset, const Error &error)> onBadRecord;
    /// Called when the log becomes reachable or unreachable.
    std::function<void(bool isAvailable)> onStateChanged;
    /// Called once, when everything that the log held at the start has been read.
    std::function<void()> onCaughtUp;
};

/// Counters of a LogTail.
struct LogTailCounters
{
    std::uint64_t appends = 0;
    std::uint64_t appendedEntries = 0;
    std::uint64_t appendsUncertain = 0;
    std::uint64_t appendsRepeated = 0;
    std::uint64_t appendsDropped = 0;
    std::uint64_t recordsRead = 0;
    std::uint64_t badRecords = 0;
    std::uint64_t readFailures = 0;
    std::uint64_t bytesRead = 0;
    std::uint64_t bytesAppended = 0;
};

/// Tails one stream by long poll on one thread, and appends on another. Entries that wait while an
/// append is under way go together into the next record (group commit).
class LogTail
{
public:
    LogTail(LogTailParameters parameters, LogTailCallbacks callbacks);
    ~LogTail();
    LogTail(const LogTail &) = delete;
    LogTail &operator=(const LogTail &) = delete;

    /// Queues entries for one append; false if the queue is full. Entries whose \a deadline passes
    /// before they were sent once are dropped and counted; after an uncertain append the record is
    /// sent again with the same id until it is seen in the log or the tail stops.
    bool append(std::vector<std::shared_ptr<const wire::LogEntryT>> entries, TimePoint deadline);
    [[nodiscard]] LogTailCounters counters() const;
    /// Ends both threads; waits for queued appends until \a deadline.
    void stop(TimePoint deadline);

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

/// Bytes a second that polling the instance list may cost on average: a quarter of the 4 KB/s that
/// all control traffic of an instance may use.
inline constexpr std::uint64_t listBytesPerSecond = 1024;

/// Returns the time between two polls: \a interval, or longer if an answer of \a bytes at that
/// interval would cost more than listBytesPerSecond. Instances poll at different times and tell
/// each other of leaving backend servers, so that the fleet learns faster than one instance polls.
std::chrono::milliseconds pollDelay(std::chrono::milliseconds interval, std::size_t bytes);

/// Polls the instance list on a thread of its own, at the intervals of pollDelay().
class InstanceListPoller
{
public:
    using Callback = std::function<void(const std::vector<InstanceInfo> &instances)>;

    InstanceListPoller(std::string instancesUrl, std::chrono::milliseconds requestTimeout,
                       std::chrono::milliseconds interval, Callback callback);
    ~InstanceListPoller();
    InstanceListPoller(const InstanceListPoller &) = delete;
    InstanceListPoller &operator=(const InstanceListPoller &) = delete;

    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace apricotrock::platform
