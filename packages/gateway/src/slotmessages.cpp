#include "slotmessages.h"

#include <algorithm>

namespace apricotrock::gateway {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

std::int32_t toMicroseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<microseconds>(duration).count();
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(count, INT32_MIN, INT32_MAX));
}

} // namespace

wire::SlotRequest encodeRequest(std::uint64_t ticket, const AllocationRequest &request,
                                TimePoint now)
{
    const broker::AttemptRequest &ask = request.attempt;
    return {ticket,
            serviceKey(request.service),
            ask.route,
            ask.fingerprint,
            ask.excluded[0],
            ask.excluded[1],
            ask.excluded[2],
            static_cast<std::uint32_t>(toMicroseconds(ask.objective)),
            toMicroseconds(ask.target - now),
            toMicroseconds(ask.deadline - now),
            ask.zone,
            ask.organisation,
            static_cast<float>(ask.weight),
            static_cast<std::uint8_t>(std::min(ask.priority, 255U)),
            static_cast<std::uint8_t>(std::min(ask.earlierAttempts, 255U)),
            ask.isHedge};
}

broker::AttemptRequest decodeRequest(const std::string &ip, const wire::SlotRequest &message,
                                     TimePoint now)
{
    broker::AttemptRequest ask;
    ask.key = {instanceKey(ip), message.ticket()};
    ask.route = message.route();
    ask.fingerprint = message.fingerprint();
    ask.priority = message.priority();
    ask.earlierAttempts = message.earlier_attempts();
    ask.isHedge = message.is_hedge();
    ask.objective = microseconds(message.objective_us());
    ask.target = now + microseconds(message.target_us());
    ask.deadline = now + microseconds(message.deadline_us());
    ask.zone = message.zone();
    ask.organisation = message.organisation();
    ask.weight = message.weight();
    ask.excluded = {message.excluded_1(), message.excluded_2(), message.excluded_3()};
    return ask;
}

wire::SlotRelease encodeRelease(const SlotTicket &ticket, const broker::AttemptEnd &end,
                                const fleet::ServerEntry *leaving)
{
    const broker::LoadReport load = end.load.value_or(broker::LoadReport());
    const auto pause = std::chrono::duration_cast<milliseconds>(end.pause).count();
    return {ticket.number,
            serviceKey(ticket.service),
            end.server,
            static_cast<std::uint32_t>(toMicroseconds(end.duration)),
            static_cast<std::uint16_t>(load.running),
            static_cast<std::uint16_t>(load.waiting),
            static_cast<std::uint16_t>(load.slots),
            static_cast<std::uint16_t>(load.slowdown * 100),
            static_cast<std::uint8_t>(end.outcome),
            end.load.has_value(),
            leaving != nullptr,
            static_cast<std::uint32_t>(std::clamp<std::int64_t>(pause, 0, UINT32_MAX)),
            leaving ? leaving->processStartMs : 0};
}

broker::AttemptEnd decodeRelease(const std::string &ip, const wire::SlotRelease &message)
{
    broker::AttemptEnd end;
    end.key = {instanceKey(ip), message.ticket()};
    end.server = message.server();
    end.outcome = static_cast<broker::AttemptOutcome>(message.outcome());
    end.duration = microseconds(message.duration_us());
    if (message.has_load()) {
        end.load = broker::LoadReport{message.running(), message.waiting(), message.slots(),
                                      message.slowdown_percent() / 100.0};
    }
    end.pause = milliseconds(message.pause_ms());
    return end;
}

wire::SlotResponse encodeResponse(const broker::Decision &decision)
{
    return {decision.key.ticket,
            decision.server,
            static_cast<std::uint32_t>(toMicroseconds(decision.expected)),
            static_cast<std::uint32_t>(toMicroseconds(decision.retryAfter)),
            toMicroseconds(decision.reportAge),
            static_cast<std::uint8_t>(decision.verdict),
            static_cast<std::uint8_t>(decision.reason),
            static_cast<std::uint16_t>(decision.slots),
            static_cast<std::uint16_t>(decision.taken),
            static_cast<std::uint16_t>(decision.waiting)};
}

broker::Decision decodeResponse(const std::string &ip, const wire::SlotResponse &answer)
{
    broker::Decision decision;
    decision.key = {instanceKey(ip), answer.ticket()};
    decision.verdict = static_cast<broker::Verdict>(answer.verdict());
    decision.reason = static_cast<broker::RefusalReason>(answer.reason());
    decision.server = answer.server();
    decision.expected = microseconds(answer.expected_us());
    decision.retryAfter = microseconds(answer.retry_after_us());
    decision.reportAge = microseconds(answer.report_age_us());
    decision.slots = answer.slots();
    decision.taken = answer.taken();
    decision.waiting = answer.waiting();
    return decision;
}

wire::CrashReportT encodeCrashReport(std::uint64_t service, const broker::CrashReport &report)
{
    wire::CrashReportT message;
    message.service = service;
    message.fingerprint = report.fingerprint;
    message.processes = report.processes;
    message.age_ms =
        static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(report.age).count());
    return message;
}

} // namespace apricotrock::gateway
