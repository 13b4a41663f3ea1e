#include "instance.h"

#include "forwarding.h"
#include "logging.h"

#include <algorithm>
#include <random>

namespace apricotrock::daemon {

namespace {

/// Pending requests as a multiple of the intake ring; bounds the rings that carry results.
constexpr std::size_t pendingPerRingEntry = 8;
constexpr std::chrono::milliseconds tickInterval{250};
constexpr std::chrono::milliseconds statusPatience{1000};
constexpr std::chrono::seconds backendIdleTime{10};

std::uint64_t randomNumber()
{
    std::random_device device;
    return (std::uint64_t(device()) << 32) | device();
}

metrics::Summary &summary(metrics::Registry &registry, const char *name, const char *help,
                          const char *requestClass)
{
    return registry.summary(name, help, {{"class", requestClass}});
}

constexpr const char *latencyName = "apricotrock_request_seconds";
constexpr const char *latencyHelp = "Time from a complete request to its answer.";
constexpr const char *addedName = "apricotrock_added_seconds";
constexpr const char *addedHelp = "Part of the time that the backend server did not take.";

} // namespace

Instance::Instance(Settings settings)
    : m_settings(std::move(settings)), m_incarnation{randomNumber()}, m_refusals(m_registry),
      m_lookupLatency(summary(m_registry, latencyName, latencyHelp, "lookup")),
      m_actionLatency(summary(m_registry, latencyName, latencyHelp, "action")),
      m_addedLookup(summary(m_registry, addedName, addedHelp, "lookup")),
      m_addedAction(summary(m_registry, addedName, addedHelp, "action")),
      m_appendRefusals(m_registry.counter("apricotrock_ring_refusals_total",
                                          "Pushes to full rings.", {{"ring", "log_append"}})),
      m_pending(m_settings.limits.ringEntries * pendingPerRingEntry), m_hints(m_incarnation),
      m_configuration(m_settings.platform.logRetention,
                      [this](const auto &configuration) { onConfiguration(configuration); })
{ }

Instance::~Instance()
{
    stop();
}

Result<void> Instance::start()
{
    // The lanes use the mesh and the tails, so these exist before the first event.
    makeMesh();
    makeLanes();
    makeTails();
    makeListener();
    if (auto result = m_mesh->start(); !result)
        return result;
    if (auto result = m_listener->start(); !result)
        return result;
    m_mesh->setState(wire::InstanceState::Serving);
    m_timer.callEvery(tickInterval, [this](TimePoint now) { onTick(now); });
    m_timer.onPause([this](Duration late) { onPause(late); });
    logLine(LogLevel::Info, "started",
            {{"instance", m_settings.instance.name},
             {"incarnation", m_incarnation.toString()},
             {"callers", m_settings.listen.callers.toString()}});
    return {};
}

void Instance::stop()
{
    // Sources of events first, then the lanes that receive them.
    if (m_listener)
        m_listener->stop();
    if (m_poller)
        m_poller->stop();
    m_timer.stop();
    const TimePoint now = Clock::now();
    if (m_configTail)
        m_configTail->stop(now);
    if (m_eventsTail)
        m_eventsTail->stop(now + m_settings.platform.requestTimeout);
    if (m_mesh)
        m_mesh->stop();
    for (const auto &lane : m_lanes)
        lane->stop();
}

void Instance::makeLanes()
{
    const auto lanes = static_cast<std::uint32_t>(m_settings.limits.lanes);
    for (std::uint32_t number = 0; number < lanes; ++number) {
        LaneParameters parameters;
        engine::Parameters &engine = parameters.engine;
        engine.instance = {m_settings.instance.name, m_settings.instance.availabilityZone,
                           m_settings.instance.maxInstances, randomNumber()};
        engine.incarnation = m_incarnation;
        engine.lane = number;
        engine.lanes = lanes;
        engine.keyMaxAge = std::chrono::floor<std::chrono::milliseconds>(m_settings.keys.maxAge);
        engine.clockTolerance =
            std::chrono::ceil<std::chrono::milliseconds>(m_settings.keys.clockTolerance);
        engine.ledgerEntries = m_settings.keys.ledgerEntries;
        engine.retainedAnswerBytes = m_settings.keys.retainedAnswerBytes;
        engine.defaultDeadline = m_settings.callers.defaultDeadline;
        engine.maxDeadline = m_settings.callers.maxDeadline;
        parameters.intakeEntries = m_settings.limits.ringEntries;
        parameters.pendingLimit = m_settings.limits.ringEntries * pendingPerRingEntry;
        parameters.backend = {parameters.pendingLimit * 4,
                              m_settings.limits.answer,
                              m_settings.limits.header,
                              backendIdleTime,
                              m_settings.instance.name,
                              std::max(m_settings.limits.answerMemory, m_settings.limits.answer)};
        LaneCallbacks callbacks;
        callbacks.onReply = [this](const auto &reply, Duration time) { onReply(reply, time); };
        callbacks.onAppend = [this](std::uint32_t, const engine::AppendEntries &append) {
            if (!m_eventsTail->append(append.entries, append.deadline))
                m_appendRefusals.add();
        };
        callbacks.onForward = [this](const engine::ForwardRequest &forward) {
            m_mesh->forward(forward.owner, makeForward(forward, Clock::now()), forward.deadline);
        };
        callbacks.onTellPeers = [this](std::uint32_t lane, const engine::SendHints &tell) {
            m_mesh->tellHints(m_hints.update(lane, tell));
            for (const wire::SealT &seal : tell.seals)
                m_mesh->tellSeal(m_incarnation, seal);
        };
        m_lanes.push_back(std::make_unique<Lane>(std::move(parameters), std::move(callbacks),
                                                 m_timer, m_recorder));
    }
}

void Instance::setState(InstanceState state)
{
    if (state <= m_state)
        return;
    m_state = state;
    logLine(LogLevel::Info, "state_changed", {{"state", std::string(instanceStateName(state))}});
    if (state != InstanceState::Serving)
        m_mesh->setState(wire::InstanceState::Leaving);
}

bool Instance::isReady() const
{
    return m_configuration.current() && m_state == InstanceState::Serving;
}

std::size_t Instance::callerConnections() const
{
    return m_listener->counters().openConnections;
}

void Instance::requestSeal()
{
    broadcast(engine::SealRequested{});
}

bool Instance::isSealed()
{
    const auto statuses = laneStatus();
    return statuses.size() == m_lanes.size()
        && std::all_of(statuses.begin(), statuses.end(),
                       [](const engine::Status &status) { return status.isSealed; });
}

std::vector<engine::Status> Instance::laneStatus()
{
    std::vector<engine::Status> statuses;
    for (const auto &lane : m_lanes) {
        if (auto status = lane->status(statusPatience))
            statuses.push_back(std::move(*status));
    }
    return statuses;
}

void Instance::clearQuarantine(const engine::QuarantineStatus &quarantine)
{
    // The lane of the service writes the record; the others read it from the log.
    laneFor(quarantine.service).push(engine::QuarantineClearRequested{quarantine.fingerprint});
}

bool Instance::startTrace(std::uint32_t lane, TimePoint now)
{
    if (!m_recorder.start(m_lanes.at(lane)->engineParameters(), now))
        return false;
    if (const auto configuration = m_configuration.current())
        m_recorder.add(engine::Event(engine::ConfigurationAccepted{configuration}), now);
    return true;
}

void Instance::onTick(TimePoint now)
{
    appendDueSnapshot(now);
}

void Instance::onPause(Duration late)
{
    const auto length = std::chrono::duration_cast<std::chrono::milliseconds>(late);
    logLine(LogLevel::Warn, "pause_detected", {{"late_ms", std::to_string(length.count())}});
    for (const auto &lane : m_lanes)
        lane->closeIdleConnections();
    m_mesh->resetLinks();
    broadcast(engine::PauseDetected{late});
    repeatLeavingServers();
}

void Instance::broadcast(const engine::Event &event)
{
    for (const auto &lane : m_lanes)
        lane->push(event);
}

Lane &Instance::laneFor(std::string_view service)
{
    const auto lanes = static_cast<std::uint32_t>(m_lanes.size());
    return *m_lanes.at(engine::laneOf(service, lanes));
}

} // namespace apricotrock::daemon
