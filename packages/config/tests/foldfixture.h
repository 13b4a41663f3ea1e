#pragma once

#include "apricotrock/config.h"

namespace apricotrock::testing {

using Record = std::shared_ptr<const wire::LogRecordT>;

/// A small valid set; backend servers are added by number.
inline ObjectTexts makeSet(const std::vector<int> &servers)
{
    ObjectTexts set = {{{"availability-zone", "plateau"}, ""},
                       {{"policy", "p"}, "queue_limit = 10\n"},
                       {{"service", "s"}, "policy = p\n"}};
    for (const int server : servers)
        set[{"backend-server", "b" + std::to_string(server)}] =
            "address = 127.0.0.1:" + std::to_string(1000 + server)
            + "\navailability_zone = plateau\nservice = s\nslots = 2\n";
    return set;
}

/// The configuration stream with its retention; the index of a record is its offset.
struct FakeLog
{
    std::vector<Record> records;
    std::uint64_t first = 0;
    std::uint64_t nextSequence = 1;

    void append(std::vector<std::unique_ptr<wire::LogEntryT>> entries)
    {
        auto record = std::make_shared<wire::LogRecordT>();
        record->incarnation = 77;
        record->sequence = nextSequence++;
        record->entries = std::move(entries);
        records.push_back(std::move(record));
    }

    template <typename EntryType>
    void append(EntryType entry)
    {
        std::vector<std::unique_ptr<wire::LogEntryT>> entries;
        entries.push_back(wire::holdEntry(std::move(entry)));
        append(std::move(entries));
    }

    void publish(const AcceptedConfiguration &base, const ObjectTexts &target)
    {
        append(makePublication(base, target, "author", "", WallTime()));
    }

    /// Folds everything that the reader has not folded yet, as far as the log still holds it.
    bool read(PublicationState &state) const { return read(state, records.size()); }

    bool read(PublicationState &state, std::uint64_t end) const
    {
        bool isChanged = false;
        end = std::min<std::uint64_t>(end, records.size());
        for (auto offset = std::max(first, state.nextOffset); offset < end; ++offset)
            isChanged |= foldRecord(state, offset, records[offset], first);
        return isChanged;
    }
};

inline std::vector<PublicationVerdict> verdicts(const PublicationState &state)
{
    std::vector<PublicationVerdict> result;
    for (const PublicationEntry &entry : state.history)
        result.push_back(entry.verdict);
    return result;
}

inline std::uint64_t versionOf(const PublicationState &state)
{
    return state.current ? state.current->version : 0;
}

} // namespace apricotrock::testing
