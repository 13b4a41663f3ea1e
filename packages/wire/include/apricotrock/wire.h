#pragma once

#include "apricotrock/base.h"
#include "apricotrock/log_generated.h"
#include "apricotrock/peer_generated.h"

namespace apricotrock::wire {

/// Names of the streams in the platform's log.
inline constexpr std::string_view configStream = "apricotrock.config";
inline constexpr std::string_view eventsStream = "apricotrock.events";

/// Largest encoded log record, in bytes.
inline constexpr std::size_t maxLogRecordBytes = 1024 * 1024;
/// Largest encoded peer message, in bytes.
inline constexpr std::size_t maxPeerMessageBytes = 1024 * 1024;
inline constexpr std::uint16_t logFormat = 1;
inline constexpr std::uint16_t peerProtocol = 1;

std::string encodeLogRecord(const LogRecordT &record);
/// Verifies the buffer, its identifier and its format version before it is unpacked.
Result<LogRecordT> decodeLogRecord(std::string_view data);

/// Returns the message with its length prefix.
std::string encodePeerMessage(const PeerMessageT &message);
/// Verifies one message without its length prefix before it is unpacked.
Result<PeerMessageT> decodePeerMessage(std::string_view data);

/// Cuts a byte stream into messages.
class FrameReader
{
public:
    /// Adds received bytes.
    void append(std::string_view data) { m_buffer.append(data); }
    /// Returns the next complete message without its prefix, nothing if more bytes are needed, or
    /// an error if the length is zero or above the limit; the link must then be closed.
    Result<std::optional<std::string>> next();

private:
    std::string m_buffer;
};

IdempotencyKey toKey(const KeyId &id);
KeyId fromKey(const IdempotencyKey &key);

/// Puts \a entry into a holder for LogRecordT::entries.
template <typename EntryType>
std::unique_ptr<LogEntryT> holdEntry(EntryType entry)
{
    auto holder = std::make_unique<LogEntryT>();
    holder->entry.Set(std::move(entry));
    return holder;
}

} // namespace apricotrock::wire
