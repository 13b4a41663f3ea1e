#include "forwardtable.h"

namespace apricotrock::peer {

namespace {

template <typename Entries, typename Predicate>
std::vector<std::uint64_t> takeIf(Entries &entries, Predicate isTaken)
{
    std::vector<std::uint64_t> taken;
    for (auto entry = entries.begin(); entry != entries.end();) {
        if (isTaken(entry->second)) {
            taken.push_back(entry->first);
            entry = entries.erase(entry);
        } else {
            ++entry;
        }
    }
    return taken;
}

} // namespace

void ForwardTable::add(std::uint64_t id, LinkId link, TimePoint deadline)
{
    m_entries[id] = Entry{link, deadline};
}

bool ForwardTable::takeAnswered(std::uint64_t id, LinkId link)
{
    const auto entry = m_entries.find(id);
    if (entry == m_entries.end() || entry->second.link != link)
        return false;
    m_entries.erase(entry);
    return true;
}

std::vector<std::uint64_t> ForwardTable::takeLost(LinkId link)
{
    return takeIf(m_entries, [link](const Entry &entry) { return entry.link == link; });
}

std::vector<std::uint64_t> ForwardTable::takeExpired(TimePoint now)
{
    return takeIf(m_entries, [now](const Entry &entry) { return entry.deadline <= now; });
}

std::vector<std::uint64_t> ForwardTable::takeAll()
{
    return takeIf(m_entries, [](const Entry &) { return true; });
}

} // namespace apricotrock::peer
