#pragma once

#include "apricotrock/gateway.h"

#include "authentication.h"

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
    /// Called when a backend server says in a response, to this instance or to one that was granted
    /// its slot, that it leaves. If the second argument is true, the other instances are told.
    std::function<void(const fleet::LeavingServer &, bool)> serverLeaving;
    /// When the configuration in force was last known to be the newest one: by a read of the store
    /// or by the message of an instance that reads it.
    TimePoint configurationConfirmedAt{};
    fleet::Evacuations evacuations{};

    metrics::Counter &counter(const std::string &name, const std::string &help,
                              const metrics::Labels &labels = {})
    {
        return metrics.counter("apricotrock_" + name, help, labels);
    }
    /// True if the configuration has organisations and a newer one may have been published for
    /// longer than the bound.
    [[nodiscard]] bool isConfigurationOverdue(TimePoint now) const
    {
        return !routes.organisations().isEmpty()
            && isConfirmationOverdue(configurationConfirmedAt, settings.configurationBound, now);
    }
};

/// True if \a server is in an availability zone that is evacuated at \a now.
inline bool isEvacuated(const Context &context, const fleet::ServerEntry &server, TimePoint now)
{
    return context.evacuations.isEvacuated(server.availabilityZone, now);
}

/// True if new requests may be sent to \a server at \a now.
inline bool isUsable(const Context &context, const fleet::KnownServer &server, TimePoint now)
{
    return fleet::ServerDirectory::isUsable(server) && !isEvacuated(context, *server.entry, now);
}

/// True if the response of a backend server says that the server leaves.
inline bool saysLeaving(const loop::HttpResponse &response, const HeaderNames &names)
{
    const auto value = loop::findHeader(response.headers, names.leaving);
    return value && *value == "1";
}

inline std::uint64_t serviceKey(std::string_view name)
{
    return hash64(name, 1);
}

inline std::uint64_t serverKey(std::string_view id)
{
    return hash64(id, 2);
}

inline std::uint64_t organisationKey(std::string_view name)
{
    return hash64(name, 6);
}

inline std::uint64_t instanceKey(std::string_view ip)
{
    return hash64(ip, 3);
}

/// Returns the first ticket number of a process: random, so that its tickets differ from those of
/// the processes before it. Fits into the signed numbers of the log.
inline std::uint64_t firstTicket(std::uint64_t incarnation)
{
    constexpr unsigned unusedBits = 2;
    return incarnation >> unusedBits;
}

inline std::uint32_t zoneKey(std::string_view name)
{
    return static_cast<std::uint32_t>(hash64(name, 5));
}

} // namespace apricotrock::gateway
