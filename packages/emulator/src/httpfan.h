#pragma once

#include "apricotrock/http.h"

using CURLM = void;

namespace apricotrock::emulator {

struct FanRequest
{
    std::string method;
    std::string url;
    HttpHeaders headers;
    std::string body;
    std::chrono::milliseconds timeout{};
};

struct FanResult
{
    /// False if no byte of the request was sent.
    bool wasSent = false;
    /// Nothing if no complete answer came.
    std::optional<HttpResponse> response;
    std::string error;
};

using FanCallback = std::function<void(FanResult result)>;

/// Many HTTP requests at a time on one thread (libcurl multi).
class HttpFan
{
public:
    HttpFan();
    ~HttpFan();
    HttpFan(const HttpFan &) = delete;
    HttpFan &operator=(const HttpFan &) = delete;

    void start(const FanRequest &request, FanCallback callback);
    /// Moves transfers on, calls back for those that ended, and returns at \a until at the latest
    /// or after some have ended.
    void poll(TimePoint until);
    [[nodiscard]] std::size_t running() const { return m_transfers.size(); }

private:
    struct Transfer;

    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *transfer);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *transfer);
    std::unique_ptr<Transfer> takeIdle();
    void finish(void *easy, int code);
    bool finishDone();

    CURLM *m_multi = nullptr;
    std::map<void *, std::unique_ptr<Transfer>> m_transfers;
    std::vector<std::unique_ptr<Transfer>> m_idle;
};

} // namespace apricotrock::emulator
