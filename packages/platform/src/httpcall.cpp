#include "httpcall.h"

#include <curl/curl.h>

namespace apricotrock::platform {

namespace {

constexpr std::chrono::seconds maxConnectionIdle{20};
constexpr std::chrono::milliseconds pollInterval{1000};
/// libcurl keeps headers and trailers until the next call, and does not limit trailers.
constexpr std::size_t maxHeaderBytes = 64UL * 1024;

void initializeCurl()
{
    static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(code);
}

} // namespace

HttpCall::HttpCall()
{
    initializeCurl();
    m_easy = curl_easy_init();
    m_multi = curl_multi_init();
}

HttpCall::~HttpCall()
{
    curl_easy_cleanup(m_easy);
    curl_multi_cleanup(m_multi);
}

CallResult HttpCall::get(const std::string &url, std::chrono::milliseconds timeout,
                         std::size_t maxAnswerBytes)
{
    curl_easy_reset(m_easy);
    Answer answer{{}, maxAnswerBytes};
    curl_easy_setopt(m_easy, CURLOPT_HTTPGET, 1L);
    curl_easy_setopt(m_easy, CURLOPT_MAXAGE_CONN, static_cast<long>(maxConnectionIdle.count()));
    return perform(url, timeout, answer);
}

CallResult HttpCall::post(const std::string &url, std::string_view body,
                          std::chrono::milliseconds timeout, std::size_t maxAnswerBytes)
{
    curl_easy_reset(m_easy);
    Answer answer{{}, maxAnswerBytes};
    curl_slist *headers = curl_slist_append(nullptr, "Content-Type: application/octet-stream");
    // A request with Expect would wait for an interim answer that the service need not send.
    headers = curl_slist_append(headers, "Expect:");
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(m_easy, CURLOPT_POST, 1L);
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, body.data());
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
    curl_easy_setopt(m_easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(m_easy, CURLOPT_FORBID_REUSE, 1L);
    CallResult result = perform(url, timeout, answer);
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, nullptr);
    curl_slist_free_all(headers);
    return result;
}

void HttpCall::cancel()
{
    m_isCancelled = true;
    curl_multi_wakeup(m_multi);
}

std::size_t HttpCall::onHeader(char *, std::size_t size, std::size_t count, void *answer)
{
    auto &target = *static_cast<Answer *>(answer);
    target.headerBytes += size * count;
    target.isTooLong = target.isTooLong || target.headerBytes > maxHeaderBytes;
    return target.isTooLong ? 0 : size * count;
}

std::size_t HttpCall::onBody(char *data, std::size_t size, std::size_t count, void *answer)
{
    auto &target = *static_cast<Answer *>(answer);
    const std::size_t bytes = size * count;
    if (target.body.size() + bytes > target.limit) {
        target.isTooLong = true;
        return 0;
    }
    target.body.append(data, bytes);
    return bytes;
}

CallResult HttpCall::perform(const std::string &url, std::chrono::milliseconds timeout,
                             Answer &answer)
{
    curl_easy_setopt(m_easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
    curl_easy_setopt(m_easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, &HttpCall::onHeader);
    curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, &answer);
    curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &HttpCall::onBody);
    curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, &answer);
    return toResult(transfer(), answer);
}

int HttpCall::transfer()
{
    if (m_isCancelled)
        return CURLE_COULDNT_CONNECT;
    curl_multi_add_handle(m_multi, m_easy);
    int code = CURLE_ABORTED_BY_CALLBACK;
    int running = 1;
    while (running > 0 && !m_isCancelled) {
        curl_multi_perform(m_multi, &running);
        if (running > 0)
            curl_multi_poll(m_multi, nullptr, 0, static_cast<int>(pollInterval.count()), nullptr);
    }
    int remaining = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &remaining)) {
        if (message->msg == CURLMSG_DONE)
            code = message->data.result;
    }
    curl_multi_remove_handle(m_multi, m_easy);
    return code;
}

CallResult HttpCall::toResult(int code, Answer &answer)
{
    CallResult result;
    if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
        result.progress = CallProgress::Answered;
        result.status = static_cast<int>(status);
        result.body = std::move(answer.body);
        return result;
    }
    result.error = curl_easy_strerror(static_cast<CURLcode>(code));
    long requestBytes = 0;
    curl_easy_getinfo(m_easy, CURLINFO_REQUEST_SIZE, &requestBytes);
    const bool isUnsent = code == CURLE_COULDNT_CONNECT || requestBytes == 0;
    result.progress = answer.isTooLong ? CallProgress::AnswerTooLong
        : isUnsent                     ? CallProgress::NotSent
                                       : CallProgress::AnswerLost;
    return result;
}

} // namespace apricotrock::platform
