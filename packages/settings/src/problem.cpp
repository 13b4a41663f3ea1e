#include "apricotrock/fields.h"

namespace apricotrock {

std::string Problem::toString() const
{
    std::string text = file.empty() ? "" : file + ": ";
    if (!object.empty())
        text += '[' + object + "] ";
    if (!key.empty())
        text += key + (value.empty() ? ": " : " = " + value + ": ");
    else if (!value.empty())
        text += '"' + value + "\": ";
    else if (!object.empty())
        text.insert(text.size() - 1, ":");
    return text + message + "; " + remedy;
}

void locateProblems(const std::string &file, const std::string &text,
                    std::vector<Problem> &problems)
{
    std::vector<Problem> ignored;
    std::map<std::string, RawSection> sections;
    for (RawSection &section : parseIni(file, text, ignored))
        sections.emplace(section.header, std::move(section));
    for (Problem &problem : problems) {
        if (!problem.file.empty())
            continue;
        problem.file = file;
        const auto section = sections.find(problem.object);
        if (section == sections.end())
            continue;
        const std::map<std::string, int> &lines = section->second.lines;
        const auto line = lines.find(problem.key);
        problem.file += ':' + std::to_string(line != lines.end() ? line->second : lines.at(""));
    }
}

} // namespace apricotrock
