#pragma once

#include "apricotrock/backend.h"
#include "apricotrock/engine.h"
#include "apricotrock/metrics.h"

#include "tracerecorder.h"

#include <atomic>

namespace apricotrock::daemon {

struct LaneParameters
{
    engine::Parameters engine;
    backend::Parameters backend;
    /// Requests that may wait for the lane; a further one is refused.
    std::size_t intakeEntries = 0;
    /// Requests that may be pending in the process; sizes the ring for results.
    std::size_t pendingLimit = 0;
};

/// What a lane asks of the rest of the process. Called on the lane's thread; must not block.
struct LaneCallbacks
{
    /// \a attemptTime is the time that the answering backend server took.
    std::function<void(const engine::Reply &reply, Duration attemptTime)> onReply;
    std::function<void(std::uint32_t lane, const engine::AppendEntries &append)> onAppend;
    std::function<void(const engine::ForwardRequest &forward)> onForward;
    std::function<void(std::uint32_t lane, const engine::SendHints &tell)> onTellPeers;
};

/// A decision thread with the engine's state of its services, and its backend thread.
class Lane
{
public:
    Lane(LaneParameters parameters, LaneCallbacks callbacks, TimerService &timer,
         TraceRecorder &recorder);
    ~Lane();
    Lane(const Lane &) = delete;
    Lane &operator=(const Lane &) = delete;

    /// Adds a new request, of a caller or forwarded; false if the ring for new requests is full.
    bool pushRequest(engine::RequestArrived request);
    /// Adds any other event. The ring is sized so that it never refuses; a refusal is counted.
    void push(engine::Event event);
    /// Adds a record of the log; waits while the lane is far behind, which slows only the reader.
    void pushLogRecord(engine::LogRecordRead record);
    /// Runs \a function on the lane's thread; false if it did not run within \a limit.
    bool run(std::function<void(engine::State &, TimePoint now)> function, Duration limit);
    /// Returns a snapshot of the engine, or nothing if the lane does not answer within \a limit.
    std::optional<engine::Status> status(Duration limit);

    [[nodiscard]] const engine::Parameters &engineParameters() const { return m_parameters.engine; }
    [[nodiscard]] backend::Counters backendCounters() const { return m_sender.counters(); }
    [[nodiscard]] std::uint64_t resultRefusals() const { return m_resultRefusals; }
    [[nodiscard]] std::uint64_t intakeRefusals() const { return m_intakeRefusals; }
    void closeIdleConnections() { m_sender.closeIdleConnections(); }
    /// Ends both threads.
    void stop();

private:
    using Command = std::function<void(engine::State &, TimePoint now)>;
    using Item = std::variant<engine::Event, Command>;

    void runThread();
    void process(Item &item);
    void step(const engine::Event &event, TimePoint now);
    void apply(const engine::Effect &effect, const engine::Event &cause);
    void apply(const engine::StartAttempt &effect);
    void apply(const engine::SendProbe &effect);
    void apply(const engine::Reply &effect, const engine::Event &cause);
    void armTimer(TimePoint now);
    bool pushItem(Item item);

    const LaneParameters m_parameters;
    const LaneCallbacks m_callbacks;
    TimerService &m_timer;
    TraceRecorder &m_recorder;
    BoundedRing<Item> m_ring;
    std::atomic<std::size_t> m_intakeWaiting{0};
    std::atomic<std::uint64_t> m_resultRefusals{0};
    std::atomic<std::uint64_t> m_intakeRefusals{0};
    std::atomic<bool> m_isTimePending{false};
    engine::StatePtr m_state;
    std::vector<engine::Effect> m_effects;
    std::size_t m_unanswered = 0;
    std::optional<TimePoint> m_armed;
    TimerService::SubscriptionId m_subscription = 0;
    backend::Sender m_sender;
    std::thread m_thread;
};

} // namespace apricotrock::daemon
