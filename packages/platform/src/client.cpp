#include "apricotrock/platform.h"

#include "answers.h"
#include "httpcall.h"

namespace apricotrock::platform {

namespace {

constexpr int statusOk = 200;
constexpr int statusCreated = 201;
constexpr int statusServiceUnavailable = 503;
constexpr int firstServerError = 500;
constexpr std::size_t maxAppendAnswerBytes = 64UL * 1024;
constexpr std::size_t maxListBytes = 4UL * 1024 * 1024;
constexpr std::size_t maxReadBytes = 64UL * 1024 * 1024;

tl::unexpected<PlatformError> failure(PlatformFailure kind, std::string message)
{
    return tl::make_unexpected(PlatformError{kind, std::move(message)});
}

/// Maps a call without the status \a expected to a failure. A 503 and the client errors say that
/// the call had no effect; other server errors don't.
std::optional<PlatformError> callFailure(const CallResult &result, int expected,
                                         const std::string &url)
{
    switch (result.progress) {
    case CallProgress::NotSent:
        return PlatformError{PlatformFailure::NotDone, url + ": " + result.error};
    case CallProgress::AnswerLost:
        return PlatformError{PlatformFailure::Uncertain, url + ": " + result.error};
    case CallProgress::AnswerTooLong:
        return PlatformError{PlatformFailure::Malformed, url + ": the answer is too long"};
    case CallProgress::Answered:
        break;
    }
    if (result.status == expected)
        return std::nullopt;
    const bool isRefusal = result.status == statusServiceUnavailable || result.status / 100 == 4;
    const PlatformFailure kind = isRefusal  ? PlatformFailure::NotDone
        : result.status >= firstServerError ? PlatformFailure::Uncertain
                                            : PlatformFailure::Malformed;
    return PlatformError{kind, url + ": HTTP status " + std::to_string(result.status)};
}

} // namespace

struct Client::Private
{
    std::string logUrl;
    std::string instancesUrl;
    std::chrono::milliseconds timeout{};
    HttpCall call;
    std::size_t listBytes = 0;

    std::string recordsUrl(std::string_view stream) const
    {
        return logUrl + "/streams/" + std::string(stream) + "/records";
    }
};

Client::Client(std::string logUrl, std::string instancesUrl, std::chrono::milliseconds timeout)
    : m_private(std::make_unique<Private>())
{
    m_private->logUrl = std::move(logUrl);
    m_private->instancesUrl = std::move(instancesUrl);
    m_private->timeout = timeout;
}

Client::~Client() = default;

PlatformResult<std::uint64_t> Client::append(std::string_view stream, std::string_view data)
{
    const std::string url = m_private->recordsUrl(stream);
    const CallResult result =
        m_private->call.post(url, data, m_private->timeout, maxAppendAnswerBytes);
    if (auto error = callFailure(result, statusCreated, url))
        return tl::make_unexpected(std::move(*error));
    const auto offset = parseAppendAnswer(result.body);
    if (!offset)
        return failure(PlatformFailure::Malformed, url + ": " + offset.error().message);
    return *offset;
}

PlatformResult<ReadAnswer> Client::read(std::string_view stream, std::uint64_t from,
                                        std::size_t maxRecords, std::chrono::milliseconds wait)
{
    const std::string url = m_private->recordsUrl(stream) + "?from=" + std::to_string(from)
        + "&max=" + std::to_string(maxRecords) + "&wait_ms=" + std::to_string(wait.count());
    const CallResult result = m_private->call.get(url, m_private->timeout + wait, maxReadBytes);
    if (auto error = callFailure(result, statusOk, url))
        return tl::make_unexpected(std::move(*error));
    auto answer = parseReadAnswer(result.body, from);
    if (!answer)
        return failure(PlatformFailure::Malformed, url + ": " + answer.error().message);
    return std::move(*answer);
}

PlatformResult<std::vector<InstanceInfo>> Client::instances()
{
    const std::string url = m_private->instancesUrl + "/instances";
    const CallResult result = m_private->call.get(url, m_private->timeout, maxListBytes);
    if (auto error = callFailure(result, statusOk, url))
        return tl::make_unexpected(std::move(*error));
    m_private->listBytes = result.body.size();
    auto instances = parseInstances(result.body);
    if (!instances)
        return failure(PlatformFailure::Malformed, url + ": " + instances.error().message);
    return std::move(*instances);
}

std::size_t Client::listBytes() const
{
    return m_private->listBytes;
}

void Client::cancel()
{
    m_private->call.cancel();
}

} // namespace apricotrock::platform
