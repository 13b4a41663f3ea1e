#include "instance.h"

#include "forwarding.h"
#include "wallclock.h"

#include <sys/resource.h>

#include <algorithm>

namespace apricotrock::daemon {

namespace {

/// The engine answers at the deadline; the listener's own limits lie beyond it.
constexpr std::chrono::seconds answerSlack{10};

/// Half of the file descriptors are for callers, the rest for backend servers and everything else.
std::size_t connectionLimit()
{
    constexpr std::size_t fewest = 64;
    constexpr std::size_t most = 65536;
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return fewest;
    return std::clamp<std::size_t>(limit.rlim_cur / 2, fewest, most);
}

} // namespace

void Instance::makeListener()
{
    caller::Parameters parameters;
    parameters.address = m_settings.listen.callers;
    parameters.threads = m_settings.limits.callerThreads;
    parameters.maxBodyBytes = m_settings.limits.body;
    parameters.maxHeaderBytes = m_settings.limits.header;
    parameters.maxConnections = connectionLimit();
    parameters.idleTimeout =
        std::chrono::ceil<std::chrono::milliseconds>(m_settings.callers.idleTimeout);
    parameters.answerTimeout =
        std::chrono::ceil<std::chrono::milliseconds>(m_settings.callers.maxDeadline + answerSlack);
    caller::Callbacks callbacks;
    callbacks.onRequest = [this](caller::IncomingRequest incoming) {
        onRequest(std::move(incoming));
    };
    callbacks.onCallerGone = [this](RequestId id) {
        if (const auto lane = m_pending.laneOf(id))
            m_lanes.at(*lane)->push(engine::CallerGone{id});
    };
    m_listener = std::make_unique<caller::Listener>(parameters, std::move(callbacks));
}

void Instance::onRequest(caller::IncomingRequest incoming)
{
    const RequestId id = incoming.id;
    ParsedRequest parsed = parseRequest(std::move(incoming), wallNow());
    if (const auto *refusal = std::get_if<Refusal>(&parsed)) {
        refuse(id, *refusal);
    } else if (const auto *query = std::get_if<AddressQuery>(&parsed)) {
        m_listener->answer(id, addressResponse(addressBook(), *query),
                           m_state >= InstanceState::Closing);
    } else {
        PendingRequest pending;
        pending.arrival = Clock::now();
        admit(std::get<engine::RequestArrived>(std::move(parsed)), pending);
    }
}

void Instance::admit(engine::RequestArrived request, const PendingRequest &base)
{
    const RequestId id = request.id;
    PendingRequest pending = base;
    pending.lane = engine::laneOf(request.service, static_cast<std::uint32_t>(m_lanes.size()));
    pending.isAction = !isLookupMethod(request.request.method);
    const ErrorKind kind =
        m_state == InstanceState::Stopping ? ErrorKind::Stopping : ErrorKind::RingFull;
    const Refusal refusal{kind, unrecordedOutcome(kind, request)};
    const bool isTaken = m_state != InstanceState::Stopping && m_pending.add(id, pending);
    if (isTaken && m_lanes.at(pending.lane)->pushRequest(std::move(request)))
        return;
    if (isTaken)
        m_pending.take(id);
    if (!pending.forwardedBy) {
        refuse(id, refusal);
        return;
    }
    engine::Reply reply;
    reply.error = refusal.kind;
    reply.response =
        std::make_shared<const HttpResponse>(errorResponse(refusal.kind, refusal.outcome));
    m_refusals.count(refusal.kind, refusal.outcome);
    m_mesh->answerForward(*pending.forwardedBy,
                          makeForwardAnswer(pending.forwardId, reply, m_settings.instance.name));
}

void Instance::refuse(RequestId id, const Refusal &refusal)
{
    m_refusals.count(refusal.kind, refusal.outcome);
    m_listener->answer(
        id, std::make_shared<const HttpResponse>(errorResponse(refusal.kind, refusal.outcome)),
        {{std::string(headername::servedBy), m_settings.instance.name}},
        m_state >= InstanceState::Closing);
}

void Instance::onReply(const engine::Reply &reply, Duration attemptTime)
{
    // A request that was abandoned at the end of a stop has its answer already.
    const auto pending = m_pending.take(reply.id);
    if (!pending)
        return;
    if (reply.error)
        m_refusals.count(*reply.error, reply.outcome);
    if (pending->forwardedBy)
        m_mesh->answerForward(
            *pending->forwardedBy,
            makeForwardAnswer(pending->forwardId, reply, m_settings.instance.name));
    else
        answerCaller(reply, *pending, attemptTime);
}

void Instance::answerCaller(const engine::Reply &reply, const PendingRequest &pending,
                            Duration attemptTime)
{
    HttpHeaders headers;
    // The answer of the owner of a key names the owner already.
    if (!findHeader(reply.response->headers, headername::servedBy))
        headers.push_back({std::string(headername::servedBy), m_settings.instance.name});
    if (!findHeader(reply.response->headers, headername::requestOutcome))
        headers.push_back(
            {std::string(headername::requestOutcome), std::string(outcomeName(reply.outcome))});
    m_listener->answer(reply.id, reply.response, headers, m_state >= InstanceState::Closing);
    const Duration total = Clock::now() - pending.arrival;
    (pending.isAction ? m_actionLatency : m_lookupLatency).add(total);
    if (!reply.error && attemptTime > Duration::zero())
        (pending.isAction ? m_addedAction : m_addedLookup).add(total - attemptTime);
}

void Instance::abandonRequests()
{
    for (const auto &[id, pending] : m_pending.takeAll()) {
        engine::Reply reply;
        reply.id = id;
        reply.error = ErrorKind::Stopping;
        reply.outcome = Outcome::Unknown;
        reply.response = std::make_shared<const HttpResponse>(
            errorResponse(ErrorKind::Stopping, Outcome::Unknown));
        m_refusals.count(ErrorKind::Stopping, Outcome::Unknown);
        if (pending.forwardedBy)
            m_mesh->answerForward(
                *pending.forwardedBy,
                makeForwardAnswer(pending.forwardId, reply, m_settings.instance.name));
        else
            answerCaller(reply, pending, Duration::zero());
        // The engine ends the request too, so that it can seal.
        m_lanes.at(pending.lane)->push(engine::CallerGone{id});
    }
}

AddressBook Instance::addressBook() const
{
    AddressBook book;
    book.own = {m_settings.listen.advertise.port != 0 ? m_settings.listen.advertise
                                                      : m_settings.listen.callers,
                m_settings.instance.name, m_settings.instance.availabilityZone, m_incarnation,
                m_state == InstanceState::Serving};
    for (const peer::PeerInfo &info : m_mesh->peers())
        book.peers.push_back({info.callerAddress, info.instance, info.availabilityZone,
                              info.incarnation, info.state == wire::InstanceState::Serving});
    book.lifetime =
        std::chrono::floor<std::chrono::milliseconds>(m_settings.callers.addressLifetime);
    const std::lock_guard lock(m_listMutex);
    book.leavingInstances = m_leavingInstances;
    return book;
}

} // namespace apricotrock::daemon
