#include "state.h"

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <deque>

using namespace apricotrock;
using namespace apricotrock::routing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t decisions = 40000;
constexpr std::size_t rounds = 3;

Configuration makeConfiguration(std::size_t endpoints, std::size_t services)
{
    Configuration configuration;
    configuration.policies["p"] = defaultPolicy("p");
    for (std::size_t i = 0; i < services; ++i) {
        const std::string name = "service" + std::to_string(i);
        configuration.services[name] = {name, "p", 5};
    }
    for (std::size_t i = 0; i < endpoints; ++i) {
        const std::string name = "server" + std::to_string(i);
        configuration.backendServers[name] = {name,
                                              "service" + std::to_string(i % services),
                                              {"127.0.0.1", static_cast<std::uint16_t>(i)},
                                              "zone" + std::to_string(i % 6),
                                              2,
                                              200,
                                              BackendServerState::Active};
    }
    return configuration;
}

Duration processTime()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

/// Returns the CPU time of one request: submit, finish and the due timers.
Duration measure(State &state, std::size_t services, std::size_t inFlight, TimePoint &now)
{
    std::deque<AttemptId> running;
    static RequestId nextRequest = 1;
    std::vector<std::string> names;
    for (std::size_t i = 0; i < services; ++i)
        names.push_back("service" + std::to_string(i));
    const Duration begin = processTime();
    for (std::size_t i = 0; i < decisions; ++i) {
        now += 50us;
        Output output;
        submitRequest(
            state, {nextRequest++, names[i % services], RequestClass::Lookup, "c", now + 1s, false},
            now, output);
        if (nextDeadline(state) <= now)
            advanceTime(state, now, output);
        if (running.size() >= inFlight) {
            finishAttempt(
                state,
                {running.front(), AttemptStatus::Answered, 200, 5ms, LoadReport{1, 0, 2}, false},
                now, output);
            running.pop_front();
        }
        for (const AttemptStart &start : output.starts)
            running.push_back(start.attempt);
    }
    return (processTime() - begin) / decisions;
}

void report(std::size_t endpoints, std::size_t services)
{
    const Configuration configuration = makeConfiguration(endpoints, services);
    TimePoint now{1h};
    const auto before = static_cast<double>(mallinfo2().uordblks);
    const StatePtr state = makeState({"a", "zone0", 20, 1}, now);
    Output output;
    applyConfiguration(*state, configuration, now, output);
    const auto memory = static_cast<double>(mallinfo2().uordblks) - before;
    std::vector<Duration> times;
    for (std::size_t i = 0; i < rounds; ++i)
        times.push_back(measure(*state, services, std::max<std::size_t>(1, endpoints / 2), now));
    std::sort(times.begin(), times.end());
    std::printf(
        "%9zu %9zu %12lld %18.0f\n", endpoints, services,
        static_cast<long long>(
            std::chrono::duration_cast<std::chrono::nanoseconds>(times[rounds / 2]).count()),
        memory / static_cast<double>(endpoints));
}

} // namespace

int main()
{
    std::printf("%9s %9s %12s %18s\n", "endpoints", "services", "ns/decision", "bytes/endpoint");
    const std::pair<std::size_t, std::size_t> sizes[] = {
        {10, 4}, {28, 4}, {100, 4}, {500, 4}, {2100, 4}, {500, 35}, {1000, 70}, {2100, 140}};
    for (const auto &[endpoints, services] : sizes)
        report(endpoints, services);
    return 0;
}
