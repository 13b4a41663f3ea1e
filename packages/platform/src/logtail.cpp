#include "logappender.h"

#include <algorithm>
#include <atomic>
#include <future>

namespace apricotrock::platform {

namespace {

constexpr std::size_t readBatch = 256;
constexpr std::chrono::milliseconds firstRetryDelay{50};
constexpr std::chrono::milliseconds maxRetryDelay{1000};

} // namespace

struct LogTail::Private
{
    Private(LogTailParameters newParameters, LogTailCallbacks newCallbacks)
        : parameters(std::move(newParameters)), callbacks(std::move(newCallbacks)),
          client(parameters.logUrl, parameters.instancesUrl, parameters.requestTimeout),
          appender(parameters, progress)
    { }

    void runReader();
    void readOnce();
    void onAnswer(const ReadAnswer &answer, TimePoint started);
    void onRaw(const RawRecord &raw, std::uint64_t first);
    void setAvailable(bool isAvailable);
    void sleepFor(Duration duration);

    const LogTailParameters parameters;
    const LogTailCallbacks callbacks;
    Client client;
    ReadProgress progress;
    LogAppender appender;

    std::uint64_t position = 0;
    std::optional<std::uint64_t> initialEnd;
    bool isCaughtUp = false;
    std::optional<bool> wasAvailable;
    std::chrono::milliseconds retryDelay = firstRetryDelay;

    std::atomic<bool> isStopped = false;
    std::mutex mutex;
    std::condition_variable stopped;
    std::atomic<std::uint64_t> recordsRead = 0;
    std::atomic<std::uint64_t> badRecords = 0;
    std::atomic<std::uint64_t> readFailures = 0;
    std::atomic<std::uint64_t> bytesRead = 0;

    std::thread reader;
    std::thread writer;
    std::future<void> writerDone;
};

void LogTail::Private::runReader()
{
    while (!isStopped)
        readOnce();
    progress.stop();
}

void LogTail::Private::readOnce()
{
    const TimePoint started = Clock::now();
    const auto answer = client.read(parameters.stream, position, readBatch, parameters.pollWait);
    if (isStopped)
        return;
    // A log that ends before what was already read is not the log that was read.
    if (!answer || answer->next < position) {
        ++readFailures;
        setAvailable(false);
        sleepFor(retryDelay);
        retryDelay = std::min(retryDelay * 2, maxRetryDelay);
        return;
    }
    retryDelay = firstRetryDelay;
    setAvailable(true);
    onAnswer(*answer, started);
}

void LogTail::Private::onAnswer(const ReadAnswer &answer, TimePoint started)
{
    if (!initialEnd)
        initialEnd = answer.next;
    position = std::max(position, answer.first);
    for (const RawRecord &raw : answer.records) {
        onRaw(raw, answer.first);
        position = raw.offset + 1;
    }
    if (answer.records.empty() || position >= answer.next)
        progress.reachedEnd(started);
    if (!isCaughtUp && position >= *initialEnd) {
        isCaughtUp = true;
        if (callbacks.onCaughtUp)
            callbacks.onCaughtUp();
    }
}

void LogTail::Private::onRaw(const RawRecord &raw, std::uint64_t first)
{
    ++recordsRead;
    bytesRead += raw.data.size();
    auto record = wire::decodeLogRecord(raw.data);
    if (!record) {
        ++badRecords;
        if (callbacks.onBadRecord)
            callbacks.onBadRecord(raw.offset, record.error());
        return;
    }
    if (record->incarnation == parameters.incarnation.value)
        progress.seen(record->sequence);
    if (callbacks.onRecord) {
        auto shared = std::make_shared<const wire::LogRecordT>(std::move(*record));
        callbacks.onRecord(raw.offset, std::move(shared), first);
    }
}

void LogTail::Private::setAvailable(bool isAvailable)
{
    if (wasAvailable == isAvailable)
        return;
    wasAvailable = isAvailable;
    if (callbacks.onStateChanged)
        callbacks.onStateChanged(isAvailable);
}

void LogTail::Private::sleepFor(Duration duration)
{
    std::unique_lock lock(mutex);
    stopped.wait_for(lock, duration, [this] { return isStopped.load(); });
}

LogTail::LogTail(LogTailParameters parameters, LogTailCallbacks callbacks)
    : m_private(std::make_unique<Private>(std::move(parameters), std::move(callbacks)))
{
    std::promise<void> done;
    m_private->writerDone = done.get_future();
    m_private->reader = std::thread([state = m_private.get()] { state->runReader(); });
    m_private->writer = std::thread([state = m_private.get(), done = std::move(done)]() mutable {
        state->appender.run();
        done.set_value();
    });
}

LogTail::~LogTail()
{
    stop(Clock::now());
}

bool LogTail::append(std::vector<std::shared_ptr<const wire::LogEntryT>> entries,
                     TimePoint deadline)
{
    return m_private->appender.push(AppendJob{std::move(entries), deadline});
}

LogTailCounters LogTail::counters() const
{
    LogTailCounters counters;
    m_private->appender.addCounters(counters);
    counters.recordsRead = m_private->recordsRead;
    counters.badRecords = m_private->badRecords;
    counters.readFailures = m_private->readFailures;
    counters.bytesRead = m_private->bytesRead;
    return counters;
}

void LogTail::stop(TimePoint deadline)
{
    if (!m_private->reader.joinable())
        return;
    m_private->appender.close();
    m_private->writerDone.wait_until(deadline);
    {
        const std::lock_guard lock(m_private->mutex);
        m_private->isStopped = true;
    }
    m_private->stopped.notify_all();
    m_private->client.cancel();
    m_private->appender.cancel();
    m_private->progress.stop();
    m_private->reader.join();
    m_private->writer.join();
}

} // namespace apricotrock::platform
