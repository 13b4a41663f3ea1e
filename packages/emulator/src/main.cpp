#include "options.h"

#include <iostream>

namespace {

constexpr int exitFailed = 1;

int runCommand(const std::function<int()> &run)
{
    try {
        return run();
    } catch (const std::exception &error) {
        std::cerr << "apricotrock-emulator: " << error.what() << '\n';
        return exitFailed;
    }
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Test tool of apricotrock: platform, backend servers and load generator");
    app.require_subcommand(1);
    std::function<int()> run;
    apricotrock::emulator::addPlatformCommand(app, run);
    apricotrock::emulator::addBackendCommand(app, run);
    apricotrock::emulator::addLoadCommand(app, run);
    CLI11_PARSE(app, argc, argv);
    return runCommand(run);
}
