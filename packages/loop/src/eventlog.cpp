#include "apricotrock/loop.h"

#include <fmt/format.h>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

namespace apricotrock::loop {

namespace {

/// Maximum size of buffered log lines if the reader is too slow.
constexpr std::size_t maxPendingBytes = std::size_t(256) * 1024;
constexpr Duration flushInterval = std::chrono::milliseconds(200);
/// Number of requests without incident whose lines are written per second; others are counted.
constexpr unsigned sampledRequestsPerSecond = 5;

void appendEscaped(std::string &buffer, std::string_view value)
{
    for (const char each : value) {
        const auto byte = static_cast<unsigned char>(each);
        if (each == '"' || each == '\\') {
            buffer += '\\';
            buffer += each;
        } else if (byte < 0x20 || byte >= 0x7f) {
            fmt::format_to(std::back_inserter(buffer), "\\u{:04x}", byte);
        } else {
            buffer += each;
        }
    }
}

} // namespace

LogLine::LogLine(std::string &buffer, std::string_view level, std::string_view event)
    : m_buffer(buffer)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    fmt::format_to(std::back_inserter(m_buffer), R"({{"time":{}.{:03},"level":"{}","event":"{}")",
                   count / 1000, count % 1000, level, event);
}

LogLine &LogLine::text(std::string_view name, std::string_view value)
{
    fmt::format_to(std::back_inserter(m_buffer), R"(,"{}":")", name);
    appendEscaped(m_buffer, value);
    m_buffer += '"';
    return *this;
}

LogLine &LogLine::number(std::string_view name, std::int64_t value)
{
    fmt::format_to(std::back_inserter(m_buffer), R"(,"{}":{})", name, value);
    return *this;
}

LogLine &LogLine::milliseconds(std::string_view name, Duration value)
{
    const std::chrono::duration<double, std::milli> count = value;
    fmt::format_to(std::back_inserter(m_buffer), R"(,"{}_ms":{:.1f})", name, count.count());
    return *this;
}

LogLine &LogLine::flag(std::string_view name, bool value)
{
    fmt::format_to(std::back_inserter(m_buffer), R"(,"{}":{})", name, value);
    return *this;
}

EventLog::EventLog(LoopTimers &timers, int descriptor, std::string instance)
    : m_descriptor(descriptor), m_instance(std::move(instance))
{
    const int flags = fcntl(m_descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(m_descriptor, F_SETFL, flags | O_NONBLOCK);
    timers.callEvery(flushInterval, [this] { flush(); });
}

std::string_view EventLog::levelName(Level level)
{
    switch (level) {
    case Level::Info:
        return "info";
    case Level::Warning:
        return "warning";
    case Level::Error:
        return "error";
    }
    return "info";
}

bool EventLog::begin()
{
    if (m_pending.size() < maxPendingBytes)
        return true;
    ++m_droppedLines;
    return false;
}

bool EventLog::takeSample()
{
    const TimePoint now = Clock::now();
    if (now - m_sampleWindowStart >= std::chrono::seconds(1)) {
        m_sampleWindowStart = now;
        m_linesInWindow = 0;
        if (m_sampledOut > 0) {
            const std::uint64_t sampledOut = std::exchange(m_sampledOut, 0);
            write(Level::Info, "ordinary_requests_left_out", [sampledOut](LogLine &line) {
                line.number("count", static_cast<std::int64_t>(sampledOut));
            });
        }
    }
    if (m_linesInWindow >= sampledRequestsPerSecond) {
        ++m_sampledOut;
        return false;
    }
    ++m_linesInWindow;
    return true;
}

void EventLog::endLine(std::string &buffer) const
{
    buffer += R"(,"instance":")";
    appendEscaped(buffer, m_instance);
    buffer += "\"}\n";
}

void EventLog::addLines(const std::string &lines, bool isOrdinary)
{
    if (lines.empty() || (isOrdinary && !takeSample()))
        return;
    if (begin())
        m_pending += lines;
}

void EventLog::flush()
{
    if (m_droppedLines > m_reportedDroppedLines && m_pending.size() < maxPendingBytes / 2) {
        const auto count = static_cast<std::int64_t>(m_droppedLines - m_reportedDroppedLines);
        m_reportedDroppedLines = m_droppedLines;
        write(Level::Warning, "log_lines_dropped",
              [count](LogLine &line) { line.number("count", count); });
    }
    if (m_pending.empty())
        return;
    const ssize_t written = ::write(m_descriptor, m_pending.data(), m_pending.size());
    if (written > 0)
        m_pending.erase(0, static_cast<std::size_t>(written));
    // If the reader has closed its end, every write fails; maxPendingBytes bounds the buffer then.
}

} // namespace apricotrock::loop
