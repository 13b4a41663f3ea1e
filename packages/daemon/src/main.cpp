#include "instancemetrics.h"
#include "logging.h"
#include "operatorservice.h"
#include "plannedstop.h"

#include <CLI/CLI.hpp>

#include <sys/resource.h>

#include <csignal>
#include <iostream>

namespace {

using namespace apricotrock;
using namespace apricotrock::daemon;

constexpr int exitFailed = 1;
constexpr int exitInvalid = 2;
constexpr std::chrono::milliseconds stopCheckInterval{20};

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

/// Every caller and backend connection takes a file descriptor.
void raiseFileLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

/// Waits for a signal; returns false after \a longest.
bool waitForSignal(std::chrono::milliseconds longest)
{
    const sigset_t signals = stopSignals();
    timespec time{};
    time.tv_sec = longest.count() / 1000;
    time.tv_nsec = longest.count() % 1000 * 1000000;
    return sigtimedwait(&signals, nullptr, &time) > 0;
}

/// Runs until a planned stop has ended; returns the exit status.
int serve(Instance &instance, const std::atomic<bool> &isDrainRequested)
{
    while (!isDrainRequested && !waitForSignal(std::chrono::milliseconds(100))) { }
    PlannedStop stop(instance, Clock::now());
    while (!stop.advance(Clock::now())) {
        if (waitForSignal(stopCheckInterval)) {
            logLine(LogLevel::Warn, "stopped_at_once",
                    {{"pending_requests", std::to_string(instance.pendingRequests())}});
            std::_Exit(exitFailed);
        }
    }
    return stop.isClean() ? 0 : exitFailed;
}

int run(const Settings &settings)
{
    setUpLogging(settings.log.level);
    raiseFileLimit();
    // All threads inherit the mask, so that only the main thread takes the signals.
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    std::atomic<bool> isDrainRequested{false};
    Instance instance(settings);
    instance.onDrainRequested([&isDrainRequested] { isDrainRequested = true; });
    OperatorService operators(instance);
    auto result = instance.start();
    const InstanceMetrics instanceMetrics(instance);
    if (result)
        result = operators.start();
    int status = exitFailed;
    if (result)
        status = serve(instance, isDrainRequested);
    else
        logLine(LogLevel::Error, "start_failed", {{"reason", result.error().message}});
    operators.stop();
    instance.stop();
    return status;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Entry instance of the apricotrock load balancer");
    std::string file;
    bool isCheckOnly = false;
    app.add_option("--settings", file, "Settings file of this instance")->required();
    app.add_flag("--check-settings", isCheckOnly, "Check the settings file and exit");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : exitInvalid;
    }
    std::vector<Problem> problems;
    const Settings settings = readSettingsFile(file, problems);
    for (const Problem &problem : problems)
        std::cerr << problem.toString() << '\n';
    if (!problems.empty())
        return exitInvalid;
    if (isCheckOnly) {
        std::cout << file << ": no problems found\n";
        return 0;
    }
    try {
        return run(settings);
    } catch (const std::exception &error) {
        std::cerr << "apricotrockd: " << error.what() << '\n';
        return exitFailed;
    }
}
