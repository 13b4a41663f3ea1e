#include "publishing.h"

#include "output.h"

#include <algorithm>
#include <ostream>
#include <random>

namespace apricotrock::cli {

namespace {

constexpr std::chrono::milliseconds verdictRetryDelay{100};

WallTime wallNow()
{
    return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

/// Each run is an incarnation of its own, so that its record id is unique.
wire::LogRecordT makeRecord(std::vector<std::unique_ptr<wire::LogEntryT>> entries)
{
    std::random_device random;
    wire::LogRecordT record;
    record.incarnation = (std::uint64_t(random()) << 32) | random();
    record.sequence = 1;
    record.instance = "operator";
    record.entries = std::move(entries);
    return record;
}

RecordId idOf(const wire::LogRecordT &record)
{
    return {{record.incarnation}, record.sequence};
}

std::string idLabel(const RecordId &id)
{
    return id.incarnation.toString() + '-' + std::to_string(id.sequence);
}

/// Returns how the first copy of the record ended.
const PublicationEntry *findVerdict(const PublicationState &state, const RecordId &id)
{
    const auto found =
        std::find_if(state.history.begin(), state.history.end(),
                     [&id](const PublicationEntry &entry) { return entry.id == id; });
    return found == state.history.end() ? nullptr : &*found;
}

std::string winnerLabel(const PublicationState &state, std::uint64_t version)
{
    for (const PublicationEntry &entry : state.history) {
        if (entry.verdict == PublicationVerdict::Accepted && entry.version == version)
            return "version " + std::to_string(version) + " of " + entry.author
                + (entry.comment.empty() ? "" : " (" + entry.comment + ')') + " came first";
    }
    return "another publication came first";
}

ExitCode reportVerdict(const Context &context, const ConfigLog &log, const PublicationEntry &entry)
{
    const std::string id = idLabel(entry.id);
    switch (entry.verdict) {
    case PublicationVerdict::Accepted:
        break;
    case PublicationVerdict::LostRace:
    case PublicationVerdict::Duplicate:
        return fail(context, ExitCode::LostRace,
                    "not published: " + winnerLabel(log.state, entry.baseVersion + 1)
                        + "; look at apricotrock diff and publish again");
    case PublicationVerdict::WrongDigest:
    case PublicationVerdict::InvalidSet:
        return fail(context, ExitCode::Refused,
                    "not published: the readers of the log reject record " + id + " ("
                        + std::string(verdictName(entry.verdict))
                        + "); use the apricotrock command of the same release as the instances");
    }
    if (context.options.isJson)
        printJson(context,
                  {{"result", "accepted"},
                   {"version", entry.version},
                   {"offset", entry.offset},
                   {"record", id},
                   {"changes", entry.changeCount}});
    else
        context.environment.out << "published version " << entry.version << " at offset "
                                << entry.offset << ", changes: " << entry.changeCount << '\n';
    return ExitCode::Success;
}

/// Reads the log until the verdict of the record is there.
ExitCode awaitVerdict(const Context &context, ConfigStream &stream, ConfigLog &log,
                      const RecordId &id, TimePoint deadline)
{
    std::string reason = "the record is not in the log that could be read";
    do {
        const auto result = readForward(stream, log);
        if (const PublicationEntry *entry = findVerdict(log.state, id))
            return reportVerdict(context, log, *entry);
        if (!result)
            reason = result.error().message;
        std::this_thread::sleep_for(verdictRetryDelay);
    } while (Clock::now() < deadline);
    return fail(context, ExitCode::Unreachable,
                "the publication is in the log, but its verdict is not known: " + reason
                    + "; look for record " + idLabel(id) + " in apricotrock history");
}

ExitCode appendRecord(const Context &context, ConfigStream &stream, ConfigLog &log,
                      const wire::LogRecordT &record)
{
    const RecordId id = idOf(record);
    const std::size_t size = wire::encodeLogRecord(record).size();
    if (size > wire::maxLogRecordBytes)
        return fail(context, ExitCode::Refused,
                    "the publication has " + std::to_string(size) + " bytes, above the limit of "
                        + std::to_string(wire::maxLogRecordBytes)
                        + "; publish the change in several steps");
    const TimePoint deadline = Clock::now() + context.options.timeout;
    const auto offset = stream.append(record, log.next, deadline);
    if (offset)
        return awaitVerdict(context, stream, log, id, deadline);
    if (offset.error().failure == platform::PlatformFailure::NotDone)
        return fail(context, ExitCode::Unreachable,
                    "not published: " + offset.error().message + "; try again later");
    return fail(context, ExitCode::Unreachable,
                "the platform did not confirm the publication, which may still take effect: "
                    + offset.error().message + "; look for record " + idLabel(id)
                    + " in apricotrock history before you publish again");
}

} // namespace

ExitCode publishOn(const Context &context, ConfigStream &stream, ConfigLog &log,
                   const AcceptedConfiguration &base, const PublicationRequest &request)
{
    if (base.objects == request.target) {
        if (context.options.isJson)
            printJson(context, {{"result", "unchanged"}, {"version", base.version}});
        else
            context.environment.out << "nothing to publish: version " << base.version
                                    << " holds the same set\n";
        return ExitCode::Success;
    }
    std::vector<std::unique_ptr<wire::LogEntryT>> entries;
    entries.push_back(wire::holdEntry(
        makePublication(base, request.target, request.author, request.comment, wallNow())));
    return appendRecord(context, stream, log, makeRecord(std::move(entries)));
}

ExitCode publishInitial(const Context &context, ConfigStream &stream, ConfigLog &log,
                        std::uint64_t baseVersion, const PublicationRequest &request)
{
    return appendRecord(context, stream, log,
                        makeRecord(makeInitialEntries(baseVersion, log.next, request.target,
                                                      request.author, request.comment, wallNow())));
}

} // namespace apricotrock::cli
