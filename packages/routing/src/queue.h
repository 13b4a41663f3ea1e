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
    /// Caller of the last dispatched request, and how many of its requests were dispatched
    /// consecutively.
    std::string lastCaller;
    std::size_t consecutiveDispatches = 0;
};

QueueEntry queueEntry(const Request &request);
void pushWaiting(WaitingQueue &queue, const Request &request);
void removeWaiting(WaitingQueue &queue, const Request &request);

/// Queueing decision for a request that cannot start at once.
struct QueueDecision
{
    /// Reason for the refusal; not set if the request may be queued.
    std::optional<ErrorKind> refusal;
    /// Waiting request to evict, 0 for none, and the error that it fails with.
    RequestId evicted = 0;
    ErrorKind evictionError = ErrorKind::QueueFull;
};

/// Applies the queue limit and the caller share limit to a new request.
QueueDecision decideQueueing(const WaitingQueue &queue, const Policy &policy,
                             const Request &request);

/// Returns the waiting requests in the order in which they are to be tried, at most \a limit. The
/// first is of another caller if the last caller has had its share in a row.
std::vector<RequestId> dispatchOrder(const WaitingQueue &queue, const Policy &policy,
                                     std::size_t limit);
/// Records that a waiting request of \a caller was dispatched to a backend server.
void recordDispatch(WaitingQueue &queue, const std::string &caller);

} // namespace apricotrock::routing
