#include "queue.h"

#include <tuple>

namespace apricotrock::routing {

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

} // namespace apricotrock::routing
