#include "apricotrock/fields.h"

#include <ini.h>

#include <algorithm>
#include <array>

namespace apricotrock {

namespace {

// Room for some 180 addresses in one list; inih's default of 200 bytes cuts longer lines in two.
constexpr int maxLineBytes = 4096;
// inih needs space for the line end and the terminating zero.
constexpr std::size_t inihLineReserve = 3;
constexpr std::string_view blanks = " \t";
constexpr std::string_view byteOrderMark = "\xef\xbb\xbf";

struct KeyValue
{
    std::string key;
    std::string value;
};

int storeKeyValue(void *user, const char *, const char *name, const char *value)
{
    auto *keyValue = static_cast<KeyValue *>(user);
    keyValue->key = name;
    keyValue->value = value != nullptr ? value : "";
    return 1;
}

std::string_view trim(std::string_view text)
{
    const auto begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

std::string collapseBlanks(std::string_view text)
{
    std::string result;
    for (const char c : trim(text)) {
        const bool isBlank = blanks.find(c) != std::string_view::npos;
        if (!isBlank)
            result += c;
        else if (result.back() != ' ')
            result += ' ';
    }
    return result;
}

bool hasControlCharacter(std::string_view line)
{
    return std::any_of(line.begin(), line.end(), [](char c) {
        return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == '\x7f';
    });
}

/// Reads one file line by line. Each key line goes through inih on its own, because inih gives the
/// handler neither line numbers nor sections without keys, and cuts section names after 49 bytes.
class IniParser
{
public:
    IniParser(const std::string &file, std::vector<Problem> &problems)
        : m_file(file), m_problems(problems)
    {
        static const bool isConfigured = [] {
            ini_max_line = maxLineBytes;
            return true;
        }();
        (void)isConfigured;
    }

    std::vector<RawSection> parse(std::string_view text)
    {
        if (text.starts_with(byteOrderMark))
            text.remove_prefix(byteOrderMark.size());
        while (!text.empty()) {
            const auto end = std::min(text.find('\n'), text.size());
            ++m_line;
            parseLine(text.substr(0, end));
            text.remove_prefix(std::min(end + 1, text.size()));
        }
        return std::move(m_sections);
    }

private:
    void parseLine(std::string_view line)
    {
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        const std::string_view content = trim(line);
        if (content.empty() || content.front() == ';' || content.front() == '#')
            return;
        if (content.size() + inihLineReserve > static_cast<std::size_t>(maxLineBytes))
            report("", "", "line has " + std::to_string(content.size()) + " bytes",
                   "keep lines below " + std::to_string(maxLineBytes) + " bytes");
        else if (hasControlCharacter(content))
            report("", "", "line contains a control character", "write plain text");
        else if (content.front() == '[')
            parseHeader(content);
        else
            parseKey(std::string(content));
    }

    void parseHeader(std::string_view content)
    {
        const auto end = content.find(']');
        // The keys below a faulty header must not count as keys of the section above it.
        m_state = State::Skipping;
        if (end == std::string_view::npos)
            return report("", std::string(content), "section header has no closing bracket",
                          "write [KIND NAME] or [SECTION]");
        const std::string_view rest = trim(content.substr(end + 1));
        if (!rest.empty() && rest.front() != ';' && rest.front() != '#')
            return report("", std::string(content), "text after a section header",
                          "put each key on a line of its own");
        openSection(collapseBlanks(content.substr(1, end - 1)));
    }

    void openSection(const std::string &header)
    {
        if (header.empty())
            return report("", "[]", "section header is empty", "write [KIND NAME] or [SECTION]");
        const auto [first, isNew] = m_headerLines.emplace(header, m_line);
        if (!isNew)
            return report(header, "",
                          "section appears twice; the first is in line "
                              + std::to_string(first->second),
                          "merge the two sections or rename one");
        m_state = State::InSection;
        m_sections.push_back({m_file, header, {}, {{"", m_line}}});
    }

    void parseKey(const std::string &content)
    {
        if (m_state == State::Skipping)
            return;
        if (m_state == State::BeforeFirst)
            return report("", content, "key before the first section",
                          "put it below a section header");
        RawSection &section = m_sections.back();
        KeyValue keyValue;
        if (ini_parse_string(content.c_str(), storeKeyValue, &keyValue) != 0)
            return report(section.header, content, "line is no section, key or comment",
                          "write key = value");
        if (keyValue.key.empty())
            return report(section.header, content, "key is empty", "write key = value");
        if (section.values.contains(keyValue.key))
            return reportKey(section, keyValue);
        section.lines.emplace(keyValue.key, m_line);
        section.values.emplace(std::move(keyValue.key), std::move(keyValue.value));
    }

    void reportKey(const RawSection &section, const KeyValue &keyValue)
    {
        report(section.header, keyValue.value,
               "key appears twice; the first is in line "
                   + std::to_string(section.lines.at(keyValue.key)),
               "remove one of the two lines");
        m_problems.back().key = keyValue.key;
    }

    void report(const std::string &object, std::string value, std::string message,
                std::string remedy)
    {
        m_problems.push_back({m_file + ':' + std::to_string(m_line), object, "", std::move(value),
                              std::move(message), std::move(remedy)});
    }

    enum class State { BeforeFirst, InSection, Skipping };

    const std::string &m_file;
    std::vector<Problem> &m_problems;
    std::vector<RawSection> m_sections;
    std::map<std::string, int> m_headerLines;
    State m_state = State::BeforeFirst;
    int m_line = 0;
};

} // namespace

std::vector<RawSection> parseIni(const std::string &file, const std::string &text,
                                 std::vector<Problem> &problems)
{
    return IniParser(file, problems).parse(text);
}

} // namespace apricotrock
