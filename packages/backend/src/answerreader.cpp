#include "answerreader.h"

#include <algorithm>
#include <charconv>

namespace apricotrock::backend {

namespace {

constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;
constexpr int firstStatus = 100;
constexpr int firstFinalStatus = 200;
constexpr int lastStatus = 599;
constexpr std::string_view contentLength = "Content-Length";
constexpr std::string_view transferEncoding = "Transfer-Encoding";

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

std::optional<std::size_t> parseLength(std::string_view text)
{
    std::size_t value = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return value;
}

std::size_t countHeaders(const HttpHeaders &headers, std::string_view name)
{
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(), [name](const HttpHeader &header) {
            return equalsIgnoringCase(header.name, name);
        }));
}

} // namespace

bool AnswerReader::addHeaderLine(std::string_view line)
{
    m_headerBytes += line.size();
    if (m_headerBytes > m_limits.maxHeaderBytes)
        return refuse();
    if (m_isHeadComplete)
        return true; // Trailers are not part of the answer.
    const bool wasLineFeedAlone = std::exchange(m_isLineFeedAlone, !line.ends_with("\r\n"));
    if (!m_isInHead)
        return startHead(line);
    // libcurl ends the head at any line that begins with a carriage return or a line feed, also if
    // that is the first byte of an invalid name.
    if (line == "\r\n" || (line == "\n" && wasLineFeedAlone))
        return endHead();
    return addHeader(line);
}

bool AnswerReader::addBody(std::string_view data)
{
    if (m_response.body.size() + data.size() > m_limits.maxBodyBytes)
        return refuse();
    if (m_memory != nullptr) {
        if (!m_memory->take(data.size()))
            return refuse();
        m_takenBytes += data.size();
    }
    m_response.body.append(data);
    return true;
}

HttpResponse AnswerReader::takeResponse()
{
    removeHopByHopHeaders(m_response.headers);
    giveBackMemory();
    return std::move(m_response);
}

void AnswerReader::giveBackMemory()
{
    if (m_memory != nullptr)
        m_memory->giveBack(std::exchange(m_takenBytes, 0));
}

bool AnswerReader::refuse()
{
    m_isInvalid = true;
    return false;
}

bool AnswerReader::startHead(std::string_view line)
{
    m_response = {};
    m_isInHead = true;
    const auto space = line.find(' ');
    if (!line.starts_with("HTTP/1.") || space == std::string_view::npos)
        return refuse();
    const std::string_view status = trim(line.substr(space + 1));
    const std::string_view digits = status.substr(0, status.find(' '));
    const auto [stop, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), m_response.status);
    const bool isNumber = error == std::errc() && stop == digits.data() + digits.size();
    const bool isStatus = isNumber && digits.size() == 3 && m_response.status >= firstStatus;
    return isStatus ? true : refuse();
}

bool AnswerReader::addHeader(std::string_view line)
{
    const auto colon = line.find(':');
    // A line that starts with a blank continues the one before (obsolete, RFC 9112, section 5.2).
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
        return refuse();
    const std::string_view value = trim(line.substr(colon + 1));
    if (value.find_first_of(std::string_view("\0\r\n", 3)) != std::string_view::npos)
        return refuse();
    m_response.headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
    return true;
}

bool AnswerReader::endHead()
{
    constexpr int statusSwitchingProtocols = 101;
    m_isInHead = false;
    if (m_response.status == statusSwitchingProtocols || m_response.status > lastStatus)
        return refuse();
    if (m_response.status < firstFinalStatus)
        return true;
    m_isHeadComplete = true;
    const HttpHeaders &headers = m_response.headers;
    const auto length = findHeader(headers, contentLength);
    const auto encoding = findHeader(headers, transferEncoding);
    // Two framings can be read in two ways (RFC 9112, section 6.3).
    if (countHeaders(headers, contentLength) > 1 || countHeaders(headers, transferEncoding) > 1
        || (length && encoding))
        return refuse();
    if (encoding && !equalsIgnoringCase(*encoding, "chunked"))
        return refuse();
    const auto bytes = length ? parseLength(*length) : std::nullopt;
    if (length && !bytes)
        return refuse();
    if (!isBodyExpected())
        return true;
    // The end of a body that lasts until the connection is closed cannot be told from a loss.
    if (!length && !encoding)
        return refuse();
    return bytes && *bytes > m_limits.maxBodyBytes ? refuse() : true;
}

bool AnswerReader::isBodyExpected() const
{
    return !m_isHead && m_response.status != statusNoContent
        && m_response.status != statusNotModified;
}

} // namespace apricotrock::backend
