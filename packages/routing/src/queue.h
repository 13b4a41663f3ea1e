#pragma once

#include "apricotrock/routing.h"

namespace apricotrock::routing {

struct ServiceState;

/// One waiting request: actions before lookups, then by deadline, then by arrival.
struct QueueEntry
{
    RequestClass requestClass = RequestClass::Lookup;
    TimePoint deadline;
    RequestId id = 0;

    bool operator<(const QueueEntry &other) const;
};

/// The waiting requests of one service and their callers.
struct WaitingQueue
{
    std::map<QueueEntry, std::string> entries;
    std::unordered_map<std::string, std::size_t> callers;
    std::size_t actions = 0;
    /// Caller of the last request that was taken, and how many it got in a row.
    std::string lastCaller;
    std::size_t consecutiveDispatches = 0;
};

QueueEntry queueEntry(const Request &request);
void pushWaiting(WaitingQueue &queue, const Request &request);
void removeWaiting(WaitingQueue &queue, const Request &request);

/// What to do with a request that finds no room on a backend server.
struct QueueDecision
{
    /// Set if the request is refused.
    std::optional<ErrorKind> refusal;
    /// Waiting request that makes room, and the reason it is told.
    RequestId evicted = 0;
    ErrorKind evictionError = ErrorKind::QueueFull;
};

/// Applies the queue limit and the callers' share to a new request.
QueueDecision decideQueueing(const WaitingQueue &queue, const Policy &policy,
                             const Request &request);

/// Returns the waiting requests in the order in which they are to be tried, at most \a limit. The
/// first is of another caller if the last caller has had its share in a row.
std::vector<RequestId> dispatchOrder(const WaitingQueue &queue, const Policy &policy,
                                     std::size_t limit);
/// Notes that a request of \a caller left the queue for a backend server.
void recordDispatch(WaitingQueue &queue, const std::string &caller);

} // namespace apricotrock::routing
