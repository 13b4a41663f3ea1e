#include "addresses.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace apricotrock::daemon {

std::vector<AddressEntry> chooseAddresses(const AddressBook &book, const AddressQuery &query)
{
    std::vector<AddressEntry> entries = book.peers;
    entries.push_back(book.own);
    std::erase_if(entries, [&book](const AddressEntry &entry) {
        return !entry.isServing || book.leavingInstances.contains(entry.instance);
    });
    // An instance that leaves still serves for the lifetime of the answer.
    if (entries.empty())
        entries.push_back(book.own);
    const auto rank = [&query](const AddressEntry &entry) {
        const bool isNear = entry.availabilityZone == query.availabilityZone;
        return std::pair(isNear, rendezvousScore(query.caller, entry.instance));
    };
    std::sort(entries.begin(), entries.end(),
              [&rank](const auto &a, const auto &b) { return rank(a) > rank(b); });
    return entries;
}

HttpResponse addressResponse(const AddressBook &book, const AddressQuery &query)
{
    nlohmann::json addresses = nlohmann::json::array();
    for (const AddressEntry &entry : chooseAddresses(book, query)) {
        addresses.push_back({{"address", entry.address.toString()},
                             {"instance", entry.instance},
                             {"zone", entry.availabilityZone},
                             {"key_prefix", entry.incarnation.toString()}});
    }
    const nlohmann::json document = {{"lifetime_ms", book.lifetime.count()},
                                     {"addresses", std::move(addresses)}};
    return {200, {{"Content-Type", "application/json"}}, document.dump() + '\n'};
}

} // namespace apricotrock::daemon
