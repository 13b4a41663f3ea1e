#include "apricotrock/base.h"

#include <algorithm>

namespace apricotrock {

namespace {

constexpr std::string_view newKeyRemedy = "safe to send again; use a new idempotency key";
constexpr std::string_view askStatusRemedy = "ask for the status of the key before sending again";

std::vector<ErrorInfo> makeTable()
{
    using enum ErrorKind;
    const auto notRun = Outcome::NotRun;
    const auto unknown = Outcome::Unknown;
    return {
        {MalformedRequest, "malformed_request", 400, notRun, "correct the request"},
        {KeyMalformed, "key_malformed", 400, notRun, "use a UUIDv7 or INCARNATION.UUIDv7 as key"},
        {UnknownService, "unknown_service", 404, notRun, "check the service name"},
        {RequestTooLarge, "request_too_large", 413, notRun, "send a smaller body"},
        {KeyReused, "key_reused", 422, notRun, "use a new key for a different request"},
        {RequestQuarantined, "request_quarantined", 422, notRun,
         "this request crashed backend servers; ask the operator before sending it again"},
        {KeyRequired, "key_required", 428, notRun, "send an Idempotency-Key header"},
        {CallerLimit, "caller_limit", 429, notRun, "send fewer requests at a time"},
        {ConnectFailed, "connect_failed", 502, notRun, newKeyRemedy},
        {NotReady, "not_ready", 503, notRun, "use another address; no configuration is in force"},
        {Stopping, "stopping", 503, notRun, "ask for addresses again and use another one"},
        {RingFull, "ring_full", 503, notRun, newKeyRemedy},
        {QueueFull, "queue_full", 503, notRun, newKeyRemedy},
        {DeadlineUnmeetable, "deadline_unmeetable", 503, notRun, newKeyRemedy},
        {NoBackendServer, "no_backend_server", 503, notRun, newKeyRemedy},
        {BackendShed, "backend_shed", 503, notRun, newKeyRemedy},
        {RetryBudgetExhausted, "retry_budget_exhausted", 503, notRun, newKeyRemedy},
        {DeadlineExpired, "deadline_expired", 504, notRun, newKeyRemedy},
        {CallerGone, "caller_gone", 499, notRun, newKeyRemedy},
        {KeyExpired, "key_expired", 409, unknown,
         "the key is older than the system remembers; check the effect of the request"},
        {RequestInProgress, "request_in_progress", 409, unknown, askStatusRemedy},
        {BackendConnectionLost, "backend_connection_lost", 502, unknown, askStatusRemedy},
        {BackendAnswerInvalid, "backend_answer_invalid", 502, unknown, askStatusRemedy},
        {OwnerUnreachable, "owner_unreachable", 503, unknown, askStatusRemedy},
        {ClaimLogUnavailable, "claim_log_unavailable", 503, unknown,
         "use a key with the key_prefix of an address, or wait for the platform's log"},
        {BackendTimeout, "backend_timeout", 504, unknown, askStatusRemedy},
        {AnswerNotRetained, "answer_not_retained", 409, Outcome::Done,
         "the action ran; its answer is no longer held"},
    };
}

} // namespace

const std::vector<ErrorInfo> &errorTable()
{
    static const std::vector<ErrorInfo> table = makeTable();
    return table;
}

const ErrorInfo &errorInfo(ErrorKind kind)
{
    return errorTable().at(static_cast<std::size_t>(kind));
}

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

std::optional<Outcome> parseOutcome(std::string_view name)
{
    for (const Outcome outcome : {Outcome::Done, Outcome::NotRun, Outcome::Unknown}) {
        if (outcomeName(outcome) == name)
            return outcome;
    }
    return std::nullopt;
}

} // namespace apricotrock
