#include "httpfan.h"

#include <curl/curl.h>

namespace apricotrock::emulator {

namespace {

constexpr std::size_t maxBodyBytes = 16UL * 1024 * 1024;
constexpr long maxPooledConnections = 1024;
/// libcurl waits in whole milliseconds; shorter waits are spent polling.
constexpr std::chrono::milliseconds shortestWait{2};

} // namespace

struct HttpFan::Transfer
{
    Transfer() : easy(curl_easy_init()) { }
    ~Transfer()
    {
        curl_easy_cleanup(easy);
        curl_slist_free_all(headers);
    }
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;

    CURL *easy;
    curl_slist *headers = nullptr;
    HttpResponse response;
    std::string body;
    FanCallback callback;
};

HttpFan::HttpFan()
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    m_multi = curl_multi_init();
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxPooledConnections);
}

HttpFan::~HttpFan()
{
    for (const auto &[easy, transfer] : m_transfers)
        curl_multi_remove_handle(m_multi, easy);
    m_transfers.clear();
    m_idle.clear();
    curl_multi_cleanup(m_multi);
}

void HttpFan::start(const FanRequest &request, FanCallback callback)
{
    std::unique_ptr<Transfer> transfer = takeIdle();
    CURL *easy = transfer->easy;
    transfer->callback = std::move(callback);
    transfer->body = request.body;
    for (const HttpHeader &header : request.headers)
        transfer->headers =
            curl_slist_append(transfer->headers, (header.name + ": " + header.value).c_str());
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &HttpFan::onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &HttpFan::onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
    if (request.method != "GET") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(transfer->body.size()));
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }
    curl_multi_add_handle(m_multi, easy);
    m_transfers.emplace(easy, std::move(transfer));
}

void HttpFan::poll(TimePoint until)
{
    while (true) {
        int running = 0;
        curl_multi_perform(m_multi, &running);
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now());
        if (finishDone() || left.count() < 0)
            return;
        if (left >= shortestWait)
            curl_multi_poll(m_multi, nullptr, 0, static_cast<int>(left.count()) - 1, nullptr);
        else if (Clock::now() >= until)
            return;
    }
}

std::size_t HttpFan::onHeader(char *data, std::size_t size, std::size_t count, void *transfer)
{
    auto &response = static_cast<Transfer *>(transfer)->response;
    const std::string_view line(data, size * count);
    // A new status line starts the headers of the final answer after an interim one.
    if (line.starts_with("HTTP/"))
        response.headers.clear();
    const auto colon = line.find(':');
    if (colon != std::string_view::npos) {
        const auto start = line.find_first_not_of(" \t", colon + 1);
        const auto end = line.find_last_not_of(" \t\r\n");
        const bool isEmpty = start == std::string_view::npos || end < start;
        response.headers.push_back(
            {std::string(line.substr(0, colon)),
             isEmpty ? std::string() : std::string(line.substr(start, end - start + 1))});
    }
    return size * count;
}

std::size_t HttpFan::onBody(char *data, std::size_t size, std::size_t count, void *transfer)
{
    auto &response = static_cast<Transfer *>(transfer)->response;
    if (response.body.size() + size * count > maxBodyBytes)
        return 0;
    response.body.append(data, size * count);
    return size * count;
}

std::unique_ptr<HttpFan::Transfer> HttpFan::takeIdle()
{
    if (m_idle.empty())
        return std::make_unique<Transfer>();
    std::unique_ptr<Transfer> transfer = std::move(m_idle.back());
    m_idle.pop_back();
    return transfer;
}

void HttpFan::finish(void *easy, int code)
{
    const auto found = m_transfers.find(easy);
    std::unique_ptr<Transfer> transfer = std::move(found->second);
    m_transfers.erase(found);
    FanResult result;
    long requestBytes = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &requestBytes);
    result.wasSent = requestBytes > 0;
    if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        transfer->response.status = static_cast<int>(status);
        result.response = std::move(transfer->response);
    } else {
        result.error = curl_easy_strerror(static_cast<CURLcode>(code));
    }
    const FanCallback callback = std::move(transfer->callback);
    curl_easy_reset(easy);
    curl_slist_free_all(transfer->headers);
    transfer->headers = nullptr;
    transfer->response = HttpResponse();
    m_idle.push_back(std::move(transfer));
    callback(std::move(result));
}

bool HttpFan::finishDone()
{
    bool hasFinished = false;
    int remaining = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &remaining)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        CURL *easy = message->easy_handle;
        const int code = message->data.result;
        curl_multi_remove_handle(m_multi, easy);
        finish(easy, code);
        hasFinished = true;
    }
    return hasFinished;
}

} // namespace apricotrock::emulator
