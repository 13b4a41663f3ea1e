#include "statusdocument.h"

#include <nlohmann/json.hpp>

namespace apricotrock::daemon {

namespace {

using nlohmann::json;

std::string_view peerStateName(wire::InstanceState state)
{
    switch (state) {
    case wire::InstanceState::Starting:
        return "starting";
    case wire::InstanceState::Serving:
        return "serving";
    case wire::InstanceState::Leaving:
        return "leaving";
    case wire::InstanceState::Stopped:
        break;
    }
    return "stopped";
}

json configurationPart(const ConfigurationKeeper &keeper)
{
    const auto configuration = keeper.current();
    if (!configuration)
        return nullptr;
    const auto since = keeper.since().value_or(WallTime());
    return {{"version", configuration->version},
            {"digest", configuration->digest},
            {"since_ms", since.time_since_epoch().count()}};
}

json peersPart(const std::vector<peer::PeerInfo> &peers, TimePoint now)
{
    json result = json::array();
    for (const peer::PeerInfo &info : peers) {
        const auto silence =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - info.lastHeard);
        result.push_back({{"instance", info.instance},
                          {"incarnation", info.incarnation.toString()},
                          {"zone", info.availabilityZone},
                          {"peer_address", info.peerAddress.toString()},
                          {"state", peerStateName(info.state)},
                          {"configuration_version", info.configurationVersion},
                          {"silence_ms", silence.count()}});
    }
    return result;
}

json backendServersPart(const std::vector<engine::Status> &lanes)
{
    json result = json::array();
    for (const engine::Status &lane : lanes) {
        for (const routing::BackendStatus &server : lane.backendServers)
            result.push_back({{"name", server.name},
                              {"service", server.service},
                              {"state", server.state},
                              {"outstanding", server.outstanding},
                              {"estimated_load", server.estimatedLoad},
                              {"concurrency_limit", server.concurrencyLimit}});
    }
    return result;
}

json quarantinesPart(const std::vector<engine::Status> &lanes)
{
    std::map<std::uint64_t, engine::QuarantineStatus> merged;
    for (const engine::Status &lane : lanes) {
        for (const engine::QuarantineStatus &entry : lane.quarantines)
            merged.emplace(entry.fingerprint, entry);
    }
    json result = json::array();
    for (const auto &[fingerprint, entry] : merged)
        result.push_back({{"id", IncarnationId{fingerprint}.toString()},
                          {"service", entry.service},
                          {"crashes", entry.crashes},
                          {"quarantined", entry.isQuarantined},
                          {"time_left_ms", entry.timeLeft.count()}});
    return result;
}

json ledgerPart(const std::vector<engine::Status> &lanes)
{
    std::size_t entries = 0;
    std::size_t active = 0;
    bool isSealed = !lanes.empty();
    for (const engine::Status &lane : lanes) {
        entries += lane.ledgerEntries;
        active += lane.activeRequests;
        isSealed = isSealed && lane.isSealed;
    }
    return {{"entries", entries}, {"active_requests", active}, {"sealed", isSealed}};
}

} // namespace

std::string statusDocument(Instance &instance)
{
    const auto lanes = instance.laneStatus();
    const json document = {
        {"instance", instance.settings().instance.name},
        {"availability_zone", instance.settings().instance.availabilityZone},
        {"incarnation", instance.incarnation().toString()},
        {"state", instanceStateName(instance.state())},
        {"ready", instance.isReady()},
        {"configuration", configurationPart(instance.configuration())},
        {"peers", peersPart(instance.peers(), Clock::now())},
        {"backend_servers", backendServersPart(lanes)},
        {"quarantines", quarantinesPart(lanes)},
        {"ledger", ledgerPart(lanes)},
    };
    return document.dump() + '\n';
}

std::string quarantineDocument(const std::vector<engine::Status> &lanes)
{
    return json{{"quarantines", quarantinesPart(lanes)}}.dump() + '\n';
}

std::optional<std::uint64_t> parseQuarantineId(std::string_view text)
{
    const auto id = IncarnationId::parse(text);
    return id ? std::optional(id->value) : std::nullopt;
}

} // namespace apricotrock::daemon
