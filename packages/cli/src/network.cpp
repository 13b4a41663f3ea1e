#include "apricotrock/cli.h"

#include <curl/curl.h>

#include <cstdlib>

namespace apricotrock::cli {

namespace {

constexpr std::size_t readBatch = 256;
constexpr std::size_t maxAnswerBytes = std::size_t(64) * 1024 * 1024;
/// libcurl keeps headers and trailers until the end of the call, and does not limit trailers.
constexpr std::size_t maxHeaderBytes = std::size_t(64) * 1024;
// A single call to the platform must leave time to try again within the command's limit.
constexpr std::chrono::milliseconds maxCallTimeout{2000};

class NetworkStream : public ConfigStream
{
public:
    NetworkStream(const std::string &url, std::chrono::milliseconds timeout)
        : m_client(url, url, std::min(timeout, maxCallTimeout))
    { }

    platform::PlatformResult<platform::ReadAnswer> read(std::uint64_t from) override
    {
        return m_client.read(wire::configStream, from, readBatch, std::chrono::milliseconds(0));
    }

    platform::PlatformResult<std::uint64_t> append(const wire::LogRecordT &record,
                                                   std::uint64_t from, TimePoint deadline) override
    {
        return platform::appendOnce(m_client, wire::configStream, record, from, deadline);
    }

private:
    platform::Client m_client;
};

std::size_t storeBody(char *data, std::size_t size, std::size_t count, void *user)
{
    auto *body = static_cast<std::string *>(user);
    // A return value that differs from the input size makes libcurl end the call.
    if (body->size() + size * count > maxAnswerBytes)
        return 0;
    body->append(data, size * count);
    return size * count;
}

std::size_t countHeader(char *, std::size_t size, std::size_t count, void *user)
{
    auto &headerBytes = *static_cast<std::size_t *>(user);
    headerBytes += size * count;
    return headerBytes <= maxHeaderBytes ? size * count : 0;
}

Result<HttpResponse> callInstance(const InstanceCall &call)
{
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(),
                                                                     &curl_easy_cleanup);
    if (!handle)
        return makeError("cannot initialize libcurl; free memory and try again");
    const std::string url = "http://" + call.instance.toString() + call.target;
    HttpResponse response;
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, call.method.c_str());
    if (call.method == "POST")
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, "");
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_PROTOCOLS_STR, "http");
    // An HTTP proxy of the operator's shell must not stand between the operator and an instance.
    curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
    std::size_t headerBytes = 0;
    curl_easy_setopt(handle.get(), CURLOPT_HEADERFUNCTION, countHeader);
    curl_easy_setopt(handle.get(), CURLOPT_HEADERDATA, &headerBytes);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, storeBody);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &response.body);
    const CURLcode code = curl_easy_perform(handle.get());
    if (code != CURLE_OK)
        return makeError(std::string(curl_easy_strerror(code))
                         + "; check the operator address and that the instance runs");
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
    return response;
}

std::string userName()
{
    for (const char *variable : {"USER", "LOGNAME"}) {
        const char *name = std::getenv(variable);
        if (name != nullptr && *name != '\0')
            return name;
    }
    return "unknown";
}

} // namespace

Environment networkEnvironment(std::ostream &out, std::ostream &err, std::istream &in)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return {out,
            err,
            in,
            [](const std::string &logUrl, std::chrono::milliseconds timeout) {
                return std::make_unique<NetworkStream>(logUrl, timeout);
            },
            callInstance,
            [](const std::string &url, std::chrono::milliseconds timeout) {
                return platform::Client(url, url, timeout).instances();
            },
            userName()};
}

} // namespace apricotrock::cli
