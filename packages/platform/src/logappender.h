#pragma once

#include "apricotrock/platform.h"

#include <atomic>
#include <set>

namespace apricotrock::platform {

/// Entries that go together into one record.
struct AppendJob
{
    std::vector<std::shared_ptr<const wire::LogEntryT>> entries;
    TimePoint deadline;
};

/// What the reading thread has seen; joins the reading and the appending thread.
class ReadProgress
{
public:
    /// Tells that a record of this instance stands in the log.
    void seen(std::uint64_t sequence);
    /// Tells that a read that began at \a started reached the end of the log.
    void reachedEnd(TimePoint started);
    /// Ends all waits.
    void stop();
    /// Waits until \a sequence was seen (true), or the end was reached by a read that began after
    /// \a since, the progress was stopped, or \a timeout passed (false).
    bool waitFor(std::uint64_t sequence, TimePoint since, Duration timeout);
    /// Forgets \a sequence and all before it.
    void forget(std::uint64_t sequence);

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::set<std::uint64_t> m_seen;
    std::uint64_t m_forgotten = 0;
    TimePoint m_end{};
    bool m_isStopped = false;
};

/// Appends queued jobs on the calling thread, several to one record.
class LogAppender
{
public:
    LogAppender(const LogTailParameters &parameters, ReadProgress &progress);

    bool push(AppendJob job) { return m_ring.tryPush(std::move(job)); }
    /// Returns when the ring is closed and empty, or the appender is cancelled.
    void run();
    void close() { m_ring.close(); }
    void cancel();
    void addCounters(LogTailCounters &counters) const;

private:
    void collect();
    void dropExpired(TimePoint now);
    /// Builds the next record from the first pending jobs; returns its encoded form.
    std::string nextRecord(std::size_t &jobs);
    wire::LogRecordT buildRecord(std::size_t jobs) const;
    void appendBatch();
    /// Sends the record until it stands in the log; false if no byte was sent.
    bool send(const std::string &data);
    void waitBetweenAppends();
    void sleepFor(Duration duration);

    const LogTailParameters m_parameters;
    ReadProgress &m_progress;
    Client m_client;
    BoundedRing<AppendJob> m_ring;
    std::deque<AppendJob> m_pending;
    std::uint64_t m_sequence = 0;
    TimePoint m_lastAppend{};
    std::chrono::milliseconds m_retryDelay;
    std::atomic<bool> m_isCancelled = false;
    std::mutex m_mutex;
    std::condition_variable m_cancelled;
    std::atomic<std::uint64_t> m_appends = 0;
    std::atomic<std::uint64_t> m_entries = 0;
    std::atomic<std::uint64_t> m_uncertain = 0;
    std::atomic<std::uint64_t> m_repeated = 0;
    std::atomic<std::uint64_t> m_dropped = 0;
    std::atomic<std::uint64_t> m_bytes = 0;
};

} // namespace apricotrock::platform
