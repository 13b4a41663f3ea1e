#include "retry.h"

#include "selection.h"

namespace apricotrock::routing {

namespace {

/// Share of shed attempts above which the whole service counts as overloaded. A retry would then
/// only displace a first attempt.
constexpr double maxShedShareForRetry = 0.25;

ErrorKind failureKind(AttemptStatus status)
{
    switch (status) {
    case AttemptStatus::Shed:
        return ErrorKind::BackendShed;
    case AttemptStatus::ConnectFailed:
        return ErrorKind::ConnectFailed;
    case AttemptStatus::Answered:
    case AttemptStatus::AnswerInvalid:
        return ErrorKind::BackendAnswerInvalid;
    case AttemptStatus::ConnectionLost:
    case AttemptStatus::Cancelled:
        return ErrorKind::BackendConnectionLost;
    case AttemptStatus::Timeout:
        break;
    }
    return ErrorKind::BackendTimeout;
}

Counter retryCounter(AttemptStatus status)
{
    switch (status) {
    case AttemptStatus::Shed:
        return Counter::RetryAfterShed;
    case AttemptStatus::ConnectFailed:
        return Counter::RetryAfterConnectFailed;
    case AttemptStatus::Answered:
    case AttemptStatus::AnswerInvalid:
        return Counter::RetryAfterInvalidAnswer;
    case AttemptStatus::ConnectionLost:
    case AttemptStatus::Cancelled:
        return Counter::RetryAfterConnectionLost;
    case AttemptStatus::Timeout:
        break;
    }
    return Counter::RetryAfterTimeout;
}

/// Returns true if the status proves that the request did not run.
bool isProvenNotRun(AttemptStatus status)
{
    return status == AttemptStatus::ConnectFailed || status == AttemptStatus::Shed;
}

bool canRetry(const RequestState &request, AttemptStatus status, TimePoint now)
{
    const bool isLookup = request.request.requestClass == RequestClass::Lookup;
    return (isLookup || isProvenNotRun(status)) && request.request.deadline > now
        && request.attempts < request.service->policy.maxAttempts
        && hasUsableEndpoint(*request.service);
}

} // namespace

bool isRetryableStatus(int httpStatus)
{
    return httpStatus >= 502 && httpStatus <= 504;
}

RetryDecision decideRetry(State &state, const RequestState &request, const AttemptResult &result,
                          TimePoint now)
{
    ServiceState &service = *request.service;
    RetryDecision decision{false, failureKind(result.status)};
    if (!canRetry(request, result.status, now) || service.shedShare > maxShedShareForRetry)
        return decision;
    if (!withdraw(service.retryBudget)) {
        count(state, Counter::RetryDeniedByBudget);
        if (isProvenNotRun(result.status))
            decision.failure = ErrorKind::RetryBudgetExhausted;
        return decision;
    }
    count(state, retryCounter(result.status));
    decision.isAllowed = true;
    return decision;
}

} // namespace apricotrock::routing
