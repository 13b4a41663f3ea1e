#pragma once

#include "apricotrock/base.h"

namespace apricotrock::peer {

using LinkId = std::uint64_t;

/// Forwards that wait for their answer. Every entry is taken out exactly once: by its answer, by
/// the loss of its link, or by its deadline.
class ForwardTable
{
public:
    void add(std::uint64_t id, LinkId link, TimePoint deadline);
    /// Returns true if \a id waited on \a link; an answer from another link does not count.
    bool takeAnswered(std::uint64_t id, LinkId link);
    std::vector<std::uint64_t> takeLost(LinkId link);
    std::vector<std::uint64_t> takeExpired(TimePoint now);
    std::vector<std::uint64_t> takeAll();

private:
    struct Entry
    {
        LinkId link = 0;
        TimePoint deadline;
    };

    std::map<std::uint64_t, Entry> m_entries;
};

} // namespace apricotrock::peer
