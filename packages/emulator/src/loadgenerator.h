#pragma once

#include "addressbook.h"
#include "runreport.h"
#include "schedule.h"

#include <fstream>
#include <queue>

namespace apricotrock::emulator {

/// Keys that actions carry.
enum class KeyMode { Bound, Plain, None };

struct LoadParameters
{
    /// Instances that answer `GET /addresses`.
    std::vector<std::string> instances;
    /// Backend servers to call without the system, in turn; replaces \c instances.
    std::vector<std::string> direct;
    std::vector<std::string> services;
    std::string zone;
    ScheduleParameters schedule;
    double actionShare = 0;
    KeyMode keyMode = KeyMode::Bound;
    std::chrono::milliseconds deadline{1000};
    /// Time after which a caller gives up one attempt and sends the call again.
    std::chrono::milliseconds attemptTimeout{std::chrono::hours(1)};
    std::size_t callers = 8;
    std::size_t bodyBytes = 64;
    std::uint32_t maxResends = 3;
    std::size_t maxInFlight = 2000;
    /// Starts the names of callers and the tokens of calls; distinct for load processes that run at
    /// a time.
    std::string name = "load";
    /// File for one JSON line for each action; empty for none.
    std::string recordFile;
};

/// Offers calls at the times of a schedule, whether or not earlier ones have ended, and follows the
/// rules for resends: "not run" is sent again with a new key, "unknown" with the same key.
class LoadGenerator
{
public:
    explicit LoadGenerator(LoadParameters parameters);

    RunReport run();

private:
    struct Call
    {
        bool isAction = false;
        std::size_t caller = 0;
        std::string service;
        std::string token;
        std::string key;
        std::vector<std::string> keys;
        /// True if a copy with the present key may have reached the system.
        bool mayBeKnown = false;
        TimePoint due;
        TimePoint deadline;
        std::uint32_t attempts = 0;
    };
    using CallPtr = std::shared_ptr<Call>;

    void waitForAddresses();
    void startCall(TimePoint due);
    void sendAttempt(const CallPtr &call);
    std::optional<FanRequest> buildRequest(Call &call);
    void onResult(const CallPtr &call, const FanResult &result);
    void onAnswer(const CallPtr &call, const HttpResponse &response);
    void resendOrEnd(const CallPtr &call, CallEnd end, bool needsNewKey);
    void end(const CallPtr &call, CallEnd end);
    void record(const Call &call, CallEnd end);
    void sendWaiting(TimePoint now);
    std::string makeKey(const std::string &prefix);

    struct Waiting
    {
        TimePoint time;
        CallPtr call;

        bool operator<(const Waiting &other) const { return time > other.time; }
    };

    const LoadParameters m_parameters;
    Schedule m_schedule;
    std::mt19937_64 m_random;
    HttpFan m_fan;
    std::vector<std::unique_ptr<AddressBook>> m_books;
    std::priority_queue<Waiting> m_waiting;
    std::ofstream m_record;
    RunReport m_report;
    std::uint64_t m_calls = 0;
    std::size_t m_open = 0;
};

} // namespace apricotrock::emulator
