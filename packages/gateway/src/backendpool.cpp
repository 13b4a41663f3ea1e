#include "backendpool.h"

namespace apricotrock::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Idle connections are closed after this; servers close theirs a few seconds later.
constexpr Duration maxIdleTime = seconds(4);
/// A connection is not used this shortly before its server closes it.
constexpr Duration idleMargin = seconds(1);
constexpr Duration sweepInterval = seconds(1);
/// Maximum number of idle connections to one backend server.
constexpr std::size_t maxIdlePerServer = 8;
/// One response may use this part of the memory for all of them, so that a few servers whose
/// responses do not end leave room for those of the others.
constexpr std::size_t responsesInMemory = 8;

std::string poolKey(const fleet::ServerEntry &server)
{
    return server.id + '@' + server.address.toString() + '#'
        + std::to_string(server.processStartMs);
}

Duration idleLimit(const loop::HttpClientConnection &connection)
{
    const auto parsed = connection.serverIdleTimeout();
    return parsed ? std::min(maxIdleTime, *parsed - idleMargin) : maxIdleTime;
}

} // namespace

BackendPool::BackendPool(Context &context)
    : m_context(context),
      m_responseBudget(std::make_shared<loop::ByteBudget>(context.settings.responseMemoryBytes)),
      m_opened(context.counter("backend_connections_opened_total",
                               "Connections opened to backend servers.")),
      m_reused(context.counter("backend_connections_reused_total",
                               "Requests sent on a connection that was open already."))
{
    m_responseLimits.maxBodyBytes = context.settings.responseMemoryBytes / responsesInMemory;
    context.metrics.gauge("apricotrock_response_memory_bytes",
                          "Memory used by responses of backend servers.", {},
                          [budget = m_responseBudget] { return double(budget->used()); });
    m_context.timers.callEvery(sweepInterval, [this] { sweep(); });
}

BackendPool::Connection BackendPool::take(const fleet::ServerEntry &server, Duration maxIdle)
{
    const TimePoint now = Clock::now();
    Idle &idle = m_idle[poolKey(server)];
    while (!idle.empty()) {
        Connection connection = std::move(idle.back());
        idle.pop_back();
        const Duration age = now - connection->idleSince();
        if (connection->isReusable() && age < std::min(maxIdle, idleLimit(*connection))) {
            m_reused.add();
            return connection;
        }
        if (age >= idleLimit(*connection) || !connection->isReusable()) {
            connection->close();
            continue;
        }
        // Idle for too long for this request only; the connections before it are older still.
        idle.push_back(connection);
        break;
    }
    m_opened.add();
    return std::make_shared<loop::HttpClientConnection>(
        m_context.io, m_context.timers, server.address, m_responseLimits, m_responseBudget);
}

void BackendPool::giveBack(const fleet::ServerEntry &server, const Connection &connection)
{
    if (!connection->isReusable())
        return;
    Idle &idle = m_idle[poolKey(server)];
    if (idle.size() >= maxIdlePerServer || isEvacuated(m_context, server, Clock::now())) {
        connection->close();
        return;
    }
    idle.push_back(connection);
}

void BackendPool::clear()
{
    for (auto &[key, idle] : m_idle) {
        for (const Connection &each : idle)
            each->close();
    }
    m_idle.clear();
}

void BackendPool::clear(const fleet::ServerEntry &server)
{
    const auto found = m_idle.find(poolKey(server));
    if (found == m_idle.end())
        return;
    for (const Connection &each : found->second)
        each->close();
    m_idle.erase(found);
}

void BackendPool::sweep()
{
    const TimePoint now = Clock::now();
    for (auto &[key, idle] : m_idle) {
        std::erase_if(idle, [now](const Connection &each) {
            if (each->isReusable() && now - each->idleSince() < idleLimit(*each))
                return false;
            each->close();
            return true;
        });
    }
    std::erase_if(m_idle, [](const auto &each) { return each.second.empty(); });
}

} // namespace apricotrock::gateway
