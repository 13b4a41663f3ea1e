#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

using CURL = void;
using CURLM = void;

namespace apricotrock::platform {

/// How far a call came.
enum class CallProgress {
    /// No byte of the request was sent.
    NotSent,
    /// The request may have been received, but no complete answer came.
    AnswerLost,
    /// The answer was longer than allowed.
    AnswerTooLong,
    Answered,
};

struct CallResult
{
    CallProgress progress = CallProgress::NotSent;
    int status = 0;
    std::string body;
    std::string error;
};

/// Sends one HTTP request at a time and waits for its answer.
class HttpCall
{
public:
    HttpCall();
    ~HttpCall();
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;

    CallResult get(const std::string &url, std::chrono::milliseconds timeout,
                   std::size_t maxAnswerBytes);
    /// Uses a new connection: libcurl resends a request on its own when a reused connection fails
    /// before the first byte of the answer.
    CallResult post(const std::string &url, std::string_view body,
                    std::chrono::milliseconds timeout, std::size_t maxAnswerBytes);
    /// Ends the call under way; later calls fail at once. For any thread.
    void cancel();

private:
    struct Answer
    {
        std::string body;
        std::size_t limit = 0;
        bool isTooLong = false;
        /// Bytes of the head, of interim answers and of trailers.
        std::size_t headerBytes = 0;
    };

    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *answer);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *answer);
    CallResult perform(const std::string &url, std::chrono::milliseconds timeout, Answer &answer);
    /// Returns the CURLcode of the transfer.
    int transfer();
    CallResult toResult(int code, Answer &answer);

    CURL *m_easy = nullptr;
    CURLM *m_multi = nullptr;
    std::atomic<bool> m_isCancelled = false;
};

} // namespace apricotrock::platform
