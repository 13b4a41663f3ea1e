#include "runreport.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace apricotrock::emulator {

namespace {

using Json = nlohmann::json;

constexpr double p50 = 0.5;
constexpr double p99 = 0.99;
constexpr double p999 = 0.999;

const std::vector<std::pair<CallEnd, std::string>> &endNames()
{
    static const std::vector<std::pair<CallEnd, std::string>> names = {
        {CallEnd::Ok, "ok"},
        {CallEnd::Late, "late"},
        {CallEnd::NotRun, "not_run"},
        {CallEnd::Unknown, "unknown"},
        {CallEnd::ErrorStatus, "error_status"},
        {CallEnd::Mismatch, "mismatch"}};
    return names;
}

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Json quantiles(const std::vector<double> &sorted)
{
    return {{"p50_ms", quantile(sorted, p50)},
            {"p99_ms", quantile(sorted, p99)},
            {"p999_ms", quantile(sorted, p999)},
            {"max_ms", sorted.empty() ? 0 : sorted.back()},
            {"samples", sorted.size()}};
}

Json classJson(const ClassReport &report)
{
    Json json = quantiles(report.latencies);
    json["calls"] = report.total();
    json["resends"] = report.resends;
    for (const auto &[end, name] : endNames())
        json[name] = report.count(end);
    return json;
}

std::string classRow(const std::string &name, const ClassReport &report)
{
    std::string row =
        fmt::format("{:<8} {:>8} {:>8} {:>9.2f} {:>9.2f} {:>9.2f}", name, report.total(),
                    report.resends, quantile(report.latencies, p50),
                    quantile(report.latencies, p99), quantile(report.latencies, p999));
    for (const auto &[end, endName] : endNames())
        row += fmt::format(" {:>12}", report.count(end));
    return row + '\n';
}

} // namespace

std::uint64_t ClassReport::count(CallEnd end) const
{
    const auto found = ends.find(end);
    return found == ends.end() ? 0 : found->second;
}

std::uint64_t ClassReport::total() const
{
    std::uint64_t sum = 0;
    for (const auto &[end, calls] : ends)
        sum += calls;
    return sum;
}

void RunReport::add(const CallResult &result)
{
    ClassReport &report = result.isAction ? actions : lookups;
    ++report.ends[result.end];
    report.resends += result.resends;
    if (result.end == CallEnd::Ok || result.end == CallEnd::Late)
        report.latencies.push_back(milliseconds(result.latency));
}

double quantile(const std::vector<double> &values, double share)
{
    if (values.empty())
        return 0;
    const auto rank =
        static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

void sortSamples(RunReport &report)
{
    std::sort(report.lookups.latencies.begin(), report.lookups.latencies.end());
    std::sort(report.actions.latencies.begin(), report.actions.latencies.end());
    std::sort(report.startLags.begin(), report.startLags.end());
}

std::string toJson(const RunReport &report)
{
    return Json{{"lookups", classJson(report.lookups)},
                {"actions", classJson(report.actions)},
                {"refusals", report.refusals},
                {"served_by", report.servedBy},
                {"backend_servers", report.backendServers},
                {"start_lag", quantiles(report.startLags)},
                {"length_s", std::chrono::duration<double>(report.length).count()}}
        .dump();
}

std::string samplesJson(const RunReport &report)
{
    return Json{{"lookups", report.lookups.latencies}, {"actions", report.actions.latencies}}
        .dump();
}

std::string toTable(const RunReport &report)
{
    std::string table = fmt::format("{:<8} {:>8} {:>8} {:>9} {:>9} {:>9}", "class", "calls",
                                    "resends", "p50 ms", "p99 ms", "p99.9 ms");
    for (const auto &[end, name] : endNames())
        table += fmt::format(" {:>12}", name);
    table += '\n' + classRow("lookups", report.lookups) + classRow("actions", report.actions);
    for (const auto &[reason, count] : report.refusals)
        table += fmt::format("refusal {}: {}\n", reason, count);
    return table;
}

} // namespace apricotrock::emulator
