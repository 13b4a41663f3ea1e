#include "state.h"
#include "tracejson.h"

#include <sstream>
#include <stdexcept>

namespace apricotrock::engine {

namespace {

using trace::Json;

/// An engine that a parameters line of the trace created.
struct ReplayedInstance
{
    StatePtr state;
    /// Idempotency keys by request.
    std::map<RequestId, std::string> keys;
    /// Idempotency keys by attempt.
    std::map<AttemptId, std::string> attempts;
    std::map<RequestId, Reply> replies;
};

struct Replay
{
    std::map<std::string, ReplayedInstance> instances;
    /// Number of attempts by key, without those proven not to have run.
    std::map<std::string, std::uint64_t> runs;
    ReplayReport report;
};

void recordEffect(Replay &replay, ReplayedInstance &instance, const std::string &name,
                  const Effect &effect, Duration time)
{
    ++replay.report.effects;
    if (const auto *start = std::get_if<StartAttempt>(&effect)) {
        const std::string key = instance.keys[start->start.request];
        instance.attempts[start->start.attempt] = key;
        ++replay.runs[key];
    } else if (const auto *reply = std::get_if<Reply>(&effect)) {
        instance.replies[reply->id] = *reply;
    }
    const auto *hints = std::get_if<SendHints>(&effect);
    if (std::holds_alternative<SendProbe>(effect)
        || (hints && hints->seals.empty() && hints->suspicions.empty()))
        return;
    std::string line =
        formatEffect(hints ? Effect(SendHints{{}, hints->suspicions, hints->seals}) : effect, time);
    if (!name.empty())
        line.insert(1, "\"instance\":\"" + name + "\",");
    replay.report.output += line + '\n';
}

void trackEvent(Replay &replay, ReplayedInstance &instance, const Event &event)
{
    if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
        if (arrived->key && !arrived->isStatusQuery)
            instance.keys[arrived->id] = arrived->key->toString();
        return;
    }
    const auto *finished = std::get_if<AttemptFinished>(&event);
    if (!finished)
        return;
    const auto status = finished->result.status;
    const auto attempt = instance.attempts.find(finished->result.attempt);
    const bool isNotRun =
        status == routing::AttemptStatus::ConnectFailed || status == routing::AttemptStatus::Shed;
    if (isNotRun && attempt != instance.attempts.end())
        --replay.runs[attempt->second];
}

void runEvent(Replay &replay, const std::string &name, const std::string &line)
{
    const auto found = replay.instances.find(name);
    if (found == replay.instances.end())
        throw std::invalid_argument("no parameters line precedes the first event of the instance");
    const auto event = parseEvent(line);
    if (!event)
        throw std::invalid_argument(event.error().message);
    trackEvent(replay, found->second, event->first);
    std::vector<Effect> effects;
    step(*found->second.state, event->first, TimePoint(event->second), effects);
    ++replay.report.events;
    for (const Effect &effect : effects)
        recordEffect(replay, found->second, name, effect, event->second);
}

/// Returns a description of the mismatch, or an empty text if the expectation holds.
std::string checkRuns(const Replay &replay, const Json &json)
{
    const auto key = json.at("key").get<std::string>();
    const auto found = replay.runs.find(key);
    const std::uint64_t runs = found == replay.runs.end() ? 0 : found->second;
    const auto minimum = json.value("min", std::uint64_t(0));
    if (runs <= json.at("max").get<std::uint64_t>() && runs >= minimum)
        return {};
    return "key " + key + " ran " + std::to_string(runs) + " times";
}

std::string checkReply(const ReplayedInstance &instance, const Json &json)
{
    const auto id = json.at("id").get<RequestId>();
    const auto found = instance.replies.find(id);
    if (found == instance.replies.end())
        return "request " + std::to_string(id) + " has no reply";
    const Reply &reply = found->second;
    const std::string_view error = reply.error ? errorInfo(*reply.error).name : "";
    std::string mismatches;
    if (json.contains("outcome") && json.at("outcome") != outcomeName(reply.outcome))
        mismatches += " outcome " + std::string(outcomeName(reply.outcome));
    if (json.contains("error") && json.at("error") != error)
        mismatches += " error '" + std::string(error) + "'";
    if (json.contains("status") && json.at("status") != reply.response->status)
        mismatches += " status " + std::to_string(reply.response->status);
    return mismatches.empty() ? mismatches : "reply " + std::to_string(id) + " has" + mismatches;
}

std::string checkExpectation(Replay &replay, const std::string &name, const Json &json)
{
    const auto kind = json.at("expect").get<std::string>();
    if (kind == "runs")
        return checkRuns(replay, json);
    const auto instance = replay.instances.find(name);
    if (instance == replay.instances.end())
        throw std::invalid_argument("the expectation names an unknown instance");
    if (kind == "reply")
        return checkReply(instance->second, json);
    if (kind == "no-reply") {
        const auto id = json.at("id").get<RequestId>();
        const bool hasReply = instance->second.replies.contains(id);
        return hasReply ? "request " + std::to_string(id) + " has a reply" : "";
    }
    throw std::invalid_argument("unknown expectation: " + kind);
}

void runLine(Replay &replay, const std::string &line, std::size_t number)
{
    const Json json = Json::parse(line);
    const auto name = json.value("instance", std::string());
    if (json.contains("parameters")) {
        const auto parameters = parseParameters(line);
        if (!parameters)
            throw std::invalid_argument(parameters.error().message);
        ReplayedInstance &instance = replay.instances[name];
        instance = {};
        instance.state = makeState(*parameters, TimePoint(trace::fromNs(json.at("ns"))));
    } else if (json.contains("event")) {
        runEvent(replay, name, line);
    } else if (json.contains("expect")) {
        ++replay.report.expectations;
        const std::string mismatch = checkExpectation(replay, name, json);
        if (!mismatch.empty())
            replay.report.failures.push_back("line " + std::to_string(number) + ": " + mismatch);
    } else if (!json.contains("effect") && !json.contains("comment")) {
        throw std::invalid_argument(
            "the line has none of the members parameters, event, effect, expect and comment");
    }
}

} // namespace

std::string formatParameters(const Parameters &parameters)
{
    const Json values = {
        {"instance", parameters.instance.instance},
        {"availability_zone", parameters.instance.availabilityZone},
        {"max_instances", parameters.instance.maxInstances},
        {"seed", parameters.instance.seed},
        {"incarnation", parameters.incarnation.toString()},
        {"lane", parameters.lane},
        {"lanes", parameters.lanes},
        {"key_max_age_ms", parameters.keyMaxAge.count()},
        {"clock_tolerance_ms", parameters.clockTolerance.count()},
        {"ledger_entries", parameters.ledgerEntries},
        {"retained_answer_bytes", parameters.retainedAnswerBytes},
        {"default_deadline_ns", trace::toNs(parameters.defaultDeadline)},
        {"max_deadline_ns", trace::toNs(parameters.maxDeadline)},
    };
    return Json{{"ns", 0}, {"parameters", values}}.dump();
}

std::string formatTraceStart(const State &state, Duration time)
{
    std::string text = formatParameters(state.parameters) + '\n';
    if (state.configuration)
        text += formatEvent(ConfigurationAccepted{state.configuration}, time) + '\n';
    const PeersChanged peers{{state.reachable.begin(), state.reachable.end()}};
    text += formatEvent(peers, time) + '\n';
    return text + formatEvent(LogStateChanged{state.isLogAvailable}, time) + '\n';
}

Result<Parameters> parseParameters(const std::string &line)
{
    try {
        const Json json = Json::parse(line).at("parameters");
        Parameters parameters;
        parameters.instance.instance = json.at("instance").get<std::string>();
        parameters.instance.availabilityZone = json.at("availability_zone").get<std::string>();
        parameters.instance.maxInstances = json.at("max_instances").get<std::uint64_t>();
        parameters.instance.seed = json.at("seed").get<std::uint64_t>();
        parameters.incarnation = trace::incarnationFromJson(json.at("incarnation"));
        parameters.lane = json.at("lane").get<std::uint32_t>();
        parameters.lanes = json.at("lanes").get<std::uint32_t>();
        parameters.keyMaxAge =
            std::chrono::milliseconds(json.at("key_max_age_ms").get<std::int64_t>());
        parameters.clockTolerance =
            std::chrono::milliseconds(json.at("clock_tolerance_ms").get<std::int64_t>());
        parameters.ledgerEntries = json.at("ledger_entries").get<std::size_t>();
        parameters.retainedAnswerBytes = json.at("retained_answer_bytes").get<std::size_t>();
        parameters.defaultDeadline = trace::fromNs(json.at("default_deadline_ns"));
        parameters.maxDeadline = trace::fromNs(json.at("max_deadline_ns"));
        return parameters;
    } catch (const std::exception &error) {
        return makeError(std::string("cannot read the parameters: ") + error.what()
                         + "; see docs/traces.md for the format");
    }
}

Result<ReplayReport> replayTrace(const std::string &text)
{
    Replay replay;
    std::istringstream lines(text);
    std::string line;
    for (std::size_t number = 1; std::getline(lines, line); ++number) {
        if (line.empty())
            continue;
        try {
            runLine(replay, line, number);
        } catch (const std::exception &error) {
            return makeError("line " + std::to_string(number) + ": " + error.what());
        }
    }
    return std::move(replay.report);
}

} // namespace apricotrock::engine
