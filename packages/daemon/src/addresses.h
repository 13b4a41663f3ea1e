#pragma once

#include "requestparser.h"

#include "apricotrock/peer.h"

#include <set>

namespace apricotrock::daemon {

/// An instance that callers may use.
struct AddressEntry
{
    Endpoint address;
    std::string instance;
    std::string availabilityZone;
    IncarnationId incarnation;
    bool isServing = false;
};

/// What is needed to answer an address query.
struct AddressBook
{
    AddressEntry own;
    std::vector<AddressEntry> peers;
    /// Instances that the platform's list calls leaving; the first leaving signal counts.
    std::set<std::string> leavingInstances;
    std::chrono::milliseconds lifetime{};
};

/// Returns the addresses for a caller: its availability zone first, and in each part in an order
/// that spreads callers. Instances that leave are left out, unless no other one is known.
std::vector<AddressEntry> chooseAddresses(const AddressBook &book, const AddressQuery &query);

HttpResponse addressResponse(const AddressBook &book, const AddressQuery &query);

} // namespace apricotrock::daemon
