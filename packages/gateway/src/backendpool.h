#pragma once

#include "context.h"

namespace apricotrock::gateway {

/// Pool of connections to backend servers. Keyed by id and address, because an address may be
/// reused by another backend server after the first one has ended.
class BackendPool
{
public:
    using Connection = std::shared_ptr<loop::HttpClientConnection>;

    explicit BackendPool(Context &context);

    /// Returns an idle connection that was used less than \a maxIdle ago, or a new one.
    Connection take(const fleet::ServerEntry &server, Duration maxIdle);
    /// Keeps \a connection for another request if it can carry one.
    void giveBack(const fleet::ServerEntry &server, const Connection &connection);
    /// Closes all idle connections; after a suspension of the process they may be dead.
    void clear();
    void clear(const fleet::ServerEntry &server);

private:
    using Idle = std::vector<Connection>;

    void sweep();

    Context &m_context;
    std::unordered_map<std::string, Idle> m_idle;
    loop::ResponseLimits m_responseLimits;
    std::shared_ptr<loop::ByteBudget> m_responseBudget;
    metrics::Counter &m_opened;
    metrics::Counter &m_reused;
};

} // namespace apricotrock::gateway
