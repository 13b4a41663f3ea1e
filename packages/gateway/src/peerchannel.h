#pragma once

#include "context.h"
#include "quotaallocator.h"

#include "apricotrock/gateway_generated.h"

#include <set>

namespace apricotrock::gateway {

/// Exchanges datagrams with other instances. Messages to one instance that are queued in the same
/// iteration of the event loop are sent in one datagram.
class PeerChannel : public QuotaSender
{
public:
    struct Handlers
    {
        std::function<void(const std::string &ip, const wire::SlotRequest &)> slotRequest;
        std::function<void(const std::string &ip, const wire::SlotResponse &)> slotResponse;
        std::function<void(const std::string &ip, const wire::SlotRelease &)> slotRelease;
        std::function<void(const std::string &ip, const wire::GatewayMessageT &)> tables;
        /// Called with backend servers that said that they leave.
        std::function<void(const std::vector<fleet::LeavingServer> &)> leaving;
        std::function<void(const wire::CrashReportT &)> crash;
        /// Called when an instance appears or comes back.
        std::function<void(const std::string &ip)> joined;
        std::function<void(const std::string &ip)> lost;
        std::function<void(const std::string &ip, const wire::QuotaRequest &)> quotaRequest;
        std::function<void(const std::string &ip, const wire::QuotaResponse &)> quotaResponse;
        std::function<void(const std::string &ip, const wire::QuotaReturn &)> quotaReturn;
    };

    PeerChannel(Context &context, Handlers handlers);
    Result<void> start();

    void sendSlotRequest(const std::string &ip, const wire::SlotRequest &ask);
    void sendSlotResponse(const std::string &ip, const wire::SlotResponse &answer);
    void sendSlotRelease(const std::string &ip, const wire::SlotRelease &end);
    void sendQuotaRequest(const std::string &ip, const wire::QuotaRequest &request) override;
    void sendQuotaResponse(const std::string &ip, const wire::QuotaResponse &response) override;
    void sendQuotaReturn(const std::string &ip, const wire::QuotaReturn &message) override;
    /// Sends \a message to every live instance.
    void broadcast(const wire::GatewayMessageT &message);
    enum class Scope { Fleet, OwnZone };
    /// Sends table changes to every live instance in \a scope. In large fleets the instances of
    /// each availability zone relay them, so that the bandwidth of a small instance suffices.
    void broadcastTables(wire::GatewayMessageT &message, Scope scope = Scope::Fleet);
    /// Sends the state of the tables to every live instance in \a scope.
    void announceTables(Scope scope);
    /// Sends the state of this instance to every live instance at once. In large fleets only those
    /// of the own zone get it; the others get the next zone report.
    void announce();
    /// Adds an instance that another source named, and sends it a hello message, in which it asks
    /// for the instances that the peer knows if \a wantsInstances is set. Returns true if it was
    /// unknown.
    bool addPeer(const std::string &ip, const std::string &availabilityZone, bool wantsInstances);
    /// Sets the function that returns the table state sent with every heartbeat.
    void setTableState(std::function<wire::TableState()> state) { m_tableState = std::move(state); }

    /// Sets the function that returns the leaving backend servers, for instances that join.
    void setLeavingServers(std::function<std::vector<fleet::LeavingServer>()> leaving)
    {
        m_leavingServers = std::move(leaving);
    }
    /// Tells every live instance that backend servers leave.
    void broadcastLeaving(const std::vector<fleet::LeavingServer> &servers);
    /// Sets the function that returns the known crashes, for instances that join.
    void setCrashReports(std::function<std::vector<wire::CrashReportT>()> reports)
    {
        m_crashReports = std::move(reports);
    }
    /// Tells every live instance of crashes of backend servers.
    void broadcastCrashes(const std::vector<wire::CrashReportT> &reports);

    /// Returns the number of datagrams received since the last call.
    std::uint64_t takeReceived() { return std::exchange(m_received, 0); }
    /// Returns the time spent on received datagrams, decisions included, since the last call.
    Duration takeHandlingTime() { return std::exchange(m_handlingTime, {}); }

private:
    wire::GatewayMessageT &pending(const std::string &ip);
    void flush();
    void send(const std::string &ip, const wire::GatewayMessageT &message);
    void receive();
    void handle(const std::string &ip, const char *data, std::size_t size);
    void sendHello(const std::string &ip, bool wantsInstances);
    void sendInstances(const std::string &ip);
    void forwardNewInstances();
    /// Sends a message to the first instances of an availability zone, which relay it.
    void sendToZone(const std::string &availabilityZone, wire::GatewayMessageT &message);
    void relay(const wire::GatewayMessageT &message);
    [[nodiscard]] std::set<std::string> otherZones() const;
    void sendZoneReports();
    void handleZoneReport(const wire::ZoneReportT &report);
    void requestInstances(TimePoint now, bool hasLivePeer);
    void tick();
    [[nodiscard]] wire::GatewayMessageT ownState(bool isFull) const;
    /// Adds the state of the tables and the evacuations to \a message.
    void addTables(wire::GatewayMessageT &message) const;
    /// Returns the live instances that \a ip needs to know in order to join: those of its
    /// availability zone, and a few of each other zone, which reports about its other instances.
    [[nodiscard]] std::vector<fleet::InstanceInfo> contactsFor(const std::string &ip) const;
    /// True if an instance of \a availabilityZone is needed as a contact.
    [[nodiscard]] bool needsContactIn(const std::string &availabilityZone) const;
    /// Relays a message in the own zone, or sends it to the instance that begins with that.
    void relayInZone(const std::string &sender, const wire::GatewayMessageT &message);

    Context &m_context;
    Handlers m_handlers;
    asio::ip::udp::socket m_socket;
    asio::ip::udp::endpoint m_sender;
    /// Aligned for the structs of the messages.
    alignas(8) std::array<char, 65536> m_buffer{};
    std::map<std::string, wire::GatewayMessageT> m_pending;
    std::function<wire::TableState()> m_tableState;
    std::function<std::vector<fleet::LeavingServer>()> m_leavingServers;
    std::function<std::vector<wire::CrashReportT>()> m_crashReports;
    std::vector<wire::InstanceAddressT> m_newInstances;
    bool m_isFlushPosted = false;
    TimePoint m_started;
    TimePoint m_instancesRequested;
    std::size_t m_seedRounds = 0;
    TimePoint m_zoneReported;
    std::uint64_t m_received = 0;
    Duration m_handlingTime{};
    metrics::Counter &m_datagramsSent;
    metrics::Counter &m_bytesSent;
    metrics::Counter &m_datagramsInvalid;
    metrics::Counter &m_datagramsFailed;
};

} // namespace apricotrock::gateway
