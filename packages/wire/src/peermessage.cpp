#include "apricotrock/wire.h"

namespace apricotrock::wire {

std::string encodePeerMessage(const PeerMessageT &message)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(PeerMessage::Pack(builder, &message), PeerMessageIdentifier());
    // The prefix is not made by FinishSizePrefixed(): without it the buffer would lose the 8-byte
    // alignment that the verification requires.
    std::string data(sizeof(flatbuffers::uoffset_t), '\0');
    flatbuffers::WriteScalar<flatbuffers::uoffset_t>(data.data(), builder.GetSize());
    data.append(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
    return data;
}

Result<PeerMessageT> decodePeerMessage(std::string_view data)
{
    if (data.size() > maxPeerMessageBytes)
        return makeError("peer message of " + std::to_string(data.size()) + " bytes is too large");
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(data.data());
    flatbuffers::Verifier verifier(bytes, data.size());
    if (data.size() < sizeof(flatbuffers::uoffset_t) + flatbuffers::kFileIdentifierLength
        || !VerifyPeerMessageBuffer(verifier))
        return makeError("peer message fails the FlatBuffers verification; the peer runs another "
                         "protocol, or the message is truncated");
    PeerMessageT message;
    GetPeerMessage(bytes)->UnPackTo(&message);
    return message;
}

} // namespace apricotrock::wire
