#include "output.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <ostream>

namespace apricotrock::cli {

namespace {

/// Returns the line number at the end of `FILE:LINE`, or 0.
int lineOf(const Problem &problem)
{
    const auto colon = problem.file.rfind(':');
    if (colon == std::string::npos)
        return 0;
    int line = 0;
    std::from_chars(problem.file.data() + colon + 1, problem.file.data() + problem.file.size(),
                    line);
    return line;
}

Json problemDocument(const Problem &problem)
{
    return {{"where", problem.file},  {"object", problem.object},   {"key", problem.key},
            {"value", problem.value}, {"message", problem.message}, {"remedy", problem.remedy}};
}

} // namespace

ExitCode fail(const Context &context, ExitCode code, const std::string &message)
{
    context.environment.err << "apricotrock " << context.command << ": " << printable(message)
                            << '\n';
    if (context.options.isJson)
        printJson(context, {{"error", message}, {"exit_code", static_cast<int>(code)}});
    return code;
}

void printJson(const Context &context, const Json &document)
{
    context.environment.out << document.dump(-1, ' ', false, Json::error_handler_t::replace)
                            << '\n';
}

std::string printable(std::string_view text)
{
    std::string result(text);
    std::replace_if(
        result.begin(), result.end(),
        [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; }, '?');
    return result;
}

std::string formatTime(std::uint64_t wallMilliseconds)
{
    constexpr std::uint64_t second = 1000;
    const auto seconds = static_cast<std::time_t>(wallMilliseconds / second);
    std::tm parts{};
    if (gmtime_r(&seconds, &parts) == nullptr)
        return "-";
    std::array<char, 40> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%FT%T", &parts);
    const std::string fraction = std::to_string(second + wallMilliseconds % second).substr(1);
    return std::string(text.data(), length) + '.' + fraction + 'Z';
}

std::string formatTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            if (i + 1 < row.size())
                line.append(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

ExitCode reportProblems(const Context &context, const std::string &file,
                        std::vector<Problem> problems, std::ostream &stream)
{
    std::stable_sort(problems.begin(), problems.end(),
                     [](const Problem &a, const Problem &b) { return lineOf(a) < lineOf(b); });
    if (context.options.isJson) {
        Json list = Json::array();
        for (const Problem &problem : problems)
            list.push_back(problemDocument(problem));
        printJson(context, {{"file", file}, {"valid", false}, {"problems", std::move(list)}});
        return ExitCode::Invalid;
    }
    for (const Problem &problem : problems)
        stream << printable(problem.toString()) << '\n';
    stream << file << ": " << problems.size() << (problems.size() == 1 ? " problem" : " problems")
           << '\n';
    return ExitCode::Invalid;
}

std::optional<std::string> textMember(const Json &object, const char *name)
{
    if (!object.is_object() || !object.contains(name) || !object.at(name).is_string())
        return std::nullopt;
    return object.at(name).get<std::string>();
}

std::optional<std::uint64_t> countMember(const Json &object, const char *name)
{
    if (!object.is_object() || !object.contains(name) || !object.at(name).is_number_unsigned())
        return std::nullopt;
    return object.at(name).get<std::uint64_t>();
}

const Json &listMember(const Json &object, const char *name)
{
    static const Json empty = Json::array();
    if (!object.is_object() || !object.contains(name) || !object.at(name).is_array())
        return empty;
    return object.at(name);
}

} // namespace apricotrock::cli
