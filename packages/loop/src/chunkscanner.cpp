#include "chunkscanner.h"

#include <algorithm>
#include <charconv>

namespace apricotrock::loop {

bool ChunkScanner::feed(std::string_view data)
{
    while (!data.empty() && m_part != Part::End) {
        if (m_part == Part::Data) {
            const std::size_t count = std::min<std::uint64_t>(m_size, data.size());
            m_size -= count;
            data.remove_prefix(count);
            if (m_size == 0)
                m_part = Part::DataEnd;
            continue;
        }
        if (!feed(data.front()))
            return false;
        data.remove_prefix(1);
    }
    return true;
}

bool ChunkScanner::feed(char byte)
{
    switch (m_part) {
    case Part::Size:
    case Part::Extension:
        return feedSize(byte);
    case Part::SizeEnd:
        m_part = m_size == 0 ? Part::End : Part::Data;
        return byte == '\n';
    case Part::DataEnd:
        m_part = Part::DataLineFeed;
        return byte == '\r';
    case Part::DataLineFeed:
        m_part = Part::Size;
        return byte == '\n';
    case Part::Data:
    case Part::End:
        break;
    }
    return true;
}

bool ChunkScanner::feedSize(char byte)
{
    if (byte == '\r') {
        m_part = Part::SizeEnd;
        return true;
    }
    constexpr int base = 16;
    unsigned digit = 0;
    if (m_part == Part::Size && std::from_chars(&byte, &byte + 1, digit, base).ec == std::errc()) {
        // http_parser refuses sizes that are out of range.
        m_size = base * m_size + digit;
        return true;
    }
    m_part = Part::Extension;
    return byte != '\n';
}

} // namespace apricotrock::loop
