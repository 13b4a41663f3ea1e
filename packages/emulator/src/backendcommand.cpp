#include "backendserver.h"
#include "options.h"

#include <csignal>

#include <iostream>

namespace apricotrock::emulator {

namespace {

struct BackendOptions
{
    std::vector<std::string> listen;
    std::vector<std::string> names;
    std::vector<std::string> zones;
    std::uint32_t slots = 2;
    std::string serviceTime = "5ms";
    std::string probeTime = "6ms";
    std::string distribution = "exponential";
    std::size_t queueLimit = 32;
    std::uint64_t seed = 1;
};

/// Returns the value for server \a index: one value serves all of them.
std::string valueAt(const std::vector<std::string> &values, std::size_t index)
{
    if (values.empty())
        return {};
    return values.size() == 1 ? values.front() : values.at(index);
}

void checkCount(const std::vector<std::string> &values, std::size_t count, const char *option)
{
    if (values.size() > 1 && values.size() != count)
        throw CLI::ValidationError(std::string(option)
                                   + ": give one value, or one for each address");
}

BackendParameters parametersOf(const BackendOptions &options, std::size_t index)
{
    static const std::map<std::string, Distribution> distributions = {
        {"exponential", Distribution::Exponential},
        {"constant", Distribution::Constant},
        {"lognormal", Distribution::Lognormal}};
    BackendParameters parameters;
    parameters.listen = readEndpoint(options.listen[index]);
    parameters.name = valueAt(options.names, index);
    parameters.zone = valueAt(options.zones, index);
    parameters.slots = options.slots;
    parameters.serviceTime = readDuration(options.serviceTime);
    parameters.probeTime = readDuration(options.probeTime);
    parameters.distribution = distributions.at(options.distribution);
    parameters.queueLimit = options.queueLimit;
    parameters.seed = options.seed + index;
    return parameters;
}

int runBackend(const BackendOptions &options)
{
    checkCount(options.names, options.listen.size(), "--name");
    checkCount(options.zones, options.listen.size(), "--zone");
    asio::io_context context(1);
    std::vector<std::unique_ptr<BackendServer>> servers;
    for (std::size_t i = 0; i < options.listen.size(); ++i)
        servers.push_back(std::make_unique<BackendServer>(context, parametersOf(options, i)));
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const asio::error_code &, int) { context.stop(); });
    std::cout << servers.size() << " backend servers listening" << std::endl;
    context.run();
    return 0;
}

} // namespace

void addBackendCommand(CLI::App &app, std::function<int()> &run)
{
    auto options = std::make_shared<BackendOptions>();
    CLI::App *command = app.add_subcommand("backend", "Run backend servers, one for each address");
    command->add_option("--listen", options->listen, "Addresses IP:PORT, separated by commas")
        ->required()
        ->delimiter(',');
    command->add_option("--name", options->names, "Names, one for each address")
        ->required()
        ->delimiter(',');
    command->add_option("--zone", options->zones, "Availability zone of all, or one for each")
        ->delimiter(',');
    command->add_option("--slots", options->slots, "Requests that run at a time")
        ->capture_default_str()
        ->check(CLI::PositiveNumber);
    command->add_option("--service-time", options->serviceTime, "Mean slot time of a request")
        ->capture_default_str();
    command->add_option("--probe-time", options->probeTime, "Slot time of a probe")
        ->capture_default_str();
    command->add_option("--distribution", options->distribution, "Distribution of the slot time")
        ->capture_default_str()
        ->check(CLI::IsMember({"exponential", "constant", "lognormal"}));
    command->add_option("--queue", options->queueLimit, "Requests that wait; more are shed")
        ->capture_default_str();
    command->add_option("--seed", options->seed, "Seed of the slot times")->capture_default_str();
    command->callback([options, &run] { run = [options] { return runBackend(*options); }; });
}

} // namespace apricotrock::emulator
