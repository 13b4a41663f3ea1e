#pragma once

#include "apricotrock/base.h"

namespace apricotrock {

/// Type of a key in a settings file or a configuration object.
enum class FieldType {
    Name,
    Text,
    Endpoint,
    Endpoints,
    Url,
    Count,
    Duration,
    Bytes,
    Fraction,
    Rate,
    Choice,
    Reference,
};

/// Describes one key; generated from the schema.
struct FieldInfo
{
    std::string_view group;
    std::string_view key;
    FieldType type;
    /// Allowed values of a choice separated by '|', or the kind that a reference names.
    std::string_view detail;
    /// Bounds in the notation of the type; empty means unbounded.
    std::string_view minimum;
    std::string_view maximum;
    /// Value of a missing key; nothing if the key is required.
    std::optional<std::string> defaultValue;
    std::string_view doc;
};

/// One fault in a settings file or a configuration.
struct Problem
{
    /// File name, with the line number if it is known.
    std::string file;
    /// Section or object, for example `backend-server orders-1`.
    std::string object;
    std::string key;
    std::string value;
    std::string message;
    std::string remedy;

    /// Returns the problem in one line.
    [[nodiscard]] std::string toString() const;
};

/// Raw keys and values of one section, as read from an INI file.
struct RawSection
{
    std::string file;
    /// The text between the brackets.
    std::string header;
    std::map<std::string, std::string> values;
    /// Line numbers by key; the header's line under the empty key.
    std::map<std::string, int> lines;
};

/// Converts the values of one section to typed members, checks their bounds and collects every
/// problem instead of stopping at the first.
class FieldReader
{
public:
    FieldReader(const RawSection &section, std::vector<Problem> &problems)
        : m_section(section), m_problems(problems)
    { }

    void read(const FieldInfo &field, std::string &value) const;
    void read(const FieldInfo &field, Endpoint &value) const;
    void read(const FieldInfo &field, std::vector<Endpoint> &value) const;
    void read(const FieldInfo &field, std::uint64_t &value) const;
    void read(const FieldInfo &field, double &value) const;
    void read(const FieldInfo &field, std::chrono::microseconds &value) const;

    template <typename Enum>
    requires std::is_enum_v<Enum>
    void read(const FieldInfo &field, Enum &value) const
    {
        std::size_t index = 0;
        if (readChoice(field, index))
            value = static_cast<Enum>(index);
    }

    /// Reports each key of the section that no field of \a fields describes.
    void checkUnknownKeys(const std::vector<FieldInfo> &fields) const;

private:
    /// Returns the text of the key, its default, or nothing after reporting a missing key.
    [[nodiscard]] std::optional<std::string> text(const FieldInfo &field) const;
    bool readChoice(const FieldInfo &field, std::size_t &index) const;
    void report(const FieldInfo &field, const std::string &value, std::string message,
                std::string remedy) const;

    const RawSection &m_section;
    std::vector<Problem> &m_problems;
};

/// Reads `100us`, `250ms`, `3s`, `5m`, `1h`, `30d`.
std::optional<std::chrono::microseconds> parseDuration(std::string_view text);
/// Reads `512B`, `64KiB`, `1MiB`, `1GiB`.
std::optional<std::uint64_t> parseBytes(std::string_view text);
std::string formatDuration(std::chrono::microseconds duration);
/// Returns true for 1 to 64 letters, digits, '-', '_' and '.', not starting with '-' or '.'.
bool isName(std::string_view text);

/// Splits INI text into sections in their order; a section that appears twice is a problem.
std::vector<RawSection> parseIni(const std::string &file, const std::string &text,
                                 std::vector<Problem> &problems);
/// Gives each problem without a file the file and the line of its section and key in \a text.
void locateProblems(const std::string &file, const std::string &text,
                    std::vector<Problem> &problems);
/// Returns the content of \a file; a file that cannot be read or is above 16 MiB is a problem.
std::optional<std::string> readTextFile(const std::string &file, std::vector<Problem> &problems);

} // namespace apricotrock
