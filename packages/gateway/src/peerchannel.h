#pragma once

#include "context.h"

#include "apricotrock/gateway_generated.h"

#include <set>

namespace apricotrock::gateway {

/// Datagrams between instances. What is queued in one turn of the event loop leaves in one
/// datagram.
class PeerChannel
{
public:
    struct Handlers
    {
        std::function<void(const std::string &ip, const wire::SlotAsk &)> slotRequest;
        std::function<void(const std::string &ip, const wire::SlotAnswer &)> slotResponse;
        std::function<void(const std::string &ip, const wire::SlotEnd &)> slotRelease;
        std::function<void(const std::string &ip, const wire::GatewayMessageT &)> tables;
        /// An instance appeared or came back.
        std::function<void(const std::string &ip)> joined;
        std::function<void(const std::string &ip)> lost;
    };

    PeerChannel(Context &context, Handlers handlers);
    Result<void> start();

    void sendSlotRequest(const std::string &ip, const wire::SlotAsk &ask);
    void sendSlotResponse(const std::string &ip, const wire::SlotAnswer &answer);
    void sendSlotRelease(const std::string &ip, const wire::SlotEnd &end);
    /// Sends a message with the own state to every live instance.
    void broadcast(const wire::GatewayMessageT &message);
    /// Sends news of tables to every live instance. In large fleets the instances of each
    /// availability zone hand them on, so that the link of a small one suffices.
    void broadcastTables(wire::GatewayMessageT &message);
    /// Tells every live instance the own state now.
    void announce();
    /// Adds an instance that another source named, and greets it.
    void addPeer(const std::string &ip, const std::string &availabilityZone);
    /// Returns the state that goes along with every heartbeat.
    void setTableState(std::function<wire::TableState()> state) { m_tableState = std::move(state); }

private:
    wire::GatewayMessageT &pending(const std::string &ip);
    void flush();
    void send(const std::string &ip, const wire::GatewayMessageT &message);
    void receive();
    void handle(const std::string &ip, const char *data, std::size_t size);
    void sendHello(const std::string &ip, bool wantsInstances);
    void sendInstances(const std::string &ip);
    void forwardNewInstances();
    /// Sends a message to the first instances of an availability zone, which hand it on.
    void sendToZone(const std::string &availabilityZone, wire::GatewayMessageT &message);
    void relay(const wire::GatewayMessageT &message);
    [[nodiscard]] std::set<std::string> otherZones() const;
    void sendZoneReports();
    void handleZoneReport(const wire::ZoneReportT &report);
    void requestInstances(TimePoint now, bool hasLivePeer);
    void tick();
    [[nodiscard]] wire::GatewayMessageT ownState(bool isFull) const;

    Context &m_context;
    Handlers m_handlers;
    asio::ip::udp::socket m_socket;
    asio::ip::udp::endpoint m_sender;
    std::array<char, 65536> m_buffer{};
    std::map<std::string, wire::GatewayMessageT> m_pending;
    std::function<wire::TableState()> m_tableState;
    std::vector<wire::InstanceAddressT> m_newInstances;
    bool m_isFlushPosted = false;
    TimePoint m_started;
    TimePoint m_instancesRequested;
    std::size_t m_seedRounds = 0;
    TimePoint m_zoneReported;
    metrics::Counter &m_datagramsSent;
    metrics::Counter &m_bytesSent;
    metrics::Counter &m_datagramsInvalid;
    metrics::Counter &m_datagramsFailed;
};

} // namespace apricotrock::gateway
