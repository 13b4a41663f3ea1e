#include "prober.h"

#include "headernumber.h"

namespace apricotrock::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration tickInterval = milliseconds(25);
/// A probe that takes longer than this has no useful result.
constexpr Duration probeTimeout = milliseconds(300);
constexpr Duration pooledMaxIdle = seconds(4);
/// Longest cold period that a server can report; guards against a value by mistake.
constexpr double maxColdMs = 600'000;

/// Parses the time in milliseconds for which a server stays cold; 0 if the header is missing.
/// Returns nothing for other values than a number of at least 0.
std::optional<Duration> parseColdRemaining(const std::optional<std::string_view> &header)
{
    if (!header)
        return Duration(0);
    const std::optional<double> value = parseHeaderNumber(*header, maxColdMs);
    if (!value)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(*value));
}

} // namespace

Prober::Prober(Context &context, SlotAllocator &slotAllocator, BackendPool &pool)
    : m_context(context), m_slotAllocator(slotAllocator), m_pool(pool),
      m_probes(context.counter("probes_total", "Probes sent to backend servers.")),
      m_failures(context.counter("probe_failures_total", "Probes without a usable answer."))
{ }

void Prober::start()
{
    m_context.timers.callEvery(tickInterval, [this] { tick(); });
}

void Prober::tick()
{
    for (const SlotAllocator::DueProbe &each : m_slotAllocator.takeDueProbes()) {
        const fleet::KnownServer *server = m_slotAllocator.findServer(each.server);
        const fleet::ServiceSettings *service = m_context.routes.service(each.service);
        if (!server || !server->entry || !service)
            continue;
        if (m_slotAllocator.remainingPause(each.service, each.server) > Duration(0))
            continue;
        probe(each.service, each.server, *server->entry, service->probePath);
    }
}

void Prober::probe(const std::string &service, broker::ServerKey key,
                   const fleet::ServerEntry &server, const std::string &path)
{
    m_probes.add();
    const auto connection = m_pool.take(server, pooledMaxIdle);
    const auto timer = m_context.timers.callAfter(probeTimeout, [this, connection] {
        // The probe may have waited for a slot, so this says nothing about the server.
        connection->close();
        m_failures.add();
    });
    connection->send(
        loop::formatRequest("GET", path, {{"Host", server.address.toString()}}, {}, false), false,
        probeTimeout, nullptr,
        [this, weak = std::weak_ptr(connection), timer, service, key,
         server](const loop::ClientResult &result) {
            m_context.timers.cancel(timer);
            if (result.status != loop::ClientStatus::ResponseReceived) {
                m_failures.add();
                if (result.status == loop::ClientStatus::ConnectFailed)
                    m_slotAllocator.recordProbeFailure(service, key);
                return;
            }
            if (const auto used = weak.lock())
                m_pool.giveBack(server, used);
            const HeaderNames &names = m_context.adapter.headers;
            const auto id = loop::findHeader(result.response.headers, names.serverId);
            const auto header = loop::findHeader(result.response.headers, names.load);
            // The address may belong to another backend server by now.
            if (id && *id != server.id)
                return;
            if (saysLeaving(result.response, names))
                m_context.serverLeaving({server.id, server.processStartMs}, true);
            // Before the load, so that no queued request starts on a server that has become cold.
            constexpr int okStatus = 200;
            const auto cold = loop::findHeader(result.response.headers, names.coldRemainingMs);
            if (const auto remaining = parseColdRemaining(cold);
                remaining && result.response.status == okStatus)
                m_slotAllocator.learnCold(service, key, *remaining);
            if (const auto load = header ? m_context.adapter.parseLoad(*header) : std::nullopt)
                m_slotAllocator.learnLoad(service, key, *load);
        });
}

} // namespace apricotrock::gateway
