#pragma once

#include "apricotrock/base.h"

#include <CLI/CLI.hpp>

namespace apricotrock::emulator {

/// Adds a subcommand to \a app. \a run is set to the function that carries it out; the function
/// returns the exit code.
void addPlatformCommand(CLI::App &app, std::function<int()> &run);
void addBackendCommand(CLI::App &app, std::function<int()> &run);
void addLoadCommand(CLI::App &app, std::function<int()> &run);

/// Reads `IP:PORT`; throws CLI::ValidationError.
Endpoint readEndpoint(const std::string &text);
/// Reads a number with the unit us, ms, s, m or h; throws CLI::ValidationError.
std::chrono::microseconds readDuration(const std::string &text);

} // namespace apricotrock::emulator
