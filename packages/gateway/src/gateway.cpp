#include "context.h"
#include "prober.h"
#include "requestpath.h"
#include "tablesync.h"

#include <algorithm>
#include <ctime>
#include <random>

namespace apricotrock::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration checkInterval = milliseconds(100);
constexpr Duration loadLogInterval = seconds(1);
/// A difference between boot time and steady time that grows by this shows a suspended machine.
constexpr Duration suspensionLimit = milliseconds(300);
/// Delays of the repeated announcements that this instance is leaving.
constexpr std::array<Duration, 3> announcements = {milliseconds(60), milliseconds(200),
                                                   milliseconds(600)};
/// Time before the end of the process in which no request is accepted any more.
constexpr Duration stopListeningBefore = milliseconds(1100);
constexpr Duration stopReserve = milliseconds(500);
/// Every request has its response this long before the end of the process, so that the response is
/// written.
constexpr Duration lastResponseMargin = milliseconds(100);
/// Retry-After, in seconds, of requests that are refused because of the stop: other instances
/// take them at once.
constexpr const char *stopRetryAfter = "0.1";
/// Connections of callers are closed during a stop when nothing was sent on them for this long.
constexpr Duration minIdleBeforeClose = milliseconds(300);

Duration readClock(clockid_t id)
{
    timespec time{};
    clock_gettime(id, &time);
    return seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

fleet::InstanceInfo ownInfo(const GatewaySettings &settings)
{
    std::random_device device;
    fleet::InstanceInfo info;
    info.incarnation = (std::uint64_t(device()) << 32U) | device();
    info.ip = settings.ip;
    info.availabilityZone = settings.availabilityZone;
    info.weight = settings.weight;
    return info;
}

} // namespace

struct Gateway::Private
{
    Private(asio::io_context &io, loop::LoopTimers &timers, loop::EventLog &log,
            const GatewaySettings &settings, Adapter adapter)
        : context{io,
                  timers,
                  log,
                  settings,
                  std::move(adapter),
                  {},
                  fleet::Membership(ownInfo(settings)),
                  {},
                  {},
                  {},
                  [this](const auto &leaving, bool tellsOthers) {
                      tables.handleLeaving({leaving}, "response", tellsOthers);
                  }},
          peers(context, peerHandlers()), slotAllocator(context, peers),
          quotaAllocator(quotaEnvironment(), peers, context.metrics, settings.quota,
                         firstTicket(context.membership.self().incarnation),
                         std::random_device{}()),
          pool(context), path(context, slotAllocator, quotaAllocator, pool),
          prober(context, slotAllocator, pool),
          tables(context, peers,
                 {[this] { serversChanged(); }, [this] { configurationChanged(); }}),
          callers(io, timers, [this](const auto &exchange) { path.handle(exchange); }),
          metricsListener(io, timers,
                          [this](const auto &exchange) {
                              exchange->respond(200,
                                                {{"Content-Type", "text/plain; version=0.0.4"}},
                                                context.metrics.text(), true);
                          }),
          loopDelay(context.metrics.histogram("apricotrock_event_loop_delay_seconds",
                                              "Delay of a periodic timer of the event loop."))
    {
        context.servers.setMinOutage(settings.minStoreOutage);
        context.metrics.gauge("apricotrock_build_info",
                              "1, with the version of the program and the digest of its sources.",
                              {{"version", settings.version}, {"sources", settings.sourceDigest}},
                              [] { return 1; });
    }

    PeerChannel::Handlers peerHandlers()
    {
        return {[this](const auto &ip, const auto &ask) { slotAllocator.handleRequest(ip, ask); },
                [this](const auto &ip, const auto &answer) {
                    slotAllocator.handleResponse(ip, answer);
                },
                [this](const auto &ip, const auto &end) { slotAllocator.handleRelease(ip, end); },
                [this](const auto &ip, const auto &message) { tables.handleTables(ip, message); },
                [this](const auto &leaving) { tables.handleLeaving(leaving, "peer", false); },
                [this](const auto &crash) { slotAllocator.handleCrashReport(crash); },
                [this](const auto &ip) { peerChanged(ip, "peer_joined"); },
                [this](const auto &ip) { peerChanged(ip, "peer_lost"); },
                [this](const auto &ip, const auto &ask) { quotaAllocator.handleRequest(ip, ask); },
                [this](const auto &ip, const auto &answer) {
                    quotaAllocator.handleResponse(ip, answer);
                },
                [this](const auto &ip, const auto &end) { quotaAllocator.handleReturn(ip, end); }};
    }

    QuotaEnvironment quotaEnvironment()
    {
        return {context.settings.ip,
                [] { return Clock::now(); },
                [this](Duration delay, std::function<void()> callback) {
                    return context.timers.callAfter(delay, std::move(callback));
                },
                [this](std::uint64_t timer) { context.timers.cancel(timer); },
                [this](const std::string &role, TimePoint now) {
                    return context.membership.leaderFor(role, false, now);
                },
                [this](const std::string &role, TimePoint now) {
                    return context.membership.leaderAmongHeard(role, now);
                },
                [this](TimePoint now) { return context.membership.zoneContact(now); },
                [this](const auto &ip, const auto &organisation) {
                    quotaOwnerSilent(ip, organisation);
                },
                [this](const auto &organisation, const auto &owner, const auto &before) {
                    context.log.write(
                        EventLog::Level::Info, "quota_owner_changed", [&](LogLine &line) {
                            line.text("organisation", organisation)
                                .text("owner", owner)
                                .text("before", before)
                                .number("alive",
                                        static_cast<std::int64_t>(context.membership.aliveCount()));
                        });
                }};
    }

    void quotaOwnerSilent(const std::string &ip, const std::string &organisation)
    {
        if (!slotAllocator.suspectIfSilent(ip))
            return;
        context.log.write(EventLog::Level::Warning, "quota_owner_silent", [&](LogLine &line) {
            line.text("owner", ip).text("organisation", organisation);
        });
    }

    void peerChanged(const std::string &ip, std::string_view event)
    {
        context.log.write(EventLog::Level::Info, event, [&](LogLine &line) {
            line.text("peer", ip)
                .number("alive", static_cast<std::int64_t>(context.membership.aliveCount()));
        });
        slotAllocator.updateLeaders();
    }

    void serversChanged()
    {
        const TimePoint now = Clock::now();
        for (const auto &[id, server] : context.servers.servers()) {
            if (server.entry && !isUsable(context, server, now))
                pool.clear(*server.entry);
        }
        slotAllocator.updateServers();
        becomeReady();
    }

    void configurationChanged()
    {
        const fleet::CallerLimits &limits = context.routes.configuration()->limits;
        callers.setLimits(
            {limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout, limits.idleTimeout});
        slotAllocator.updateServers();
        quotaAllocator.setOrganisations(context.routes.configuration()->organisations,
                                        context.routes.configuration()->version);
        becomeReady();
    }

    void becomeReady()
    {
        if (context.membership.self().phase != fleet::InstancePhase::Starting
            || !tables.isComplete())
            return;
        context.membership.setPhase(fleet::InstancePhase::Ready);
        context.log.write(EventLog::Level::Info, "instance_ready", [this](LogLine &line) {
            line.number("configuration_version",
                        static_cast<std::int64_t>(context.routes.configuration()->version))
                .number("server_position",
                        static_cast<std::int64_t>(context.servers.position().offset));
        });
        peers.announce();
    }

    /// Records how late the periodic check runs: the time for which the event loop was busy or the
    /// machine gave the process no processor time.
    void measureLoopDelay()
    {
        const TimePoint now = Clock::now();
        const Duration delay = std::max(Duration(0), now - lastCheck - checkInterval);
        lastCheck = now;
        loopDelay.add(delay);
        maxLoopDelay = std::max(maxLoopDelay, delay);
        if (now - loadLogged < loadLogInterval)
            return;
        loadLogged = now;
        slotAllocator.logLeaderLoad(std::exchange(maxLoopDelay, {}));
    }

    void check()
    {
        measureLoopDelay();
        const Duration offset = readClock(CLOCK_BOOTTIME) - readClock(CLOCK_MONOTONIC);
        if (offset - suspendedTime > suspensionLimit) {
            context.log.write(
                EventLog::Level::Warning, "machine_was_suspended",
                [&](LogLine &line) { line.milliseconds("length", offset - suspendedTime); });
            pool.clear();
            tables.resume();
        }
        suspendedTime = offset;
        slotAllocator.updateLeaders();
        quotaAllocator.tick();
    }

    /// An instance that was cut off can't grant tokens, so that callers should leave it while there
    /// are quotas.
    std::vector<std::string> addressesForCallers() const
    {
        const TimePoint now = Clock::now();
        if (quotaAllocator.hasQuotas() && context.membership.contact(now).hasLostHalf()) {
            std::vector<std::string> others = context.membership.otherServing(now);
            if (!others.empty())
                return others;
        }
        return context.membership.serving();
    }

    void finishStop(const std::function<void()> &finished, TimePoint end)
    {
        // A caller may be about to send a request on a connection that it has just opened.
        callers.closeIdleConnections(minIdleBeforeClose);
        const bool isIdle = callers.connections() == 0 && path.activeCalls() == 0;
        if (!isIdle && Clock::now() < end) {
            context.timers.callAfter(milliseconds(20),
                                     [this, finished, end] { finishStop(finished, end); });
            return;
        }
        context.membership.setPhase(fleet::InstancePhase::Stopped);
        peers.announce();
        context.log.write(EventLog::Level::Info, "stopped", [this](LogLine &line) {
            line.number("requests_in_work", static_cast<std::int64_t>(path.activeCalls()))
                .number("slot_requests_waiting",
                        static_cast<std::int64_t>(slotAllocator.pendingRequests()));
        });
        context.log.flush();
        finished();
    }

    Context context;
    PeerChannel peers;
    SlotAllocator slotAllocator;
    QuotaAllocator quotaAllocator;
    BackendPool pool;
    RequestPath path;
    Prober prober;
    TableSync tables;
    loop::HttpListener callers;
    loop::HttpListener metricsListener;
    Duration suspendedTime{};
    metrics::Histogram &loopDelay;
    TimePoint lastCheck = Clock::now();
    TimePoint loadLogged = Clock::now();
    Duration maxLoopDelay{};
};

Gateway::Gateway(asio::io_context &context, loop::LoopTimers &timers, loop::EventLog &log,
                 const GatewaySettings &settings, Adapter adapter)
    : m_private(std::make_unique<Private>(context, timers, log, settings, std::move(adapter)))
{ }

Gateway::~Gateway() = default;

Result<void> Gateway::start()
{
    Private &self = *m_private;
    const GatewaySettings &settings = self.context.settings;
    self.suspendedTime = readClock(CLOCK_BOOTTIME) - readClock(CLOCK_MONOTONIC);
    self.callers.onRefusal([&self](int status, std::string_view text) {
        self.context
            .counter("malformed_requests_total", "Requests refused before they were complete.",
                     {{"status", std::to_string(status)}})
            .add();
        self.context.log.write(EventLog::Level::Warning, "request_malformed", [&](LogLine &line) {
            line.number("status", status).text("reason", text);
        });
    });
    const auto bodyBudget = std::make_shared<loop::ByteBudget>(settings.requestMemoryBytes);
    self.callers.setBodyBudget(bodyBudget);
    self.context.metrics.gauge("apricotrock_request_memory_bytes",
                               "Memory used by large bodies of requests.", {},
                               [bodyBudget] { return double(bodyBudget->used()); });
    self.callers.setOverlapFilter(
        [&self](const loop::HttpRequest &request) { return self.path.mayOverlap(request); });
    self.peers.setTableState([&self] { return self.tables.state(); });
    self.peers.setLeavingServers([&self] { return self.context.servers.leavingServers(); });
    self.peers.setCrashReports([&self] { return self.slotAllocator.crashReports(); });
    auto result = self.peers.start();
    if (result)
        result = self.tables.start();
    if (result)
        result = self.callers.listen({settings.ip, settings.callerPort});
    if (result && settings.metricsPort != 0)
        result = self.metricsListener.listen({settings.ip, settings.metricsPort});
    if (!result)
        return result;
    self.prober.start();
    self.context.timers.callEvery(checkInterval, [&self] { self.check(); });
    return {};
}

bool Gateway::isReady() const
{
    return m_private->context.membership.self().phase == fleet::InstancePhase::Ready;
}

std::vector<std::string> Gateway::callerAddresses(std::string_view availabilityZone) const
{
    const Context &context = m_private->context;
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const std::string &ip : m_private->addressesForCallers()) {
        const auto found = context.membership.peers().find(ip);
        const std::string &zone = found == context.membership.peers().end()
            ? context.settings.availabilityZone
            : found->second.info.availabilityZone;
        const std::string address = Endpoint{ip, context.settings.callerPort}.toString();
        (zone == availabilityZone ? near : far).push_back(address);
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

void Gateway::stop(const std::function<void()> &finished)
{
    Private &self = *m_private;
    if (self.context.membership.self().phase == fleet::InstancePhase::Leaving)
        return;
    const TimePoint end = Clock::now() + self.context.settings.shutdownTimeout - stopReserve;
    self.context.log.write(EventLog::Level::Info, "stopping", [&self](LogLine &line) {
        line.number("requests_in_work", static_cast<std::int64_t>(self.path.activeCalls()));
    });
    self.context.membership.setPhase(fleet::InstancePhase::Leaving);
    self.peers.announce();
    for (const Duration delay : announcements)
        self.context.timers.callAfter(delay, [&self] { self.peers.announce(); });
    self.callers.closeAfterResponses();
    self.path.stopBy(end - lastResponseMargin);
    self.context.timers.callAt(end - lastResponseMargin, [&self] {
        self.callers.refuseIncompleteRequests(503, "this instance stops",
                                              {{"Retry-After", stopRetryAfter}});
    });
    self.context.timers.callAt(end - stopListeningBefore, [&self, finished, end] {
        self.callers.stopAccepting();
        self.finishStop(finished, end);
    });
}

} // namespace apricotrock::gateway
