#include "slotallocator.h"

#include "evacuationexchange.h"
#include "slotmessages.h"

#include <algorithm>

// Services that this instance leads, their queues and crashes; slotrequests.cpp requests slots.
namespace apricotrock::gateway {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

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

broker::Decision SlotAllocator::decide(ServiceSlots &service, const broker::AttemptRequest &request)
{
    service.lastRequest = Clock::now();
    const DecisionTimer timer(*this, service);
    return broker::requestAttempt(service.state, request, Clock::now());
}

Duration SlotAllocator::remainingPause(const std::string &service, broker::ServerKey server)
{
    return broker::remainingPause(serviceSlots(service).state, instanceKey(m_context.settings.ip),
                                  server, Clock::now());
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
    m_peers.sendSlotResponse(ip, encodeResponse(decision));
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

void SlotAllocator::handleRelease(const std::string &ip, const wire::SlotRelease &message)
{
    ServiceSlots *service = findServiceSlots(message.service());
    if (!service)
        return;
    const broker::AttemptEnd end = decodeRelease(ip, message);
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
