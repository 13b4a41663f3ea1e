#include "apricotrock/wire.h"

namespace apricotrock::wire {

namespace {

constexpr std::size_t prefixBytes = sizeof(flatbuffers::uoffset_t);

} // namespace

Result<std::optional<std::string>> FrameReader::next()
{
    if (m_buffer.size() < prefixBytes)
        return std::nullopt;
    const std::size_t length = flatbuffers::ReadScalar<flatbuffers::uoffset_t>(m_buffer.data());
    if (length == 0 || length > maxPeerMessageBytes)
        return makeError("peer message length " + std::to_string(length) + " is outside 1 to "
                         + std::to_string(maxPeerMessageBytes) + " bytes; closing the link");
    if (m_buffer.size() < prefixBytes + length)
        return std::nullopt;
    std::string message = m_buffer.substr(prefixBytes, length);
    m_buffer.erase(0, prefixBytes + length);
    return message;
}

} // namespace apricotrock::wire
