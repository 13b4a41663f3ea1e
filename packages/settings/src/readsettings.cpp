#include "apricotrock/settings.h"

#include "conflicts.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>

namespace apricotrock {

namespace {

// Far above any real file; keeps a wrong path, for example a device, from filling the memory.
constexpr std::size_t maxFileBytes = std::size_t(16) * 1024 * 1024;

/// Hands each section of a file to its struct once.
class SectionReader
{
public:
    SectionReader(const std::string &file, std::vector<RawSection> sections,
                  std::vector<Problem> &problems)
        : m_file(file), m_sections(std::move(sections)), m_problems(problems)
    { }

    template <typename Object>
    void read(const std::vector<FieldInfo> &fields, Object &object)
    {
        const std::string name(fields.front().group);
        m_known.push_back(name);
        const auto found = std::find_if(m_sections.begin(), m_sections.end(),
                                        [&name](const auto &s) { return s.header == name; });
        const RawSection missing{m_file, name, {}, {}};
        const RawSection &section = found == m_sections.end() ? missing : *found;
        const FieldReader reader(section, m_problems);
        readFields(reader, object);
        reader.checkUnknownKeys(fields);
    }

    void checkUnknownSections() const
    {
        for (const RawSection &section : m_sections) {
            if (std::find(m_known.begin(), m_known.end(), section.header) != m_known.end())
                continue;
            std::string remedy = "remove it, or use one of";
            for (const std::string &name : m_known)
                remedy += ' ' + name;
            m_problems.push_back({section.file + ':' + std::to_string(section.lines.at("")),
                                  section.header, "", "", "unknown section", std::move(remedy)});
        }
    }

private:
    const std::string &m_file;
    const std::vector<RawSection> m_sections;
    std::vector<Problem> &m_problems;
    std::vector<std::string> m_known;
};

} // namespace

Settings readSettings(const std::string &file, const std::string &text,
                      std::vector<Problem> &problems)
{
    Settings settings;
    SectionReader reader(file, parseIni(file, text, problems), problems);
    reader.read(instanceFields(), settings.instance);
    reader.read(listenFields(), settings.listen);
    reader.read(platformFields(), settings.platform);
    reader.read(keysFields(), settings.keys);
    reader.read(limitsFields(), settings.limits);
    reader.read(callersFields(), settings.callers);
    reader.read(peersFields(), settings.peers);
    reader.read(shutdownFields(), settings.shutdown);
    reader.read(logFields(), settings.log);
    reader.checkUnknownSections();
    checkConflicts(settings, problems);
    locateProblems(file, text, problems);
    return settings;
}

std::optional<std::string> readTextFile(const std::string &file, std::vector<Problem> &problems)
{
    std::ifstream stream(file, std::ios::binary);
    std::string text;
    if (stream) {
        text.resize(maxFileBytes + 1);
        stream.read(text.data(), static_cast<std::streamsize>(text.size()));
        text.resize(static_cast<std::size_t>(stream.gcount()));
    }
    if (stream.bad() || (stream.fail() && !stream.eof())) {
        const std::string reason = errno != 0 ? std::strerror(errno) : "read error";
        problems.push_back(
            {file, "", "", "", "cannot be read: " + reason, "check the path and the permissions"});
        return std::nullopt;
    }
    if (text.size() > maxFileBytes) {
        problems.push_back({file, "", "", "", "is larger than 16 MiB", "check the path"});
        return std::nullopt;
    }
    return text;
}

Settings readSettingsFile(const std::string &file, std::vector<Problem> &problems)
{
    const auto text = readTextFile(file, problems);
    return text ? readSettings(file, *text, problems) : Settings();
}

} // namespace apricotrock
