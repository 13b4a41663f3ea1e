#include "apricotrock/settings.h"
#include "configfile.h"
#include "output.h"

#include <ostream>

namespace apricotrock::cli {

namespace {

ExitCode checkSettings(const Context &context, const std::string &file)
{
    std::vector<Problem> problems;
    readSettingsFile(file, problems);
    if (!problems.empty())
        return reportProblems(context, file, std::move(problems), context.environment.out);
    if (context.options.isJson)
        printJson(context, {{"file", file}, {"valid", true}});
    else
        context.environment.out << file << ": valid settings\n";
    return ExitCode::Success;
}

} // namespace

ExitCode runCheck(const Context &context, const CheckOptions &options)
{
    if (options.isSettings)
        return checkSettings(context, options.file);
    ConfigFile file = readConfigFile(options.file);
    if (!file.problems.empty())
        return reportProblems(context, options.file, std::move(file.problems),
                              context.environment.out);
    const Configuration &set = file.configuration;
    const std::string digest = configurationDigest(file.objects);
    if (context.options.isJson) {
        printJson(context,
                  {{"file", options.file},
                   {"valid", true},
                   {"digest", digest},
                   {"availability_zones", set.availabilityZones.size()},
                   {"policies", set.policies.size()},
                   {"services", set.services.size()},
                   {"backend_servers", set.backendServers.size()}});
        return ExitCode::Success;
    }
    context.environment.out << options.file << ": valid\navailability zones  "
                            << set.availabilityZones.size() << "\npolicies            "
                            << set.policies.size() << "\nservices            "
                            << set.services.size() << "\nbackend servers     "
                            << set.backendServers.size() << "\ndigest              " << digest
                            << '\n';
    return ExitCode::Success;
}

} // namespace apricotrock::cli
