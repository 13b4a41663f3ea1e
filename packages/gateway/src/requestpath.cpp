#include "requestpath.h"

#include "call.h"

#include <charconv>

namespace apricotrock::gateway {

namespace {

using std::chrono::milliseconds;

/// Network time that a caller sees in addition to the work of the instance: two round trips of 8 ms
/// each way, one of them for the exchange.
constexpr Duration callerRoundTrip = milliseconds(34);
/// The final response is sent this long before the caller stops waiting.
constexpr Duration answerMargin = milliseconds(10);
/// Deadline of a caller that names none.
constexpr Duration longestDeadline = std::chrono::seconds(60);
/// Retry-After while the instance does not know any configuration.
constexpr Duration notReadyRetryAfter = milliseconds(300);

std::optional<Duration> parseMilliseconds(std::string_view text)
{
    std::int64_t count = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc() || end == text.data() || count < 0)
        return std::nullopt;
    return std::min<Duration>(milliseconds(std::min<std::int64_t>(count, 3600000)),
                              longestDeadline);
}

} // namespace

RequestPath::RequestPath(Context &context, SlotAllocator &slotAllocator,
                         QuotaAllocator &quotaAllocator, BackendPool &pool)
    : m_context(context), m_slotAllocator(slotAllocator), m_quotaAllocator(quotaAllocator),
      m_pool(pool)
{
    m_context.metrics.gauge("apricotrock_requests_in_work", "Requests without a final answer.", {},
                            [this] { return static_cast<double>(m_activeCalls->size()); });
}

void RequestPath::countAnswer(int status, std::string_view reason)
{
    m_context
        .counter("answers_total", "Final answers to callers by status and reason.",
                 {{"status", std::to_string(status)}, {"reason", std::string(reason)}})
        .add();
}

void RequestPath::countHedgeRefusal(std::string_view reason)
{
    m_context
        .counter("hedges_refused_total", "Second attempts that were not granted, by reason.",
                 {{"reason", std::string(reason)}})
        .add();
}

void RequestPath::countHedge(std::string_view outcome)
{
    m_context
        .counter("hedges_total",
                 "Second attempts that were sent while the first one was running, by outcome.",
                 {{"outcome", std::string(outcome)}})
        .add();
}

void RequestPath::countInvalidResponse(std::string_view reason)
{
    m_context
        .counter("invalid_responses_total",
                 "Responses of backend servers that were malformed or exceeded a limit, by reason.",
                 {{"reason", std::string(reason)}})
        .add();
}

void RequestPath::recordLatency(Duration latency)
{
    m_context.metrics
        .histogram("apricotrock_request_seconds", "Time from a request to its final answer.")
        .add(latency);
}

void RequestPath::refuse(const std::shared_ptr<loop::HttpExchange> &exchange, int status,
                         std::string_view reason, std::string_view text)
{
    countAnswer(status, reason);
    const auto id =
        loop::findHeader(exchange->request().headers, m_context.adapter.headers.requestId);
    m_context.log.write(EventLog::Level::Warning, "request_refused", [&](LogLine &line) {
        line.text("request", id.value_or(""))
            .number("status", status)
            .text("reason", reason)
            .text("path", exchange->request().path())
            .number("configuration_version",
                    m_context.routes.configuration()
                        ? static_cast<std::int64_t>(m_context.routes.configuration()->version)
                        : 0);
    });
    loop::Headers headers{{"Content-Type", "text/plain"}};
    if (id)
        headers.push_back({m_context.adapter.headers.requestId, std::string(*id)});
    if (status == 503)
        headers.push_back(
            {"Retry-After",
             std::to_string(std::chrono::duration<double>(notReadyRetryAfter).count())});
    exchange->respond(status, headers, text, false);
}

void RequestPath::stopBy(TimePoint deadline)
{
    m_stopBy = deadline;
    const std::vector<Call *> all(m_activeCalls->begin(), m_activeCalls->end());
    for (Call *each : all) {
        // The end of one call may release the last reference to another one.
        if (!m_activeCalls->contains(each))
            continue;
        if (const auto held = each->weak_from_this().lock())
            held->endBy(deadline);
    }
}

const fleet::Route *RequestPath::findRoute(const loop::HttpRequest &request) const
{
    const std::string_view host = loop::findHeader(request.headers, "host").value_or("");
    const fleet::Route *route =
        m_context.routes.find(host.substr(0, host.find(':')), request.path());
    return route ? route : m_context.routes.find(host, request.path());
}

bool RequestPath::mayOverlap(const loop::HttpRequest &request) const
{
    const fleet::Route *route = findRoute(request);
    return route && route->isIdempotent;
}

Authentication RequestPath::authenticateRequest(const loop::HttpRequest &request,
                                                bool isPublicRoute) const
{
    return authenticate(request.headers, m_context.adapter.headers.apiKey, isPublicRoute,
                        m_context.routes.organisations());
}

void RequestPath::handle(const std::shared_ptr<loop::HttpExchange> &exchange)
{
    const loop::HttpRequest &request = exchange->request();
    const HeaderNames &names = m_context.adapter.headers;
    const auto id = loop::findHeader(request.headers, names.requestId);
    if (!id || id->empty() || loop::countHeader(request.headers, names.requestId) != 1) {
        refuse(exchange, 400, "request_id_missing", "the request needs one request id");
        return;
    }
    if (loop::countHeader(request.headers, "host") != 1) {
        refuse(exchange, 400, "host_missing", "the request needs one Host header");
        return;
    }
    const fleet::Configuration *configuration = m_context.routes.configuration();
    if (!configuration) {
        refuse(exchange, 503, "configuration_unknown",
               "this instance does not know the configuration yet");
        return;
    }
    const fleet::Route *route = findRoute(request);
    if (!route) {
        refuse(exchange, refusalOfUnknownRoute(m_context.isConfigurationOverdue(Clock::now())));
        return;
    }
    const Authentication authentication = authenticateRequest(request, route->isPublic);
    if (authentication.isRefused()) {
        refuse(exchange, refusalOfUnknownKey(m_context.isConfigurationOverdue(Clock::now())));
        return;
    }
    const TimePoint now = exchange->requestReceivedAt();
    Call::Plan plan;
    plan.requestId = std::string(*id);
    const double random = std::uniform_real_distribution<double>(0, 1)(m_random);
    plan.service = fleet::chooseDestination(*route, random).service;
    plan.routeName = route->name;
    plan.configurationVersion = configuration->version;
    plan.isIdempotent = route->isIdempotent;
    plan.isPublic = route->isPublic;
    plan.hidesKeys = !m_context.routes.organisations().isEmpty();
    OrganisationTerms terms = termsFor(authentication.organisation, *route);
    plan.organisation = std::move(terms.name);
    plan.priority = terms.priority;
    plan.weight = terms.weight;
    plan.needsToken = terms.needsToken;
    plan.maxAttempts = route->maxAttempts;
    plan.objective = route->objective;
    plan.arrived = now;
    // Routes are identified by host and prefix, so that learned durations survive other changes.
    plan.routeKey = hash64(route->host + route->pathPrefix, 4);
    plan.fingerprint = hash64(request.body, hash64(request.method + request.target, plan.routeKey));
    const auto header = loop::findHeader(request.headers, names.deadlineMs);
    const auto parsed = header ? parseMilliseconds(*header) : std::nullopt;
    const Duration callerTimeout = parsed.value_or(std::min(longestDeadline, route->timeout));
    RouteHistory &history = m_routeHistory[plan.routeKey];
    history.longestDeadline = std::max(history.longestDeadline, callerTimeout);
    // A retrying caller has less time left than on its first attempt.
    const Duration waited = history.longestDeadline - callerTimeout;
    plan.target = now + route->objective - waited - callerRoundTrip;
    plan.deadline = now + std::min(route->timeout, callerTimeout - answerMargin);
    if (m_stopBy && plan.deadline > *m_stopBy) {
        refuse(exchange, 503, "stopping", "this instance stops before the request could end");
        return;
    }
    std::make_shared<Call>(*this, exchange)->start(std::move(plan));
}

} // namespace apricotrock::gateway
