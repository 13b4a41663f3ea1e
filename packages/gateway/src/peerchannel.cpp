#include "peerchannel.h"

#include "evacuationexchange.h"
#include "leavingexchange.h"

#include <fmt/format.h>

#include <algorithm>

namespace apricotrock::gateway {

namespace {

using fleet::RelayOrder;
using std::chrono::milliseconds;

/// Heartbeat interval; an instance counts as lost after three and a half intervals without one.
constexpr Duration heartbeatInterval = milliseconds(500);
constexpr Duration tickInterval = milliseconds(100);
/// Interval of hello messages to instances that do not answer.
constexpr Duration helloInterval = milliseconds(1500);
/// Times after the start at which the seeds are queried for the instances that they know. Repeated
/// because all instances may start at the same moment.
constexpr std::array<Duration, 5> seedQueryTimes = {
    milliseconds(0), milliseconds(150), milliseconds(400), milliseconds(900), milliseconds(2000)};
/// Interval at which one instance is queried for those that it knows, to repair partial views.
constexpr Duration exchangeInterval = milliseconds(4000);
/// Maximum number of instances in one datagram; keeps it below the usual path MTU.
constexpr std::size_t instancesPerDatagram = 30;
/// Number of instances of another availability zone that an instance of a large fleet contacts.
/// More would let the messages of a start grow with the square of the fleet.
constexpr std::size_t contactsPerZone = 4;
/// The same for leaving backend servers, and for reports of crashes.
constexpr std::size_t leavingPerDatagram = 30;
constexpr std::size_t crashesPerDatagram = 20;

fleet::InstanceInfo toInfo(const std::string &ip, const wire::SenderReportT &report)
{
    fleet::InstanceInfo info;
    info.incarnation = report.incarnation;
    info.ip = ip;
    info.availabilityZone = report.availability_zone;
    info.phase = static_cast<fleet::InstancePhase>(report.phase);
    info.weight = report.weight;
    info.canReadStore = report.can_read_store;
    return info;
}

/// Adds the reports from \a first on to \a message, up to the size of a datagram, and returns the
/// index of the next one.
std::size_t addCrashes(const std::vector<wire::CrashReportT> &reports, std::size_t first,
                       wire::GatewayMessageT &message)
{
    const std::size_t end = std::min(reports.size(), first + crashesPerDatagram);
    for (std::size_t i = first; i < end; ++i)
        message.crashes.push_back(std::make_unique<wire::CrashReportT>(reports[i]));
    return end;
}

/// Adds the servers from \a first on to \a message, up to the size of a datagram, and returns the
/// index of the next one.
std::size_t addLeavingFrom(const std::vector<fleet::LeavingServer> &servers, std::size_t first,
                           wire::GatewayMessageT &message)
{
    const std::size_t end = std::min(servers.size(), first + leavingPerDatagram);
    addLeaving(std::span(servers).subspan(first, end - first), message);
    return end;
}

} // namespace

PeerChannel::PeerChannel(Context &context, Handlers handlers)
    : m_context(context), m_handlers(std::move(handlers)), m_socket(context.io),
      m_datagramsSent(
          context.counter("peer_datagrams_sent_total", "Datagrams sent to other instances.")),
      m_bytesSent(context.counter("peer_bytes_sent_total", "Bytes of datagrams sent.")),
      m_datagramsInvalid(
          context.counter("peer_datagrams_invalid_total", "Datagrams that could not be read.")),
      m_datagramsFailed(
          context.counter("peer_datagrams_failed_total", "Datagrams that could not be sent."))
{ }

Result<void> PeerChannel::start()
{
    std::error_code error;
    const Endpoint own{m_context.settings.ip, m_context.settings.peerPort};
    const asio::ip::udp::endpoint endpoint(asio::ip::make_address(own.ip, error), own.port);
    if (!error)
        m_socket.open(endpoint.protocol(), error);
    if (!error)
        m_socket.bind(endpoint, error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        return makeError(fmt::format("cannot use UDP address {} for peers: {}; choose a free port",
                                     own.toString(), error.message()));
    m_started = Clock::now();
    receive();
    tick();
    m_context.timers.callEvery(tickInterval, [this] { tick(); });
    return {};
}

wire::GatewayMessageT PeerChannel::ownState(bool isFull) const
{
    const fleet::InstanceInfo &self = m_context.membership.self();
    wire::GatewayMessageT message;
    message.incarnation = self.incarnation;
    if (!isFull)
        return message;
    message.self = std::make_unique<wire::SenderReportT>();
    message.self->incarnation = self.incarnation;
    message.self->availability_zone = self.availabilityZone;
    message.self->phase = static_cast<std::uint8_t>(self.phase);
    message.self->weight = static_cast<float>(self.weight);
    message.self->can_read_store = self.canReadStore;
    message.unheard_zones = m_context.membership.unheardZones(Clock::now());
    addTables(message);
    return message;
}

void PeerChannel::addTables(wire::GatewayMessageT &message) const
{
    if (!m_tableState)
        return;
    message.tables = std::make_unique<wire::TableState>(m_tableState());
    addEvacuations(m_context.evacuations, message);
}

wire::GatewayMessageT &PeerChannel::pending(const std::string &ip)
{
    if (!m_isFlushPosted) {
        m_isFlushPosted = true;
        asio::post(m_context.io, [this] { flush(); });
    }
    return m_pending[ip];
}

void PeerChannel::flush()
{
    m_isFlushPosted = false;
    auto all = std::exchange(m_pending, {});
    for (auto &[ip, message] : all) {
        message.incarnation = m_context.membership.self().incarnation;
        send(ip, message);
    }
}

void PeerChannel::sendSlotRequest(const std::string &ip, const wire::SlotRequest &ask)
{
    pending(ip).asks.push_back(ask);
}

void PeerChannel::sendSlotResponse(const std::string &ip, const wire::SlotResponse &answer)
{
    pending(ip).answers.push_back(answer);
}

void PeerChannel::sendSlotRelease(const std::string &ip, const wire::SlotRelease &end)
{
    pending(ip).ends.push_back(end);
}

void PeerChannel::sendQuotaRequest(const std::string &ip, const wire::QuotaRequest &request)
{
    pending(ip).quota_requests.push_back(request);
}

void PeerChannel::sendQuotaResponse(const std::string &ip, const wire::QuotaResponse &response)
{
    pending(ip).quota_responses.push_back(response);
}

void PeerChannel::sendQuotaReturn(const std::string &ip, const wire::QuotaReturn &message)
{
    pending(ip).quota_returns.push_back(message);
}

void PeerChannel::send(const std::string &ip, const wire::GatewayMessageT &message)
{
    flatbuffers::FlatBufferBuilder builder(512);
    builder.Finish(wire::GatewayMessage::Pack(builder, &message), wire::GatewayMessageIdentifier());
    std::error_code error;
    const asio::ip::udp::endpoint endpoint(asio::ip::make_address(ip, error),
                                           m_context.settings.peerPort);
    if (!error)
        m_socket.send_to(asio::buffer(builder.GetBufferPointer(), builder.GetSize()), endpoint, 0,
                         error);
    // The network may drop datagrams too; every message is repeated or has a fallback.
    if (error)
        m_datagramsFailed.add();
    m_datagramsSent.add();
    m_bytesSent.add(builder.GetSize());
}

void PeerChannel::broadcast(const wire::GatewayMessageT &message)
{
    for (auto &[ip, peer] : m_context.membership.peers()) {
        if (!peer.isAlive)
            continue;
        peer.lastHeartbeatSent = Clock::now();
        send(ip, message);
    }
}

std::set<std::string> PeerChannel::otherZones() const
{
    std::set<std::string> zones;
    for (const auto &[ip, peer] : m_context.membership.peers()) {
        if (peer.isAlive)
            zones.insert(peer.info.availabilityZone);
    }
    zones.erase(m_context.membership.self().availabilityZone);
    return zones;
}

void PeerChannel::sendToZone(const std::string &availabilityZone, wire::GatewayMessageT &message)
{
    for (const RelayOrder order : {RelayOrder::Ascending, RelayOrder::Descending}) {
        message.relay = static_cast<std::uint8_t>(order);
        const std::string root = m_context.membership.relayRoot(availabilityZone, order);
        if (root == m_context.settings.ip)
            relay(message);
        else if (!root.empty())
            send(root, message);
    }
}

void PeerChannel::relay(const wire::GatewayMessageT &message)
{
    const auto order = static_cast<RelayOrder>(message.relay);
    for (const std::string &ip : m_context.membership.relayTargets(order))
        send(ip, message);
}

void PeerChannel::broadcastTables(wire::GatewayMessageT &message, Scope scope)
{
    if (!m_context.membership.usesZoneReports()) {
        broadcast(message);
        return;
    }
    sendToZone(m_context.membership.self().availabilityZone, message);
    if (scope == Scope::OwnZone)
        return;
    for (const std::string &zone : otherZones())
        sendToZone(zone, message);
}

void PeerChannel::broadcastLeaving(const std::vector<fleet::LeavingServer> &servers)
{
    std::size_t next = 0;
    while (next < servers.size()) {
        wire::GatewayMessageT message = ownState(false);
        next = addLeavingFrom(servers, next, message);
        broadcastTables(message);
    }
}

void PeerChannel::broadcastCrashes(const std::vector<wire::CrashReportT> &reports)
{
    std::size_t next = 0;
    while (next < reports.size()) {
        wire::GatewayMessageT message = ownState(false);
        next = addCrashes(reports, next, message);
        broadcastTables(message);
    }
}

void PeerChannel::announceTables(Scope scope)
{
    if (!m_context.membership.usesZoneReports()) {
        announce();
        return;
    }
    // Without the state of this instance, because the message is relayed by others.
    wire::GatewayMessageT message = ownState(false);
    addTables(message);
    broadcastTables(message, scope);
}

void PeerChannel::announce()
{
    const wire::GatewayMessageT message = ownState(true);
    if (!m_context.membership.usesZoneReports()) {
        broadcast(message);
        return;
    }
    for (auto &[ip, peer] : m_context.membership.peers()) {
        if (!peer.isAlive
            || peer.info.availabilityZone != m_context.membership.self().availabilityZone)
            continue;
        peer.lastHeartbeatSent = Clock::now();
        send(ip, message);
    }
}

bool PeerChannel::addPeer(const std::string &ip, const std::string &availabilityZone,
                          bool wantsInstances)
{
    fleet::InstanceInfo info;
    info.ip = ip;
    info.availabilityZone = availabilityZone;
    const bool isNew = m_context.membership.addPeer(info, Clock::now());
    if (isNew && (wantsInstances || needsContactIn(availabilityZone)))
        sendHello(ip, wantsInstances);
    return isNew;
}

bool PeerChannel::needsContactIn(const std::string &availabilityZone) const
{
    return !m_context.membership.usesZoneReports()
        || availabilityZone == m_context.membership.self().availabilityZone
        || m_context.membership.alivePeersIn(availabilityZone) < contactsPerZone;
}

std::vector<fleet::InstanceInfo> PeerChannel::contactsFor(const std::string &ip) const
{
    const fleet::Membership &membership = m_context.membership;
    const auto found = membership.peers().find(ip);
    std::map<std::string, std::vector<fleet::InstanceInfo>> byZone;
    for (const auto &[other, peer] : membership.peers()) {
        if (other != ip && peer.isAlive)
            byZone[peer.info.availabilityZone].push_back(peer.info);
    }
    std::vector<fleet::InstanceInfo> contacts;
    for (const auto &[zone, instances] : byZone) {
        const bool isOwnZone =
            found != membership.peers().end() && found->second.info.availabilityZone == zone;
        const std::size_t count = isOwnZone || !membership.usesZoneReports()
            ? instances.size()
            : std::min(instances.size(), contactsPerZone);
        // Different instances get different contacts.
        const std::size_t first = hash64(ip) % instances.size();
        for (std::size_t i = 0; i < count; ++i)
            contacts.push_back(instances[(first + i) % instances.size()]);
    }
    return contacts;
}

void PeerChannel::sendHello(const std::string &ip, bool wantsInstances)
{
    wire::GatewayMessageT message = ownState(true);
    message.self->wants_instances = wantsInstances;
    const auto found = m_context.membership.peers().find(ip);
    if (found != m_context.membership.peers().end())
        found->second.lastHeartbeatSent = Clock::now();
    send(ip, message);
}

void PeerChannel::sendInstances(const std::string &ip)
{
    wire::GatewayMessageT message = ownState(true);
    for (const fleet::InstanceInfo &each : contactsFor(ip)) {
        auto address = std::make_unique<wire::InstanceAddressT>();
        address->ip = each.ip;
        address->availability_zone = each.availabilityZone;
        message.instances.push_back(std::move(address));
        if (message.instances.size() == instancesPerDatagram) {
            send(ip, message);
            message = ownState(true);
        }
    }
    send(ip, message);
    const std::vector<fleet::LeavingServer> leaving =
        m_leavingServers ? m_leavingServers() : std::vector<fleet::LeavingServer>();
    std::size_t next = 0;
    while (next < leaving.size()) {
        message = ownState(false);
        next = addLeavingFrom(leaving, next, message);
        send(ip, message);
    }
    const std::vector<wire::CrashReportT> crashes =
        m_crashReports ? m_crashReports() : std::vector<wire::CrashReportT>();
    next = 0;
    while (next < crashes.size()) {
        message = ownState(false);
        next = addCrashes(crashes, next, message);
        send(ip, message);
    }
}

void PeerChannel::forwardNewInstances()
{
    if (m_newInstances.empty())
        return;
    const auto added = std::exchange(m_newInstances, {});
    std::map<std::string, wire::GatewayMessageT> byZone;
    for (const auto &[ip, peer] : m_context.membership.peers()) {
        if (!peer.isAlive)
            continue;
        // In a large fleet the zone of a new instance reports it to the other zones.
        const std::string &zone = peer.info.availabilityZone;
        auto message = byZone.find(zone);
        if (message == byZone.end()) {
            message = byZone.emplace(zone, ownState(true)).first;
            for (const wire::InstanceAddressT &each : added) {
                if (!m_context.membership.usesZoneReports() || each.availability_zone == zone)
                    message->second.instances.push_back(
                        std::make_unique<wire::InstanceAddressT>(each));
            }
        }
        if (!message->second.instances.empty())
            send(ip, message->second);
    }
}

void PeerChannel::relayInZone(const std::string &sender, const wire::GatewayMessageT &message)
{
    const fleet::Membership &membership = m_context.membership;
    const std::string &zone = membership.self().availabilityZone;
    const auto found = membership.peers().find(sender);
    const bool isFromOtherZone =
        found == membership.peers().end() || found->second.info.availabilityZone != zone;
    const std::string root = membership.relayRoot(zone, static_cast<RelayOrder>(message.relay));
    // An instance that knows only part of another zone may send to one that is not its root.
    if (isFromOtherZone && root != m_context.settings.ip)
        send(root, message);
    else
        relay(message);
}

void PeerChannel::sendZoneReports()
{
    const fleet::InstanceInfo &self = m_context.membership.self();
    const std::vector<fleet::InstanceInfo> own =
        m_context.membership.instancesInZone(self.availabilityZone);
    // The first instance of each zone sends the report; the next one takes over when it is lost.
    if (own.empty() || own.front().ip != self.ip)
        return;
    wire::GatewayMessageT message;
    message.incarnation = self.incarnation;
    message.zone_report = std::make_unique<wire::ZoneReportT>();
    message.zone_report->availability_zone = self.availabilityZone;
    for (const fleet::InstanceInfo &each : own) {
        auto report = std::make_unique<wire::InstanceReportT>();
        report->ip = each.ip;
        report->incarnation = each.incarnation;
        report->phase = static_cast<std::uint8_t>(each.phase);
        report->weight = static_cast<float>(each.weight);
        report->can_read_store = each.canReadStore;
        message.zone_report->instances.push_back(std::move(report));
    }
    message.unheard_zones = m_context.membership.unheardZones(Clock::now());
    for (const std::string &zone : otherZones())
        sendToZone(zone, message);
}

void PeerChannel::handleZoneReport(const wire::ZoneReportT &report)
{
    std::vector<fleet::InstanceInfo> instances;
    for (const auto &each : report.instances) {
        fleet::InstanceInfo info;
        info.ip = each->ip;
        info.availabilityZone = report.availability_zone;
        info.incarnation = each->incarnation;
        info.phase = static_cast<fleet::InstancePhase>(each->phase);
        info.weight = each->weight;
        info.canReadStore = each->can_read_store;
        instances.push_back(std::move(info));
    }
    m_context.membership.applyZoneReport(report.availability_zone, instances, Clock::now());
}

void PeerChannel::requestInstances(TimePoint now, bool hasLivePeer)
{
    const bool isSeedTime =
        m_seedRounds < seedQueryTimes.size() && now - m_started >= seedQueryTimes[m_seedRounds];
    if (!isSeedTime && now - m_instancesRequested < exchangeInterval)
        return;
    m_instancesRequested = now;
    if (isSeedTime || !hasLivePeer) {
        m_seedRounds += isSeedTime ? 1 : 0;
        for (const std::string &ip : m_context.settings.seeds) {
            if (ip != m_context.settings.ip)
                sendHello(ip, true);
        }
        return;
    }
    const std::vector<std::string> serving = m_context.membership.serving();
    if (serving.empty())
        return;
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / exchangeInterval);
    const std::string &ip = serving[turn % serving.size()];
    if (ip != m_context.settings.ip)
        sendHello(ip, true);
}

void PeerChannel::tick()
{
    const TimePoint now = Clock::now();
    for (const std::string &ip : m_context.membership.expire(now))
        m_handlers.lost(ip);
    bool hasLivePeer = false;
    const bool usesReports = m_context.membership.usesZoneReports();
    for (auto &[ip, peer] : m_context.membership.peers()) {
        hasLivePeer = hasLivePeer || peer.isAlive;
        const bool isInOtherZone = usesReports
            && peer.info.availabilityZone != m_context.membership.self().availabilityZone;
        if (now - peer.lastHeartbeatSent
            < (peer.isAlive && !isInOtherZone ? heartbeatInterval : helloInterval))
            continue;
        if (!isInOtherZone || (!peer.isAlive && needsContactIn(peer.info.availabilityZone)))
            sendHello(ip, false);
    }
    if (usesReports && now - m_zoneReported >= heartbeatInterval) {
        m_zoneReported = now;
        sendZoneReports();
    }
    requestInstances(now, hasLivePeer);
    forwardNewInstances();
}

void PeerChannel::receive()
{
    m_socket.async_receive_from(
        asio::buffer(m_buffer), m_sender, [this](std::error_code error, std::size_t count) {
            if (error == asio::error::operation_aborted)
                return;
            if (!error) {
                const TimePoint started = Clock::now();
                handle(m_sender.address().to_string(), m_buffer.data(), count);
                m_handlingTime += Clock::now() - started;
                ++m_received;
            }
            receive();
        });
}

void PeerChannel::handle(const std::string &ip, const char *data, std::size_t size)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(data), size);
    if (!wire::VerifyGatewayMessageBuffer(verifier)) {
        m_datagramsInvalid.add();
        return;
    }
    wire::GatewayMessageT message;
    wire::GetGatewayMessage(data)->UnPackTo(&message);
    const TimePoint now = Clock::now();
    if (message.self) {
        const auto &peers = m_context.membership.peers();
        const auto found = peers.find(ip);
        const bool isNew = found == peers.end() || !found->second.isAlive;
        if (m_context.membership.updatePeer(toInfo(ip, *message.self), now))
            m_handlers.joined(ip);
        m_context.membership.recordHeartbeat(ip, now);
        m_context.membership.recordUnheardZones(ip, message.unheard_zones, now);
        if (message.self->wants_instances) {
            sendInstances(ip);
            if (isNew) {
                wire::InstanceAddressT address;
                address.ip = ip;
                address.availability_zone = message.self->availability_zone;
                m_newInstances.push_back(address);
            }
        } else if (isNew) {
            sendHello(ip, false);
        }
    } else {
        m_context.membership.recordMessage(ip, message.incarnation, now);
    }
    if (message.zone_report) {
        handleZoneReport(*message.zone_report);
        m_context.membership.recordUnheardZonesOf(message.zone_report->availability_zone,
                                                  message.unheard_zones, now);
    }
    for (const auto &each : message.instances)
        addPeer(each->ip, each->availability_zone, false);
    if (!message.leaving.empty())
        m_handlers.leaving(leavingOf(message));
    for (const auto &each : message.crashes)
        m_handlers.crash(*each);
    for (const wire::SlotRelease &each : message.ends)
        m_handlers.slotRelease(ip, each);
    for (const wire::SlotRequest &each : message.asks)
        m_handlers.slotRequest(ip, each);
    for (const wire::SlotResponse &each : message.answers)
        m_handlers.slotResponse(ip, each);
    for (const wire::QuotaReturn &each : message.quota_returns)
        m_handlers.quotaReturn(ip, each);
    for (const wire::QuotaRequest &each : message.quota_requests)
        m_handlers.quotaRequest(ip, each);
    for (const wire::QuotaResponse &each : message.quota_responses)
        m_handlers.quotaResponse(ip, each);
    if (message.relay != static_cast<std::uint8_t>(RelayOrder::None))
        relayInZone(ip, message);
    if (message.tables)
        m_handlers.tables(ip, message);
}

} // namespace apricotrock::gateway
