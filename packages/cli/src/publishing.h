#pragma once

#include "configlog.h"

namespace apricotrock::cli {

/// The set that an operator wants in force, and who wants it.
struct PublicationRequest
{
    ObjectTexts target;
    std::string author;
    std::string comment;
};

/// Appends the publication of \a request on \a base, reads its verdict in log order and reports it.
ExitCode publishOn(const Context &context, ConfigStream &stream, ConfigLog &log,
                   const AcceptedConfiguration &base, const PublicationRequest &request);
/// Starts the configuration anew after the log has lost it, as version \a baseVersion + 1.
ExitCode publishInitial(const Context &context, ConfigStream &stream, ConfigLog &log,
                        std::uint64_t baseVersion, const PublicationRequest &request);

} // namespace apricotrock::cli
