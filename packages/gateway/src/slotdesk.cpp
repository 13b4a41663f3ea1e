#include "slotdesk.h"

#include <algorithm>

namespace apricotrock::gateway {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// A holder that does not answer an ask in this time is passed over; several round trips between
/// availability zones, and the time slice of a small machine.
constexpr Duration askTimeout = milliseconds(40);
/// Waiting asks are repeated in this interval, in case the holder or a datagram was lost.
constexpr Duration queuedCheckInterval = milliseconds(400);
/// An instance that did not answer takes no duties for this long.
constexpr Duration suspicionTime = milliseconds(600);
/// Waiting asks are looked at again in this interval, for targets that become late.
constexpr Duration advanceInterval = milliseconds(5);
/// Asks of peers show that this instance keeps the books for the fleet.
constexpr Duration peerAskMemory = milliseconds(1000);

std::uint64_t instanceNumber(const std::string &ip)
{
    return hash64(ip, 3);
}

std::int32_t toMicroseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<microseconds>(duration).count();
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(count, INT32_MIN, INT32_MAX));
}

wire::SlotAsk encodeAsk(std::uint64_t ticket, const SlotRequest &request, TimePoint now)
{
    const broker::Ask &ask = request.ask;
    return {ticket,
            serviceKey(request.service),
            ask.route,
            ask.fingerprint,
            ask.excluded[0],
            ask.excluded[1],
            ask.excluded[2],
            static_cast<std::uint32_t>(toMicroseconds(ask.objective)),
            toMicroseconds(ask.target - now),
            toMicroseconds(ask.deadline - now),
            ask.zone,
            static_cast<std::uint8_t>(std::min(ask.priority, 255U)),
            static_cast<std::uint8_t>(std::min(ask.earlierAttempts, 255U)),
            ask.isHedge};
}

broker::Ask decodeAsk(const std::string &ip, const wire::SlotAsk &message, TimePoint now)
{
    broker::Ask ask;
    ask.key = {instanceNumber(ip), message.ticket()};
    ask.route = message.route();
    ask.fingerprint = message.fingerprint();
    ask.priority = message.priority();
    ask.earlierAttempts = message.earlier_attempts();
    ask.isHedge = message.is_hedge();
    ask.objective = microseconds(message.objective_us());
    ask.target = now + microseconds(message.target_us());
    ask.deadline = now + microseconds(message.deadline_us());
    ask.zone = message.zone();
    ask.excluded = {message.excluded_1(), message.excluded_2(), message.excluded_3()};
    return ask;
}

wire::SlotEnd encodeEnd(const SlotTicket &ticket, const broker::AttemptEnd &end)
{
    const broker::LoadReport load = end.load.value_or(broker::LoadReport());
    return {ticket.number,
            serviceKey(ticket.service),
            end.server,
            static_cast<std::uint32_t>(toMicroseconds(end.duration)),
            static_cast<std::uint16_t>(load.running),
            static_cast<std::uint16_t>(load.waiting),
            static_cast<std::uint16_t>(load.slots),
            static_cast<std::uint16_t>(load.slowdown * 100),
            static_cast<std::uint8_t>(end.outcome),
            end.load.has_value()};
}

} // namespace

SlotDesk::SlotDesk(Context &context, PeerChannel &peers)
    : m_context(context), m_peers(peers),
      m_asksLocal(context.counter("slot_asks_total", "Asks for slots by where they were decided.",
                                  {{"decided", "self"}})),
      m_asksRemote(context.counter("slot_asks_total", "", {{"decided", "peer"}})),
      m_asksFallback(context.counter("slot_asks_total", "", {{"decided", "fallback"}})),
      m_lateGrants(context.counter("slot_late_grants_total",
                                   "Slots that were granted after the ask was given up."))
{ }

SlotDesk::Book &SlotDesk::book(const std::string &service)
{
    const std::uint64_t key = serviceKey(service);
    const auto found = m_books.find(key);
    if (found != m_books.end())
        return found->second;
    Book &made = m_books[key];
    made.service = service;
    made.state.policy = m_context.settings.policy;
    refreshServers(made);
    refreshDuty(made, Clock::now());
    return made;
}

SlotDesk::Book *SlotDesk::findBook(std::uint64_t key)
{
    const auto found = m_books.find(key);
    return found == m_books.end() ? nullptr : &found->second;
}

void SlotDesk::refreshServers(Book &book)
{
    std::vector<broker::ServerInfo> infos;
    for (const auto &[id, server] : m_context.servers.servers()) {
        if (!fleet::ServerDirectory::isUsable(server) || server.entry->service != book.service)
            continue;
        infos.push_back({serverKey(id), std::max(1U, server.entry->slots), true, server.coldUntil,
                         zoneNumber(server.entry->availabilityZone)});
    }
    broker::setServers(book.state, infos);
}

void SlotDesk::refreshDuty(Book &book, TimePoint now)
{
    std::string holder = m_context.membership.holderOf("slots/" + book.service, false, now);
    if (holder != book.holder) {
        m_context.log.write(EventLog::Level::Info, "slot_holder_changed", [&](LogLine &line) {
            line.text("service", book.service)
                .text("holder", holder)
                .text("before", book.holder)
                .number("alive", static_cast<std::int64_t>(m_context.membership.aliveCount()));
        });
        book.holder = std::move(holder);
    }
    const bool isLeading =
        book.holder == m_context.settings.ip || now - book.askedByPeer < peerAskMemory;
    if (isLeading && !book.state.isLeading)
        book.state.leadingSince = now;
    book.state.isLeading = isLeading;
}

void SlotDesk::refreshServers()
{
    // Every service with a server has a book, so that its servers are known before the first ask.
    for (const auto &[id, server] : m_context.servers.servers()) {
        m_servers[serverKey(id)] = &server;
        if (server.entry)
            book(server.entry->service);
    }
    for (auto &[key, each] : m_books) {
        refreshServers(each);
        advance(each);
    }
}

const fleet::KnownServer *SlotDesk::findServer(broker::ServerKey key) const
{
    const auto found = m_servers.find(key);
    return found == m_servers.end() ? nullptr : found->second;
}

void SlotDesk::refreshDuties()
{
    const TimePoint now = Clock::now();
    for (auto &[key, each] : m_books)
        refreshDuty(each, now);
}

SlotTicket SlotDesk::ask(SlotRequest request, Callback callback)
{
    const TimePoint now = Clock::now();
    const std::uint64_t ticket = m_nextTicket++;
    SlotTicket result{ticket, request.service};
    Book &service = book(request.service);
    refreshDuty(service, now);
    request.ask.key = {instanceNumber(m_context.settings.ip), ticket};
    request.ask.zone = zoneNumber(m_context.settings.availabilityZone);
    Waiting &waiting = m_waiting[ticket];
    waiting.request = std::move(request);
    waiting.callback = std::move(callback);
    waiting.holder = service.holder;
    if (waiting.holder == m_context.settings.ip) {
        m_asksLocal.add();
        decideHere(ticket, DecidedBy::Self);
    } else {
        m_asksRemote.add();
        askRemote(ticket);
    }
    return result;
}

void SlotDesk::askRemote(std::uint64_t ticket)
{
    Waiting &waiting = m_waiting.at(ticket);
    const TimePoint now = Clock::now();
    ++waiting.sends;
    m_peers.sendAsk(waiting.holder, encodeAsk(ticket, waiting.request, now));
    waiting.timer = m_context.timers.callAfter(askTimeout, [this, ticket] { unanswered(ticket); });
}

void SlotDesk::unanswered(std::uint64_t ticket)
{
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end())
        return;
    const TimePoint now = Clock::now();
    const std::string holder = found->second.holder;
    const auto peer = m_context.membership.peers().find(holder);
    const bool isSilent =
        peer == m_context.membership.peers().end() || now - peer->second.heard > askTimeout;
    if (isSilent) {
        m_context.membership.suspect(holder, suspicionTime, now);
        refreshDuties();
        m_context.log.write(EventLog::Level::Warning, "slot_holder_silent", [&](LogLine &line) {
            line.text("holder", holder)
                .text("service", found->second.request.service)
                .number("ticket", static_cast<std::int64_t>(ticket));
        });
    }
    fallBack(ticket);
}

void SlotDesk::fallBack(std::uint64_t ticket)
{
    // The holder may have granted a slot whose answer was lost; it is given back.
    Waiting &waiting = m_waiting.at(ticket);
    broker::AttemptEnd end;
    end.outcome = broker::AttemptOutcome::Cancelled;
    m_peers.sendEnd(waiting.holder, encodeEnd({ticket, waiting.request.service}, end));
    m_asksFallback.add();
    decideHere(ticket, DecidedBy::Fallback);
}

void SlotDesk::decideHere(std::uint64_t ticket, DecidedBy by)
{
    Waiting &waiting = m_waiting.at(ticket);
    waiting.holder = m_context.settings.ip;
    Book &service = book(waiting.request.service);
    const broker::Decision decision = broker::ask(service.state, waiting.request.ask, Clock::now());
    if (decision.verdict == broker::Verdict::Queued) {
        advance(service);
        return;
    }
    complete(ticket, {decision, by, m_context.settings.ip});
}

void SlotDesk::complete(std::uint64_t ticket, const SlotDecision &decision)
{
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end())
        return;
    m_context.timers.cancel(found->second.timer);
    const Callback callback = std::move(found->second.callback);
    m_waiting.erase(found);
    callback(decision);
}

void SlotDesk::cancel(const SlotTicket &ticket)
{
    const auto found = m_waiting.find(ticket.number);
    if (found == m_waiting.end())
        return;
    broker::AttemptEnd end;
    end.key = found->second.request.ask.key;
    end.outcome = broker::AttemptOutcome::Cancelled;
    if (found->second.holder == m_context.settings.ip)
        broker::withdraw(book(ticket.service).state, end.key);
    else
        m_peers.sendEnd(found->second.holder, encodeEnd(ticket, end));
    m_context.timers.cancel(found->second.timer);
    m_waiting.erase(found);
}

void SlotDesk::finish(const SlotTicket &ticket, broker::AttemptEnd end)
{
    end.key = {instanceNumber(m_context.settings.ip), ticket.number};
    Book &service = book(ticket.service);
    const auto remote = m_remoteGrants.find(ticket.number);
    if (remote != m_remoteGrants.end()) {
        m_peers.sendEnd(remote->second, encodeEnd(ticket, end));
        m_remoteGrants.erase(remote);
    }
    // The own books learn as well, for the time when this instance has to decide by itself.
    broker::finish(service.state, end, Clock::now());
    advance(service);
}

void SlotDesk::learnLoad(const std::string &service, broker::ServerKey server,
                         const broker::LoadReport &load)
{
    Book &each = book(service);
    broker::learnLoad(each.state, server, load, Clock::now());
    advance(each);
}

void SlotDesk::learnProbeFailure(const std::string &service, broker::ServerKey server)
{
    broker::learnProbeFailure(book(service).state, server, Clock::now());
}

std::vector<SlotDesk::DueProbe> SlotDesk::takeDueProbes()
{
    const TimePoint now = Clock::now();
    std::vector<DueProbe> due;
    for (auto &[key, each] : m_books) {
        if (each.holder != m_context.settings.ip)
            continue;
        for (const broker::ServerKey server : broker::takeDueProbes(each.state, now))
            due.push_back({each.service, server});
    }
    return due;
}

void SlotDesk::advance(Book &service)
{
    std::vector<broker::Decision> decisions;
    if (broker::isAdvanceDue(service.state, Clock::now()))
        decisions = broker::advance(service.state, Clock::now());
    if (!service.state.queue.empty() && !service.isWaking) {
        service.isWaking = true;
        m_context.timers.callAfter(advanceInterval, [this, key = serviceKey(service.service)] {
            Book *waking = findBook(key);
            if (!waking)
                return;
            waking->isWaking = false;
            advance(*waking);
        });
    }
    for (const broker::Decision &decision : decisions)
        deliver(decision);
}

void SlotDesk::deliver(const broker::Decision &decision)
{
    if (decision.key.instance == instanceNumber(m_context.settings.ip)) {
        complete(decision.key.ticket, {decision, DecidedBy::Self, m_context.settings.ip});
        return;
    }
    const auto found = m_instances.find(decision.key.instance);
    if (found != m_instances.end())
        sendAnswer(found->second, decision);
}

void SlotDesk::sendAnswer(const std::string &ip, const broker::Decision &decision)
{
    m_peers.sendAnswer(
        ip,
        {decision.key.ticket, decision.server,
         static_cast<std::uint32_t>(toMicroseconds(decision.expected)),
         static_cast<std::uint32_t>(toMicroseconds(decision.retryAfter)),
         toMicroseconds(decision.reportAge), static_cast<std::uint8_t>(decision.verdict),
         static_cast<std::uint8_t>(decision.reason), static_cast<std::uint16_t>(decision.slots),
         static_cast<std::uint16_t>(decision.taken), static_cast<std::uint16_t>(decision.waiting)});
}

void SlotDesk::handleAsk(const std::string &ip, const wire::SlotAsk &message)
{
    Book *service = findBook(message.service());
    const TimePoint now = Clock::now();
    broker::Ask ask = decodeAsk(ip, message, now);
    m_instances[ask.key.instance] = ip;
    if (!service) {
        broker::Decision decision;
        decision.key = ask.key;
        decision.verdict = broker::Verdict::Refused;
        decision.reason = broker::RefusalReason::NoServer;
        sendAnswer(ip, decision);
        return;
    }
    service->askedByPeer = now;
    refreshDuty(*service, now);
    broker::Decision decision = broker::ask(service->state, ask, now);
    sendAnswer(ip, decision);
    if (decision.verdict == broker::Verdict::Queued)
        advance(*service);
}

void SlotDesk::handleAnswer(const std::string &ip, const wire::SlotAnswer &answer)
{
    broker::Decision decision;
    decision.key = {instanceNumber(m_context.settings.ip), answer.ticket()};
    decision.verdict = static_cast<broker::Verdict>(answer.verdict());
    decision.reason = static_cast<broker::RefusalReason>(answer.reason());
    decision.server = answer.server();
    decision.expected = microseconds(answer.expected_us());
    decision.retryAfter = microseconds(answer.retry_after_us());
    decision.reportAge = microseconds(answer.report_age_us());
    decision.slots = answer.slots();
    decision.taken = answer.taken();
    decision.waiting = answer.waiting();
    const std::uint64_t ticket = answer.ticket();
    const auto found = m_waiting.find(ticket);
    const bool isExpected = found != m_waiting.end() && found->second.holder == ip;
    if (!isExpected) {
        // Its slot was given back when the ask was given up; see fallBack() and cancel().
        if (decision.verdict == broker::Verdict::Granted)
            m_lateGrants.add();
        return;
    }
    if (decision.verdict == broker::Verdict::Queued) {
        m_context.timers.cancel(found->second.timer);
        found->second.timer = m_context.timers.callAfter(queuedCheckInterval, [this, ticket] {
            const auto waiting = m_waiting.find(ticket);
            if (waiting != m_waiting.end())
                askRemote(ticket);
        });
        return;
    }
    if (decision.verdict == broker::Verdict::Granted)
        m_remoteGrants[ticket] = ip;
    complete(ticket, {decision, DecidedBy::Peer, ip});
}

void SlotDesk::handleEnd(const std::string &ip, const wire::SlotEnd &message)
{
    Book *service = findBook(message.service());
    if (!service)
        return;
    broker::AttemptEnd end;
    end.key = {instanceNumber(ip), message.ticket()};
    end.server = message.server();
    end.outcome = static_cast<broker::AttemptOutcome>(message.outcome());
    end.duration = microseconds(message.duration_us());
    if (message.has_load()) {
        end.load = broker::LoadReport{message.running(), message.waiting(), message.slots(),
                                      message.slowdown_percent() / 100.0};
    }
    broker::release(service->state, end, Clock::now());
    advance(*service);
}

} // namespace apricotrock::gateway
