#include "configfile.h"
#include "output.h"
#include "publishing.h"

#include <algorithm>
#include <ostream>

namespace apricotrock::cli {

namespace {

std::string authorOf(const Context &context, const std::string &author)
{
    return author.empty() ? context.environment.author : author;
}

ExitCode publishWithoutBase(const Context &context, ConfigStream &stream, ConfigLog &log,
                            const PublishOptions &options, const PublicationRequest &request)
{
    if (!options.isInitial)
        return fail(context, ExitCode::Refused, lostConfigurationMessage());
    return publishInitial(context, stream, log, options.base.value_or(0), request);
}

/// Returns the text of a backend server with the key `state` set or removed.
std::string withState(const std::string &text, bool isDraining)
{
    std::string result;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find('\n', begin), text.size() - 1) + 1;
        const std::string line = text.substr(begin, end - begin);
        begin = end;
        if (line.starts_with("state = "))
            continue;
        result += line;
    }
    // The canonical text is sorted and `state` is the last key of a backend server.
    return isDraining ? result + "state = draining\n" : result;
}

ExitCode drainInstances(const Context &context)
{
    ExitCode code = ExitCode::Success;
    Json results = Json::array();
    for (const Endpoint &instance : context.options.instances) {
        const std::string address = instance.toString();
        const auto answer =
            context.environment.callInstance({instance, "POST", "/drain", context.options.timeout});
        const bool isAccepted = answer && answer->status / 100 == 2;
        if (!answer)
            code = fail(context, ExitCode::Unreachable,
                        address + ": " + answer.error().message
                            + "; the planned stop may have started, look at apricotrock status");
        else if (!isAccepted)
            code = fail(context, ExitCode::Refused,
                        address + ": HTTP status " + std::to_string(answer->status) + ": "
                            + answer->body);
        else if (!context.options.isJson)
            context.environment.out << address << ": planned stop started\n";
        results.push_back({{"address", address}, {"accepted", isAccepted}});
    }
    if (context.options.isJson)
        printJson(context, {{"instances", results}});
    return code;
}

ExitCode drainBackendServer(const Context &context, const DrainOptions &options)
{
    ExitCode code = ExitCode::Success;
    std::unique_ptr<ConfigStream> stream;
    auto log = openLog(context, stream, code);
    if (!log)
        return code;
    const auto base = inForce(*log);
    if (!base)
        return fail(context, ExitCode::Refused, lostConfigurationMessage());
    PublicationRequest request{base->objects, authorOf(context, options.author),
                               (options.isUndo ? "undo drain " : "drain ") + options.backendServer};
    const auto object = request.target.find({"backend-server", options.backendServer});
    if (object == request.target.end())
        return fail(context, ExitCode::Invalid,
                    "version " + std::to_string(base->version) + " has no backend-server "
                        + options.backendServer + "; look at apricotrock status");
    object->second = withState(object->second, !options.isUndo);
    return publishOn(context, *stream, *log, *base, request);
}

} // namespace

ExitCode runPublish(const Context &context, const PublishOptions &options)
{
    ConfigFile file = readConfigFile(options.file);
    if (!file.problems.empty())
        return reportProblems(context, options.file, std::move(file.problems),
                              context.environment.err);
    ExitCode code = ExitCode::Success;
    std::unique_ptr<ConfigStream> stream;
    auto log = openLog(context, stream, code);
    if (!log)
        return code;
    const PublicationRequest request{std::move(file.objects), authorOf(context, options.author),
                                     options.comment};
    const auto base = inForce(*log);
    if (!base)
        return publishWithoutBase(context, *stream, *log, options, request);
    if (options.isInitial && base->version > 0)
        return fail(context, ExitCode::Refused,
                    "version " + std::to_string(base->version)
                        + " is in force; publish without --initial");
    if (options.base && *options.base != base->version)
        return fail(context, ExitCode::LostRace,
                    "version " + std::to_string(base->version) + " is in force, not "
                        + std::to_string(*options.base)
                        + "; look at apricotrock diff and publish again");
    return publishOn(context, *stream, *log, *base, request);
}

ExitCode runDrain(const Context &context, const DrainOptions &options)
{
    const bool isInstanceDrain = !context.options.instances.empty();
    if (isInstanceDrain == !options.backendServer.empty())
        return fail(context, ExitCode::Invalid,
                    "give either a backend server or --instance ADDRESS");
    if (isInstanceDrain && options.isUndo)
        return fail(context, ExitCode::Invalid,
                    "a planned stop of an instance cannot be undone; start the instance again");
    return isInstanceDrain ? drainInstances(context) : drainBackendServer(context, options);
}

} // namespace apricotrock::cli
