#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace apricotrock::loop {

/// Checks the bytes around the chunks of a body. http_parser without the strict mode accepts any
/// two bytes after the data of a chunk, and any byte after the carriage return of its size.
class ChunkScanner
{
public:
    /// Reads \a data, which continues the data of earlier calls, up to the size of the last chunk.
    /// Returns false if the bytes are invalid.
    bool feed(std::string_view data);
    void reset() { *this = {}; }

private:
    enum class Part : std::uint8_t { Size, Extension, SizeEnd, Data, DataEnd, DataLineFeed, End };

    bool feed(char byte);
    bool feedSize(char byte);

    Part m_part = Part::Size;
    /// Size of the chunk; while its data is read, the part that is left.
    std::uint64_t m_size = 0;
};

} // namespace apricotrock::loop
