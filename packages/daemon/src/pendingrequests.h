#pragma once

#include "apricotrock/base.h"

#include <unordered_map>

namespace apricotrock::daemon {

/// A request between its arrival and its answer.
struct PendingRequest
{
    TimePoint arrival;
    std::uint32_t lane = 0;
    bool isAction = false;
    /// For a request that a peer forwarded: the peer and its id of the request.
    std::optional<IncarnationId> forwardedBy;
    std::uint64_t forwardId = 0;
};

/// Requests that have not been answered. Thread safe. The bound keeps the rings that carry results
/// from ever being full.
class PendingRequests
{
public:
    explicit PendingRequests(std::size_t limit) : m_limit(limit) { }

    /// Returns false if too many requests are pending.
    bool add(RequestId id, const PendingRequest &request)
    {
        const std::lock_guard lock(m_mutex);
        if (m_requests.size() >= m_limit)
            return false;
        return m_requests.emplace(id, request).second;
    }

    std::optional<PendingRequest> take(RequestId id)
    {
        const std::lock_guard lock(m_mutex);
        auto node = m_requests.extract(id);
        if (node.empty())
            return std::nullopt;
        return node.mapped();
    }

    [[nodiscard]] std::optional<std::uint32_t> laneOf(RequestId id) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            return std::nullopt;
        return found->second.lane;
    }

    /// Takes out everything that is left.
    std::vector<std::pair<RequestId, PendingRequest>> takeAll()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::pair<RequestId, PendingRequest>> all(m_requests.begin(), m_requests.end());
        m_requests.clear();
        return all;
    }

    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_requests.size();
    }

private:
    const std::size_t m_limit;
    mutable std::mutex m_mutex;
    std::unordered_map<RequestId, PendingRequest> m_requests;
};

} // namespace apricotrock::daemon
