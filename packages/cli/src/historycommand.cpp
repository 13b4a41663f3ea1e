#include "configlog.h"
#include "output.h"

#include <ostream>

namespace apricotrock::cli {

namespace {

std::string recordLabel(const RecordId &id)
{
    return id.incarnation.toString() + '-' + std::to_string(id.sequence);
}

Json entryDocument(const PublicationEntry &entry)
{
    Json document = {{"offset", entry.offset},
                     {"record", recordLabel(entry.id)},
                     {"verdict", verdictName(entry.verdict)},
                     {"version", nullptr},
                     {"base_version", entry.baseVersion},
                     {"author", entry.author},
                     {"comment", entry.comment},
                     {"time_ms", entry.timeMs},
                     {"changes", entry.changeCount}};
    if (entry.verdict == PublicationVerdict::Accepted)
        document["version"] = entry.version;
    return document;
}

std::vector<std::string> entryRow(const PublicationEntry &entry)
{
    const bool isAccepted = entry.verdict == PublicationVerdict::Accepted;
    return {std::to_string(entry.offset),
            isAccepted ? std::to_string(entry.version) : "-",
            std::string(verdictName(entry.verdict)),
            std::to_string(entry.baseVersion),
            std::to_string(entry.changeCount),
            formatTime(entry.timeMs),
            recordLabel(entry.id),
            printable(entry.author),
            printable(entry.comment)};
}

void printText(const Context &context, const ConfigLog &log,
               const std::vector<const PublicationEntry *> &entries)
{
    std::vector<std::vector<std::string>> rows = {
        {"OFFSET", "VERSION", "VERDICT", "BASE", "CHANGES", "TIME", "RECORD", "AUTHOR", "COMMENT"}};
    for (const PublicationEntry *entry : entries)
        rows.push_back(entryRow(*entry));
    std::ostream &out = context.environment.out;
    out << formatTable(rows);
    if (const auto current = inForce(log))
        out << "in force: version " << current->version << ", digest " << current->digest << '\n';
    else
        out << lostConfigurationMessage() << '\n';
}

} // namespace

ExitCode runHistory(const Context &context, std::size_t limit)
{
    ExitCode code = ExitCode::Success;
    std::unique_ptr<ConfigStream> stream;
    const auto log = openLog(context, stream, code);
    if (!log)
        return code;
    const std::deque<PublicationEntry> &history = log->state.history;
    const std::size_t skipped = history.size() - std::min(history.size(), limit);
    std::vector<const PublicationEntry *> entries;
    for (std::size_t i = skipped; i < history.size(); ++i)
        entries.push_back(&history[i]);
    if (!context.options.isJson) {
        printText(context, *log, entries);
        return ExitCode::Success;
    }
    Json list = Json::array();
    for (const PublicationEntry *entry : entries)
        list.push_back(entryDocument(*entry));
    const auto current = inForce(*log);
    Json document = {{"version", nullptr}, {"digest", nullptr}, {"history", std::move(list)}};
    if (current) {
        document["version"] = current->version;
        document["digest"] = current->digest;
    }
    printJson(context, document);
    return ExitCode::Success;
}

} // namespace apricotrock::cli
