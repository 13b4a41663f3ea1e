#include "slotallocator.h"

#include "evacuationexchange.h"

#include <algorithm>

namespace apricotrock::gateway {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// A leader that does not answer a slot request within this time is bypassed. Covers several round
/// trips between availability zones and the scheduling delay of a small machine.
constexpr Duration requestTimeout = milliseconds(40);
/// Queued slot requests are resent at this interval, in case the leader or a datagram was lost.
constexpr Duration queuedResendInterval = milliseconds(400);
/// An instance that did not answer is not chosen as leader for this long.
constexpr Duration suspicionDuration = milliseconds(600);
/// Interval of passes over the queue, to handle requests whose latency target has passed.
constexpr Duration queuePassInterval = milliseconds(5);
/// After a slot request of a peer, this instance counts as leader of the service for this long.
constexpr Duration peerRequestWindow = milliseconds(1000);
/// Delays of the repetitions of a report of crashes.
constexpr std::array<Duration, 2> crashReportRepetitions = {milliseconds(300), milliseconds(1000)};
/// Bound of the reports about services that are not known yet.
constexpr std::size_t maxEarlyCrashReports = 1000;
/// From this part of the fleet on, a leader uses the whole limits for cold servers.
constexpr double fullFleetShare = 0.95;
/// The servers of a service are not probed when nobody has requested a slot for this long.
constexpr Duration idleProbeTime = milliseconds(5000);

std::int32_t toMicroseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<microseconds>(duration).count();
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(count, INT32_MIN, INT32_MAX));
}

wire::SlotRequest encodeRequest(std::uint64_t ticket, const AllocationRequest &request,
                                TimePoint now)
{
    const broker::AttemptRequest &ask = request.attempt;
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
            ask.organisation,
            static_cast<float>(ask.weight),
            static_cast<std::uint8_t>(std::min(ask.priority, 255U)),
            static_cast<std::uint8_t>(std::min(ask.earlierAttempts, 255U)),
            ask.isHedge};
}

broker::AttemptRequest decodeRequest(const std::string &ip, const wire::SlotRequest &message,
                                     TimePoint now)
{
    broker::AttemptRequest ask;
    ask.key = {instanceKey(ip), message.ticket()};
    ask.route = message.route();
    ask.fingerprint = message.fingerprint();
    ask.priority = message.priority();
    ask.earlierAttempts = message.earlier_attempts();
    ask.isHedge = message.is_hedge();
    ask.objective = microseconds(message.objective_us());
    ask.target = now + microseconds(message.target_us());
    ask.deadline = now + microseconds(message.deadline_us());
    ask.zone = message.zone();
    ask.organisation = message.organisation();
    ask.weight = message.weight();
    ask.excluded = {message.excluded_1(), message.excluded_2(), message.excluded_3()};
    return ask;
}

wire::SlotRelease encodeRelease(const SlotTicket &ticket, const broker::AttemptEnd &end,
                                const fleet::ServerEntry *leaving = nullptr)
{
    const broker::LoadReport load = end.load.value_or(broker::LoadReport());
    const auto pause = std::chrono::duration_cast<milliseconds>(end.pause).count();
    return {ticket.number,
            serviceKey(ticket.service),
            end.server,
            static_cast<std::uint32_t>(toMicroseconds(end.duration)),
            static_cast<std::uint16_t>(load.running),
            static_cast<std::uint16_t>(load.waiting),
            static_cast<std::uint16_t>(load.slots),
            static_cast<std::uint16_t>(load.slowdown * 100),
            static_cast<std::uint8_t>(end.outcome),
            end.load.has_value(),
            leaving != nullptr,
            static_cast<std::uint32_t>(std::clamp<std::int64_t>(pause, 0, UINT32_MAX)),
            leaving ? leaving->processStartMs : 0};
}

wire::CrashReportT encodeCrashReport(std::uint64_t service, const broker::CrashReport &report)
{
    wire::CrashReportT message;
    message.service = service;
    message.fingerprint = report.fingerprint;
    message.processes = report.processes;
    message.age_ms =
        static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(report.age).count());
    return message;
}

} // namespace

SlotAllocator::SlotAllocator(Context &context, PeerChannel &peers)
    : m_context(context), m_peers(peers),
      m_nextTicket(firstTicket(context.membership.self().incarnation)),
      m_localRequests(context.counter(
          "slot_asks_total", "Asks for slots by where they were decided.", {{"decided", "self"}})),
      m_remoteRequests(context.counter("slot_asks_total", "", {{"decided", "peer"}})),
      m_fallbackRequests(context.counter("slot_asks_total", "", {{"decided", "fallback"}})),
      m_lateGrants(
          context.counter("slot_late_grants_total",
                          "Slots that were granted to a request that did not wait for them.")),
      m_receivedRequests(context.counter("slot_requests_received_total",
                                         "Slot requests received from other instances.")),
      m_receivedReleases(context.counter("slot_releases_received_total",
                                         "Slot releases received from other instances.")),
      m_decisionMicroseconds(context.counter("slot_decision_microseconds_total",
                                             "Time spent on decisions about slots.")),
      m_examinedEntries(
          context.counter("slot_decision_examined_total",
                          "Servers and queued requests examined by decisions about slots.")),
      m_delayedColdStarts(context.counter("cold_starts_delayed_total",
                                          "Slot requests that were queued or refused while a cold "
                                          "server was not allowed to get them."))
{
    context.metrics.gauge("apricotrock_slot_queue_length",
                          "Queued slot requests of the services that this instance leads.", {},
                          [this] {
                              std::size_t queued = 0;
                              for (const auto &[key, each] : m_services)
                                  queued += each.state.queue.size();
                              return static_cast<double>(queued);
                          });
    context.metrics.gauge("apricotrock_hedge_share",
                          "Largest share of hedges in the requests or slot time of a service that "
                          "this instance leads, over the retry window.",
                          {}, [this] {
                              double share = 0;
                              for (const auto &[key, each] : m_services)
                                  if (each.state.isLeading)
                                      share = std::max(
                                          share, broker::hedgeShare(each.state, Clock::now()));
                              return share;
                          });
    context.metrics.gauge("apricotrock_cold_servers",
                          "Servers with a limit for cold starts that are cold now.", {}, [this] {
                              std::size_t cold = 0;
                              for (const auto &[key, each] : m_services)
                                  cold += broker::coldServerCount(each.state, Clock::now());
                              return static_cast<double>(cold);
                          });
}

class SlotAllocator::DecisionTimer
{
public:
    DecisionTimer(SlotAllocator &allocator, ServiceSlots &service)
        : m_allocator(allocator), m_service(service), m_started(Clock::now()),
          m_examined(service.state.examinedEntries), m_delayed(service.state.delayedColdStarts)
    { }
    ~DecisionTimer()
    {
        const Duration duration = Clock::now() - m_started;
        m_service.load.decisionTime += duration;
        m_service.load.maxQueued = std::max(m_service.load.maxQueued, m_service.state.queue.size());
        m_allocator.m_decisionMicroseconds.add(
            static_cast<std::uint64_t>(std::chrono::duration_cast<microseconds>(duration).count()));
        m_allocator.m_examinedEntries.add(m_service.state.examinedEntries - m_examined);
        m_allocator.m_delayedColdStarts.add(m_service.state.delayedColdStarts - m_delayed);
    }
    DecisionTimer(const DecisionTimer &) = delete;
    DecisionTimer &operator=(const DecisionTimer &) = delete;

private:
    SlotAllocator &m_allocator;
    ServiceSlots &m_service;
    TimePoint m_started;
    std::uint64_t m_examined;
    std::uint64_t m_delayed;
};

void SlotAllocator::logLeaderLoad(Duration loopDelay)
{
    const std::uint64_t datagrams = m_peers.takeReceived();
    const Duration handlingTime = m_peers.takeHandlingTime();
    for (auto &[key, service] : m_services) {
        const ServiceSlots &slots = service;
        LeaderLoad &load = service.load;
        if (load.requests > 0) {
            const auto examined = slots.state.examinedEntries - load.examinedBefore;
            m_context.log.write(EventLog::Level::Info, "leader_load", [&](LogLine &line) {
                line.text("service", slots.name)
                    .text("holder", slots.leader)
                    .number("requests", load.requests)
                    .number("releases", load.releases)
                    .number("waiting", static_cast<std::int64_t>(load.maxQueued))
                    .number("servers", static_cast<std::int64_t>(slots.state.servers.size()))
                    .number("examined", static_cast<std::int64_t>(examined))
                    .milliseconds("decisions", load.decisionTime)
                    .number("datagrams", static_cast<std::int64_t>(datagrams))
                    .milliseconds("datagram_handling", handlingTime)
                    .milliseconds("loop_delay", loopDelay);
            });
        }
        load = {};
        load.examinedBefore = slots.state.examinedEntries;
    }
}

SlotAllocator::ServiceSlots &SlotAllocator::serviceSlots(const std::string &service)
{
    const std::uint64_t key = serviceKey(service);
    const auto found = m_services.find(key);
    if (found != m_services.end())
        return found->second;
    ServiceSlots &created = m_services[key];
    created.name = service;
    created.state.policy = m_context.settings.policy;
    updateServers(created);
    updateLeader(created, Clock::now());
    const auto early = std::exchange(m_earlyCrashReports, {});
    for (const wire::CrashReportT &each : early)
        handleCrashReport(each);
    return created;
}

SlotAllocator::ServiceSlots *SlotAllocator::findServiceSlots(std::uint64_t key)
{
    const auto found = m_services.find(key);
    return found == m_services.end() ? nullptr : &found->second;
}

void SlotAllocator::updateServers(ServiceSlots &service)
{
    const TimePoint now = Clock::now();
    const fleet::ServiceSettings *settings = m_context.routes.service(service.name);
    const double coldStarts = settings ? settings->coldStartsPerSecond : 0;
    std::vector<broker::ServerInfo> infos;
    for (const auto &[id, server] : m_context.servers.servers()) {
        if (!isUsable(m_context, server, now) || server.entry->service != service.name)
            continue;
        infos.push_back({serverKey(id), std::max(1U, server.entry->slots), true,
                         slowStartUntil(server, m_context.evacuations, settings),
                         zoneKey(server.entry->availabilityZone), server.entry->processStartMs,
                         coldStarts});
    }
    broker::setServers(service.state, infos);
}

void SlotAllocator::updateLeader(ServiceSlots &service, TimePoint now)
{
    std::string leader = m_context.membership.leaderFor("slots/" + service.name, false, now);
    if (leader != service.leader) {
        m_context.log.write(EventLog::Level::Info, "slot_holder_changed", [&](LogLine &line) {
            line.text("service", service.name)
                .text("holder", leader)
                .text("before", service.leader)
                .number("alive", static_cast<std::int64_t>(m_context.membership.aliveCount()));
        });
        service.leader = std::move(leader);
    }
    const bool isLeading = service.leader == m_context.settings.ip
        || now - service.lastPeerRequest < peerRequestWindow;
    if (isLeading && !service.state.isLeading)
        service.state.leadingSince = now;
    service.state.isLeading = isLeading;
    service.state.coldStartShare = m_coldStartShare;
}

double SlotAllocator::coldStartShare(TimePoint now) const
{
    const fleet::FleetContact contact = m_context.membership.recentContact(now);
    const double share = static_cast<double>(contact.alive) / static_cast<double>(contact.known);
    return share >= fullFleetShare ? 1.0 : share;
}

void SlotAllocator::updateServers()
{
    // Creates the state of every service that has a server, so that its servers are known before
    // the first slot request.
    for (const auto &[id, server] : m_context.servers.servers()) {
        m_servers[serverKey(id)] = &server;
        if (server.entry)
            serviceSlots(server.entry->service);
    }
    for (auto &[key, each] : m_services) {
        updateServers(each);
        processQueue(each);
    }
}

const fleet::KnownServer *SlotAllocator::findServer(broker::ServerKey key) const
{
    const auto found = m_servers.find(key);
    return found == m_servers.end() ? nullptr : found->second;
}

void SlotAllocator::updateLeaders()
{
    const TimePoint now = Clock::now();
    m_coldStartShare = coldStartShare(now);
    for (auto &[key, each] : m_services)
        updateLeader(each, now);
}

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

broker::Decision SlotAllocator::decide(ServiceSlots &service, const broker::AttemptRequest &request)
{
    service.lastRequest = Clock::now();
    const DecisionTimer timer(*this, service);
    return broker::requestAttempt(service.state, request, Clock::now());
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

Duration SlotAllocator::remainingPause(const std::string &service, broker::ServerKey server)
{
    return broker::remainingPause(serviceSlots(service).state, instanceKey(m_context.settings.ip),
                                  server, Clock::now());
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

void SlotAllocator::learnLoad(const std::string &service, broker::ServerKey server,
                              const broker::LoadReport &load)
{
    ServiceSlots &each = serviceSlots(service);
    broker::learnLoad(each.state, server, load, Clock::now());
    processQueue(each);
}

void SlotAllocator::learnCold(const std::string &service, broker::ServerKey server,
                              Duration remaining)
{
    ServiceSlots &each = serviceSlots(service);
    if (!broker::learnCold(each.state, server, remaining, Clock::now()))
        return;
    const fleet::KnownServer *known = findServer(server);
    m_context.log.write(EventLog::Level::Info, "server_cold_changed", [&](LogLine &line) {
        line.text("service", service)
            .text("server", known ? known->record.id : std::string())
            .milliseconds("remaining", remaining);
    });
    processQueue(each);
}

void SlotAllocator::recordProbeFailure(const std::string &service, broker::ServerKey server)
{
    ServiceSlots &each = serviceSlots(service);
    broker::recordProbeFailure(each.state, server, Clock::now());
    shareCrashes(each);
}

void SlotAllocator::shareCrashes(ServiceSlots &service)
{
    const auto reports = broker::takeCrashReports(service.state, Clock::now());
    if (reports.empty() || !service.state.isLeading)
        return;
    const std::uint64_t key = serviceKey(service.name);
    std::vector<wire::CrashReportT> messages;
    for (const broker::CrashReport &each : reports) {
        messages.push_back(encodeCrashReport(key, each));
        m_context.log.write(EventLog::Level::Warning, "crashes_counted", [&](LogLine &line) {
            line.text("service", service.name)
                .number("fingerprint", static_cast<std::int64_t>(each.fingerprint))
                .number("crashes", static_cast<std::int64_t>(each.processes.size()));
        });
    }
    m_peers.broadcastCrashes(messages);
    for (const Duration delay : crashReportRepetitions)
        m_context.timers.callAfter(delay,
                                   [this, key, reports] { repeatCrashReports(key, reports); });
}

void SlotAllocator::repeatCrashReports(std::uint64_t service,
                                       const std::vector<broker::CrashReport> &reports)
{
    const ServiceSlots *slots = findServiceSlots(service);
    if (!slots)
        return;
    // What has changed since has been reported by itself.
    std::vector<wire::CrashReportT> messages;
    for (const broker::CrashReport &each : reports) {
        const bool isSuspect = slots->state.crashSuspects.contains(each.fingerprint);
        if (isSuspect != each.processes.empty())
            messages.push_back(encodeCrashReport(service, each));
    }
    m_peers.broadcastCrashes(messages);
}

std::vector<wire::CrashReportT> SlotAllocator::crashReports() const
{
    std::vector<wire::CrashReportT> messages;
    for (const auto &[key, service] : m_services) {
        for (const broker::CrashReport &each : broker::allCrashReports(service.state, Clock::now()))
            messages.push_back(encodeCrashReport(key, each));
    }
    return messages;
}

void SlotAllocator::handleCrashReport(const wire::CrashReportT &report)
{
    ServiceSlots *service = findServiceSlots(report.service);
    if (service)
        broker::applyCrashReport(
            service->state, {report.fingerprint, report.processes, milliseconds(report.age_ms)},
            Clock::now());
    else if (m_earlyCrashReports.size() < maxEarlyCrashReports)
        m_earlyCrashReports.push_back(report);
}

std::vector<SlotAllocator::DueProbe> SlotAllocator::takeDueProbes()
{
    const TimePoint now = Clock::now();
    std::vector<DueProbe> due;
    for (auto &[key, each] : m_services) {
        const bool isNeeded = now - each.lastRequest < idleProbeTime;
        if (each.leader != m_context.settings.ip || !isNeeded)
            continue;
        for (const broker::ServerKey server : broker::takeDueProbes(each.state, now))
            due.push_back({each.name, server});
    }
    return due;
}

void SlotAllocator::processQueue(ServiceSlots &service)
{
    std::vector<broker::Decision> decisions;
    if (broker::isQueuePassDue(service.state, Clock::now())) {
        const DecisionTimer timer(*this, service);
        decisions = broker::processQueue(service.state, Clock::now());
    }
    if (!service.state.queue.empty() && !service.isQueuePassScheduled) {
        service.isQueuePassScheduled = true;
        m_context.timers.callAfter(queuePassInterval, [this, key = serviceKey(service.name)] {
            ServiceSlots *scheduled = findServiceSlots(key);
            if (!scheduled)
                return;
            scheduled->isQueuePassScheduled = false;
            processQueue(*scheduled);
        });
    }
    for (const broker::Decision &decision : decisions)
        deliver(decision);
}

void SlotAllocator::deliver(const broker::Decision &decision)
{
    if (decision.key.instance == instanceKey(m_context.settings.ip)) {
        complete(decision.key.ticket, {decision, DecidedBy::Self, m_context.settings.ip});
        return;
    }
    const auto found = m_instanceIps.find(decision.key.instance);
    if (found != m_instanceIps.end())
        sendSlotResponse(found->second, decision);
}

void SlotAllocator::sendSlotResponse(const std::string &ip, const broker::Decision &decision)
{
    m_peers.sendSlotResponse(
        ip,
        {decision.key.ticket, decision.server,
         static_cast<std::uint32_t>(toMicroseconds(decision.expected)),
         static_cast<std::uint32_t>(toMicroseconds(decision.retryAfter)),
         toMicroseconds(decision.reportAge), static_cast<std::uint8_t>(decision.verdict),
         static_cast<std::uint8_t>(decision.reason), static_cast<std::uint16_t>(decision.slots),
         static_cast<std::uint16_t>(decision.taken), static_cast<std::uint16_t>(decision.waiting)});
}

void SlotAllocator::handleRequest(const std::string &ip, const wire::SlotRequest &message)
{
    ServiceSlots *service = findServiceSlots(message.service());
    const TimePoint now = Clock::now();
    broker::AttemptRequest ask = decodeRequest(ip, message, now);
    m_instanceIps[ask.key.instance] = ip;
    if (!service) {
        broker::Decision decision;
        decision.key = ask.key;
        decision.verdict = broker::Verdict::Refused;
        decision.reason = broker::RefusalReason::NoServer;
        sendSlotResponse(ip, decision);
        return;
    }
    service->lastPeerRequest = now;
    updateLeader(*service, now);
    ++service->load.requests;
    m_receivedRequests.add();
    const broker::Decision decision = decide(*service, ask);
    sendSlotResponse(ip, decision);
    if (decision.verdict == broker::Verdict::Queued)
        processQueue(*service);
}

void SlotAllocator::handleResponse(const std::string &ip, const wire::SlotResponse &answer)
{
    broker::Decision decision;
    decision.key = {instanceKey(m_context.settings.ip), answer.ticket()};
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

void SlotAllocator::handleRelease(const std::string &ip, const wire::SlotRelease &message)
{
    ServiceSlots *service = findServiceSlots(message.service());
    if (!service)
        return;
    broker::AttemptEnd end;
    end.key = {instanceKey(ip), message.ticket()};
    end.server = message.server();
    end.outcome = static_cast<broker::AttemptOutcome>(message.outcome());
    end.duration = microseconds(message.duration_us());
    if (message.has_load()) {
        end.load = broker::LoadReport{message.running(), message.waiting(), message.slots(),
                                      message.slowdown_percent() / 100.0};
    }
    end.pause = milliseconds(message.pause_ms());
    const fleet::KnownServer *server = findServer(end.server);
    if (message.is_leaving() && server)
        m_context.serverLeaving({server->record.id, message.process_start_ms()}, true);
    ++service->load.releases;
    m_receivedReleases.add();
    {
        const DecisionTimer timer(*this, *service);
        broker::release(service->state, end, Clock::now());
    }
    shareCrashes(*service);
    processQueue(*service);
}

} // namespace apricotrock::gateway
