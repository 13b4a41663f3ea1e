#pragma once

#include "apricotrock/caller.h"
#include "apricotrock/metrics.h"
#include "apricotrock/peer.h"
#include "apricotrock/platform.h"
#include "apricotrock/settings.h"

#include "addresses.h"
#include "configurationkeeper.h"
#include "hintboard.h"
#include "instancestate.h"
#include "lane.h"
#include "pendingrequests.h"
#include "refusalcounters.h"

namespace apricotrock::daemon {

/// One entry instance: owns the threads and joins the packages.
class Instance
{
public:
    explicit Instance(Settings settings);
    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    /// Opens the listeners and starts all threads.
    Result<void> start();
    /// Ends all threads.
    void stop();

    /// Moves on to a later state; earlier ones are ignored.
    void setState(InstanceState state);
    [[nodiscard]] InstanceState state() const { return m_state; }
    /// Asks every lane to seal its ledger.
    void requestSeal();
    [[nodiscard]] bool isSealed();
    [[nodiscard]] std::size_t pendingRequests() const { return m_pending.size(); }
    [[nodiscard]] std::size_t callerConnections() const;
    /// Answers every pending request as unknown.
    void abandonRequests();
    /// Waits until the answers given so far were written.
    void flushAnswers(TimePoint deadline) const { m_listener->waitForAnswers(deadline); }

    [[nodiscard]] bool isReady() const;
    [[nodiscard]] const Settings &settings() const { return m_settings; }
    [[nodiscard]] IncarnationId incarnation() const { return m_incarnation; }
    [[nodiscard]] const ConfigurationKeeper &configuration() const { return m_configuration; }
    [[nodiscard]] std::vector<peer::PeerInfo> peers() const { return m_mesh->peers(); }
    /// Snapshots of the lanes that answered in time.
    std::vector<engine::Status> laneStatus();
    void clearQuarantine(const engine::QuarantineStatus &quarantine);
    /// Starts a recording of a lane with the configuration in force as its first event; false if
    /// one is under way.
    bool startTrace(std::uint32_t lane, TimePoint now);
    TraceRecorder &recorder() { return m_recorder; }
    TimerService &timer() { return m_timer; }
    metrics::Registry &registry() { return m_registry; }

    /// Sets the function that a drain request of an operator calls; before start().
    void onDrainRequested(std::function<void()> callback) { m_drain = std::move(callback); }
    void requestDrain() const { m_drain(); }

private:
    friend class InstanceMetrics;

    // Requests of callers; instancerequests.cpp.
    void makeListener();
    void onRequest(caller::IncomingRequest incoming);
    void admit(engine::RequestArrived request, const PendingRequest &pending);
    void refuse(RequestId id, const Refusal &refusal);
    void onReply(const engine::Reply &reply, Duration attemptTime);
    void answerCaller(const engine::Reply &reply, const PendingRequest &pending,
                      Duration attemptTime);
    [[nodiscard]] AddressBook addressBook() const;

    // Peers; instancepeers.cpp.
    void makeMesh();
    void onForward(IncarnationId from, const wire::ForwardT &forward);
    void onForwardAnswer(RequestId id, const std::optional<wire::ForwardAnswerT> &answer);
    void onHints(const wire::HintsT &hints);
    void onPeers(const std::vector<peer::PeerInfo> &peers);

    // Platform; instanceplatform.cpp.
    void makeTails();
    platform::LogTailParameters tailParameters(std::string_view stream) const;
    void onConfiguration(const ConfigurationKeeper::Accepted &configuration);
    void onInstanceList(const std::vector<platform::InstanceInfo> &instances);
    /// Tells the lanes again which backend servers the platform's list calls leaving.
    void repeatLeavingServers();
    void appendDueSnapshot(TimePoint now);

    void makeLanes();
    void onTick(TimePoint now);
    void onPause(Duration late);
    void broadcast(const engine::Event &event);
    Lane &laneFor(std::string_view service);

    const Settings m_settings;
    const IncarnationId m_incarnation;
    std::function<void()> m_drain = [] {};
    std::atomic<InstanceState> m_state{InstanceState::Serving};
    metrics::Registry m_registry;
    RefusalCounters m_refusals;
    metrics::Summary &m_lookupLatency;
    metrics::Summary &m_actionLatency;
    metrics::Summary &m_addedLookup;
    metrics::Summary &m_addedAction;
    metrics::Counter &m_appendRefusals;
    TraceRecorder m_recorder;
    PendingRequests m_pending;
    HintBoard m_hints;
    ConfigurationKeeper m_configuration;
    std::atomic<std::uint64_t> m_nextForward{0};
    mutable std::mutex m_listMutex;
    std::set<std::string> m_leavingInstances;
    std::set<std::string> m_leavingServers;

    TimerService m_timer;
    std::vector<std::unique_ptr<Lane>> m_lanes;
    std::unique_ptr<peer::Mesh> m_mesh;
    std::unique_ptr<caller::Listener> m_listener;
    std::unique_ptr<platform::LogTail> m_configTail;
    std::unique_ptr<platform::LogTail> m_eventsTail;
    std::unique_ptr<platform::InstanceListPoller> m_poller;
};

} // namespace apricotrock::daemon
