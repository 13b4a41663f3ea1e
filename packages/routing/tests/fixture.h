#pragma once

#include "apricotrock/routing.h"

#include <cppunit/extensions/HelperMacros.h>

namespace apricotrock::routing::test {

using namespace std::chrono_literals;

/// Returns the service `s` with the backend servers b0, b1, ... in availability zone `z`.
Configuration makeConfiguration(std::size_t servers, const Policy &policy, std::uint64_t slots = 2);

/// One instance in virtual time.
class Instance
{
public:
    explicit Instance(const Configuration &configuration, std::uint64_t seed = 1);

    /// Submits a lookup or an action and returns the request id.
    RequestId submit(RequestClass requestClass = RequestClass::Lookup, Duration timeLeft = 1s,
                     const std::string &caller = "c");
    RequestId submitIsolated();
    /// Ends an attempt with \a status.
    void finish(AttemptId attempt, AttemptStatus status, int httpStatus = 200,
                std::optional<LoadReport> load = std::nullopt, Duration latency = 5ms);
    void configure(const Configuration &configuration);
    /// Advances to \a time through all deadlines before it.
    void advanceBy(Duration time);
    /// Submits and answers \a count lookups that take \a latency, one after another.
    void serve(std::size_t count, Duration latency = 5ms);

    /// Returns the starts of \a request so far.
    [[nodiscard]] std::vector<AttemptStart> startsOf(RequestId request) const;
    [[nodiscard]] const AttemptStart &lastStart() const { return output.starts.back(); }
    /// Returns how often \a request completed or failed.
    [[nodiscard]] std::size_t endsOf(RequestId request) const;
    [[nodiscard]] std::optional<ErrorKind> failureOf(RequestId request) const;
    [[nodiscard]] std::uint64_t count(Counter name) const { return counter(*state, name); }
    [[nodiscard]] BackendStatus statusOf(const std::string &server) const;

    TimePoint now{1h};
    StatePtr state;
    /// All output of the routing functions so far.
    Output output;

private:
    RequestId m_nextRequest = 1;
};

constexpr RequestClass lookup = RequestClass::Lookup;
constexpr RequestClass action = RequestClass::Action;

} // namespace apricotrock::routing::test
