#include "answers.h"

#include <nlohmann/json.hpp>
#include <restinio/utils/base64.hpp>

namespace apricotrock::platform {

namespace {

using Json = nlohmann::json;

constexpr std::size_t base64Group = 4;

std::optional<std::uint64_t> number(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned())
        return std::nullopt;
    return found->get<std::uint64_t>();
}

std::optional<std::string> text(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string())
        return std::nullopt;
    return found->get<std::string>();
}

std::optional<std::string> decodeBase64(const std::string &encoded)
{
    if (encoded.empty())
        return std::string();
    // The decoder reads whole groups and doesn't check the length.
    if (encoded.size() % base64Group != 0)
        return std::nullopt;
    auto decoded = restinio::utils::base64::try_decode(encoded);
    if (!decoded)
        return std::nullopt;
    return std::move(*decoded);
}

std::optional<RawRecord> parseRecord(const Json &item)
{
    if (!item.is_object())
        return std::nullopt;
    const auto offset = number(item, "offset");
    const auto encoded = text(item, "data");
    if (!offset || !encoded)
        return std::nullopt;
    auto data = decodeBase64(*encoded);
    if (!data)
        return std::nullopt;
    return RawRecord{*offset, std::move(*data)};
}

std::optional<InstanceInfo> parseInstance(const Json &item)
{
    if (!item.is_object())
        return std::nullopt;
    const auto name = text(item, "name");
    const auto role = text(item, "role");
    const auto address = text(item, "address");
    const auto zone = text(item, "zone");
    const auto state = text(item, "state");
    if (!name || !role || !address || !zone || !state)
        return std::nullopt;
    const auto endpoint = Endpoint::parse(*address);
    if (!endpoint || (*role != "entry" && *role != "backend")
        || (*state != "live" && *state != "leaving"))
        return std::nullopt;
    return InstanceInfo{*name, *role == "entry" ? InstanceRole::Entry : InstanceRole::Backend,
                        *endpoint, *zone,
                        *state == "live" ? InstanceListState::Live : InstanceListState::Leaving};
}

} // namespace

Result<std::uint64_t> parseAppendAnswer(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    const auto offset = json.is_object() ? number(json, "offset") : std::nullopt;
    if (!offset)
        return makeError("the answer to an append holds no offset");
    return *offset;
}

Result<ReadAnswer> parseReadAnswer(const std::string &body, std::uint64_t from)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        return makeError("the answer to a read is not a JSON object");
    const auto first = number(json, "first");
    const auto next = number(json, "next");
    const auto records = json.find("records");
    if (!first || !next || *next < *first || records == json.end() || !records->is_array())
        return makeError("the answer to a read lacks 'first', 'next' or 'records'");
    ReadAnswer answer{*first, *next, {}};
    std::uint64_t lowest = std::max(from, *first);
    for (const Json &item : *records) {
        auto record = parseRecord(item);
        if (!record || record->offset < lowest || record->offset >= *next)
            return makeError("the answer to a read holds a malformed or misplaced record");
        lowest = record->offset + 1;
        answer.records.push_back(std::move(*record));
    }
    return answer;
}

Result<std::vector<InstanceInfo>> parseInstances(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    const auto list = json.is_object() ? json.find("instances") : json.end();
    if (!json.is_object() || list == json.end() || !list->is_array())
        return makeError("the instance list holds no array 'instances'");
    std::vector<InstanceInfo> instances;
    for (const Json &item : *list) {
        auto instance = parseInstance(item);
        if (!instance)
            return makeError("the instance list holds a malformed row: " + item.dump());
        instances.push_back(std::move(*instance));
    }
    return instances;
}

} // namespace apricotrock::platform
