#include "apricotrock/peer.h"

#include "meshprivate.h"

namespace apricotrock::peer {

Mesh::Mesh(Parameters parameters, Callbacks callbacks)
    : m_private(std::make_unique<Private>(std::move(parameters), std::move(callbacks)))
{ }

Mesh::~Mesh()
{
    stop();
}

Result<void> Mesh::start()
{
    auto listening = m_private->listen();
    if (!listening)
        return listening;
    m_private->scheduleRound();
    m_private->scheduleForwardCheck();
    asio::post(m_private->context, [this] { m_private->dialMissing(Clock::now()); });
    m_private->thread = std::thread([this] { m_private->context.run(); });
    return {};
}

Endpoint Mesh::listenAddress() const
{
    const std::lock_guard lock(m_private->mutex);
    return m_private->listenAddress;
}

void Mesh::setKnownPeers(std::vector<Endpoint> addresses)
{
    asio::post(m_private->context, [this, addresses = std::move(addresses)] {
        // Seeds stay known: the list may be wrong or empty after an outage of the platform.
        m_private->knownAddresses = {addresses.begin(), addresses.end()};
        const auto &seeds = m_private->parameters.seeds;
        m_private->knownAddresses.insert(seeds.begin(), seeds.end());
        m_private->dialMissing(Clock::now());
    });
}

void Mesh::setState(wire::InstanceState state)
{
    asio::post(m_private->context, [this, state] {
        m_private->state = state;
        for (const auto &link : m_private->establishedLinks())
            m_private->sendHeartbeat(*link);
    });
}

void Mesh::setConfiguration(std::uint64_t version, std::string digest)
{
    asio::post(m_private->context, [this, version, digest = std::move(digest)] {
        m_private->configurationVersion = version;
        m_private->configurationDigest = digest;
    });
}

void Mesh::forward(IncarnationId owner, wire::ForwardT message, TimePoint deadline)
{
    // Messages hold unique pointers, and a posted handler must be copyable.
    auto shared = std::make_shared<wire::ForwardT>(std::move(message));
    asio::post(m_private->context, [this, owner, shared, deadline] {
        m_private->sendForward(owner, std::move(*shared), deadline);
    });
}

void Mesh::answerForward(IncarnationId to, wire::ForwardAnswerT message)
{
    auto shared = std::make_shared<wire::PeerMessageT>();
    shared->body.Set(std::move(message));
    asio::post(m_private->context, [this, to, shared] {
        if (const auto link = m_private->linkTo(to))
            link->send(*shared);
        else
            ++m_private->liveCounters.messagesRefused;
    });
}

void Mesh::tellHints(wire::HintsT hints)
{
    auto shared = std::make_shared<wire::HintsT>(std::move(hints));
    asio::post(m_private->context, [this, shared] {
        m_private->sendUrgentHints(*shared);
        m_private->hints = std::move(*shared);
    });
}

void Mesh::tellSeal(IncarnationId incarnation, wire::SealT seal)
{
    auto shared = std::make_shared<wire::PeerMessageT>();
    wire::SealHintT hint;
    hint.incarnation = incarnation.value;
    hint.seal = std::make_unique<wire::SealT>(std::move(seal));
    shared->body.Set(std::move(hint));
    asio::post(m_private->context, [this, shared] { m_private->sendToAll(*shared); });
}

void Mesh::resetLinks()
{
    asio::post(m_private->context, [this] {
        m_private->closeAll();
        m_private->dialMissing(Clock::now());
    });
}

std::vector<PeerInfo> Mesh::peers() const
{
    const std::lock_guard lock(m_private->mutex);
    return m_private->publishedPeers;
}

Counters Mesh::counters() const
{
    const std::lock_guard lock(m_private->mutex);
    return m_private->publishedCounters;
}

void Mesh::stop()
{
    if (!m_private->thread.joinable())
        return;
    asio::post(m_private->context, [this] {
        std::error_code ignored;
        m_private->isStopping = true;
        m_private->acceptor.close(ignored);
        m_private->roundTimer.cancel();
        m_private->forwardTimer.cancel();
        m_private->failForwards(m_private->forwards.takeAll());
        m_private->closeAll();
        m_private->work.reset();
    });
    m_private->thread.join();
}

} // namespace apricotrock::peer
