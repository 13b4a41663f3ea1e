#include "queue.h"

#include <algorithm>
#include <tuple>

namespace apricotrock::routing {

namespace {

/// Waiting requests that are searched for one of another caller.
constexpr std::size_t fairnessScan = 64;

std::size_t callerCount(const WaitingQueue &queue, const std::string &caller)
{
    const auto found = queue.callers.find(caller);
    return found == queue.callers.end() ? 0 : found->second;
}

/// Returns the caller other than \a caller that holds more than \a share requests, or null.
const std::string *callerAbove(const WaitingQueue &queue, const std::string &caller, double share)
{
    for (const auto &[name, held] : queue.callers) {
        if (name != caller && static_cast<double>(held) > share)
            return &name;
    }
    return nullptr;
}

/// Returns the last entry that \a condition accepts, or 0.
template <typename Condition>
RequestId lastEntry(const WaitingQueue &queue, const Condition &condition)
{
    const auto found = std::find_if(queue.entries.rbegin(), queue.entries.rend(), condition);
    return found == queue.entries.rend() ? 0 : found->first.id;
}

/// Returns the first entry of another caller and of the class of the first entry, or the first.
std::map<QueueEntry, std::string>::const_iterator fairFirst(const WaitingQueue &queue,
                                                            const Policy &policy)
{
    const auto first = queue.entries.begin();
    const double inRow = policy.callerShare / std::max(1e-6, 1 - policy.callerShare);
    const bool hadShare = static_cast<double>(queue.inRow) >= std::max(1.0, inRow);
    if (queue.callers.size() < 2 || first->second != queue.lastCaller || !hadShare)
        return first;
    auto candidate = first;
    for (std::size_t i = 0; i < fairnessScan && candidate != queue.entries.end(); ++i) {
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

void push(WaitingQueue &queue, const Request &request)
{
    queue.entries.emplace(queueEntry(request), request.caller);
    ++queue.callers[request.caller];
    if (request.requestClass == RequestClass::Action)
        ++queue.actions;
}

void remove(WaitingQueue &queue, const Request &request)
{
    queue.entries.erase(queueEntry(request));
    const auto caller = queue.callers.find(request.caller);
    if (--caller->second == 0)
        queue.callers.erase(caller);
    if (request.requestClass == RequestClass::Action)
        --queue.actions;
}

QueueVerdict judgeQueueing(const WaitingQueue &queue, const Policy &policy, const Request &request)
{
    QueueVerdict verdict;
    const double share = std::max(1.0, policy.callerShare * static_cast<double>(policy.queueLimit));
    const std::size_t held = callerCount(queue, request.caller);
    const bool othersWait = queue.entries.size() > held;
    if (othersWait && static_cast<double>(held + 1) > share) {
        verdict.refusal = ErrorKind::CallerLimit;
        return verdict;
    }
    if (queue.entries.size() < policy.queueLimit)
        return verdict;
    if (const std::string *heavy = callerAbove(queue, request.caller, share)) {
        verdict.evicted = lastEntry(queue, [&](const auto &e) { return e.second == *heavy; });
        verdict.evictedKind = ErrorKind::CallerLimit;
    } else if (request.requestClass == RequestClass::Action) {
        verdict.evicted = lastEntry(
            queue, [](const auto &e) { return e.first.requestClass == RequestClass::Lookup; });
    }
    if (verdict.evicted == 0)
        verdict.refusal = ErrorKind::QueueFull;
    return verdict;
}

std::vector<RequestId> nextWaiting(const WaitingQueue &queue, const Policy &policy,
                                   std::size_t limit)
{
    std::vector<RequestId> ids;
    if (queue.entries.empty())
        return ids;
    const RequestId first = fairFirst(queue, policy)->first.id;
    ids.push_back(first);
    for (auto entry = queue.entries.begin(); entry != queue.entries.end(); ++entry) {
        if (ids.size() >= limit)
            break;
        if (entry->first.id != first)
            ids.push_back(entry->first.id);
    }
    return ids;
}

void noteTaken(WaitingQueue &queue, const std::string &caller)
{
    queue.inRow = caller == queue.lastCaller ? queue.inRow + 1 : 1;
    queue.lastCaller = caller;
}

} // namespace apricotrock::routing
