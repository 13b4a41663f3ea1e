#include "loadgenerator.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace apricotrock::emulator {

namespace {

constexpr std::chrono::seconds addressWait{10};
constexpr std::chrono::milliseconds pollInterval{20};
/// Time for the system to answer an expired call itself.
constexpr std::chrono::milliseconds timeoutGrace{300};
constexpr std::chrono::milliseconds firstResendDelay{20};
constexpr int firstErrorStatus = 400;
constexpr int statusShed = 503;

} // namespace

LoadGenerator::LoadGenerator(LoadParameters parameters)
    : m_parameters(std::move(parameters)), m_schedule(m_parameters.schedule),
      m_random(m_parameters.schedule.seed + 1)
{
    if (!m_parameters.recordFile.empty())
        m_record.open(m_parameters.recordFile);
    if (!m_parameters.direct.empty())
        return;
    for (std::size_t i = 0; i < m_parameters.callers; ++i)
        m_books.push_back(std::make_unique<AddressBook>(m_fan, m_parameters.instances,
                                                        m_parameters.name + '-' + std::to_string(i),
                                                        m_parameters.zone));
}

RunReport LoadGenerator::run()
{
    waitForAddresses();
    const TimePoint start = Clock::now();
    std::optional<Duration> next = m_schedule.next();
    while (next || m_open > 0) {
        const TimePoint now = Clock::now();
        while (next && start + *next <= now) {
            startCall(start + *next);
            next = m_schedule.next();
        }
        for (const auto &book : m_books)
            book->refresh(now, false);
        sendWaiting(now);
        TimePoint until = now + pollInterval;
        if (next)
            until = std::min(until, start + *next);
        if (!m_waiting.empty())
            until = std::min(until, m_waiting.top().time);
        m_fan.poll(until);
    }
    m_report.length = Clock::now() - start;
    sortSamples(m_report);
    return std::move(m_report);
}

void LoadGenerator::waitForAddresses()
{
    const TimePoint deadline = Clock::now() + addressWait;
    const auto isReady = [](const auto &book) { return book->choose(0) != nullptr; };
    while (!std::all_of(m_books.begin(), m_books.end(), isReady)) {
        const TimePoint now = Clock::now();
        if (now > deadline)
            throw std::runtime_error("no instance answered GET /addresses within 10 s; start the "
                                     "instances or correct --instances");
        for (const auto &book : m_books)
            book->refresh(now, false);
        m_fan.poll(now + pollInterval);
    }
}

void LoadGenerator::startCall(TimePoint due)
{
    const auto call = std::make_shared<Call>();
    std::uniform_real_distribution<double> share(0, 1);
    call->isAction = share(m_random) < m_parameters.actionShare;
    call->caller = m_calls % std::max<std::size_t>(1, m_books.size());
    call->service = m_parameters.services[m_calls % m_parameters.services.size()];
    call->token = m_parameters.name + '-' + std::to_string(++m_calls);
    call->due = due;
    call->deadline = due + m_parameters.deadline;
    m_report.startLags.push_back(
        std::chrono::duration<double, std::milli>(Clock::now() - due).count());
    ++m_open;
    if (m_open > m_parameters.maxInFlight)
        throw std::runtime_error("more calls in flight than --max-in-flight allows");
    sendAttempt(call);
}

void LoadGenerator::sendAttempt(const CallPtr &call)
{
    auto request = buildRequest(*call);
    ++call->attempts;
    if (!request) {
        end(call, call->mayBeKnown ? CallEnd::Unknown : CallEnd::NotRun);
        return;
    }
    m_fan.start(*request, [this, call](const FanResult &result) { onResult(call, result); });
}

std::optional<FanRequest> LoadGenerator::buildRequest(Call &call)
{
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - Clock::now());
    if (left.count() <= 0)
        return std::nullopt;
    FanRequest request;
    request.method = call.isAction ? "POST" : "GET";
    request.timeout = std::min(left + timeoutGrace, m_parameters.attemptTimeout);
    request.headers = {{std::string(headername::requestDeadline), std::to_string(left.count())}};
    const std::string target = (call.isAction ? "/orders?token=" : "/status?token=") + call.token;
    std::string prefix;
    if (m_parameters.direct.empty()) {
        const CallerAddress *address = m_books[call.caller]->choose(call.attempts);
        prefix = address->keyPrefix;
        request.url = "http://" + address->address + "/services/" + call.service + target;
        request.headers.push_back({std::string(headername::callerName),
                                   m_parameters.name + '-' + std::to_string(call.caller)});
    } else {
        const std::size_t index = (m_calls + call.attempts) % m_parameters.direct.size();
        request.url = "http://" + m_parameters.direct[index] + target;
    }
    if (call.isAction) {
        request.body = std::string(m_parameters.bodyBytes, 'x');
        if (call.key.empty() && m_parameters.keyMode != KeyMode::None) {
            call.key = makeKey(prefix);
            call.keys.push_back(call.key);
        }
        if (!call.key.empty())
            request.headers.push_back({std::string(headername::idempotencyKey), call.key});
    }
    return request;
}

void LoadGenerator::onResult(const CallPtr &call, const FanResult &result)
{
    if (result.response) {
        onAnswer(call, *result.response);
        return;
    }
    ++m_report.refusals[result.wasSent ? "(answer lost)" : "(not connected)"];
    if (!m_books.empty())
        m_books[call->caller]->refresh(Clock::now(), true);
    call->mayBeKnown = call->mayBeKnown || result.wasSent;
    // A key that no instance has seen need not be kept: another instance can own the next one.
    resendOrEnd(call, call->mayBeKnown ? CallEnd::Unknown : CallEnd::NotRun, !call->mayBeKnown);
}

void LoadGenerator::onAnswer(const CallPtr &call, const HttpResponse &response)
{
    call->mayBeKnown = true;
    if (const auto servedBy = findHeader(response.headers, headername::servedBy))
        ++m_report.servedBy[std::string(*servedBy)];
    if (const auto backend = findHeader(response.headers, headername::backendServer))
        ++m_report.backendServers[std::string(*backend)];
    const auto kind = findHeader(response.headers, headername::errorKind);
    const auto text = findHeader(response.headers, headername::requestOutcome);
    const Outcome outcome =
        parseOutcome(text.value_or(std::string_view())).value_or(Outcome::Unknown);
    if (kind || response.status == statusShed) {
        ++m_report.refusals[kind ? std::string(*kind) : "(shed)"];
        const bool isNotRun = outcome == Outcome::NotRun;
        if (outcome == Outcome::Done)
            end(call, Clock::now() <= call->deadline ? CallEnd::Ok : CallEnd::Late);
        else
            resendOrEnd(call, isNotRun ? CallEnd::NotRun : CallEnd::Unknown, isNotRun);
    } else if (response.status >= firstErrorStatus) {
        end(call, CallEnd::ErrorStatus);
    } else if (response.body.find("token=" + call->token + '"') == std::string::npos) {
        end(call, CallEnd::Mismatch);
    } else {
        end(call, Clock::now() <= call->deadline ? CallEnd::Ok : CallEnd::Late);
    }
}

void LoadGenerator::resendOrEnd(const CallPtr &call, CallEnd callEnd, bool needsNewKey)
{
    // Without a key, only the proof that nothing ran allows a resend of an action.
    const bool isAllowed = !call->isAction || !call->key.empty() || callEnd == CallEnd::NotRun;
    const auto delay = firstResendDelay * (1 << std::min(call->attempts, 6U));
    const TimePoint time = Clock::now() + delay;
    if (!isAllowed || call->attempts > m_parameters.maxResends || time >= call->deadline) {
        end(call, callEnd);
        return;
    }
    if (needsNewKey) {
        call->key.clear();
        call->mayBeKnown = false;
    }
    m_waiting.push({time, call});
}

void LoadGenerator::end(const CallPtr &call, CallEnd callEnd)
{
    --m_open;
    m_report.add({call->isAction, callEnd, Clock::now() - call->due, call->attempts - 1});
    if (call->isAction && m_record.is_open())
        record(*call, callEnd);
}

void LoadGenerator::record(const Call &call, CallEnd callEnd)
{
    const bool isDone = callEnd == CallEnd::Ok || callEnd == CallEnd::Late
        || callEnd == CallEnd::ErrorStatus || callEnd == CallEnd::Mismatch;
    const char *outcome = isDone ? "done" : callEnd == CallEnd::NotRun ? "not-run" : "unknown";
    m_record << nlohmann::json{{"token", call.token}, {"keys", call.keys}, {"outcome", outcome}}
             << '\n';
}

void LoadGenerator::sendWaiting(TimePoint now)
{
    while (!m_waiting.empty() && m_waiting.top().time <= now) {
        const CallPtr call = m_waiting.top().call;
        m_waiting.pop();
        sendAttempt(call);
    }
}

std::string LoadGenerator::makeKey(const std::string &prefix)
{
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    IdempotencyKey key;
    if (m_parameters.keyMode == KeyMode::Bound)
        key.owner = IncarnationId::parse(prefix);
    key.uuid = Uuid7::make(now, m_random(), m_random());
    return key.toString();
}

} // namespace apricotrock::emulator
