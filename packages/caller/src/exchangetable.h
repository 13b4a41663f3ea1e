#pragma once

#include "apricotrock/caller.h"

#include "rejectingsocket.h"

#include <algorithm>
#include <unordered_map>

namespace apricotrock::caller {

using ConnectionId = restinio::connection_id_t;

/// A request that was handed on and not answered yet.
struct Exchange
{
    restinio::request_handle_t handle;
    ConnectionId connection = 0;
    bool isHead = false;
};

/// State of one connection.
struct Connection
{
    /// True from the start of a request until its answer was written.
    bool isBusy = false;
    /// Request that waits for its answer, 0 if none.
    RequestId request = 0;
    /// Pipelined requests that wait until the connection is not busy.
    std::deque<restinio::request_handle_t> waiting;
};

/// Open connections and unanswered requests of a listener. Thread safe.
class ExchangeTable
{
public:
    void openConnection(ConnectionId id)
    {
        const std::lock_guard lock(m_mutex);
        m_connections.try_emplace(id);
    }

    /// Forgets the connection; returns its unanswered request, 0 if there is none.
    RequestId closeConnection(ConnectionId id)
    {
        const std::lock_guard lock(m_mutex);
        const auto node = m_connections.extract(id);
        const RequestId request = node.empty() ? 0 : node.mapped().request;
        m_exchanges.erase(request);
        return request;
    }

    /// Returns false, and keeps the request for later, if the connection is busy.
    bool takeTurn(const restinio::request_handle_t &handle)
    {
        const std::lock_guard lock(m_mutex);
        Connection &connection = m_connections[handle->connection_id()];
        if (connection.isBusy) {
            connection.waiting.push_back(handle);
            return false;
        }
        connection.isBusy = true;
        return true;
    }

    /// Ends the turn of an answered request; returns the request that is next.
    restinio::request_handle_t endTurn(ConnectionId id)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_connections.find(id);
        if (found == m_connections.end())
            return nullptr;
        Connection &connection = found->second;
        connection.isBusy = !connection.waiting.empty();
        if (!connection.isBusy)
            return nullptr;
        restinio::request_handle_t next = std::move(connection.waiting.front());
        connection.waiting.pop_front();
        return next;
    }

    /// Returns false if the connection was closed meanwhile.
    bool add(RequestId id, const Exchange &exchange)
    {
        const std::lock_guard lock(m_mutex);
        const auto connection = m_connections.find(exchange.connection);
        if (connection == m_connections.end())
            return false;
        connection->second.request = id;
        m_exchanges.emplace(id, exchange);
        return true;
    }

    std::optional<Exchange> take(RequestId id)
    {
        const std::lock_guard lock(m_mutex);
        auto node = m_exchanges.extract(id);
        if (node.empty())
            return std::nullopt;
        const auto connection = m_connections.find(node.mapped().connection);
        if (connection != m_connections.end())
            connection->second.request = 0;
        return std::move(node.mapped());
    }

    [[nodiscard]] bool isBusy(ConnectionId id) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_connections.find(id);
        return found != m_connections.end() && found->second.isBusy;
    }

    [[nodiscard]] bool hasBusyConnections() const
    {
        const std::lock_guard lock(m_mutex);
        return std::any_of(m_connections.begin(), m_connections.end(),
                           [](const auto &entry) { return entry.second.isBusy; });
    }

    [[nodiscard]] std::size_t openConnections() const
    {
        const std::lock_guard lock(m_mutex);
        return m_connections.size();
    }

    void clear()
    {
        std::unordered_map<RequestId, Exchange> exchanges;
        std::unordered_map<ConnectionId, Connection> connections;
        const std::lock_guard lock(m_mutex);
        exchanges.swap(m_exchanges);
        connections.swap(m_connections);
    }

private:
    mutable std::mutex m_mutex;
    std::unordered_map<RequestId, Exchange> m_exchanges;
    std::unordered_map<ConnectionId, Connection> m_connections;
};

} // namespace apricotrock::caller
