#include "instance.h"

#include "logging.h"
#include "wallclock.h"

#include <algorithm>
#include <iterator>

namespace apricotrock::daemon {

namespace {

/// Entries may wait in the log's append queue for as long as a record is useful.
constexpr std::chrono::seconds snapshotAppendPatience{20};
constexpr std::chrono::seconds longestSnapshotDelay{30};

std::chrono::milliseconds milliseconds(std::chrono::microseconds time)
{
    return std::chrono::ceil<std::chrono::milliseconds>(time);
}

void logStreamState(std::string_view stream, bool isAvailable)
{
    logLine(isAvailable ? LogLevel::Info : LogLevel::Warn,
            isAvailable ? "log_reachable" : "log_unreachable", {{"stream", std::string(stream)}});
}

void logBadRecord(std::string_view stream, std::uint64_t offset, const Error &error)
{
    logLine(LogLevel::Warn, "bad_record",
            {{"stream", std::string(stream)},
             {"offset", std::to_string(offset)},
             {"reason", error.message}});
}

} // namespace

platform::LogTailParameters Instance::tailParameters(std::string_view stream) const
{
    platform::LogTailParameters parameters;
    parameters.stream = stream;
    parameters.logUrl = m_settings.platform.log;
    parameters.instancesUrl = m_settings.platform.instances;
    parameters.requestTimeout = milliseconds(m_settings.platform.requestTimeout);
    parameters.incarnation = m_incarnation;
    parameters.instance = m_settings.instance.name;
    parameters.ringEntries = m_settings.limits.ringEntries;
    parameters.appendInterval = platform::appendIntervalFor(m_settings.instance.maxInstances);
    return parameters;
}

void Instance::makeTails()
{
    platform::LogTailCallbacks config;
    config.onRecord = [this](std::uint64_t offset, const auto &record, std::uint64_t first) {
        m_configuration.fold(offset, record, first, Clock::now());
    };
    config.onBadRecord = [this](std::uint64_t offset, const Error &error) {
        logBadRecord(wire::configStream, offset, error);
        m_configuration.fold(offset, nullptr, std::nullopt, Clock::now());
    };
    config.onCaughtUp = [this] { m_configuration.catchUp(); };
    config.onStateChanged = [](bool isAvailable) {
        logStreamState(wire::configStream, isAvailable);
    };
    platform::LogTailCallbacks events;
    events.onRecord = [this](std::uint64_t offset, const auto &record, std::uint64_t) {
        for (const auto &lane : m_lanes)
            lane->pushLogRecord({offset, record, wallNow()});
    };
    events.onBadRecord = [](std::uint64_t offset, const Error &error) {
        logBadRecord(wire::eventsStream, offset, error);
    };
    events.onStateChanged = [this](bool isAvailable) {
        logStreamState(wire::eventsStream, isAvailable);
        broadcast(engine::LogStateChanged{isAvailable});
    };
    m_configTail =
        std::make_unique<platform::LogTail>(tailParameters(wire::configStream), std::move(config));
    m_eventsTail =
        std::make_unique<platform::LogTail>(tailParameters(wire::eventsStream), std::move(events));
    m_poller = std::make_unique<platform::InstanceListPoller>(
        m_settings.platform.instances, milliseconds(m_settings.platform.requestTimeout),
        milliseconds(m_settings.platform.listInterval),
        [this](const auto &instances) { onInstanceList(instances); });
}

void Instance::onConfiguration(const ConfigurationKeeper::Accepted &configuration)
{
    logLine(
        LogLevel::Info, "configuration_in_force",
        {{"version", std::to_string(configuration->version)}, {"digest", configuration->digest}});
    broadcast(engine::ConfigurationAccepted{configuration});
    // A server that is new in this version may have been called leaving before.
    repeatLeavingServers();
    m_mesh->setConfiguration(configuration->version, configuration->digest);
}

void Instance::onInstanceList(const std::vector<platform::InstanceInfo> &instances)
{
    std::vector<Endpoint> entryAddresses;
    std::set<std::string> leavingInstances;
    std::set<std::string> leavingServers;
    for (const platform::InstanceInfo &info : instances) {
        const bool isLeaving = info.state == platform::InstanceListState::Leaving;
        if (info.role == platform::InstanceRole::Entry) {
            entryAddresses.push_back(info.address);
            if (isLeaving)
                leavingInstances.insert(info.name);
        } else if (isLeaving) {
            leavingServers.insert(info.name);
        }
    }
    m_mesh->setKnownPeers(std::move(entryAddresses));
    std::set<std::string> newServers;
    {
        const std::lock_guard lock(m_listMutex);
        std::set_difference(leavingServers.begin(), leavingServers.end(), m_leavingServers.begin(),
                            m_leavingServers.end(), std::inserter(newServers, newServers.end()));
        m_leavingInstances = std::move(leavingInstances);
        m_leavingServers = std::move(leavingServers);
    }
    for (const std::string &server : newServers)
        broadcast(engine::BackendServerLeaving{server});
}

void Instance::repeatLeavingServers()
{
    std::set<std::string> servers;
    {
        const std::lock_guard lock(m_listMutex);
        servers = m_leavingServers;
    }
    for (const std::string &server : servers)
        broadcast(engine::BackendServerLeaving{server});
}

void Instance::appendDueSnapshot(TimePoint now)
{
    // The order of instances by hash spreads the appends; the first one resets the others.
    const auto share = static_cast<double>(hash64(m_incarnation.toString()) % 1000) / 1000;
    const auto delay = std::chrono::duration_cast<Duration>(
        std::min<Duration>(longestSnapshotDelay, m_settings.platform.logRetention / 8) * share);
    auto snapshot = m_configuration.takeDueSnapshot(now, delay);
    if (!snapshot)
        return;
    std::vector<std::shared_ptr<const wire::LogEntryT>> entries = {
        wire::holdEntry(std::move(*snapshot))};
    if (!m_configTail->append(std::move(entries), now + snapshotAppendPatience))
        m_appendRefusals.add();
}

} // namespace apricotrock::daemon
