#include "apricotrock/wire.h"

namespace apricotrock::wire {

std::string encodeLogRecord(const LogRecordT &record)
{
    flatbuffers::FlatBufferBuilder builder;
    FinishLogRecordBuffer(builder, LogRecord::Pack(builder, &record));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

Result<LogRecordT> decodeLogRecord(std::string_view data)
{
    if (data.size() > maxLogRecordBytes)
        return makeError("log record of " + std::to_string(data.size()) + " bytes is too large");
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(data.data());
    flatbuffers::Verifier verifier(bytes, data.size());
    if (data.size() < sizeof(flatbuffers::uoffset_t) + flatbuffers::kFileIdentifierLength
        || !VerifyLogRecordBuffer(verifier))
        return makeError("log record fails the FlatBuffers verification; another writer uses the "
                         "stream, or the record is truncated");
    LogRecordT record;
    GetLogRecord(bytes)->UnPackTo(&record);
    if (record.format != logFormat)
        return makeError("log record has format " + std::to_string(record.format)
                         + ", this version reads " + std::to_string(logFormat)
                         + "; upgrade the reader");
    return record;
}

IdempotencyKey toKey(const KeyId &id)
{
    IdempotencyKey key;
    if (id.owner() != 0)
        key.owner = IncarnationId{id.owner()};
    key.uuid = Uuid7{id.high(), id.low()};
    return key;
}

KeyId fromKey(const IdempotencyKey &key)
{
    return {key.owner ? key.owner->value : 0, key.uuid.high, key.uuid.low};
}

} // namespace apricotrock::wire
