#pragma once

#include "apricotrock/peer.h"
#include "forwardtable.h"
#include "link.h"

#include <asio.hpp>

#include <set>

namespace apricotrock::peer {

/// State of a Mesh. Everything but the members marked as shared belongs to the peer thread.
struct Mesh::Private
{
    Private(Parameters parametersIn, Callbacks callbacksIn);

    Result<void> listen();
    void beginAccept();
    std::shared_ptr<Link> makeLink(asio::ip::tcp::socket socket);
    void dialMissing(TimePoint now);
    void onConnected(Link &link);
    void onMessage(Link &link, wire::PeerMessageT &message);
    void onClosed(Link &link);
    void onHello(Link &link, const wire::HelloT &hello);
    void onHeartbeat(Link &link, const wire::HeartbeatT &heartbeat);
    void onConfigurationRequest(Link &link, const wire::ConfigurationRequestT &request);
    void onForwardAnswer(Link &link, wire::ForwardAnswerT &answer);
    void closeRedundantLink(Link &link);

    void scheduleRound();
    void runRound(TimePoint now);
    void scheduleForwardCheck();
    void sendHeartbeat(Link &link);
    void sendToAll(const wire::PeerMessageT &message);
    void sendUrgentHints(const wire::HintsT &hints);
    void sendForward(IncarnationId owner, wire::ForwardT message, TimePoint deadline);
    void failForwards(const std::vector<std::uint64_t> &ids);
    void closeAll();
    void publishPeers();

    [[nodiscard]] std::shared_ptr<Link> linkTo(IncarnationId incarnation) const;
    [[nodiscard]] bool hasLinkTo(const Endpoint &address) const;
    [[nodiscard]] std::vector<std::shared_ptr<Link>> establishedLinks() const;
    [[nodiscard]] Duration silenceLimit() const;

    const Parameters parameters;
    const Callbacks callbacks;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer roundTimer;
    asio::steady_timer forwardTimer;
    std::thread thread;

    std::map<LinkId, std::shared_ptr<Link>> links;
    LinkId nextLinkId = 1;
    std::set<Endpoint> knownAddresses;
    /// Addresses that answered with the own incarnation.
    std::set<Endpoint> ownAddresses;
    ForwardTable forwards;
    wire::InstanceState state = wire::InstanceState::Starting;
    std::uint64_t configurationVersion = 0;
    std::string configurationDigest;
    wire::HintsT hints;
    /// Position of the round robin over established links.
    LinkId lastRoundLink = 0;
    Counters liveCounters;
    /// A timer whose handler is already queued cannot be cancelled; the handlers check this
    /// instead.
    bool isStopping = false;

    /// Shared with other threads under the mutex.
    mutable std::mutex mutex;
    Endpoint listenAddress;
    std::vector<PeerInfo> publishedPeers;
    Counters publishedCounters;
};

} // namespace apricotrock::peer
