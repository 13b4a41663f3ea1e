#pragma once

#include "apricotrock/base.h"
#include "apricotrock/http.h"
#include "apricotrock/routing.h"

namespace apricotrock::backend {

struct Parameters
{
    std::size_t ringEntries = 8192;
    std::size_t maxAnswerBytes = 0;
    std::size_t maxHeaderBytes = 0;
    /// Pooled connections idle for longer are closed; libcurl counts in seconds.
    std::chrono::seconds maxIdle{10};
    /// Name of this instance for the Served-By header towards backend servers.
    std::string instance;
    /// Limit of the bodies of all answers that are being received; one that does not fit is
    /// refused.
    std::size_t maxReceivingBytes = std::size_t(64) * 1024 * 1024;
};

/// One attempt to send.
struct AttemptOrder
{
    routing::AttemptStart start;
    std::shared_ptr<const HttpRequest> request;
};

/// Callbacks run on the backend thread and must not block.
struct Callbacks
{
    /// Called exactly once for each accepted attempt, cancelled ones included. The response is set
    /// if the status is Answered or Shed.
    std::function<void(routing::AttemptResult result, std::shared_ptr<const HttpResponse> response)>
        onAttemptFinished;
    std::function<void(routing::ProbeResult result)> onProbeFinished;
};

struct Counters
{
    std::uint64_t attempts = 0;
    std::uint64_t probes = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t connectionsReused = 0;
    /// Bytes of an answer that came after its attempt had ended.
    std::uint64_t lateAnswers = 0;
};

/// HTTP client towards backend servers: one libcurl multi handle on one thread.
///
/// An answer is handed on only when it is complete. A connection whose attempt was cancelled, timed
/// out or got a malformed answer is closed. Actions use new connections, because libcurl silently
/// sends a request again if a reused connection ends before the first byte of the answer.
class Sender
{
public:
    Sender(Parameters parameters, Callbacks callbacks);
    ~Sender();
    Sender(const Sender &) = delete;
    Sender &operator=(const Sender &) = delete;

    /// Returns false if the ring is full; the attempt was then not sent.
    bool start(AttemptOrder order);
    bool cancel(AttemptId attempt);
    bool probe(routing::ProbeStart order);
    /// Closes pooled connections, after a pause of the process.
    void closeIdleConnections();
    [[nodiscard]] Counters counters() const;
    /// Cancels what is left and ends the thread.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace apricotrock::backend
