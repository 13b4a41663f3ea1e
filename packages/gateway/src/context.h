#pragma once

#include "apricotrock/gateway.h"

namespace apricotrock::gateway {

using loop::EventLog;
using loop::LogLine;

/// What all parts of a gateway share.
struct Context
{
    asio::io_context &io;
    loop::LoopTimers &timers;
    EventLog &log;
    GatewaySettings settings;
    Adapter adapter;
    metrics::Registry metrics;
    fleet::Membership membership;
    fleet::ServerDirectory servers;
    fleet::RouteTable routes;
    /// The accepted configuration as the store holds it, for peers.
    std::string configurationText;

    metrics::Counter &counter(const std::string &name, const std::string &help,
                              const metrics::Labels &labels = {})
    {
        return metrics.counter("apricotrock_" + name, help, labels);
    }
};

inline std::uint64_t serviceKey(std::string_view name)
{
    return hash64(name, 1);
}

inline std::uint64_t serverKey(std::string_view id)
{
    return hash64(id, 2);
}

inline std::uint32_t zoneKey(std::string_view name)
{
    return static_cast<std::uint32_t>(hash64(name, 5));
}

} // namespace apricotrock::gateway
