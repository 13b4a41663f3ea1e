#include "logappender.h"

#include <algorithm>

namespace apricotrock::platform {

namespace {

constexpr std::size_t maxJobsPerRecord = 256;
constexpr std::chrono::milliseconds firstRetryDelay{50};
constexpr std::chrono::milliseconds maxRetryDelay{1000};
constexpr std::chrono::hours idleWait{1};
/// A record that took effect is seen within one read. Without this bound a long poll of an idle log
/// would delay the next append by its whole wait; a second copy does no harm.
constexpr std::chrono::milliseconds seenTimeout{250};

} // namespace

void ReadProgress::seen(std::uint64_t sequence)
{
    const std::lock_guard lock(m_mutex);
    if (sequence > m_forgotten)
        m_seen.insert(sequence);
    m_changed.notify_all();
}

void ReadProgress::reachedEnd(TimePoint started)
{
    const std::lock_guard lock(m_mutex);
    m_end = std::max(m_end, started);
    m_changed.notify_all();
}

void ReadProgress::stop()
{
    const std::lock_guard lock(m_mutex);
    m_isStopped = true;
    m_changed.notify_all();
}

bool ReadProgress::waitFor(std::uint64_t sequence, TimePoint since, Duration timeout)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, timeout,
                       [&] { return m_isStopped || m_seen.contains(sequence) || m_end > since; });
    return m_seen.contains(sequence);
}

void ReadProgress::forget(std::uint64_t sequence)
{
    const std::lock_guard lock(m_mutex);
    m_forgotten = std::max(m_forgotten, sequence);
    m_seen.erase(m_seen.begin(), m_seen.upper_bound(sequence));
}

LogAppender::LogAppender(const LogTailParameters &parameters, ReadProgress &progress)
    : m_parameters(parameters), m_progress(progress),
      m_client(parameters.logUrl, parameters.instancesUrl, parameters.requestTimeout),
      m_ring(parameters.ringEntries), m_retryDelay(firstRetryDelay)
{ }

void LogAppender::run()
{
    while (!m_isCancelled) {
        if (m_pending.empty()) {
            auto job = m_ring.pop(Clock::now() + idleWait);
            if (!job && m_ring.isClosed())
                return;
            if (job)
                m_pending.push_back(std::move(*job));
            continue;
        }
        waitBetweenAppends();
        collect();
        dropExpired(Clock::now());
        if (!m_pending.empty() && !m_isCancelled)
            appendBatch();
    }
}

void LogAppender::cancel()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isCancelled = true;
    }
    m_cancelled.notify_all();
    m_client.cancel();
}

void LogAppender::addCounters(LogTailCounters &counters) const
{
    counters.appends = m_appends;
    counters.appendedEntries = m_entries;
    counters.appendsUncertain = m_uncertain;
    counters.appendsRepeated = m_repeated;
    counters.appendsDropped = m_dropped;
    counters.bytesAppended = m_bytes;
}

void LogAppender::collect()
{
    while (m_pending.size() < maxJobsPerRecord) {
        auto job = m_ring.tryPop();
        if (!job)
            return;
        m_pending.push_back(std::move(*job));
    }
}

void LogAppender::dropExpired(TimePoint now)
{
    m_dropped +=
        std::erase_if(m_pending, [now](const AppendJob &job) { return job.deadline < now; });
}

std::string LogAppender::nextRecord(std::size_t &jobs)
{
    for (jobs = m_pending.size(); jobs > 0; jobs /= 2) {
        std::string data = wire::encodeLogRecord(buildRecord(jobs));
        if (data.size() <= wire::maxLogRecordBytes)
            return data;
    }
    return {};
}

wire::LogRecordT LogAppender::buildRecord(std::size_t jobs) const
{
    wire::LogRecordT record;
    record.incarnation = m_parameters.incarnation.value;
    record.sequence = m_sequence;
    record.instance = m_parameters.instance;
    for (std::size_t i = 0; i < jobs; ++i) {
        for (const auto &entry : m_pending[i].entries)
            record.entries.push_back(std::make_unique<wire::LogEntryT>(*entry));
    }
    return record;
}

void LogAppender::appendBatch()
{
    ++m_sequence;
    std::size_t jobs = 0;
    const std::string data = nextRecord(jobs);
    if (jobs == 0) {
        // A single job above the size limit of a record can never be appended.
        m_pending.pop_front();
        ++m_dropped;
        return;
    }
    if (!send(data))
        return;
    ++m_appends;
    m_bytes += data.size();
    for (std::size_t i = 0; i < jobs; ++i) {
        m_entries += m_pending.front().entries.size();
        m_pending.pop_front();
    }
}

bool LogAppender::send(const std::string &data)
{
    bool mayBeInLog = false;
    while (!m_isCancelled) {
        m_lastAppend = Clock::now();
        const auto offset = m_client.append(m_parameters.stream, data);
        if (offset) {
            m_retryDelay = firstRetryDelay;
            m_progress.forget(m_sequence);
            return true;
        }
        if (offset.error().failure != PlatformFailure::NotDone) {
            mayBeInLog = true;
            ++m_uncertain;
        }
        sleepFor(m_retryDelay);
        m_retryDelay = std::min(m_retryDelay * 2, maxRetryDelay);
        if (!mayBeInLog)
            return false;
        if (m_progress.waitFor(m_sequence, Clock::now(), seenTimeout)) {
            m_progress.forget(m_sequence);
            return true;
        }
        ++m_repeated;
    }
    return mayBeInLog;
}

void LogAppender::waitBetweenAppends()
{
    const TimePoint next = m_lastAppend + m_parameters.appendInterval;
    const TimePoint now = Clock::now();
    if (next > now)
        sleepFor(next - now);
}

void LogAppender::sleepFor(Duration duration)
{
    std::unique_lock lock(m_mutex);
    m_cancelled.wait_for(lock, duration, [this] { return m_isCancelled.load(); });
}

} // namespace apricotrock::platform
