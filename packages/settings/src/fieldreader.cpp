#include "apricotrock/fields.h"

#include "units.h"

#include <algorithm>

namespace apricotrock {

namespace {

constexpr std::size_t maxNameLength = 64;
constexpr std::string_view urlScheme = "http://";

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
        || c == '_' || c == '.';
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const auto end = std::min(text.find(separator), text.size());
        if (end > 0)
            parts.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

bool isUrl(std::string_view text)
{
    if (!text.starts_with(urlScheme))
        return false;
    const auto endpoint = Endpoint::parse(text.substr(urlScheme.size()));
    return endpoint && endpoint->port != 0;
}

std::string boundsRemedy(const FieldInfo &field)
{
    if (!field.minimum.empty() && !field.maximum.empty())
        return "use a value from " + std::string(field.minimum) + " to "
            + std::string(field.maximum);
    return field.minimum.empty() ? "use at most " + std::string(field.maximum)
                                 : "use at least " + std::string(field.minimum);
}

/// Returns false if \a value is outside the bounds of \a field, which \a parse reads.
template <typename T, typename Parse>
bool isInBounds(const FieldInfo &field, const T &value, const Parse &parse)
{
    const auto minimum = parse(field.minimum);
    const auto maximum = parse(field.maximum);
    return (!minimum || value >= *minimum) && (!maximum || value <= *maximum);
}

} // namespace

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength && text.front() != '.'
        && text.front() != '-' && std::all_of(text.begin(), text.end(), isNameCharacter);
}

std::optional<std::string> FieldReader::text(const FieldInfo &field) const
{
    const auto found = m_section.values.find(std::string(field.key));
    if (found != m_section.values.end() && !found->second.empty())
        return found->second;
    if (field.defaultValue && (found == m_section.values.end() || field.defaultValue->empty()))
        return field.defaultValue;
    report(field, "",
           found == m_section.values.end() ? "required key is missing" : "value is empty",
           "set it: " + std::string(field.doc));
    return std::nullopt;
}

void FieldReader::report(const FieldInfo &field, const std::string &value, std::string message,
                         std::string remedy) const
{
    auto line = m_section.lines.find(std::string(field.key));
    if (line == m_section.lines.end())
        line = m_section.lines.find("");
    std::string file = m_section.file;
    if (line != m_section.lines.end())
        file += ':' + std::to_string(line->second);
    m_problems.push_back({std::move(file), m_section.header, std::string(field.key), value,
                          std::move(message), std::move(remedy)});
}

void FieldReader::read(const FieldInfo &field, std::string &value) const
{
    auto content = text(field);
    if (!content)
        return;
    const bool mustBeName = field.type == FieldType::Name || field.type == FieldType::Reference;
    if (mustBeName && !isName(*content))
        return report(
            field, *content, "not a name",
            "use 1 to 64 letters, digits, '-', '_' and '.', not starting with '-' or '.'");
    if (field.type == FieldType::Url && !isUrl(*content))
        return report(field, *content, "not a URL of the form http://IP:PORT",
                      "use an IP number and a port, without a path");
    value = std::move(*content);
}

void FieldReader::read(const FieldInfo &field, Endpoint &value) const
{
    const auto content = text(field);
    if (!content || content->empty())
        return;
    auto endpoint = Endpoint::parse(*content);
    if (!endpoint)
        return report(field, *content, "not an address", "write IP:PORT or [IP]:PORT");
    value = std::move(*endpoint);
}

void FieldReader::read(const FieldInfo &field, std::vector<Endpoint> &value) const
{
    const auto content = text(field);
    if (!content)
        return;
    std::vector<Endpoint> endpoints;
    for (const std::string_view part : split(*content, ' ')) {
        auto endpoint = Endpoint::parse(part);
        if (!endpoint)
            report(field, std::string(part), "not an address",
                   "write IP:PORT or [IP]:PORT, separated by spaces");
        else
            endpoints.push_back(std::move(*endpoint));
    }
    value = std::move(endpoints);
}

void FieldReader::read(const FieldInfo &field, std::uint64_t &value) const
{
    const auto content = text(field);
    if (!content)
        return;
    const bool isBytes = field.type == FieldType::Bytes;
    const auto parse = isBytes ? parseBytes : parseCount;
    const auto number = parse(*content);
    if (!number)
        return report(field, *content, isBytes ? "not a size" : "not a whole number",
                      isBytes ? "write a number with B, KiB, MiB or GiB, for example 64KiB"
                              : "write decimal digits only");
    if (!isInBounds(field, *number, parse))
        return report(field, *content, "out of range", boundsRemedy(field));
    value = *number;
}

void FieldReader::read(const FieldInfo &field, double &value) const
{
    const auto content = text(field);
    if (!content)
        return;
    const auto number = parseDecimal(*content);
    if (!number)
        return report(field, *content, "not a decimal number", "write for example 0.25");
    if (!isInBounds(field, *number, parseDecimal))
        return report(field, *content, "out of range", boundsRemedy(field));
    value = *number;
}

void FieldReader::read(const FieldInfo &field, std::chrono::microseconds &value) const
{
    const auto content = text(field);
    if (!content)
        return;
    const auto duration = parseDuration(*content);
    if (!duration)
        return report(field, *content, "not a duration",
                      "write a whole number with us, ms, s, m, h or d, for example 250ms");
    if (!isInBounds(field, *duration, parseDuration))
        return report(field, *content, "out of range", boundsRemedy(field));
    value = *duration;
}

bool FieldReader::readChoice(const FieldInfo &field, std::size_t &index) const
{
    const auto content = text(field);
    if (!content)
        return false;
    const std::vector<std::string_view> choices = split(field.detail, '|');
    const auto found = std::find(choices.begin(), choices.end(), *content);
    if (found == choices.end()) {
        std::string remedy = "use one of";
        for (const std::string_view choice : choices)
            remedy += ' ' + std::string(choice);
        report(field, *content, "unknown value", std::move(remedy));
        return false;
    }
    index = static_cast<std::size_t>(found - choices.begin());
    return true;
}

void FieldReader::checkUnknownKeys(const std::vector<FieldInfo> &fields) const
{
    for (const auto &entry : m_section.values) {
        const auto isKey = [&entry](const FieldInfo &field) { return field.key == entry.first; };
        if (std::any_of(fields.begin(), fields.end(), isKey))
            continue;
        std::string remedy = "remove it, or use one of";
        for (const FieldInfo &field : fields)
            remedy += ' ' + std::string(field.key);
        FieldInfo unknown{};
        unknown.key = entry.first;
        report(unknown, entry.second, "unknown key", std::move(remedy));
    }
}

} // namespace apricotrock
