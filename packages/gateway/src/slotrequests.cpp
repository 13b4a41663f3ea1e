#include "slotallocator.h"

#include "slotmessages.h"

// Slot requests of this instance and the ends of its attempts; slotallocator.cpp decides about
// slots.
namespace apricotrock::gateway {

namespace {

using std::chrono::milliseconds;

/// A leader that does not answer a slot request within this time is bypassed. Covers several round
/// trips between availability zones and the scheduling delay of a small machine.
constexpr Duration requestTimeout = milliseconds(40);
/// Queued slot requests are resent at this interval, in case the leader or a datagram was lost.
constexpr Duration queuedResendInterval = milliseconds(400);
/// An instance that did not answer is not chosen as leader for this long.
constexpr Duration suspicionDuration = milliseconds(600);

} // namespace

SlotTicket SlotAllocator::requestSlot(AllocationRequest request, Callback callback)
{
    const TimePoint now = Clock::now();
    const std::uint64_t ticket = m_nextTicket++;
    SlotTicket result{ticket, request.service};
    ServiceSlots &service = serviceSlots(request.service);
    updateLeader(service, now);
    request.attempt.key = {instanceKey(m_context.settings.ip), ticket};
    request.attempt.zone = zoneKey(m_context.settings.availabilityZone);
    PendingRequest &pending = m_pendingRequests[ticket];
    pending.request = std::move(request);
    pending.callback = std::move(callback);
    pending.leader = service.leader;
    if (pending.leader == m_context.settings.ip) {
        m_localRequests.add();
        decideLocally(ticket, DecidedBy::Self);
    } else {
        m_remoteRequests.add();
        sendRequest(ticket);
    }
    return result;
}

void SlotAllocator::sendRequest(std::uint64_t ticket)
{
    PendingRequest &pending = m_pendingRequests.at(ticket);
    const TimePoint now = Clock::now();
    ++pending.sendCount;
    m_peers.sendSlotRequest(pending.leader, encodeRequest(ticket, pending.request, now));
    pending.timer = m_context.timers.callAfter(requestTimeout,
                                               [this, ticket] { handleRequestTimeout(ticket); });
}

bool SlotAllocator::suspectIfSilent(const std::string &ip)
{
    const TimePoint now = Clock::now();
    const auto peer = m_context.membership.peers().find(ip);
    if (peer != m_context.membership.peers().end()
        && now - peer->second.lastHeard <= requestTimeout)
        return false;
    m_context.membership.markSuspect(ip, suspicionDuration, now);
    updateLeaders();
    return true;
}

void SlotAllocator::handleRequestTimeout(std::uint64_t ticket)
{
    const auto found = m_pendingRequests.find(ticket);
    if (found == m_pendingRequests.end())
        return;
    const std::string leader = found->second.leader;
    if (suspectIfSilent(leader)) {
        m_context.log.write(EventLog::Level::Warning, "slot_holder_silent", [&](LogLine &line) {
            line.text("holder", leader)
                .text("service", found->second.request.service)
                .number("ticket", static_cast<std::int64_t>(ticket));
        });
    }
    fallBackToLocal(ticket);
}

void SlotAllocator::fallBackToLocal(std::uint64_t ticket)
{
    // The leader may have granted a slot in a response that was lost; release it.
    PendingRequest &pending = m_pendingRequests.at(ticket);
    broker::AttemptEnd end;
    end.outcome = broker::AttemptOutcome::Cancelled;
    m_peers.sendSlotRelease(pending.leader, encodeRelease({ticket, pending.request.service}, end));
    m_fallbackRequests.add();
    decideLocally(ticket, DecidedBy::Fallback);
}

void SlotAllocator::decideLocally(std::uint64_t ticket, DecidedBy by)
{
    PendingRequest &pending = m_pendingRequests.at(ticket);
    pending.leader = m_context.settings.ip;
    ServiceSlots &service = serviceSlots(pending.request.service);
    const broker::Decision decision = decide(service, pending.request.attempt);
    if (decision.verdict == broker::Verdict::Queued) {
        processQueue(service);
        return;
    }
    complete(ticket, {decision, by, m_context.settings.ip});
}

void SlotAllocator::complete(std::uint64_t ticket, const SlotDecision &decision)
{
    const auto found = m_pendingRequests.find(ticket);
    if (found == m_pendingRequests.end())
        return;
    m_context.timers.cancel(found->second.timer);
    const Callback callback = std::move(found->second.callback);
    m_pendingRequests.erase(found);
    callback(decision);
}

void SlotAllocator::cancel(const SlotTicket &ticket)
{
    const auto found = m_pendingRequests.find(ticket.number);
    if (found == m_pendingRequests.end())
        return;
    broker::AttemptEnd end;
    end.key = found->second.request.attempt.key;
    end.outcome = broker::AttemptOutcome::Cancelled;
    if (found->second.leader == m_context.settings.ip)
        broker::withdraw(serviceSlots(ticket.service).state, end.key);
    else
        m_peers.sendSlotRelease(found->second.leader, encodeRelease(ticket, end));
    m_context.timers.cancel(found->second.timer);
    m_pendingRequests.erase(found);
}

void SlotAllocator::finishAttempt(const SlotTicket &ticket, broker::AttemptEnd end,
                                  const fleet::ServerEntry *leaving)
{
    end.key = {instanceKey(m_context.settings.ip), ticket.number};
    ServiceSlots &service = serviceSlots(ticket.service);
    const auto remote = m_remoteGrants.find(ticket.number);
    const bool isRemote = remote != m_remoteGrants.end();
    if (isRemote) {
        m_peers.sendSlotRelease(remote->second, encodeRelease(ticket, end, leaving));
        m_remoteGrants.erase(remote);
    }
    // The instance that granted the slot tells the others.
    if (leaving)
        m_context.serverLeaving({leaving->id, leaving->processStartMs}, !isRemote);
    // Updates the local state too, for slots that this instance has to grant by itself later.
    broker::recordAttemptEnd(service.state, end, Clock::now());
    shareCrashes(service);
    processQueue(service);
}

void SlotAllocator::handleResponse(const std::string &ip, const wire::SlotResponse &answer)
{
    const broker::Decision decision = decodeResponse(m_context.settings.ip, answer);
    const std::uint64_t ticket = answer.ticket();
    const auto found = m_pendingRequests.find(ticket);
    const bool isExpected = found != m_pendingRequests.end() && found->second.leader == ip;
    if (!isExpected) {
        if (decision.verdict == broker::Verdict::Granted)
            releaseUnclaimed(ip, decision);
        return;
    }
    if (decision.verdict == broker::Verdict::Queued) {
        m_context.timers.cancel(found->second.timer);
        found->second.timer = m_context.timers.callAfter(queuedResendInterval, [this, ticket] {
            const auto pending = m_pendingRequests.find(ticket);
            if (pending != m_pendingRequests.end())
                sendRequest(ticket);
        });
        return;
    }
    if (decision.verdict == broker::Verdict::Granted)
        m_remoteGrants[ticket] = ip;
    complete(ticket, {decision, DecidedBy::Peer, ip});
}

void SlotAllocator::releaseUnclaimed(const std::string &ip, const broker::Decision &decision)
{
    // A response to a repeated request can arrive while the attempt uses the slot.
    if (m_remoteGrants.contains(decision.key.ticket))
        return;
    m_lateGrants.add();
    const fleet::KnownServer *server = findServer(decision.server);
    if (!server || !server->entry)
        return;
    broker::AttemptEnd end;
    end.outcome = broker::AttemptOutcome::Cancelled;
    m_peers.sendSlotRelease(ip, encodeRelease({decision.key.ticket, server->entry->service}, end));
}

} // namespace apricotrock::gateway
