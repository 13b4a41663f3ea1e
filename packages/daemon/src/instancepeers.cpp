#include "instance.h"

#include "forwarding.h"
#include "logging.h"
#include "wallclock.h"

namespace apricotrock::daemon {

namespace {

/// Ids of forwarded requests; the listener counts from 1 and never gets there.
constexpr RequestId firstForwardId = RequestId(1) << 63;

} // namespace

void Instance::makeMesh()
{
    peer::Parameters parameters;
    parameters.incarnation = m_incarnation;
    parameters.instance = m_settings.instance.name;
    parameters.availabilityZone = m_settings.instance.availabilityZone;
    parameters.callerAddress = m_settings.listen.advertise.port != 0 ? m_settings.listen.advertise
                                                                     : m_settings.listen.callers;
    parameters.listenAddress = m_settings.listen.peers;
    parameters.seeds = m_settings.peers.seeds;
    parameters.heartbeatInterval = m_settings.peers.heartbeatInterval;
    parameters.heartbeatTimeout = m_settings.peers.heartbeatTimeout;
    parameters.fanOut = m_settings.peers.fanOut;
    peer::Callbacks callbacks;
    callbacks.onHints = [this](const wire::HintsT &hints) { onHints(hints); };
    callbacks.onForward = [this](IncarnationId from, const wire::ForwardT &forward) {
        onForward(from, forward);
    };
    callbacks.onForwardAnswer = [this](std::uint64_t id,
                                       const std::optional<wire::ForwardAnswerT> &answer) {
        onForwardAnswer(id, answer);
    };
    callbacks.onConfiguration = [this](const wire::SnapshotT &snapshot) {
        if (const auto result = m_configuration.adopt(snapshot); !result)
            logLine(LogLevel::Debug, "peer_configuration_refused",
                    {{"reason", result.error().message}});
    };
    callbacks.configurationFor = [this](std::uint64_t knownVersion) {
        return m_configuration.snapshotFor(knownVersion);
    };
    callbacks.onSeal = [this](IncarnationId incarnation, const wire::SealT &seal) {
        broadcast(engine::SealHintReceived{incarnation, seal});
    };
    callbacks.onPeersChanged = [this](const std::vector<peer::PeerInfo> &peers) { onPeers(peers); };
    m_mesh = std::make_unique<peer::Mesh>(std::move(parameters), std::move(callbacks));
}

void Instance::onForward(IncarnationId from, const wire::ForwardT &forward)
{
    const RequestId id = firstForwardId | m_nextForward++;
    auto request = readForward(forward, id, from, wallNow());
    if (!request)
        return;
    PendingRequest pending;
    pending.arrival = Clock::now();
    pending.forwardedBy = from;
    pending.forwardId = forward.id;
    admit(std::move(*request), pending);
}

void Instance::onForwardAnswer(RequestId id, const std::optional<wire::ForwardAnswerT> &answer)
{
    const auto lane = m_pending.laneOf(id);
    if (!lane)
        return;
    engine::ForwardAnswered event;
    event.id = id;
    if (answer)
        event.response = readForwardAnswer(*answer);
    m_lanes.at(*lane)->push(std::move(event));
}

void Instance::onHints(const wire::HintsT &hints)
{
    const auto configuration = m_configuration.current();
    for (const auto &hint : hints.loads) {
        if (!configuration)
            break;
        const auto &servers = configuration->configuration.backendServers;
        const auto server = servers.find(hint->backend_server);
        if (server != servers.end())
            laneFor(server->second.service).push(engine::LoadHintReceived{readLoadHint(*hint)});
    }
    for (const auto &hint : hints.suspicions) {
        const RecordId id{{hint->incarnation}, hint->sequence};
        laneFor(hint->suspicion->service).push(engine::SuspicionHintReceived{id, *hint->suspicion});
    }
}

void Instance::onPeers(const std::vector<peer::PeerInfo> &peers)
{
    engine::PeersChanged event;
    for (const peer::PeerInfo &info : peers)
        event.reachable.push_back(info.incarnation);
    broadcast(event);
}

} // namespace apricotrock::daemon
