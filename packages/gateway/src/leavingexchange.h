#pragma once

#include "apricotrock/fleet.h"
#include "apricotrock/gateway_generated.h"

#include <span>

/// Leaving backend servers in messages to peers.
namespace apricotrock::gateway {

/// Adds \a servers to \a message.
void addLeaving(std::span<const fleet::LeavingServer> servers, wire::GatewayMessageT &message);

/// Returns the leaving servers of a message of a peer.
std::vector<fleet::LeavingServer> leavingOf(const wire::GatewayMessageT &message);

} // namespace apricotrock::gateway
