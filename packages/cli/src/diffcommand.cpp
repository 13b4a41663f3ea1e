#include "configfile.h"
#include "configlog.h"
#include "output.h"

#include <ostream>
#include <sstream>

namespace apricotrock::cli {

namespace {

std::string_view actionOf(const wire::ChangeT &change, const ObjectTexts &base)
{
    if (change.removed)
        return "removed";
    return base.contains({change.kind, change.name}) ? "changed" : "added";
}

std::vector<std::string> linesOf(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}

void printMissingLines(std::ostream &out, char sign, const std::string &text,
                       const std::string &other)
{
    const std::vector<std::string> others = linesOf(other);
    for (const std::string &line : linesOf(text)) {
        if (std::find(others.begin(), others.end(), line) == others.end())
            out << "  " << sign << ' ' << printable(line) << '\n';
    }
}

void printChange(std::ostream &out, const wire::ChangeT &change, const ObjectTexts &base)
{
    const auto old = base.find({change.kind, change.name});
    const std::string oldText = old == base.end() ? "" : old->second;
    out << actionOf(change, base) << " [" << printable(change.kind + ' ' + change.name) << "]\n";
    printMissingLines(out, '-', oldText, change.text);
    printMissingLines(out, '+', change.text, oldText);
}

} // namespace

ExitCode runDiff(const Context &context, const std::string &file)
{
    ConfigFile target = readConfigFile(file);
    if (!target.problems.empty())
        return reportProblems(context, file, std::move(target.problems), context.environment.err);
    ExitCode code = ExitCode::Success;
    std::unique_ptr<ConfigStream> stream;
    const auto log = openLog(context, stream, code);
    if (!log)
        return code;
    const auto base = inForce(*log);
    if (!base)
        return fail(context, ExitCode::Refused, lostConfigurationMessage());
    const std::vector<wire::ChangeT> changes = diffObjects(base->objects, target.objects);
    if (context.options.isJson) {
        Json list = Json::array();
        for (const wire::ChangeT &change : changes)
            list.push_back({{"action", actionOf(change, base->objects)},
                            {"kind", change.kind},
                            {"name", change.name}});
        printJson(context, {{"version", base->version}, {"changes", std::move(list)}});
        return ExitCode::Success;
    }
    for (const wire::ChangeT &change : changes)
        printChange(context.environment.out, change, base->objects);
    context.environment.out << changes.size() << (changes.size() == 1 ? " change" : " changes")
                            << " to version " << base->version << '\n';
    return ExitCode::Success;
}

} // namespace apricotrock::cli
