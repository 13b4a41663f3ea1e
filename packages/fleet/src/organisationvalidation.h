#pragma once

#include "apricotrock/fleet.h"

namespace apricotrock::fleet {

/// Returns a message for every problem of \a organisations. No message contains an API key.
std::vector<std::string> validateOrganisations(const std::vector<Organisation> &organisations);

} // namespace apricotrock::fleet
