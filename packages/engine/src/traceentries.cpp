#include "tracejson.h"

#include <stdexcept>

namespace apricotrock::engine::trace {

namespace {

template <typename EntryType>
void putKey(Json &json, const EntryType &entry)
{
    if (entry.key)
        json["key"] = wire::toKey(*entry.key).toString();
    json["service_hash"] = entry.service_hash;
}

template <typename EntryType>
EntryType entryWithKey(const Json &json)
{
    EntryType entry;
    entry.key = std::make_unique<wire::KeyId>(wire::fromKey(keyFromJson(json.at("key"))));
    entry.service_hash = json.at("service_hash").get<std::uint64_t>();
    return entry;
}

template <typename EntryType>
wire::LogEntryT makeEntry(EntryType entry)
{
    return std::move(*wire::holdEntry(std::move(entry)));
}

} // namespace

Json suspicionToJson(const wire::CrashSuspicionT &suspicion)
{
    return {{"type", "CrashSuspicion"},
            {"fingerprint", suspicion.fingerprint},
            {"backend_server", suspicion.backend_server},
            {"alone", suspicion.alone},
            {"service", suspicion.service},
            {"expires_ms", suspicion.expires_ms}};
}

wire::CrashSuspicionT suspicionFromJson(const Json &json)
{
    wire::CrashSuspicionT suspicion;
    suspicion.fingerprint = json.at("fingerprint").get<std::uint64_t>();
    suspicion.backend_server = json.at("backend_server").get<std::string>();
    suspicion.alone = json.at("alone").get<bool>();
    suspicion.service = json.at("service").get<std::string>();
    suspicion.expires_ms = json.at("expires_ms").get<std::uint64_t>();
    return suspicion;
}

Json sealToJson(const wire::SealT &seal)
{
    Json json = {{"type", "Seal"},          {"lane", seal.lane},
                 {"lanes", seal.lanes},     {"part", seal.part},
                 {"parts", seal.parts},     {"watermark_ms", seal.watermark_ms},
                 {"entries", Json::array()}};
    for (const wire::SealEntry &entry : seal.entries)
        json["entries"].push_back({{"service_hash", entry.service_hash()},
                                   {"high", entry.high()},
                                   {"low", entry.low()},
                                   {"status", entry.status()},
                                   {"state", wire::EnumNameKeyState(entry.state())}});
    return json;
}

wire::SealT sealFromJson(const Json &json)
{
    wire::SealT seal;
    seal.lane = json.at("lane").get<std::uint32_t>();
    seal.lanes = json.at("lanes").get<std::uint32_t>();
    seal.part = json.at("part").get<std::uint32_t>();
    seal.parts = json.at("parts").get<std::uint32_t>();
    seal.watermark_ms = json.at("watermark_ms").get<std::uint64_t>();
    for (const Json &item : json.at("entries")) {
        const auto name = item.at("state").get<std::string>();
        auto state = wire::KeyState::Unknown;
        for (const auto value : wire::EnumValuesKeyState()) {
            if (name == wire::EnumNameKeyState(value))
                state = value;
        }
        seal.entries.emplace_back(
            item.at("service_hash").get<std::uint64_t>(), item.at("high").get<std::uint64_t>(),
            item.at("low").get<std::uint64_t>(), item.at("status").get<std::uint16_t>(), state);
    }
    return seal;
}

Json entryToJson(const wire::EntryUnion &entry)
{
    Json json = {{"type", wire::EnumNameEntry(entry.type)}};
    if (const auto *claim = entry.AsClaim()) {
        putKey(json, *claim);
        json["fingerprint"] = claim->fingerprint;
    } else if (const auto *release = entry.AsRelease()) {
        putKey(json, *release);
    } else if (const auto *part = entry.AsSeal()) {
        json = sealToJson(*part);
    } else if (const auto *suspicion = entry.AsCrashSuspicion()) {
        json = suspicionToJson(*suspicion);
    } else if (const auto *cleared = entry.AsQuarantineCleared()) {
        json["fingerprint"] = cleared->fingerprint;
    } else if (const auto *mark = entry.AsLeavingMark()) {
        json["backend_server"] = mark->backend_server;
    }
    return json;
}

wire::LogEntryT entryFromJson(const Json &json)
{
    const auto type = json.at("type").get<std::string>();
    if (type == "Claim") {
        auto claim = entryWithKey<wire::ClaimT>(json);
        claim.fingerprint = json.at("fingerprint").get<std::uint64_t>();
        return makeEntry(std::move(claim));
    }
    if (type == "Release")
        return makeEntry(entryWithKey<wire::ReleaseT>(json));
    if (type == "Seal")
        return makeEntry(sealFromJson(json));
    if (type == "CrashSuspicion")
        return makeEntry(suspicionFromJson(json));
    if (type == "QuarantineCleared") {
        wire::QuarantineClearedT cleared;
        cleared.fingerprint = json.at("fingerprint").get<std::uint64_t>();
        return makeEntry(cleared);
    }
    if (type == "LeavingMark") {
        wire::LeavingMarkT mark;
        mark.backend_server = json.at("backend_server").get<std::string>();
        return makeEntry(mark);
    }
    // Publications and snapshots belong to another stream; the engine ignores them.
    return {};
}

} // namespace apricotrock::engine::trace
