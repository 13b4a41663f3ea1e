#pragma once

#include "apricotrock/cli.h"

namespace apricotrock::cli {

/// Options that every command takes.
struct GlobalOptions
{
    std::string logUrl;
    std::string instancesUrl;
    std::vector<Endpoint> instances;
    bool isJson = false;
    /// Limit of the whole command, the recording time of a trace not included.
    std::chrono::milliseconds timeout{std::chrono::seconds(10)};
};

/// What each command runs with.
struct Context
{
    const Environment &environment;
    const GlobalOptions &options;
    /// Name of the command, for messages.
    std::string command;
};

struct CheckOptions
{
    std::string file;
    bool isSettings = false;
};

struct PublishOptions
{
    std::string file;
    std::optional<std::uint64_t> base;
    bool isInitial = false;
    std::string author;
    std::string comment;
};

struct DrainOptions
{
    /// Empty: drains the instances of the global options.
    std::string backendServer;
    bool isUndo = false;
    std::string author;
};

struct TraceOptions
{
    std::chrono::milliseconds duration{std::chrono::seconds(10)};
    std::uint64_t lane = 0;
    /// Empty: standard output.
    std::string file;
};

struct ExplainOptions
{
    std::string request;
    /// Empty: standard input.
    std::vector<std::string> files;
};

ExitCode runCheck(const Context &context, const CheckOptions &options);
ExitCode runPublish(const Context &context, const PublishOptions &options);
ExitCode runDiff(const Context &context, const std::string &file);
ExitCode runHistory(const Context &context, std::size_t limit);
ExitCode runStatus(const Context &context);
ExitCode runDrain(const Context &context, const DrainOptions &options);
ExitCode runTrace(const Context &context, const TraceOptions &options);
ExitCode runExplain(const Context &context, const ExplainOptions &options);
ExitCode runReplay(const Context &context, const std::string &file);
ExitCode runQuarantineList(const Context &context);
ExitCode runQuarantineClear(const Context &context, const std::string &id);

} // namespace apricotrock::cli
