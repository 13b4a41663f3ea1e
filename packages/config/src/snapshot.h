#pragma once

#include "apricotrock/config.h"

namespace apricotrock {

/// Checks the digest and the objects of \a snapshot and returns its configuration.
Result<AcceptedConfiguration> readSnapshot(const wire::SnapshotT &snapshot);
wire::SnapshotT snapshotOf(const AcceptedConfiguration &configuration, std::uint64_t nextOffset);
/// Makes \a configuration the current one, which holds every record below \a nextOffset, and folds
/// the pending records above.
void startFrom(PublicationState &state, AcceptedConfiguration configuration,
               std::uint64_t nextOffset);

} // namespace apricotrock
