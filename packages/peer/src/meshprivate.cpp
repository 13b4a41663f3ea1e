#include "meshprivate.h"

#include <algorithm>

namespace apricotrock::peer {

namespace {

/// Forwards are checked this often for their deadlines.
constexpr std::chrono::milliseconds forwardCheckInterval{10};

template <typename Body>
wire::PeerMessageT makeMessage(Body body)
{
    wire::PeerMessageT message;
    message.body.Set(std::move(body));
    return message;
}

bool isEstablished(const Link &link)
{
    return link.peer.has_value() && !link.isClosed();
}

} // namespace

Mesh::Private::Private(Parameters parametersIn, Callbacks callbacksIn)
    : parameters(std::move(parametersIn)), callbacks(std::move(callbacksIn)),
      work(asio::make_work_guard(context)), acceptor(context), roundTimer(context),
      forwardTimer(context)
{
    knownAddresses.insert(parameters.seeds.begin(), parameters.seeds.end());
}

Result<void> Mesh::Private::listen()
{
    const Endpoint &address = parameters.listenAddress;
    std::error_code error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return makeError("cannot listen for peers on " + address.toString() + ": " + error.message()
                         + "; choose a free address in listen.peers");
    listenAddress = Endpoint{address.ip, acceptor.local_endpoint().port()};
    ownAddresses.insert(listenAddress);
    beginAccept();
    return {};
}

void Mesh::Private::beginAccept()
{
    acceptor.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
        if (!acceptor.is_open())
            return;
        if (!error)
            makeLink(std::move(socket))->accept();
        beginAccept();
    });
}

std::shared_ptr<Link> Mesh::Private::makeLink(asio::ip::tcp::socket socket)
{
    Link::Callbacks linkCallbacks{
        [this](Link &link) { onConnected(link); },
        [this](Link &link, wire::PeerMessageT &message) { onMessage(link, message); },
        [this](Link &link) { onClosed(link); },
    };
    const LinkId id = nextLinkId++;
    auto link = std::make_shared<Link>(id, std::move(socket), std::move(linkCallbacks),
                                       liveCounters, parameters.linkQueueEntries);
    links[id] = link;
    return link;
}

void Mesh::Private::dialMissing(TimePoint now)
{
    if (isStopping)
        return;
    for (auto entry = links.begin(); entry != links.end();) {
        const auto link = (entry++)->second;
        if (now - link->lastHeard() > silenceLimit()) {
            ++liveCounters.linksTimedOut;
            link->close();
        }
    }
    for (const Endpoint &address : knownAddresses) {
        if (!ownAddresses.contains(address) && !hasLinkTo(address))
            makeLink(asio::ip::tcp::socket(context))->dial(address);
    }
}

void Mesh::Private::onConnected(Link &link)
{
    wire::HelloT hello;
    hello.protocol = wire::peerProtocol;
    hello.incarnation = parameters.incarnation.value;
    hello.instance = parameters.instance;
    hello.availability_zone = parameters.availabilityZone;
    hello.caller_address = parameters.callerAddress.toString();
    hello.peer_address = listenAddress.toString();
    hello.state = state;
    link.send(makeMessage(std::move(hello)));
    sendHeartbeat(link);
}

void Mesh::Private::onMessage(Link &link, wire::PeerMessageT &message)
{
    if (auto *hello = message.body.AsHello()) {
        onHello(link, *hello);
        return;
    }
    if (!link.peer) {
        ++liveCounters.badMessages;
        link.close();
        return;
    }
    link.peer->lastHeard = link.lastHeard();
    if (auto *heartbeat = message.body.AsHeartbeat())
        onHeartbeat(link, *heartbeat);
    else if (auto *received = message.body.AsHints())
        callbacks.onHints(*received);
    else if (auto *forward = message.body.AsForward())
        callbacks.onForward(link.peer->incarnation, *forward);
    else if (auto *answer = message.body.AsForwardAnswer())
        onForwardAnswer(link, *answer);
    else if (auto *request = message.body.AsConfigurationRequest())
        onConfigurationRequest(link, *request);
    else if (auto *configuration = message.body.AsConfigurationAnswer())
        callbacks.onConfiguration(*configuration->snapshot);
    else if (auto *seal = message.body.AsSealHint())
        callbacks.onSeal(IncarnationId{seal->incarnation}, *seal->seal);
    else
        ++liveCounters.badMessages;
}

void Mesh::Private::onClosed(Link &link)
{
    failForwards(forwards.takeLost(link.id()));
    const bool wasPeer = link.peer.has_value();
    links.erase(link.id());
    if (wasPeer)
        publishPeers();
}

void Mesh::Private::onHello(Link &link, const wire::HelloT &hello)
{
    const auto callerAddress = Endpoint::parse(hello.caller_address);
    const auto peerAddress = Endpoint::parse(hello.peer_address);
    if (hello.protocol != wire::peerProtocol || !callerAddress || !peerAddress || link.peer) {
        ++liveCounters.badMessages;
        link.close();
        return;
    }
    if (IncarnationId{hello.incarnation} == parameters.incarnation) {
        if (link.dialedAddress())
            ownAddresses.insert(*link.dialedAddress());
        link.close();
        return;
    }
    PeerInfo info;
    info.incarnation = IncarnationId{hello.incarnation};
    info.instance = hello.instance;
    info.availabilityZone = hello.availability_zone;
    info.callerAddress = *callerAddress;
    info.peerAddress = *peerAddress;
    info.state = hello.state;
    info.lastHeard = link.lastHeard();
    link.peer = std::move(info);
    closeRedundantLink(link);
    publishPeers();
}

void Mesh::Private::closeRedundantLink(Link &link)
{
    // Two instances that dial each other at the same time get two links. Both sides keep the one
    // that the lower incarnation dialed, so that they close the same one.
    const IncarnationId other = link.peer->incarnation;
    const bool isOwnDialKept = parameters.incarnation < other;
    for (const auto &candidate : establishedLinks()) {
        if (candidate->id() == link.id() || candidate->peer->incarnation != other)
            continue;
        const bool isKept = candidate->dialedAddress().has_value() == isOwnDialKept;
        if (candidate->dialedAddress().has_value() == link.dialedAddress().has_value() || !isKept)
            candidate->close();
        else
            link.close();
        return;
    }
}

void Mesh::Private::onHeartbeat(Link &link, const wire::HeartbeatT &heartbeat)
{
    PeerInfo &info = *link.peer;
    const bool isChanged = info.state != heartbeat.state
        || info.configurationVersion != heartbeat.configuration_version;
    info.state = heartbeat.state;
    info.configurationVersion = heartbeat.configuration_version;
    info.configurationDigest = heartbeat.configuration_digest;
    if (heartbeat.configuration_version > configurationVersion) {
        wire::ConfigurationRequestT request;
        request.known_version = configurationVersion;
        link.send(makeMessage(request));
    }
    if (isChanged)
        publishPeers();
}

void Mesh::Private::onConfigurationRequest(Link &link, const wire::ConfigurationRequestT &request)
{
    auto snapshot = callbacks.configurationFor(request.known_version);
    if (!snapshot)
        return;
    wire::ConfigurationAnswerT answer;
    answer.snapshot = std::make_unique<wire::SnapshotT>(std::move(*snapshot));
    link.send(makeMessage(std::move(answer)));
}

void Mesh::Private::onForwardAnswer(Link &link, wire::ForwardAnswerT &answer)
{
    const std::uint64_t id = answer.id;
    if (forwards.takeAnswered(id, link.id()))
        callbacks.onForwardAnswer(id, std::move(answer));
}

void Mesh::Private::scheduleRound()
{
    roundTimer.expires_after(parameters.heartbeatInterval);
    roundTimer.async_wait([this](std::error_code error) {
        if (error || isStopping)
            return;
        runRound(Clock::now());
        scheduleRound();
    });
}

void Mesh::Private::runRound(TimePoint now)
{
    dialMissing(now);
    const auto established = establishedLinks();
    const std::size_t count = std::min(parameters.fanOut, established.size());
    auto next = std::find_if(established.begin(), established.end(),
                             [this](const auto &link) { return link->id() > lastRoundLink; });
    for (std::size_t i = 0; i < count; ++i) {
        if (next == established.end())
            next = established.begin();
        Link &link = **next++;
        lastRoundLink = link.id();
        sendHeartbeat(link);
        if (!hints.loads.empty()) {
            wire::HintsT copy;
            for (const auto &hint : hints.loads)
                copy.loads.push_back(std::make_unique<wire::LoadHintT>(*hint));
            link.send(makeMessage(std::move(copy)));
        }
    }
    publishPeers();
}

void Mesh::Private::scheduleForwardCheck()
{
    forwardTimer.expires_after(forwardCheckInterval);
    forwardTimer.async_wait([this](std::error_code error) {
        if (error || isStopping)
            return;
        failForwards(forwards.takeExpired(Clock::now()));
        scheduleForwardCheck();
    });
}

void Mesh::Private::sendHeartbeat(Link &link)
{
    wire::HeartbeatT heartbeat;
    heartbeat.state = state;
    heartbeat.configuration_version = configurationVersion;
    heartbeat.configuration_digest = configurationDigest;
    link.send(makeMessage(std::move(heartbeat)));
}

void Mesh::Private::sendToAll(const wire::PeerMessageT &message)
{
    for (const auto &link : establishedLinks())
        link->send(message);
}

void Mesh::Private::sendUrgentHints(const wire::HintsT &urgent)
{
    wire::HintsT copy;
    for (const auto &hint : urgent.loads) {
        if (hint->leaving)
            copy.loads.push_back(std::make_unique<wire::LoadHintT>(*hint));
    }
    for (const auto &suspicion : urgent.suspicions)
        copy.suspicions.push_back(std::make_unique<wire::SuspicionHintT>(*suspicion));
    if (!copy.loads.empty() || !copy.suspicions.empty())
        sendToAll(makeMessage(std::move(copy)));
}

void Mesh::Private::sendForward(IncarnationId owner, wire::ForwardT message, TimePoint deadline)
{
    const std::uint64_t id = message.id;
    const auto link = linkTo(owner);
    if (link && link->send(makeMessage(std::move(message)))) {
        ++liveCounters.forwardsSent;
        forwards.add(id, link->id(), deadline);
    } else {
        failForwards({id});
    }
}

void Mesh::Private::failForwards(const std::vector<std::uint64_t> &ids)
{
    for (const std::uint64_t id : ids) {
        ++liveCounters.forwardsFailed;
        callbacks.onForwardAnswer(id, std::nullopt);
    }
}

void Mesh::Private::closeAll()
{
    while (!links.empty()) {
        const auto link = links.begin()->second;
        link->close();
    }
}

void Mesh::Private::publishPeers()
{
    std::vector<PeerInfo> peers;
    for (const auto &link : establishedLinks())
        peers.push_back(*link->peer);
    bool isChanged = false;
    {
        const std::lock_guard lock(mutex);
        const auto isSame = [](const PeerInfo &a, const PeerInfo &b) {
            return a.incarnation == b.incarnation && a.state == b.state
                && a.configurationVersion == b.configurationVersion;
        };
        isChanged = !std::equal(peers.begin(), peers.end(), publishedPeers.begin(),
                                publishedPeers.end(), isSame);
        publishedPeers = peers;
        publishedCounters = liveCounters;
    }
    if (isChanged)
        callbacks.onPeersChanged(peers);
}

std::shared_ptr<Link> Mesh::Private::linkTo(IncarnationId incarnation) const
{
    for (const auto &[id, link] : links) {
        if (isEstablished(*link) && link->peer->incarnation == incarnation)
            return link;
    }
    return nullptr;
}

bool Mesh::Private::hasLinkTo(const Endpoint &address) const
{
    return std::any_of(links.begin(), links.end(), [&address](const auto &entry) {
        const Link &link = *entry.second;
        return link.dialedAddress() == address || (link.peer && link.peer->peerAddress == address);
    });
}

std::vector<std::shared_ptr<Link>> Mesh::Private::establishedLinks() const
{
    std::vector<std::shared_ptr<Link>> established;
    for (const auto &[id, link] : links) {
        if (isEstablished(*link))
            established.push_back(link);
    }
    return established;
}

Duration Mesh::Private::silenceLimit() const
{
    const std::size_t fanOut = std::max<std::size_t>(1, parameters.fanOut);
    const std::size_t rounds = (links.size() + fanOut - 1) / fanOut;
    return parameters.heartbeatTimeout * static_cast<int>(std::max<std::size_t>(1, rounds));
}

} // namespace apricotrock::peer
