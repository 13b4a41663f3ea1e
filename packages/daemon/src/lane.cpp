#include "lane.h"

#include "logging.h"
#include "wallclock.h"

#include <future>

namespace apricotrock::daemon {

namespace {

/// Results of all attempts of all pending requests, probes and hints fit beside the intake.
constexpr std::size_t resultsPerRequest = 24;
constexpr std::size_t otherEvents = 65536;
/// Events after which the timer is set again, so that a busy lane does not forget it.
constexpr int eventsPerTurn = 64;
/// Longest time between two TimeAdvanced events while requests are pending, and otherwise.
constexpr std::chrono::milliseconds busyTick{50};
constexpr std::chrono::milliseconds idleTick{1000};
constexpr std::chrono::seconds idleWait{1};

std::size_t ringCapacity(const LaneParameters &parameters)
{
    return parameters.intakeEntries + parameters.pendingLimit * resultsPerRequest + otherEvents;
}

} // namespace

Lane::Lane(LaneParameters parameters, LaneCallbacks callbacks, TimerService &timer,
           TraceRecorder &recorder)
    : m_parameters(std::move(parameters)), m_callbacks(std::move(callbacks)), m_timer(timer),
      m_recorder(recorder), m_ring(ringCapacity(m_parameters)),
      m_state(engine::makeState(m_parameters.engine, Clock::now())),
      m_sender(
          m_parameters.backend,
          {[this](routing::AttemptResult result, std::shared_ptr<const HttpResponse> response) {
               push(engine::AttemptFinished{result, std::move(response)});
           },
           [this](routing::ProbeResult result) {
               push(engine::ProbeFinished{std::move(result)});
           }}),
      m_thread([this] { runThread(); })
{ }

Lane::~Lane()
{
    stop();
}

bool Lane::pushRequest(engine::RequestArrived request)
{
    if (m_intakeWaiting.fetch_add(1) < m_parameters.intakeEntries
        && pushItem(engine::Event(std::move(request))))
        return true;
    --m_intakeWaiting;
    ++m_intakeRefusals;
    return false;
}

void Lane::push(engine::Event event)
{
    if (!pushItem(std::move(event)) && !m_ring.isClosed()) {
        ++m_resultRefusals;
        logLine(LogLevel::Error, "result_ring_full",
                {{"lane", std::to_string(m_parameters.engine.lane)}});
    }
}

void Lane::pushLogRecord(engine::LogRecordRead record)
{
    constexpr std::chrono::milliseconds checkInterval{1};
    while (m_ring.size() > otherEvents / 2 && !m_ring.isClosed())
        std::this_thread::sleep_for(checkInterval);
    push(std::move(record));
}

bool Lane::pushItem(Item item)
{
    return m_ring.tryPush(std::move(item));
}

bool Lane::run(std::function<void(engine::State &, TimePoint)> function, Duration limit)
{
    // The command may run after the wait was given up, so it owns its promise.
    auto done = std::make_shared<std::promise<void>>();
    auto future = done->get_future();
    Command command = [done, function = std::move(function)](engine::State &state, TimePoint now) {
        function(state, now);
        done->set_value();
    };
    return pushItem(std::move(command)) && future.wait_for(limit) == std::future_status::ready;
}

std::optional<engine::Status> Lane::status(Duration limit)
{
    auto result = std::make_shared<engine::Status>();
    const bool isDone =
        run([result](engine::State &state, TimePoint now) { *result = engine::status(state, now); },
            limit);
    return isDone ? std::optional(std::move(*result)) : std::nullopt;
}

void Lane::stop()
{
    m_ring.close();
    if (m_thread.joinable())
        m_thread.join();
    m_sender.stop();
}

void Lane::runThread()
{
    while (true) {
        auto item = m_ring.pop(Clock::now() + idleWait);
        if (!item && m_ring.isClosed())
            return;
        for (int i = 0; item && i < eventsPerTurn; ++i) {
            process(*item);
            item = i + 1 < eventsPerTurn ? m_ring.tryPop() : std::nullopt;
        }
        armTimer(Clock::now());
    }
}

void Lane::process(Item &item)
{
    if (auto *command = std::get_if<Command>(&item)) {
        (*command)(*m_state, Clock::now());
        return;
    }
    const auto &event = std::get<engine::Event>(item);
    if (std::holds_alternative<engine::RequestArrived>(event)) {
        --m_intakeWaiting;
        ++m_unanswered;
    }
    if (std::holds_alternative<engine::TimeAdvanced>(event)) {
        m_isTimePending = false;
        m_armed.reset();
    }
    step(event, Clock::now());
}

void Lane::step(const engine::Event &event, TimePoint now)
{
    const bool isRecorded = m_recorder.isActive(m_parameters.engine.lane);
    if (isRecorded)
        m_recorder.add(event, now);
    m_effects.clear();
    engine::step(*m_state, event, now, m_effects);
    for (const engine::Effect &effect : m_effects) {
        if (isRecorded)
            m_recorder.add(effect, now);
        apply(effect, event);
    }
}

void Lane::apply(const engine::Effect &effect, const engine::Event &cause)
{
    const std::uint32_t lane = m_parameters.engine.lane;
    if (const auto *start = std::get_if<engine::StartAttempt>(&effect))
        apply(*start);
    else if (const auto *cancel = std::get_if<engine::CancelAttempt>(&effect))
        m_sender.cancel(cancel->attempt);
    else if (const auto *reply = std::get_if<engine::Reply>(&effect))
        apply(*reply, cause);
    else if (const auto *append = std::get_if<engine::AppendEntries>(&effect))
        m_callbacks.onAppend(lane, *append);
    else if (const auto *forward = std::get_if<engine::ForwardRequest>(&effect))
        m_callbacks.onForward(*forward);
    else if (const auto *probe = std::get_if<engine::SendProbe>(&effect))
        apply(*probe);
    else if (const auto *tell = std::get_if<engine::SendHints>(&effect))
        m_callbacks.onTellPeers(lane, *tell);
}

void Lane::apply(const engine::StartAttempt &effect)
{
    if (m_sender.start({effect.start, effect.request}))
        return;
    routing::AttemptResult result;
    result.attempt = effect.start.attempt;
    result.status = routing::AttemptStatus::ConnectFailed;
    push(engine::AttemptFinished{result, nullptr});
}

void Lane::apply(const engine::SendProbe &effect)
{
    if (m_sender.probe(effect.probe))
        return;
    routing::ProbeResult result;
    result.backendServer = effect.probe.backendServer;
    push(engine::ProbeFinished{std::move(result)});
}

void Lane::apply(const engine::Reply &effect, const engine::Event &cause)
{
    --m_unanswered;
    const auto *finished = std::get_if<engine::AttemptFinished>(&cause);
    m_callbacks.onReply(effect, finished ? finished->result.latency : Duration::zero());
}

void Lane::armTimer(TimePoint now)
{
    const Duration tick = m_unanswered > 0 ? busyTick : idleTick;
    const TimePoint wanted = std::max(now, std::min(engine::nextDeadline(*m_state), now + tick));
    if (m_armed && *m_armed <= wanted)
        return;
    if (m_armed)
        m_timer.cancel(m_subscription);
    m_armed = wanted;
    m_subscription = m_timer.callAt(wanted, [this](TimePoint) {
        if (!m_isTimePending.exchange(true))
            push(engine::TimeAdvanced{wallNow()});
    });
}

} // namespace apricotrock::daemon
