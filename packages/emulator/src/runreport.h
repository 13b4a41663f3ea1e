#pragma once

#include "apricotrock/base.h"

namespace apricotrock::emulator {

/// How a call ended for its caller, all resends included.
enum class CallEnd {
    /// Complete answer to this call, in time.
    Ok,
    /// Complete answer to this call, after its deadline.
    Late,
    /// The system says that the call was not run.
    NotRun,
    /// The call may have run.
    Unknown,
    /// The backend server answered with an error status.
    ErrorStatus,
    /// The answer belongs to another call.
    Mismatch,
};

struct CallResult
{
    bool isAction = false;
    CallEnd end = CallEnd::Unknown;
    /// From the time at which the call was due to its end.
    Duration latency{};
    std::uint32_t resends = 0;
};

/// Results of one class of calls.
struct ClassReport
{
    std::map<CallEnd, std::uint64_t> ends;
    std::uint64_t resends = 0;
    /// Latencies of the calls that ended Ok or Late, in milliseconds.
    std::vector<double> latencies;

    [[nodiscard]] std::uint64_t count(CallEnd end) const;
    [[nodiscard]] std::uint64_t total() const;
};

struct RunReport
{
    ClassReport lookups;
    ClassReport actions;
    /// Answers by reason of refusal, resends included.
    std::map<std::string, std::uint64_t> refusals;
    std::map<std::string, std::uint64_t> servedBy;
    std::map<std::string, std::uint64_t> backendServers;
    /// Times by which calls were started later than due, in milliseconds.
    std::vector<double> startLags;
    Duration length{};

    void add(const CallResult &result);
};

/// Returns the value below which \a share of the sorted \a values lie; 0 if there are none.
double quantile(const std::vector<double> &values, double share);
/// Sorts the samples; call before toJson() and toTable().
void sortSamples(RunReport &report);
std::string toJson(const RunReport &report);
/// All latencies in milliseconds, so that several runs can be put together.
std::string samplesJson(const RunReport &report);
std::string toTable(const RunReport &report);

} // namespace apricotrock::emulator
