#pragma once

#include "apricotrock/base.h"
#include "apricotrock/http.h"
#include "apricotrock/platform.h"

#include <iosfwd>

namespace apricotrock::cli {

/// Exit codes of the command line tool.
enum class ExitCode {
    Success = 0,
    /// The system refused the command, or it failed.
    Refused = 1,
    /// Wrong usage or invalid input.
    Invalid = 2,
    /// The platform or an instance could not be reached, or its answer was lost.
    Unreachable = 3,
    /// Another operator's publication came first.
    LostRace = 4,
};

/// The configuration stream in the platform's log.
class ConfigStream
{
public:
    virtual ~ConfigStream() = default;
    virtual platform::PlatformResult<platform::ReadAnswer> read(std::uint64_t from) = 0;
    /// As platform::appendOnce().
    virtual platform::PlatformResult<std::uint64_t>
    append(const wire::LogRecordT &record, std::uint64_t from, TimePoint deadline) = 0;
};

/// One HTTP call to the operator address of an instance.
struct InstanceCall
{
    Endpoint instance;
    std::string method;
    std::string target;
    std::chrono::milliseconds timeout{};
};

/// What the commands use of the outside world; tests put fakes here.
struct Environment
{
    std::ostream &out;
    std::ostream &err;
    std::istream &in;
    std::function<std::unique_ptr<ConfigStream>(const std::string &logUrl,
                                                std::chrono::milliseconds timeout)>
        openStream;
    /// An error tells why the instance could not be reached.
    std::function<Result<HttpResponse>(const InstanceCall &call)> callInstance;
    std::function<platform::PlatformResult<std::vector<platform::InstanceInfo>>(
        const std::string &instancesUrl, std::chrono::milliseconds timeout)>
        listInstances;
    /// Name of the operator unless the command gives one.
    std::string author;
};

/// Returns an environment that uses the network.
Environment networkEnvironment(std::ostream &out, std::ostream &err, std::istream &in);

/// Runs one command; \a arguments does not hold the program name.
ExitCode runCommand(const std::vector<std::string> &arguments, const Environment &environment);

} // namespace apricotrock::cli
