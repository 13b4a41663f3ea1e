#include "queue.h"

#include <algorithm>
#include <tuple>

namespace apricotrock::routing {

namespace {

/// Maximum number of queue entries searched for a request of another caller.
constexpr std::size_t fairnessScanLimit = 64;

std::size_t waitingRequestsOf(const WaitingQueue &queue, const std::string &caller)
{
    const auto found = queue.callers.find(caller);
    return found == queue.callers.end() ? 0 : found->second;
}

/// Returns a caller other than \a caller with more than \a share waiting requests, or null.
const std::string *findCallerAboveShare(const WaitingQueue &queue, const std::string &caller,
                                        double share)
{
    for (const auto &[name, held] : queue.callers) {
        if (name != caller && static_cast<double>(held) > share)
            return &name;
    }
    return nullptr;
}

/// Returns the id of the last entry that meets \a condition, or 0.
template <typename Condition>
RequestId findLastEntry(const WaitingQueue &queue, const Condition &condition)
{
    const auto found = std::find_if(queue.entries.rbegin(), queue.entries.rend(), condition);
    return found == queue.entries.rend() ? 0 : found->first.id;
}

/// Returns the first entry. If its caller has used its share of consecutive dispatches, returns the
/// next entry of the same class from another caller instead, if there is one.
std::map<QueueEntry, std::string>::const_iterator selectFairFirst(const WaitingQueue &queue,
                                                                  const Policy &policy)
{
    const auto first = queue.entries.begin();
    const double maxConsecutive = policy.callerShare / std::max(1e-6, 1 - policy.callerShare);
    const bool hasUsedShare =
        static_cast<double>(queue.consecutiveDispatches) >= std::max(1.0, maxConsecutive);
    if (queue.callers.size() < 2 || first->second != queue.lastCaller || !hasUsedShare)
        return first;
    auto candidate = first;
    for (std::size_t i = 0; i < fairnessScanLimit && candidate != queue.entries.end(); ++i) {
        if (candidate->first.requestClass != first->first.requestClass)
            break;
        if (candidate->second != queue.lastCaller)
            return candidate;
        ++candidate;
    }
    return first;
}

} // namespace

bool QueueEntry::operator<(const QueueEntry &other) const
{
    const bool isLookup = requestClass == RequestClass::Lookup;
    const bool otherIsLookup = other.requestClass == RequestClass::Lookup;
    return std::tie(isLookup, deadline, id) < std::tie(otherIsLookup, other.deadline, other.id);
}

QueueEntry queueEntry(const Request &request)
{
    return {request.requestClass, request.deadline, request.id};
}

void pushWaiting(WaitingQueue &queue, const Request &request)
{
    queue.entries.emplace(queueEntry(request), request.caller);
    ++queue.callers[request.caller];
    if (request.requestClass == RequestClass::Action)
        ++queue.actions;
}

void removeWaiting(WaitingQueue &queue, const Request &request)
{
    queue.entries.erase(queueEntry(request));
    const auto caller = queue.callers.find(request.caller);
    if (--caller->second == 0)
        queue.callers.erase(caller);
    if (request.requestClass == RequestClass::Action)
        --queue.actions;
}

QueueDecision decideQueueing(const WaitingQueue &queue, const Policy &policy,
                             const Request &request)
{
    QueueDecision decision;
    const double share = std::max(1.0, policy.callerShare * static_cast<double>(policy.queueLimit));
    const std::size_t held = waitingRequestsOf(queue, request.caller);
    const bool othersWait = queue.entries.size() > held;
    if (othersWait && static_cast<double>(held + 1) > share) {
        decision.refusal = ErrorKind::CallerLimit;
        return decision;
    }
    if (queue.entries.size() < policy.queueLimit)
        return decision;
    if (const std::string *dominantCaller = findCallerAboveShare(queue, request.caller, share)) {
        decision.evicted =
            findLastEntry(queue, [&](const auto &e) { return e.second == *dominantCaller; });
        decision.evictionError = ErrorKind::CallerLimit;
    } else if (request.requestClass == RequestClass::Action) {
        decision.evicted = findLastEntry(
            queue, [](const auto &e) { return e.first.requestClass == RequestClass::Lookup; });
    }
    if (decision.evicted == 0)
        decision.refusal = ErrorKind::QueueFull;
    return decision;
}

std::vector<RequestId> dispatchOrder(const WaitingQueue &queue, const Policy &policy,
                                     std::size_t limit)
{
    std::vector<RequestId> ids;
    if (queue.entries.empty())
        return ids;
    const RequestId first = selectFairFirst(queue, policy)->first.id;
    ids.push_back(first);
    for (auto entry = queue.entries.begin(); entry != queue.entries.end(); ++entry) {
        if (ids.size() >= limit)
            break;
        if (entry->first.id != first)
            ids.push_back(entry->first.id);
    }
    return ids;
}

void recordDispatch(WaitingQueue &queue, const std::string &caller)
{
    queue.consecutiveDispatches = caller == queue.lastCaller ? queue.consecutiveDispatches + 1 : 1;
    queue.lastCaller = caller;
}

} // namespace apricotrock::routing
