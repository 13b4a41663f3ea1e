#include "headscanner.h"

#include "apricotrock/http.h"

namespace apricotrock::loop {

namespace {

/// A digit follows.
constexpr std::string_view versionStart = "HTTP/1.";
constexpr unsigned statusDigits = 3;
constexpr unsigned minStatus = 100;
constexpr unsigned maxStatus = 599;

} // namespace

std::optional<std::size_t> HeadScanner::feed(std::string_view data)
{
    std::size_t used = 0;
    while (used < data.size() && m_part != Part::End) {
        if (!feed(data[used]))
            return std::nullopt;
        ++used;
    }
    return used;
}

bool HeadScanner::feed(char byte)
{
    if (m_isAfterCarriageReturn) {
        m_isAfterCarriageReturn = false;
        return byte == '\n' ? endLine(true) : fail("carriage return without a line feed");
    }
    if (byte == '\r') {
        m_isAfterCarriageReturn = true;
        return true;
    }
    if (byte == '\n')
        return endLine(false);
    switch (m_part) {
    case Part::Start:
        m_part = m_firstLine == FirstLine::Request ? Part::RequestLine : Part::Version;
        return feed(byte);
    case Part::Version:
        return feedVersion(byte);
    case Part::Blanks:
    case Part::Status:
        return feedStatus(byte);
    case Part::LineStart:
    case Part::Name:
        return feedName(byte);
    case Part::RequestLine:
    case Part::Reason:
    case Part::Value:
    case Part::End:
        break;
    }
    return true;
}

bool HeadScanner::feedVersion(char byte)
{
    const std::size_t position = m_versionBytes++;
    if (position < versionStart.size())
        return byte == versionStart[position] ? true : fail("invalid version");
    if (position == versionStart.size())
        return byte >= '0' && byte <= '9' ? true : fail("invalid version");
    m_part = Part::Blanks;
    return byte == ' ' ? true : fail("invalid version");
}

bool HeadScanner::feedStatus(char byte)
{
    if (byte >= '0' && byte <= '9') {
        m_part = Part::Status;
        m_status = 10 * m_status + static_cast<unsigned>(byte - '0');
        return ++m_digits <= statusDigits ? true : fail("invalid status");
    }
    if (byte == ' ' && m_part == Part::Blanks)
        return true;
    m_part = Part::Reason;
    return checkStatus();
}

bool HeadScanner::feedName(char byte)
{
    if (byte == ':' && m_part == Part::Name) {
        m_part = Part::Value;
        return true;
    }
    m_part = Part::Name;
    return isTokenCharacter(byte) ? true : fail("invalid field name");
}

bool HeadScanner::endLine(bool hasCarriageReturn)
{
    const bool isLineFeedAlone = !hasCarriageReturn;
    switch (m_part) {
    case Part::Start:
        return true;
    case Part::Version:
        return fail("invalid version");
    case Part::Blanks:
    case Part::Status:
        if (!checkStatus())
            return false;
        break;
    case Part::LineStart:
        m_part = Part::End;
        // A line feed at the beginning of a name must not end the head of a server that ends its
        // lines with both bytes.
        return isLineFeedAlone && !m_wasLineFeedAlone ? fail("line feed in a field name") : true;
    case Part::Name:
        return fail("invalid field name");
    case Part::RequestLine:
    case Part::Reason:
    case Part::Value:
    case Part::End:
        break;
    }
    m_part = Part::LineStart;
    m_wasLineFeedAlone = isLineFeedAlone;
    return true;
}

bool HeadScanner::checkStatus()
{
    const bool isStatus =
        m_digits == statusDigits && m_status >= minStatus && m_status <= maxStatus;
    return isStatus ? true : fail("invalid status");
}

bool HeadScanner::fail(std::string_view error)
{
    m_error = error;
    return false;
}

} // namespace apricotrock::loop
