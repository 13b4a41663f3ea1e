#pragma once

#include "context.h"

#include "apricotrock/gateway_generated.h"

/// Orders to evacuate availability zones, as records of the store and in messages to peers.
namespace apricotrock::gateway {

/// Adds the known orders to \a message, which carries the state of the tables.
void addEvacuations(const fleet::Evacuations &evacuations, wire::GatewayMessageT &message);

/// Returns the orders of a message of a peer.
std::vector<fleet::EvacuationOrder> evacuationsOf(const wire::GatewayMessageT &message);

/// Removes the records of evacuations from \a records and returns them. What remains is the
/// configuration.
std::vector<fleet::EvacuationOrder> takeEvacuations(const Adapter &adapter,
                                                    std::vector<StoredRecord> &records);

/// Logs each of \a changes. \a source is "store", "peer" or what else caused them.
void logEvacuations(EventLog &log, const std::vector<fleet::Evacuations::Change> &changes,
                    std::string_view source);

/// Returns the end of the time in which \a server is slow: after its start, or after the evacuation
/// of its availability zone, in which its caches were not used.
TimePoint slowStartUntil(const fleet::KnownServer &server, const fleet::Evacuations &evacuations,
                         const fleet::ServiceSettings *service);

} // namespace apricotrock::gateway
