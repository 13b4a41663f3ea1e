#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace apricotrock::loop {

/// Checks the head of a message for what http_parser does not check: its library is built without
/// the strict mode. It accepts other names of the protocol in a status line, a status of any number
/// of digits up to the value 999, blanks in the names of fields, folded lines, and any byte in
/// place of the line feed after a carriage return.
class HeadScanner
{
public:
    enum class FirstLine : std::uint8_t { Request, Status };

    explicit HeadScanner(FirstLine firstLine) : m_firstLine(firstLine) { }

    /// Reads \a data, which continues the data of earlier calls, up to the end of the head. Returns
    /// the number of bytes read, or nothing if the head is invalid; error() tells why.
    std::optional<std::size_t> feed(std::string_view data);
    void reset() { *this = HeadScanner(m_firstLine); }
    [[nodiscard]] std::string_view error() const { return m_error; }

private:
    enum class Part : std::uint8_t {
        /// Empty lines before the first line of the message, and its first byte.
        Start,
        RequestLine,
        Version,
        Blanks,
        Status,
        Reason,
        LineStart,
        Name,
        Value,
        End
    };

    bool feed(char byte);
    bool feedVersion(char byte);
    bool feedStatus(char byte);
    bool feedName(char byte);
    bool endLine(bool hasCarriageReturn);
    bool checkStatus();
    bool fail(std::string_view error);

    FirstLine m_firstLine;
    Part m_part = Part::Start;
    std::size_t m_versionBytes = 0;
    bool m_isAfterCarriageReturn = false;
    /// The line before this one ended with a line feed alone.
    bool m_wasLineFeedAlone = false;
    unsigned m_digits = 0;
    unsigned m_status = 0;
    std::string_view m_error;
};

} // namespace apricotrock::loop
