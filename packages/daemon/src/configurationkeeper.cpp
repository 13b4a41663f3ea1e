#include "configurationkeeper.h"

#include "wallclock.h"

namespace apricotrock::daemon {

namespace {

/// Time to wait for an appended snapshot to be read back before it is appended again.
constexpr std::chrono::seconds appendPatience{30};

} // namespace

ConfigurationKeeper::ConfigurationKeeper(Duration retention, ChangeCallback onChange)
    : m_retention(retention), m_onChange(std::move(onChange))
{ }

void ConfigurationKeeper::fold(std::uint64_t offset,
                               const std::shared_ptr<const wire::LogRecordT> &record,
                               std::optional<std::uint64_t> firstOffset, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (firstOffset || !m_isFirstKnown)
        m_firstOffset = firstOffset.value_or(offset);
    m_isFirstKnown = true;
    foldRecord(m_state, offset, record, m_firstOffset);
    if (m_isCaughtUp)
        putInForce();
    if (m_state.newestSnapshotOffset != m_snapshotOffset) {
        m_snapshotOffset = m_state.newestSnapshotOffset;
        m_snapshotSeen = now;
        m_snapshotDue.reset();
    }
}

Result<bool> ConfigurationKeeper::adopt(const wire::SnapshotT &snapshot)
{
    const std::lock_guard lock(m_mutex);
    auto result = adoptSnapshot(m_state, snapshot);
    if (result)
        putInForce();
    return result;
}

void ConfigurationKeeper::catchUp()
{
    const std::lock_guard lock(m_mutex);
    m_isCaughtUp = true;
    putInForce();
}

void ConfigurationKeeper::putInForce()
{
    // Version 0 has no services; an instance is ready only with a published configuration.
    const std::uint64_t known = m_current ? m_current->version : 0;
    if (!m_state.current || m_state.current->version <= known)
        return;
    m_current = std::make_shared<const AcceptedConfiguration>(*m_state.current);
    m_since = wallNow();
    m_onChange(m_current);
}

ConfigurationKeeper::Accepted ConfigurationKeeper::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

std::optional<WallTime> ConfigurationKeeper::since() const
{
    const std::lock_guard lock(m_mutex);
    return m_since;
}

std::optional<wire::SnapshotT> ConfigurationKeeper::snapshotFor(std::uint64_t knownVersion) const
{
    const std::lock_guard lock(m_mutex);
    if (!m_current || m_current->version <= knownVersion)
        return std::nullopt;
    return makeSnapshot(m_state);
}

std::optional<wire::SnapshotT> ConfigurationKeeper::takeDueSnapshot(TimePoint now, Duration delay)
{
    const std::lock_guard lock(m_mutex);
    if (!m_current || !isContinuous(m_state))
        return std::nullopt;
    if (!m_snapshotDue) {
        // Without a known snapshot the publications themselves may be about to expire.
        const TimePoint base = m_snapshotSeen ? *m_snapshotSeen + m_retention / 2 : now;
        m_snapshotDue = base + delay;
    }
    if (now < *m_snapshotDue)
        return std::nullopt;
    m_snapshotDue = now + appendPatience + delay;
    return makeSnapshot(m_state);
}

} // namespace apricotrock::daemon
