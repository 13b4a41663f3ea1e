#include "backendstats.h"

#include <nlohmann/json.hpp>

namespace apricotrock::emulator {

namespace {

std::uint64_t countOf(const std::map<std::string, std::uint64_t> &counts, const std::string &name)
{
    const auto found = counts.find(name);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

void BackendStats::addRun(const HttpRequest &request)
{
    ++actions;
    if (const auto key = findHeader(request.headers, headername::idempotencyKey))
        ++runsByKey[std::string(*key)];
    ++runsByTarget[request.target];
}

std::string BackendStats::runsJson(const HttpRequest &request) const
{
    if (const auto key = queryValue(request.target, "key"))
        return nlohmann::json{{"runs", countOf(runsByKey, *key)}}.dump();
    if (const auto target = queryValue(request.target, "target"))
        return nlohmann::json{{"runs", countOf(runsByTarget, *target)}}.dump();
    return nlohmann::json{{"by_key", runsByKey}, {"by_target", runsByTarget}}.dump();
}

} // namespace apricotrock::emulator
