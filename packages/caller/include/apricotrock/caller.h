#pragma once

#include "apricotrock/base.h"
#include "apricotrock/http.h"

namespace apricotrock::caller {

struct Parameters
{
    Endpoint address;
    std::size_t threads = 1;
    std::size_t maxBodyBytes = 0;
    std::size_t maxHeaderBytes = 0;
    /// Further connections wait in the socket's queue, so that accepting does not run out of file
    /// descriptors.
    std::size_t maxConnections = 10000;
    std::chrono::milliseconds idleTimeout{};
    /// Longest time that a request may take to be answered.
    std::chrono::milliseconds answerTimeout{};
};

/// A complete request with the address that it came from.
struct IncomingRequest
{
    RequestId id = 0;
    HttpRequest request;
    std::string remoteAddress;
};

struct Callbacks
{
    /// Called on a listener thread; must not block. Every request is answered by answer() exactly
    /// once.
    std::function<void(IncomingRequest request)> onRequest;
    /// The caller closed its connection before the answer.
    std::function<void(RequestId id)> onCallerGone;
};

struct Counters
{
    std::uint64_t requests = 0;
    std::uint64_t answers = 0;
    /// Answers whose caller was gone.
    std::uint64_t answersDropped = 0;
    std::uint64_t malformedRequests = 0;
    std::uint64_t openConnections = 0;
};

/// HTTP/1.1 listener (RESTinio).
///
/// Requests on one connection are handed on one after the other, in their order. Malformed and
/// oversized requests are answered here and are not handed on. A connection that the caller closes
/// in either direction counts as gone.
class Listener
{
public:
    Listener(Parameters parameters, Callbacks callbacks);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// Opens the socket; an error names the address.
    Result<void> start();
    /// Thread safe. \a closeConnection adds `Connection: close`.
    void answer(RequestId id, const HttpResponse &response, bool closeConnection);
    /// The same without a copy of the body. Each header in \a extraHeaders replaces the headers of
    /// the response with its name.
    void answer(RequestId id, const std::shared_ptr<const HttpResponse> &response,
                const HttpHeaders &extraHeaders, bool closeConnection);
    [[nodiscard]] Counters counters() const;
    /// Waits until every answer was written, at most until \a deadline.
    void waitForAnswers(TimePoint deadline) const;
    /// Stops accepting connections and ends the threads; unanswered requests are dropped.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace apricotrock::caller
