#include "apricotrock/engine.h"
#include "apricotrock/fields.h"
#include "output.h"

#include <fstream>
#include <ostream>

namespace apricotrock::cli {

namespace {

constexpr int statusConflict = 409;

ExitCode writeTrace(const Context &context, const std::string &file, const std::string &trace)
{
    if (file.empty()) {
        context.environment.out << trace;
        return ExitCode::Success;
    }
    std::ofstream stream(file, std::ios::binary);
    stream << trace;
    stream.close();
    if (!stream)
        return fail(context, ExitCode::Refused,
                    "cannot write " + file + "; check the path and the free space");
    if (context.options.isJson)
        printJson(context, {{"file", file}, {"bytes", trace.size()}});
    else
        context.environment.out << "wrote " << trace.size() << " bytes to " << file << '\n';
    return ExitCode::Success;
}

} // namespace

ExitCode runTrace(const Context &context, const TraceOptions &options)
{
    if (context.options.instances.size() != 1)
        return fail(context, ExitCode::Invalid,
                    "give the operator address of one instance with --instance IP:PORT");
    const Endpoint &instance = context.options.instances.front();
    const auto answer = context.environment.callInstance(
        {instance, "POST",
         "/trace?duration_ms=" + std::to_string(options.duration.count())
             + "&lane=" + std::to_string(options.lane),
         options.duration + context.options.timeout});
    if (!answer)
        return fail(context, ExitCode::Unreachable,
                    instance.toString() + ": " + answer.error().message);
    if (answer->status != 200) {
        const bool isBusy = answer->status == statusConflict;
        return fail(
            context, ExitCode::Refused,
            instance.toString() + ": "
                + (isBusy ? "a recording is under way; wait for its end"
                          : "HTTP status " + std::to_string(answer->status) + ": " + answer->body));
    }
    return writeTrace(context, options.file, answer->body);
}

ExitCode runReplay(const Context &context, const std::string &file)
{
    std::vector<Problem> problems;
    const auto text = readTextFile(file, problems);
    if (!text)
        return reportProblems(context, file, std::move(problems), context.environment.err);
    const auto report = engine::replayTrace(*text);
    if (!report)
        return fail(context, ExitCode::Invalid, file + ": " + report.error().message);
    if (context.options.isJson) {
        printJson(context,
                  {{"file", file},
                   {"events", report->events},
                   {"effects", report->effects},
                   {"expectations", report->expectations},
                   {"failures", report->failures}});
    } else {
        std::ostream &out = context.environment.out;
        for (const std::string &failure : report->failures)
            out << file << ": " << printable(failure) << '\n';
        out << file << ": " << report->events << " events, " << report->effects << " effects, "
            << report->expectations << " expectations, " << report->failures.size()
            << " failures\n";
    }
    return report->failures.empty() ? ExitCode::Success : ExitCode::Refused;
}

} // namespace apricotrock::cli
