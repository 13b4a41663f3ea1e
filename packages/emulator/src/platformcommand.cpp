#include "options.h"
#include "platformservice.h"

#include <csignal>

#include <iostream>

namespace apricotrock::emulator {

namespace {

struct PlatformOptions
{
    std::string listen;
    std::string retention = "1h";
    std::string listLag = "500ms";
    std::uint64_t appendsPerSecond = 400;
};

std::chrono::milliseconds readMilliseconds(const std::string &text)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(readDuration(text));
}

int runPlatform(const PlatformOptions &options)
{
    asio::io_context context(1);
    const Endpoint listen = readEndpoint(options.listen);
    PlatformService service(context,
                            {listen, readMilliseconds(options.retention),
                             readMilliseconds(options.listLag), options.appendsPerSecond});
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const asio::error_code &, int) { context.stop(); });
    std::cout << "platform listening on " << listen.ip << ':' << service.port() << std::endl;
    context.run();
    return 0;
}

} // namespace

void addPlatformCommand(CLI::App &app, std::function<int()> &run)
{
    auto options = std::make_shared<PlatformOptions>();
    CLI::App *command = app.add_subcommand("platform", "Run the log service and instance list");
    command->add_option("--listen", options->listen, "Address IP:PORT")->required();
    command->add_option("--retention", options->retention, "Time for which records are kept")
        ->capture_default_str();
    command->add_option("--list-lag", options->listLag, "Delay of the instance list")
        ->capture_default_str();
    command
        ->add_option("--appends-per-second", options->appendsPerSecond,
                     "Appends above this rate are refused with 503")
        ->capture_default_str();
    command->callback([options, &run] { run = [options] { return runPlatform(*options); }; });
}

} // namespace apricotrock::emulator
