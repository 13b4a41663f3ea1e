#include "fixture.h"

#include <algorithm>

namespace apricotrock::routing::test {

Configuration makeConfiguration(std::size_t servers, const Policy &policy, std::uint64_t slots)
{
    Configuration configuration;
    configuration.policies["p"] = policy;
    configuration.services["s"] = {"s", "p", 5};
    for (std::size_t i = 0; i < servers; ++i) {
        const std::string name = "b" + std::to_string(i);
        const Endpoint address{"127.0.0.1", static_cast<std::uint16_t>(1000 + i)};
        configuration.backendServers[name] = {
            name, "s", address, "z", slots, 200, BackendServerState::Active};
    }
    return configuration;
}

Instance::Instance(const Configuration &configuration, std::uint64_t seed)
    : state(makeState({"a", "z", 20, seed}, now))
{
    configure(configuration);
}

void Instance::configure(const Configuration &configuration)
{
    applyConfiguration(*state, configuration, now, output);
}

RequestId Instance::submit(RequestClass requestClass, Duration timeLeft, const std::string &caller)
{
    const RequestId id = m_nextRequest++;
    submitRequest(*state, {id, "s", requestClass, caller, now + timeLeft, false}, now, output);
    return id;
}

RequestId Instance::submitIsolated()
{
    const RequestId id = m_nextRequest++;
    submitRequest(*state, {id, "s", lookup, "c", now + 1s, true}, now, output);
    return id;
}

void Instance::finish(AttemptId attempt, AttemptStatus status, int httpStatus,
                      std::optional<LoadReport> load, Duration latency)
{
    finishAttempt(*state, {attempt, status, httpStatus, latency, load, false}, now, output);
}

void Instance::advanceBy(Duration time)
{
    const TimePoint end = now + time;
    while (now < end) {
        now = std::min(end, std::max(now + 1us, nextDeadline(*state)));
        advanceTime(*state, now, output);
    }
}

void Instance::serve(std::size_t count, Duration latency)
{
    for (std::size_t i = 0; i < count; ++i) {
        submit();
        const AttemptId attempt = lastStart().attempt;
        // Stops just before a lookup of this latency would be hedged.
        advanceBy(latency - 1us);
        finish(attempt, AttemptStatus::Answered, 200, std::nullopt, latency);
    }
}

std::vector<AttemptStart> Instance::startsOf(RequestId request) const
{
    std::vector<AttemptStart> starts;
    std::copy_if(output.starts.begin(), output.starts.end(), std::back_inserter(starts),
                 [&](const AttemptStart &start) { return start.request == request; });
    return starts;
}

std::size_t Instance::endsOf(RequestId request) const
{
    const auto completed =
        std::count_if(output.completions.begin(), output.completions.end(),
                      [&](const auto &completion) { return completion.first == request; });
    const auto failed = std::count_if(output.failures.begin(), output.failures.end(),
                                      [&](const auto &f) { return f.request == request; });
    return static_cast<std::size_t>(completed + failed);
}

std::optional<ErrorKind> Instance::failureOf(RequestId request) const
{
    for (const RequestFailure &failure : output.failures) {
        if (failure.request == request)
            return failure.kind;
    }
    return std::nullopt;
}

BackendStatus Instance::statusOf(const std::string &server) const
{
    for (const BackendStatus &status : backendStatus(*state, now)) {
        if (status.name == server)
            return status;
    }
    return {};
}

} // namespace apricotrock::routing::test
