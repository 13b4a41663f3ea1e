#include "loadgenerator.h"
#include "options.h"

#include <fstream>
#include <iostream>

namespace apricotrock::emulator {

namespace {

struct LoadOptions
{
    LoadParameters parameters;
    std::string shape = "constant";
    std::string keys = "bound";
    std::string duration = "10s";
    std::string swingPeriod = "400ms";
    std::string deadline = "1s";
    std::string attemptTimeout = "1h";
    std::string jsonFile;
    std::string samplesFile;
};

LoadParameters parametersOf(const LoadOptions &options)
{
    static const std::map<std::string, KeyMode> keyModes = {
        {"bound", KeyMode::Bound}, {"plain", KeyMode::Plain}, {"none", KeyMode::None}};
    LoadParameters parameters = options.parameters;
    if (parameters.instances.empty() == parameters.direct.empty())
        throw CLI::ValidationError("give either --instances or --direct");
    if (parameters.services.empty())
        parameters.services = {"direct"};
    parameters.schedule.shape =
        options.shape == "swing" ? ScheduleShape::Swing : ScheduleShape::Constant;
    parameters.schedule.length = readDuration(options.duration);
    parameters.schedule.swingPeriod = readDuration(options.swingPeriod);
    parameters.keyMode = keyModes.at(options.keys);
    parameters.deadline =
        std::chrono::duration_cast<std::chrono::milliseconds>(readDuration(options.deadline));
    parameters.attemptTimeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(readDuration(options.attemptTimeout));
    return parameters;
}

int runLoad(const LoadOptions &options)
{
    LoadGenerator generator(parametersOf(options));
    const RunReport report = generator.run();
    std::cout << toTable(report);
    if (!options.jsonFile.empty())
        std::ofstream(options.jsonFile) << toJson(report) << '\n';
    if (!options.samplesFile.empty())
        std::ofstream(options.samplesFile) << samplesJson(report) << '\n';
    return 0;
}

void addTargetOptions(CLI::App &command, LoadOptions &options)
{
    LoadParameters &parameters = options.parameters;
    command.add_option("--instances", parameters.instances, "Instances that tell addresses")
        ->delimiter(',');
    command.add_option("--direct", parameters.direct, "Backend servers to call without the system")
        ->delimiter(',');
    command.add_option("--service", parameters.services, "Services, called in turn")
        ->delimiter(',');
    command.add_option("--zone", parameters.zone, "Availability zone of the callers");
    command.add_option("--callers", parameters.callers, "Number of callers")
        ->capture_default_str()
        ->check(CLI::PositiveNumber);
    command.add_option("--name", parameters.name, "Start of caller names and tokens")
        ->capture_default_str();
}

void addLoadOptions(CLI::App &command, LoadOptions &options)
{
    LoadParameters &parameters = options.parameters;
    command.add_option("--rate", parameters.schedule.rate, "Mean calls a second")
        ->capture_default_str()
        ->check(CLI::PositiveNumber);
    command.add_option("--schedule", options.shape, "constant, or swing (10 to 1 within 5 ms)")
        ->capture_default_str()
        ->check(CLI::IsMember({"constant", "swing"}));
    command.add_option("--swing-period", options.swingPeriod, "One high and one low phase")
        ->capture_default_str();
    command.add_option("--duration", options.duration, "Length of the schedule")
        ->capture_default_str();
    command.add_option("--seed", parameters.schedule.seed, "Seed of the schedule")
        ->capture_default_str();
    command.add_option("--action-share", parameters.actionShare, "Share of actions")
        ->capture_default_str()
        ->check(CLI::Range(0.0, 1.0));
}

void addCallOptions(CLI::App &command, LoadOptions &options)
{
    LoadParameters &parameters = options.parameters;
    command.add_option("--keys", options.keys, "Keys of actions")
        ->capture_default_str()
        ->check(CLI::IsMember({"bound", "plain", "none"}));
    command.add_option("--deadline", options.deadline, "Deadline of a call, resends included")
        ->capture_default_str();
    command
        .add_option("--attempt-timeout", options.attemptTimeout,
                    "Time after which an attempt is given up and the call sent again")
        ->capture_default_str();
    command.add_option("--body-bytes", parameters.bodyBytes, "Body size of an action")
        ->capture_default_str();
    command.add_option("--resends", parameters.maxResends, "Resends of one call")
        ->capture_default_str();
    command.add_option("--max-in-flight", parameters.maxInFlight, "Fail above this many calls")
        ->capture_default_str();
    command.add_option("--json", options.jsonFile, "File for the results as JSON");
    command.add_option("--samples", options.samplesFile, "File for all latencies as JSON");
    command.add_option("--record", parameters.recordFile, "File for one JSON line an action");
}

} // namespace

void addLoadCommand(CLI::App &app, std::function<int()> &run)
{
    auto options = std::make_shared<LoadOptions>();
    CLI::App *command = app.add_subcommand("load", "Offer load and measure the answers");
    addTargetOptions(*command, *options);
    addLoadOptions(*command, *options);
    addCallOptions(*command, *options);
    command->callback([options, &run] { run = [options] { return runLoad(*options); }; });
}

} // namespace apricotrock::emulator
