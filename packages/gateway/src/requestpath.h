#pragma once

#include "backendpool.h"
#include "quotaallocator.h"
#include "slotallocator.h"

#include <random>
#include <unordered_set>

namespace apricotrock::gateway {

class Call;

/// Accepts the requests of callers and starts a Call for each.
class RequestPath
{
public:
    RequestPath(Context &context, SlotAllocator &slotAllocator, QuotaAllocator &quotaAllocator,
                BackendPool &pool);

    void handle(const std::shared_ptr<loop::HttpExchange> &exchange);
    /// True for requests that may be handled at the same time as others of their connection.
    [[nodiscard]] bool mayOverlap(const loop::HttpRequest &request) const;
    /// Refuses requests that can't be finished by \a deadline from now on, and ends all others by
    /// then, with a response.
    void stopBy(TimePoint deadline);
    [[nodiscard]] std::size_t activeCalls() const { return m_activeCalls->size(); }

private:
    friend class Call;

    /// Deadlines observed in the requests of a route.
    struct RouteHistory
    {
        /// Longest time that a caller was willing to wait: that of a first attempt.
        Duration longestDeadline{};
    };

    [[nodiscard]] const fleet::Route *findRoute(const loop::HttpRequest &request) const;
    void refuse(const std::shared_ptr<loop::HttpExchange> &exchange, int status,
                std::string_view reason, std::string_view text);
    void refuse(const std::shared_ptr<loop::HttpExchange> &exchange,
                const ConfigurationRefusal &refusal)
    {
        refuse(exchange, refusal.status, refusal.reason, refusal.text);
    }
    /// Checks the key of \a request with the configuration in force.
    [[nodiscard]] Authentication authenticateRequest(const loop::HttpRequest &request,
                                                     bool isPublicRoute) const;
    void countAnswer(int status, std::string_view reason);
    void countHedgeRefusal(std::string_view reason);
    void countHedge(std::string_view outcome);
    void countInvalidResponse(std::string_view reason);
    void recordLatency(Duration latency);

    Context &m_context;
    SlotAllocator &m_slotAllocator;
    QuotaAllocator &m_quotaAllocator;
    BackendPool &m_pool;
    std::unordered_map<std::uint64_t, RouteHistory> m_routeHistory;
    std::mt19937_64 m_random{std::random_device{}()};
    std::optional<TimePoint> m_stopBy;
    /// Shared, because calls in timers and handlers may be destroyed last when the process ends.
    std::shared_ptr<std::unordered_set<Call *>> m_activeCalls =
        std::make_shared<std::unordered_set<Call *>>();
};

} // namespace apricotrock::gateway
