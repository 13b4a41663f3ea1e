#pragma once

#include "apricotrock/base.h"
#include "apricotrock/http.h"
#include "apricotrock/wire.h"

namespace apricotrock::peer {

/// What an instance knows of another one.
struct PeerInfo
{
    IncarnationId incarnation;
    std::string instance;
    std::string availabilityZone;
    Endpoint callerAddress;
    Endpoint peerAddress;
    wire::InstanceState state = wire::InstanceState::Serving;
    std::uint64_t configurationVersion = 0;
    std::string configurationDigest;
    /// Time of the last message, on any link.
    TimePoint lastHeard;
};

struct Parameters
{
    IncarnationId incarnation;
    std::string instance;
    std::string availabilityZone;
    Endpoint callerAddress;
    Endpoint listenAddress;
    std::vector<Endpoint> seeds;
    Duration heartbeatInterval{};
    Duration heartbeatTimeout{};
    /// Peers that get heartbeats and hints in one round; the other peers follow in the next rounds,
    /// so that the cost of a round does not grow with the number of instances.
    std::size_t fanOut = 4;
    /// Messages that may wait on one link; a further one is refused.
    std::size_t linkQueueEntries = 4096;
};

/// Callbacks run on the peer thread and must not block.
struct Callbacks
{
    std::function<void(const wire::HintsT &hints)> onHints;
    std::function<void(IncarnationId from, const wire::ForwardT &forward)> onForward;
    /// Answer to forward(); nothing if the peer was lost or the deadline passed.
    std::function<void(std::uint64_t id, std::optional<wire::ForwardAnswerT> answer)>
        onForwardAnswer;
    std::function<void(const wire::SnapshotT &snapshot)> onConfiguration;
    /// Returns the configuration to send to a peer with an older version, if there is one.
    std::function<std::optional<wire::SnapshotT>(std::uint64_t knownVersion)> configurationFor;
    std::function<void(IncarnationId incarnation, const wire::SealT &seal)> onSeal;
    std::function<void(const std::vector<PeerInfo> &peers)> onPeersChanged;
};

struct Counters
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t badMessages = 0;
    std::uint64_t linksOpened = 0;
    std::uint64_t linksTimedOut = 0;
    std::uint64_t forwardsSent = 0;
    std::uint64_t forwardsFailed = 0;
    std::uint64_t messagesRefused = 0;
};

/// Links to other instances over TCP, on one thread with an Asio loop.
///
/// All instances of a deployment are known from the instance list and from heartbeats of peers.
/// Hints and heartbeats go to a bounded number of peers; forwards open a link when they need one.
class Mesh
{
public:
    Mesh(Parameters parameters, Callbacks callbacks);
    ~Mesh();
    Mesh(const Mesh &) = delete;
    Mesh &operator=(const Mesh &) = delete;

    /// Opens the listener and starts the thread.
    Result<void> start();
    /// The address of the listener, with the port that the system chose for port 0.
    [[nodiscard]] Endpoint listenAddress() const;
    /// Takes over the entry instances of the platform's list; it may lag behind.
    void setKnownPeers(std::vector<Endpoint> addresses);
    void setState(wire::InstanceState state);
    void setConfiguration(std::uint64_t version, std::string digest);
    /// Sends a forward to \a owner; the answer or its failure comes by onForwardAnswer exactly
    /// once.
    void forward(IncarnationId owner, wire::ForwardT message, TimePoint deadline);
    void answerForward(IncarnationId to, wire::ForwardAnswerT message);
    /// Replaces the hints of the next round.
    void tellHints(wire::HintsT hints);
    void tellSeal(IncarnationId incarnation, wire::SealT seal);
    /// Drops every link and all knowledge of peers, after a pause of the process.
    void resetLinks();
    [[nodiscard]] std::vector<PeerInfo> peers() const;
    [[nodiscard]] Counters counters() const;
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace apricotrock::peer
