#include "leavingexchange.h"

namespace apricotrock::gateway {

void addLeaving(std::span<const fleet::LeavingServer> servers, wire::GatewayMessageT &message)
{
    for (const fleet::LeavingServer &each : servers) {
        auto leaving = std::make_unique<wire::LeavingServerT>();
        leaving->id = each.id;
        leaving->process_start_ms = each.processStartMs;
        leaving->obsolete_sequence = each.obsoleteSequence;
        leaving->obsolete_era = each.obsoletePosition.era;
        leaving->obsolete_offset = each.obsoletePosition.offset;
        message.leaving.push_back(std::move(leaving));
    }
}

std::vector<fleet::LeavingServer> leavingOf(const wire::GatewayMessageT &message)
{
    std::vector<fleet::LeavingServer> servers;
    servers.reserve(message.leaving.size());
    for (const auto &each : message.leaving)
        servers.push_back({each->id,
                           each->process_start_ms,
                           each->obsolete_sequence,
                           {each->obsolete_era, each->obsolete_offset}});
    return servers;
}

} // namespace apricotrock::gateway
