#pragma once

#include "apricotrock/config.h"
#include "commands.h"

namespace apricotrock::cli {

/// The configuration stream, folded up to the end of the log.
struct ConfigLog
{
    PublicationState state;
    /// Offset of the end of the log.
    std::uint64_t next = 0;
    /// First offset that the log holds.
    std::uint64_t first = 0;
};

/// Folds what \a log has not read yet.
platform::PlatformResult<void> readForward(ConfigStream &stream, ConfigLog &log);
/// Opens and reads the stream; reports a failure and sets \a code if there is none to return.
std::optional<ConfigLog> openLog(const Context &context, std::unique_ptr<ConfigStream> &stream,
                                 ExitCode &code);
/// Returns the version in force at the end of the log, also version 0 of a new log, or nothing if
/// the log does not hold it any more.
std::optional<AcceptedConfiguration> inForce(const ConfigLog &log);
/// Message for a log that does not hold the configuration any more.
std::string lostConfigurationMessage();

} // namespace apricotrock::cli
