#pragma once

#include "apricotrock/engine.h"

#include <array>
#include <queue>
#include <set>

/// Deterministic simulation of a few engine instances with simulated log, peer links and backend
/// servers. It uses virtual time and draws all random choices from one seed.
namespace history {

using namespace apricotrock;
using engine::Event;

enum class Fault {
    None,
    Kill,
    Pause,
    PeerCut,
    AppendFault,
    BackendFault,
    Replacement,
    PlannedStop,
    Expiry,
    Everything,
    Count,
};
constexpr std::array<const char *, std::size_t(Fault::Count)> faultNames = {
    "none",          "kill",        "pause",        "peer cut", "append fault",
    "backend fault", "replacement", "planned stop", "expiry",   "everything"};

/// One key of a history. Each action without a key has an entry of its own.
struct KeyRecord
{
    std::optional<IdempotencyKey> key;
    int runs = 0;
    bool hasNotRunReply = false;
    bool hasDoneReply = false;
};

/// A request and its reply as the sender sees them.
struct SentRequest
{
    std::size_t key = 0;
    bool isStatusQuery = false;
    bool isLookup = false;
    /// False until the instance has received the request. An instance that stops earlier does not
    /// have to reply.
    bool isDelivered = false;
    int replies = 0;
    Outcome outcome = Outcome::Unknown;
    std::optional<ErrorKind> error{};
};

/// A record in the simulated log.
struct StoredRecord
{
    std::shared_ptr<const wire::LogRecordT> record;
    Duration expires{};
};

struct Instance
{
    engine::StatePtr state;
    IncarnationId incarnation;
    bool isAlive = false;
    bool isPaused = false;
    bool isSealing = false;
    std::chrono::milliseconds clockSkew{};
    std::uint64_t nextSequence = 1;
    RequestId nextRequest = 1;
    Duration lastRead{};
    Duration nextTimer = Duration::max();
    std::vector<Event> queuedEvents;
    std::map<RequestId, SentRequest> sent;
    /// Requests forwarded to this instance, with the sender's slot, incarnation and request id.
    std::map<RequestId, std::tuple<std::size_t, IncarnationId, RequestId>> forwards;
    std::map<RequestId, std::size_t> keyOfRequest;
    /// Attempts that have not been reported as finished.
    std::set<AttemptId> attempts;
};

class Simulation
{
public:
    Simulation(std::uint64_t seed, Fault fault, bool isLogDown, bool isRecording);

    /// Runs the whole history. Returns the first violation found, or an empty text.
    std::string run();

    [[nodiscard]] const std::vector<KeyRecord> &keys() const { return m_keys; }
    /// Requests with a key whose callers waited for the reply.
    [[nodiscard]] const std::vector<SentRequest> &keyedReplies() const { return m_keyedReplies; }
    /// True if the ledger holds so few keys that its size limit, not the fault, decides the
    /// replies.
    [[nodiscard]] bool hasSmallLedger() const { return m_parameters.ledgerEntries < 10; }
    [[nodiscard]] const std::string &trace() const { return m_trace; }

private:
    struct Task
    {
        Duration at{};
        std::uint64_t order = 0;
        std::function<void()> work;
        bool operator<(const Task &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    // historyplan.cpp: actions of callers and operators, and the times of the faults.
    void scheduleHistory();
    void scheduleFaults();
    void sendNewKey();
    void send(std::size_t key, bool isStatusQuery);
    void sendLookup();
    void kill(std::size_t slot);
    void pause(std::size_t slot);
    void stopPlanned(std::size_t slot);
    std::string check();

    // historysimulation.cpp
    void start(std::size_t slot);
    void endPlannedStop(std::size_t slot);
    void reportReachablePeers();
    void reportReachablePeers(std::size_t slot);
    void schedule(Duration delay, std::function<void()> work);
    void deliver(std::size_t slot, IncarnationId incarnation, Event event, Duration delay);
    void step(std::size_t slot, const Event &event);
    void scheduleTimer(std::size_t slot);
    void apply(std::size_t slot, const engine::StartAttempt &effect);
    void apply(std::size_t slot, const engine::CancelAttempt &effect);
    void apply(std::size_t slot, const engine::Reply &effect);
    void apply(std::size_t slot, const engine::AppendEntries &effect);
    void apply(std::size_t slot, const engine::ForwardRequest &effect);
    void apply(std::size_t slot, const engine::SendProbe &effect);
    void apply(std::size_t slot, const engine::SendHints &effect);
    void scheduleAttemptEnd(std::size_t slot, IncarnationId incarnation, AttemptId attempt,
                            routing::AttemptStatus status, Duration delay);

    // historylog.cpp
    void setLogDown(bool isDown);
    void append(const std::shared_ptr<const wire::LogRecordT> &record, Duration deadline);
    void scheduleRead(std::size_t slot, std::size_t offset);
    void readAll(std::size_t slot);

    bool chance(double probability) { return double(m_random() % 1'000'000) < probability * 1e6; }
    Duration randomDuration(int minimumMs, int maximumMs)
    {
        const auto span = std::uint64_t(maximumMs - minimumMs) * 1000 + 1;
        return std::chrono::milliseconds(minimumMs) + std::chrono::microseconds(m_random() % span);
    }
    [[nodiscard]] WallTime wallTime(std::chrono::milliseconds clockSkew) const
    {
        using namespace std::chrono;
        return WallTime(milliseconds(1'760'000'000'000) + duration_cast<milliseconds>(m_now)
                        + clockSkew);
    }
    [[nodiscard]] bool has(Fault fault) const
    {
        return m_fault == fault || m_fault == Fault::Everything;
    }
    void recordTraceLine(std::size_t slot, std::string line);
    std::optional<std::size_t> randomLiveSlot();

    std::mt19937_64 m_random;
    const Fault m_fault;
    const bool m_isLogDownAtStart;
    const bool m_isRecording;
    engine::Parameters m_parameters;
    Duration m_retention{};
    Duration m_now{};
    std::uint64_t m_order = 0;
    std::priority_queue<Task> m_tasks;
    std::vector<Instance> m_instances;
    std::set<std::pair<std::size_t, std::size_t>> m_cutLinks;
    std::vector<KeyRecord> m_keys;
    std::vector<SentRequest> m_keyedReplies;
    std::vector<StoredRecord> m_log;
    std::vector<std::function<void()>> m_afterOutage;
    bool m_isLogDown = false;
    std::uint64_t m_nextIncarnation = 0;
    std::string m_failure;
    std::string m_trace;
};

} // namespace history
