#pragma once

#include <tl/expected.hpp>

#include <chrono>
#include <compare>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace apricotrock {

/// All deadlines and intervals use the steady clock.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

/// Wall clock time; used only for the age of idempotency keys and for display.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Identifies a request within one process.
using RequestId = std::uint64_t;
/// Identifies one attempt of a request within one process.
using AttemptId = std::uint64_t;

/// What is known about the execution of a request.
enum class Outcome { Done, NotRun, Unknown };

/// The closed list of reasons for which a request ends without a backend server's answer.
enum class ErrorKind {
    MalformedRequest,
    KeyMalformed,
    UnknownService,
    RequestTooLarge,
    KeyReused,
    RequestQuarantined,
    KeyRequired,
    CallerLimit,
    ConnectFailed,
    NotReady,
    Stopping,
    RingFull,
    QueueFull,
    DeadlineUnmeetable,
    NoBackendServer,
    BackendShed,
    RetryBudgetExhausted,
    DeadlineExpired,
    CallerGone,
    KeyExpired,
    RequestInProgress,
    BackendConnectionLost,
    BackendAnswerInvalid,
    OwnerUnreachable,
    ClaimLogUnavailable,
    BackendTimeout,
    AnswerNotRetained,
};

/// One row of the table from error kind to answer.
struct ErrorInfo
{
    ErrorKind kind;
    /// Name in the `Error-Kind` header and in the label `kind` of the refusal counters.
    std::string_view name;
    /// HTTP status code of the answer.
    int status;
    Outcome outcome;
    /// Remedy shown to the caller.
    std::string_view remedy;
};

/// Returns the row of \a kind. Every kind has exactly one row.
const ErrorInfo &errorInfo(ErrorKind kind);

/// Returns all rows in the order of the enumeration.
const std::vector<ErrorInfo> &errorTable();

/// Returns the value of the `Request-Outcome` header: `done`, `not-run` or `unknown`.
std::string_view outcomeName(Outcome outcome);

/// Returns the outcome named by \a name, or nothing if the name is not known.
std::optional<Outcome> parseOutcome(std::string_view name);

/// A failure inside the system: what went wrong, where, and the remedy, in one message.
struct Error
{
    std::string message;
};

template <typename T>
using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> makeError(std::string message)
{
    return tl::make_unexpected(Error{std::move(message)});
}

/// Returns the XXH3 64-bit hash of \a data.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// Returns the XXH3 128-bit hash of \a data as 32 lower case hex digits.
std::string digest128(std::string_view data);

/// Returns the rendezvous (highest random weight) score of \a member for \a key.
std::uint64_t rendezvousScore(std::string_view key, std::string_view member);

/// Identifies one process start of one instance; written as 16 lower case hex digits.
struct IncarnationId
{
    std::uint64_t value = 0;

    auto operator<=>(const IncarnationId &) const = default;
    [[nodiscard]] std::string toString() const;
    static std::optional<IncarnationId> parse(std::string_view text);
};

/// Identifies one log record: unique, because the sequence counts within one incarnation.
struct RecordId
{
    IncarnationId incarnation;
    std::uint64_t sequence = 0;

    auto operator<=>(const RecordId &) const = default;
};

/// A UUID of version 7 (RFC 9562).
struct Uuid7
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const Uuid7 &) const = default;
    [[nodiscard]] std::string toString() const;
    /// Returns the creation time held in the upper 48 bits.
    [[nodiscard]] WallTime time() const;
    /// Accepts the 36 character form only; nothing if the version or the variant differs.
    static std::optional<Uuid7> parse(std::string_view text);
    /// Builds a UUID from a wall clock time and 74 random bits.
    static Uuid7 make(WallTime time, std::uint64_t randomHigh, std::uint64_t randomLow);
};

/// An `Idempotency-Key`: bound to one incarnation, or plain.
struct IdempotencyKey
{
    std::optional<IncarnationId> owner;
    Uuid7 uuid;

    auto operator<=>(const IdempotencyKey &) const = default;
    [[nodiscard]] std::string toString() const;
    /// Accepts `UUIDv7` and `INCARNATION.UUIDv7`.
    static std::optional<IdempotencyKey> parse(std::string_view text);
};

/// An IPv4 or IPv6 address with a port, written `IP:PORT` or `[IP]:PORT`.
struct Endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
    [[nodiscard]] std::string toString() const;
    /// Accepts IP numbers only, no host names.
    static std::optional<Endpoint> parse(std::string_view text);
};

/// A bounded multi-producer queue that joins two threads.
///
/// A push to a full ring fails at once; the caller counts the refusal and answers it. The consumer
/// either waits with pop(), or is an event loop that registers a wake-up function and drains the
/// ring with tryPop().
template <typename T>
class BoundedRing
{
public:
    explicit BoundedRing(std::size_t capacity) : m_capacity(capacity) { }

    /// Sets the function that tells an event loop of the first element after the ring was empty.
    /// Must be called before the first push.
    void setWakeup(std::function<void()> wakeup) { m_wakeup = std::move(wakeup); }

    /// Returns false, and leaves \a value untouched, if the ring is full or closed.
    bool tryPush(T &&value)
    {
        bool wasEmpty = false;
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed || m_values.size() >= m_capacity)
                return false;
            wasEmpty = m_values.empty();
            m_values.push_back(std::move(value));
        }
        m_ready.notify_one();
        if (wasEmpty && m_wakeup)
            m_wakeup();
        return true;
    }

    std::optional<T> tryPop()
    {
        const std::lock_guard lock(m_mutex);
        return takeFront();
    }

    /// Waits until a value is there, \a deadline has passed, or the ring is closed and empty.
    std::optional<T> pop(TimePoint deadline)
    {
        std::unique_lock lock(m_mutex);
        m_ready.wait_until(lock, deadline, [this] { return m_closed || !m_values.empty(); });
        return takeFront();
    }

    /// Refuses further pushes and wakes the consumer; values already there can still be popped.
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_ready.notify_all();
        if (m_wakeup)
            m_wakeup();
    }

    [[nodiscard]] bool isClosed() const
    {
        const std::lock_guard lock(m_mutex);
        return m_closed;
    }

    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_values.size();
    }

private:
    std::optional<T> takeFront()
    {
        if (m_values.empty())
            return std::nullopt;
        std::optional<T> value(std::move(m_values.front()));
        m_values.pop_front();
        return value;
    }

    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::condition_variable m_ready;
    std::deque<T> m_values;
    std::function<void()> m_wakeup;
    bool m_closed = false;
};

/// Calls subscribers when their time has come, on a thread of its own.
///
/// Callbacks must be short; they normally push an event into a ring. A callback that runs more than
/// the pause threshold late also tells the pause subscribers, because the process was then stopped
/// or starved and its knowledge of peers and connections may have lapsed.
class TimerService
{
public:
    using Callback = std::function<void(TimePoint now)>;
    using PauseCallback = std::function<void(Duration late)>;
    using SubscriptionId = std::uint64_t;

    explicit TimerService(Duration pauseThreshold = std::chrono::seconds(1));
    ~TimerService();
    TimerService(const TimerService &) = delete;
    TimerService &operator=(const TimerService &) = delete;

    /// Calls \a callback once at \a deadline.
    SubscriptionId callAt(TimePoint deadline, Callback callback);
    /// Calls \a callback every \a interval, first after one interval. Missed turns are not made up.
    SubscriptionId callEvery(Duration interval, Callback callback);
    /// Calls \a callback after each detected pause with its length.
    void onPause(PauseCallback callback);
    /// Cancels a subscription; a callback that is already running is not interrupted.
    void cancel(SubscriptionId id);
    /// Stops the thread; no callback runs after the return.
    void stop();

private:
    struct Subscription
    {
        SubscriptionId id = 0;
        Duration interval{};
        Callback callback;
    };

    void run();
    SubscriptionId add(TimePoint deadline, Duration interval, Callback callback);
    void runFirst(std::unique_lock<std::mutex> &lock);

    const Duration m_pauseThreshold;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::multimap<TimePoint, Subscription> m_queue;
    std::vector<PauseCallback> m_pauseCallbacks;
    SubscriptionId m_nextId = 1;
    SubscriptionId m_running = 0;
    bool m_runningCancelled = false;
    bool m_stopped = false;
    std::thread m_thread;
};

} // namespace apricotrock
