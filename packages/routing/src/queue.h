#pragma once

#include "apricotrock/routing.h"

namespace apricotrock::routing {

/// One waiting request: actions before lookups, then by deadline, then by arrival.
struct QueueEntry
{
    RequestClass requestClass = RequestClass::Lookup;
    TimePoint deadline;
    RequestId id = 0;

    bool operator<(const QueueEntry &other) const;
};

/// The waiting requests of one service.
struct WaitingQueue
{
    std::set<QueueEntry> entries;
};

QueueEntry queueEntry(const Request &request);

} // namespace apricotrock::routing
