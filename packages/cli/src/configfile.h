#pragma once

#include "apricotrock/config.h"

namespace apricotrock::cli {

/// A configuration file; usable only if it has no problems.
struct ConfigFile
{
    ObjectTexts objects;
    Configuration configuration;
    std::vector<Problem> problems;
};

ConfigFile readConfigFile(const std::string &file);

} // namespace apricotrock::cli
