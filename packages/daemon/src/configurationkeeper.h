#pragma once

#include "apricotrock/config.h"

namespace apricotrock::daemon {

/// The configuration in force, folded from the log and adopted from peers. Thread safe.
///
/// Versions that were already old when this instance started are not put in force: the first one
/// is that of a peer, or the newest one when the log has been read up to its end at the start.
class ConfigurationKeeper
{
public:
    using Accepted = std::shared_ptr<const AcceptedConfiguration>;
    /// Called in the order of the versions, while the keeper is locked; must not block.
    using ChangeCallback = std::function<void(const Accepted &configuration)>;

    /// \a retention is that of the platform's log.
    ConfigurationKeeper(Duration retention, ChangeCallback onChange);

    /// Folds a record; \a record is null if it could not be decoded.
    void fold(std::uint64_t offset, const std::shared_ptr<const wire::LogRecordT> &record,
              std::optional<std::uint64_t> firstOffset, TimePoint now);
    /// Everything that the log held at the start has been folded.
    void catchUp();
    /// Adopts the configuration of a peer; the error tells why it was refused.
    Result<bool> adopt(const wire::SnapshotT &snapshot);

    [[nodiscard]] Accepted current() const;
    /// Wall clock time since which the current version is in force here.
    [[nodiscard]] std::optional<WallTime> since() const;
    /// Returns the snapshot for a peer that knows \a knownVersion, if the current one is newer.
    [[nodiscard]] std::optional<wire::SnapshotT> snapshotFor(std::uint64_t knownVersion) const;
    /// Returns the snapshot to append if the one in the log expires otherwise. \a delay spreads the
    /// instances, so that normally one of them appends. The next one is due a while later.
    std::optional<wire::SnapshotT> takeDueSnapshot(TimePoint now, Duration delay);

private:
    void putInForce();

    const Duration m_retention;
    const ChangeCallback m_onChange;
    mutable std::mutex m_mutex;
    PublicationState m_state;
    Accepted m_current;
    std::optional<WallTime> m_since;
    std::uint64_t m_firstOffset = 0;
    bool m_isFirstKnown = false;
    bool m_isCaughtUp = false;
    /// When the newest usable snapshot was seen; nothing if its age is not known.
    std::optional<TimePoint> m_snapshotSeen;
    std::uint64_t m_snapshotOffset = 0;
    std::optional<TimePoint> m_snapshotDue;
};

} // namespace apricotrock::daemon
