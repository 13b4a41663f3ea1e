#include "call.h"

// API keys of calls and tokens under the quotas of their organisations.
namespace apricotrock::gateway {

namespace {

using std::chrono::milliseconds;

/// Retry-After of a request whose key may be held by a newer configuration.
constexpr Duration unconfirmedRetryAfter = milliseconds(300);
/// A request with less than this part of its latency target left can't meet it: the work takes
/// about as long.
constexpr double minTimeForWork = 0.4;

} // namespace

void Call::requestToken()
{
    // The callback may run before requestToken() returns.
    auto isAnswered = std::make_shared<bool>(false);
    const bool isLate = m_plan.target - m_plan.arrived < m_plan.objective * minTimeForWork;
    const std::uint64_t ticket = m_path.m_quotaAllocator.requestToken(
        m_plan.organisation, isLate ? quota::Timeliness::Late : quota::Timeliness::InTime,
        [self = shared_from_this(), isAnswered](const QuotaDecision &decision) {
            *isAnswered = true;
            self->m_pendingToken.reset();
            self->handleTokenDecision(decision);
        });
    if (!*isAnswered)
        m_pendingToken = ticket;
}

void Call::handleTokenDecision(const QuotaDecision &decision)
{
    if (decision.verdict == quota::Verdict::Granted) {
        m_token = decision.token;
        requestSlot(false);
        return;
    }
    const bool isExceeded = decision.verdict == quota::Verdict::Exceeded;
    const std::string_view reason = isExceeded ? "quota_exceeded" : "quota_unknown";
    logEvent(EventLog::Level::Warning, "quota_refused", [&](LogLine &line) {
        line.text("organisation", m_plan.organisation)
            .text("reason", reason)
            .milliseconds("retry_after", decision.retryAfter)
            .milliseconds("waited", Clock::now() - m_plan.arrived);
    });
    fail(isExceeded ? 429 : 503, reason, decision.retryAfter);
}

void Call::returnUnusedToken()
{
    if (!m_token || m_hasReachedServer || wasSent())
        return;
    m_path.m_quotaAllocator.returnToken(*m_token);
    m_token.reset();
}

bool Call::checkKeyAgain()
{
    const fleet::OrganisationTable &organisations = m_path.m_context.routes.organisations();
    // A request that was admitted without a key was sent before the configuration asked for one.
    if (m_plan.organisation.empty() || organisations.isEmpty())
        return true;
    const Authentication authentication =
        m_path.authenticateRequest(m_exchange->request(), m_plan.isPublic);
    // The organisation is kept, so that a later attempt is refused too.
    if (authentication.isRefused())
        return false;
    // A newer configuration may have moved the key to another organisation.
    m_plan.organisation = authentication.organisation ? authentication.organisation->name : "";
    return true;
}

void Call::failWithoutKey()
{
    if (respondWithServerFailure())
        return;
    const bool isOverdue = m_path.m_context.isConfigurationOverdue(Clock::now());
    const ConfigurationRefusal refusal = refusalOfUnknownKey(isOverdue);
    if (m_mayHaveRun)
        fail(502, refusal.reason, {});
    else
        fail(refusal.status, refusal.reason, unconfirmedRetryAfter);
}

} // namespace apricotrock::gateway
