#include "output.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iostream>
#include <set>

namespace apricotrock::cli {

namespace {

/// What instances believed is shown from this long before the first line of the request. Covers the
/// time in which news must reach every instance (two seconds) and a bit more.
constexpr double beforeRequestSeconds = 3.0;
/// Longest list of such lines; the latest ones are the most telling.
constexpr std::size_t maxStateLines = 20;

/// Members that each line has, or that are shown in another place.
constexpr std::array<std::string_view, 5> commonMembers = {"time", "level", "event", "instance",
                                                           "request"};
/// Members that name something other lines may tell about.
constexpr std::array<std::string_view, 3> nameMembers = {"server", "holder", "peer"};
/// State of an instance that decides about its requests, whatever the level of the line.
constexpr std::array<std::string_view, 6> stateEvents = {
    "configuration_accepted", "store_regained",     "store_reading_started", "stopping",
    "instance_ready",         "slot_holder_changed"};
/// Events that end a request.
constexpr std::array<std::string_view, 4> endEvents = {"request_answered", "request_failed",
                                                       "request_refused", "caller_left"};

struct Line
{
    double time = 0;
    std::string instance;
    std::string event;
    std::string level;
    Json members;
};

/// The lines that may belong to the story of one request.
struct Logs
{
    std::vector<Line> ofRequest;
    /// Lines about no request.
    std::vector<Line> ofState;
    std::size_t unreadable = 0;
};

template <typename List>
bool contains(const List &list, std::string_view value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

std::optional<Line> parseLine(std::string_view text)
{
    Line line;
    line.members = Json::parse(text, nullptr, false);
    const auto time = line.members.is_object() ? line.members.find("time") : line.members.end();
    const auto event = textMember(line.members, "event");
    if (!line.members.is_object() || time == line.members.end() || !time->is_number() || !event)
        return std::nullopt;
    line.time = time->get<double>();
    line.event = *event;
    line.instance = textMember(line.members, "instance").value_or("");
    line.level = textMember(line.members, "level").value_or("");
    return line;
}

void readLog(std::istream &stream, const std::string &request, Logs &logs)
{
    for (std::string text; std::getline(stream, text);) {
        // Log collectors put their own columns before the object.
        const std::size_t start = text.find('{');
        if (start == std::string::npos)
            continue;
        const bool namesRequest = text.find(request) != std::string::npos;
        if (!namesRequest && text.find("\"request\":") != std::string::npos)
            continue;
        auto line = parseLine(std::string_view(text).substr(start));
        if (!line) {
            ++logs.unreadable;
            continue;
        }
        const auto named = textMember(line->members, "request");
        if (named && *named == request)
            logs.ofRequest.push_back(std::move(*line));
        else if (!named)
            logs.ofState.push_back(std::move(*line));
    }
}

/// Keeps the state lines that concern the request: about a server or an instance that it met, or
/// about what the instances that decided believed.
void keepRelevant(Logs &logs)
{
    std::set<std::string> names;
    for (const Line &line : logs.ofRequest) {
        names.insert(line.instance);
        for (const std::string_view member : nameMembers) {
            if (const auto name = textMember(line.members, std::string(member).c_str()))
                names.insert(*name);
        }
    }
    names.erase("");
    const double first = logs.ofRequest.front().time - beforeRequestSeconds;
    const double last = logs.ofRequest.back().time;
    std::erase_if(logs.ofState, [&](const Line &line) {
        if (line.time < first || line.time > last)
            return true;
        const bool isOwnState = names.contains(line.instance)
            && (line.level != "info" || contains(stateEvents, line.event));
        const bool isNamed =
            std::any_of(nameMembers.begin(), nameMembers.end(), [&](std::string_view member) {
                const auto name = textMember(line.members, std::string(member).c_str());
                return name && names.contains(*name);
            });
        return !isOwnState && !isNamed;
    });
}

std::string formatMember(const std::string &name, const Json &value)
{
    if (name.ends_with("_ms") && value.is_number())
        return fmt::format("{}={:.1f}ms", name.substr(0, name.size() - 3), value.get<double>());
    return name + '=' + value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string formatLine(const Line &line, double start)
{
    std::string text =
        fmt::format("{:>+10.1f}ms  {:<15}  {}", std::round((line.time - start) * 10000) / 10,
                    line.instance, line.event);
    for (const auto &[name, value] : line.members.items()) {
        if (!contains(commonMembers, name))
            text += "  " + formatMember(name, value);
    }
    return printable(text) + '\n';
}

std::string summary(const std::string &request, const std::vector<Line> &lines)
{
    const auto end = std::find_if(lines.rbegin(), lines.rend(),
                                  [](const Line &line) { return contains(endEvents, line.event); });
    if (end == lines.rend())
        return "request " + request
            + ": no line tells its end; the instance was killed, or its log is not among the files";
    std::string text = "request " + request + ": " + end->event;
    for (const char *name : {"status", "reason", "attempts", "took_ms"}) {
        const auto member = end->members.find(name);
        if (member != end->members.end())
            text += "  " + formatMember(name, *member);
    }
    return text;
}

Json toJson(const std::vector<Line> &lines)
{
    Json list = Json::array();
    for (const Line &line : lines)
        list.push_back(line.members);
    return list;
}

void sortByTime(std::vector<Line> &lines)
{
    // Lines of one instance keep their order; the clocks of two may differ.
    std::stable_sort(lines.begin(), lines.end(),
                     [](const Line &left, const Line &right) { return left.time < right.time; });
}

} // namespace

ExitCode runExplain(const Context &context, const ExplainOptions &options)
{
    Logs logs;
    for (const std::string &file : options.files) {
        std::ifstream stream(file);
        if (!stream)
            return fail(context, ExitCode::Invalid,
                        file + ": cannot be read; check the name and its permissions");
        readLog(stream, options.request, logs);
    }
    if (options.files.empty())
        readLog(context.environment.in, options.request, logs);
    if (logs.ofRequest.empty())
        return fail(context, ExitCode::Refused,
                    "no line is about request " + options.request
                        + "; give the logs of all instances; requests that were answered in time "
                          "at the first attempt are told for a few each second only");
    sortByTime(logs.ofRequest);
    sortByTime(logs.ofState);
    keepRelevant(logs);
    const std::string outcome = summary(options.request, logs.ofRequest);
    if (context.options.isJson) {
        printJson(context,
                  {{"request", options.request},
                   {"summary", outcome},
                   {"lines", toJson(logs.ofRequest)},
                   {"state", toJson(logs.ofState)},
                   {"unreadable_lines", logs.unreadable}});
        return ExitCode::Success;
    }
    std::ostream &out = context.environment.out;
    const double start = logs.ofRequest.front().time;
    out << printable(outcome) << "\nfirst line at "
        << formatTime(static_cast<std::uint64_t>(std::llround(start * 1000))) << '\n';
    for (const Line &line : logs.ofRequest)
        out << formatLine(line, start);
    const std::size_t left = logs.ofState.size() - std::min(logs.ofState.size(), maxStateLines);
    if (!logs.ofState.empty())
        out << "state of the instances and servers it met"
            << (left > 0 ? fmt::format(", {} earlier lines left out", left) : "") << ":\n";
    for (std::size_t i = left; i < logs.ofState.size(); ++i)
        out << formatLine(logs.ofState[i], start);
    if (logs.unreadable > 0)
        out << logs.unreadable << " lines could not be read\n";
    return ExitCode::Success;
}

} // namespace apricotrock::cli
