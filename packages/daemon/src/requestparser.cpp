#include "requestparser.h"

#include <algorithm>

namespace apricotrock::daemon {

namespace {

constexpr std::string_view addressesPath = "/addresses";
constexpr std::string_view servicesPrefix = "/services/";
constexpr std::string_view requestsPrefix = "/requests/";

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::size_t countHeaders(const HttpHeaders &headers, std::string_view name)
{
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(), [name](const HttpHeader &header) {
            return equalsIgnoringCase(header.name, name);
        }));
}

std::string callerOf(const caller::IncomingRequest &incoming)
{
    const auto name = findHeader(incoming.request.headers, headername::callerName);
    return name && !name->empty() ? std::string(*name) : incoming.remoteAddress;
}

/// Reads the Idempotency-Key header of \a incoming into \a request.
std::optional<Refusal> readKey(const caller::IncomingRequest &incoming,
                               engine::RequestArrived &request)
{
    const HttpHeaders &headers = incoming.request.headers;
    const auto text = findHeader(headers, headername::idempotencyKey);
    if (!text)
        return std::nullopt;
    // One of several keys may be the one under which another copy ran.
    if (countHeaders(headers, headername::idempotencyKey) > 1)
        return Refusal{ErrorKind::KeyMalformed, Outcome::Unknown};
    const auto key = IdempotencyKey::parse(*text);
    if (!key)
        return Refusal{ErrorKind::KeyMalformed, Outcome::NotRun};
    // Lookups may run any number of times and need no key.
    if (!isLookupMethod(incoming.request.method))
        request.key = key;
    return std::nullopt;
}

std::optional<Refusal> readDeadline(const caller::IncomingRequest &incoming,
                                    engine::RequestArrived &request)
{
    const auto text = findHeader(incoming.request.headers, headername::requestDeadline);
    if (!text)
        return std::nullopt;
    request.timeLeft = parseDeadline(*text);
    if (request.timeLeft
        && countHeaders(incoming.request.headers, headername::requestDeadline) == 1)
        return std::nullopt;
    return Refusal{ErrorKind::MalformedRequest,
                   unrecordedOutcome(ErrorKind::MalformedRequest, request)};
}

/// Splits `/services/SERVICE/REST` into the service and the target towards the backend server.
std::optional<Refusal> readService(caller::IncomingRequest &incoming,
                                   engine::RequestArrived &request)
{
    const std::string &target = incoming.request.target;
    const std::string_view path = pathOf(target);
    if (!path.starts_with(servicesPrefix))
        return Refusal{ErrorKind::UnknownService,
                       unrecordedOutcome(ErrorKind::UnknownService, request)};
    const auto slash = path.find('/', servicesPrefix.size());
    request.service = path.substr(servicesPrefix.size(), slash - servicesPrefix.size());
    if (request.service.empty())
        return Refusal{ErrorKind::UnknownService,
                       unrecordedOutcome(ErrorKind::UnknownService, request)};
    const std::size_t restStart = servicesPrefix.size() + request.service.size();
    std::string rest = target.substr(restStart);
    if (rest.empty() || rest.front() != '/')
        rest.insert(rest.begin(), '/');
    incoming.request.target = std::move(rest);
    return std::nullopt;
}

/// Reads `GET /requests/KEY?service=NAME`.
ParsedRequest parseStatusQuery(const caller::IncomingRequest &incoming,
                               engine::RequestArrived request)
{
    const std::string_view path = pathOf(incoming.request.target);
    request.key = IdempotencyKey::parse(path.substr(requestsPrefix.size()));
    if (!request.key)
        return Refusal{ErrorKind::KeyMalformed, Outcome::NotRun};
    request.isStatusQuery = true;
    const auto service = queryValue(incoming.request.target, "service");
    if (!service || service->empty() || incoming.request.method != "GET")
        return Refusal{ErrorKind::MalformedRequest, Outcome::Unknown};
    request.service = *service;
    request.request.method = "GET";
    request.request.target = "/";
    return request;
}

} // namespace

ParsedRequest parseRequest(caller::IncomingRequest incoming, WallTime wallTime)
{
    engine::RequestArrived request;
    request.id = incoming.id;
    request.caller = callerOf(incoming);
    request.wallTime = wallTime;
    if (const auto refusal = readKey(incoming, request))
        return *refusal;
    if (const auto refusal = readDeadline(incoming, request))
        return *refusal;
    const std::string_view path = pathOf(incoming.request.target);
    if (path == addressesPath && incoming.request.method == "GET")
        return AddressQuery{queryValue(incoming.request.target, "zone").value_or(""),
                            request.caller};
    if (path.starts_with(requestsPrefix))
        return parseStatusQuery(incoming, std::move(request));
    if (const auto refusal = readService(incoming, request))
        return *refusal;
    request.request = std::move(incoming.request);
    return request;
}

bool isKeyedAction(const engine::RequestArrived &request)
{
    return request.key.has_value();
}

Outcome unrecordedOutcome(ErrorKind kind, const engine::RequestArrived &request)
{
    return isKeyedAction(request) ? Outcome::Unknown : errorInfo(kind).outcome;
}

} // namespace apricotrock::daemon
