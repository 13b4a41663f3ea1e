#include "forwarding.h"

namespace apricotrock::daemon {

namespace {

using WireHeaders = std::vector<std::unique_ptr<wire::HeaderT>>;

WireHeaders toWire(const HttpHeaders &headers)
{
    WireHeaders result;
    for (const HttpHeader &header : headers) {
        result.push_back(std::make_unique<wire::HeaderT>());
        result.back()->name = header.name;
        result.back()->value = header.value;
    }
    return result;
}

HttpHeaders fromWire(const WireHeaders &headers)
{
    HttpHeaders result;
    for (const auto &header : headers)
        result.push_back({header->name, header->value});
    return result;
}

std::uint64_t microseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(count, 0));
}

} // namespace

wire::ForwardT makeForward(const engine::ForwardRequest &forward, TimePoint now)
{
    wire::ForwardT message;
    message.id = forward.id;
    message.key = std::make_unique<wire::KeyId>(wire::fromKey(forward.key));
    message.service = forward.service;
    if (forward.request) {
        message.method = forward.request->method;
        message.target = forward.request->target;
        message.headers = toWire(forward.request->headers);
        message.body = forward.request->body;
    }
    message.caller = forward.caller;
    message.deadline_us = microseconds(forward.deadline - now);
    message.status_only = forward.isStatusQuery;
    return message;
}

std::optional<engine::RequestArrived> readForward(const wire::ForwardT &forward, RequestId id,
                                                  IncarnationId from, WallTime wallTime)
{
    if (!forward.key)
        return std::nullopt;
    engine::RequestArrived request;
    request.id = id;
    request.service = forward.service;
    request.caller = forward.caller;
    request.request = {forward.method, forward.target, fromWire(forward.headers), forward.body};
    request.key = wire::toKey(*forward.key);
    // A wild deadline of a faulty peer must not overflow the clock.
    constexpr std::uint64_t longest = std::chrono::microseconds(std::chrono::hours(24)).count();
    request.timeLeft = std::chrono::microseconds(std::min(forward.deadline_us, longest));
    request.isStatusQuery = forward.status_only;
    request.forwardedBy = from;
    request.wallTime = wallTime;
    return request;
}

wire::ForwardAnswerT makeForwardAnswer(std::uint64_t id, const engine::Reply &reply,
                                       const std::string &instance)
{
    wire::ForwardAnswerT answer;
    answer.id = id;
    if (reply.error)
        answer.error_kind = errorInfo(*reply.error).name;
    answer.served_by = instance;
    if (!reply.response)
        return answer;
    answer.status = static_cast<std::uint16_t>(reply.response->status);
    answer.headers = toWire(reply.response->headers);
    answer.body = reply.response->body;
    if (const auto server = findHeader(reply.response->headers, headername::backendServer))
        answer.backend_server = *server;
    return answer;
}

std::shared_ptr<const HttpResponse> readForwardAnswer(const wire::ForwardAnswerT &answer)
{
    constexpr int lowestStatus = 200;
    constexpr int highestStatus = 599;
    if (answer.status < lowestStatus || answer.status > highestStatus)
        return nullptr;
    HttpResponse response;
    response.status = answer.status;
    response.headers = fromWire(answer.headers);
    response.body = answer.body;
    if (!findHeader(response.headers, headername::servedBy))
        response.headers.push_back({std::string(headername::servedBy), answer.served_by});
    return std::make_shared<const HttpResponse>(std::move(response));
}

} // namespace apricotrock::daemon
