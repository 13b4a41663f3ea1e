#pragma once

#include "apricotrock/engine.h"

#include <atomic>

namespace apricotrock::daemon {

/// Records the events and effects of one lane as JSON lines. Thread safe; the lanes only read one
/// atomic while no recording is under way.
class TraceRecorder
{
public:
    /// Lines beyond this size are dropped, so that a trace cannot fill the memory.
    static constexpr std::size_t maxBytes = std::size_t(32) * 1024 * 1024;

    /// Starts with the parameters of the lane's engine; false if a recording is under way.
    bool start(const engine::Parameters &parameters, TimePoint now)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isActive)
            return false;
        m_text = engine::formatParameters(parameters) + '\n';
        m_lane = parameters.lane;
        m_started = now;
        m_isActive = true;
        return true;
    }

    /// Ends the recording and returns it.
    std::string finish()
    {
        const std::lock_guard lock(m_mutex);
        m_isActive = false;
        return m_text;
    }

    /// Returns the recording so far.
    [[nodiscard]] std::string text() const
    {
        const std::lock_guard lock(m_mutex);
        return m_text;
    }

    [[nodiscard]] bool isActive(std::uint32_t lane) const { return m_isActive && m_lane == lane; }

    void add(const engine::Event &event, TimePoint now)
    {
        append(engine::formatEvent(event, now - m_started.load()));
    }

    void add(const engine::Effect &effect, TimePoint now)
    {
        append(engine::formatEffect(effect, now - m_started.load()));
    }

private:
    void append(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isActive && m_text.size() + line.size() < maxBytes)
            m_text += line + '\n';
    }

    mutable std::mutex m_mutex;
    std::string m_text;
    std::atomic<bool> m_isActive{false};
    std::atomic<std::uint32_t> m_lane{0};
    std::atomic<TimePoint> m_started{};
};

} // namespace apricotrock::daemon
