#include "apricotrock/platform.h"

#include <algorithm>

namespace apricotrock::platform {

namespace {

constexpr std::size_t readBatch = 256;
constexpr std::chrono::milliseconds firstDelay{50};
constexpr std::chrono::milliseconds maxDelay{1000};

/// Doubles its delay with each wait; never waits beyond the deadline.
class Backoff
{
public:
    explicit Backoff(TimePoint deadline) : m_deadline(deadline) { }

    void wait()
    {
        std::this_thread::sleep_until(std::min(m_deadline, Clock::now() + m_delay));
        m_delay = std::min(m_delay * 2, maxDelay);
    }

private:
    TimePoint m_deadline;
    std::chrono::milliseconds m_delay = firstDelay;
};

bool isSameRecord(const std::string &data, const wire::LogRecordT &record)
{
    const auto other = wire::decodeLogRecord(data);
    return other && other->incarnation == record.incarnation && other->sequence == record.sequence;
}

/// Reads from \a position to the end of the stream; moves \a position behind what was read.
PlatformResult<std::optional<std::uint64_t>> findRecord(Client &client, std::string_view stream,
                                                        const wire::LogRecordT &record,
                                                        std::uint64_t &position)
{
    while (true) {
        const auto answer = client.read(stream, position, readBatch, std::chrono::milliseconds(0));
        if (!answer)
            return tl::make_unexpected(answer.error());
        for (const RawRecord &raw : answer->records) {
            if (isSameRecord(raw.data, record))
                return std::optional(raw.offset);
            position = raw.offset + 1;
        }
        if (answer->records.empty() || position >= answer->next)
            return std::optional<std::uint64_t>();
    }
}

} // namespace

PlatformResult<std::uint64_t> appendOnce(Client &client, std::string_view stream,
                                         const wire::LogRecordT &record, std::uint64_t from,
                                         TimePoint deadline)
{
    const std::string data = wire::encodeLogRecord(record);
    Backoff backoff(deadline);
    std::uint64_t position = from;
    bool mayBeInLog = false;
    std::string lastError = "the deadline passed before the first append";
    while (Clock::now() < deadline) {
        if (mayBeInLog) {
            const auto found = findRecord(client, stream, record, position);
            if (found && *found)
                return **found;
            if (!found) {
                lastError = found.error().message;
                backoff.wait();
                continue;
            }
        }
        const auto offset = client.append(stream, data);
        // After an uncertain append an earlier copy may stand before the offset of this one.
        if (offset && !mayBeInLog)
            return *offset;
        if (offset)
            continue;
        lastError = offset.error().message;
        mayBeInLog = mayBeInLog || offset.error().failure != PlatformFailure::NotDone;
        backoff.wait();
    }
    const PlatformFailure kind = mayBeInLog ? PlatformFailure::Uncertain : PlatformFailure::NotDone;
    return tl::make_unexpected(PlatformError{kind, lastError});
}

} // namespace apricotrock::platform
