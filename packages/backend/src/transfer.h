#pragma once

#include "apricotrock/backend.h"

#include "answerreader.h"

#include <curl/curl.h>

#include <variant>

namespace apricotrock::backend {

class SocketTable;

struct EasyDeleter
{
    void operator()(CURL *easy) const { curl_easy_cleanup(easy); }
};
using EasyPtr = std::unique_ptr<CURL, EasyDeleter>;

struct ListDeleter
{
    void operator()(curl_slist *list) const { curl_slist_free_all(list); }
};

/// What a transfer needs to know of the sender.
struct TransferContext
{
    const Parameters *parameters = nullptr;
    SocketTable *sockets = nullptr;
    ReceivingMemory *memory = nullptr;
};

/// How the pool of connections may serve a transfer.
struct ConnectionPolicy
{
    bool isFresh = false;
    /// Connections that are older are not used; 0 for no limit.
    std::chrono::seconds maxLifetime{};
};

/// One request on its way to a backend server and the answer so far.
class Transfer
{
public:
    using Order = std::variant<AttemptOrder, routing::ProbeStart>;

    Transfer(TransferContext context, EasyPtr easy, Order order, TimePoint now);

    /// Prepares the handle for sending. Called again if a pooled connection was found unusable.
    void prepare(const ConnectionPolicy &policy, TimePoint now);

    [[nodiscard]] CURL *easy() const { return m_easy.get(); }
    EasyPtr takeEasy() { return std::move(m_easy); }
    [[nodiscard]] const Order &order() const { return m_order; }
    /// True if the pooled connection was unusable and nothing was written.
    [[nodiscard]] bool isStaleConnection() const { return m_isStaleConnection; }
    /// True if the request was written to a pooled connection.
    [[nodiscard]] bool isReusedConnection() const { return m_isReusedConnection; }
    [[nodiscard]] Duration latency(TimePoint now) const { return now - m_started; }
    [[nodiscard]] routing::AttemptStatus status(CURLcode code) const;
    /// The socket of a connection that is not ready yet, or CURL_SOCKET_BAD.
    [[nodiscard]] curl_socket_t connectingSocket() const
    {
        return m_isRequestStarted ? CURL_SOCKET_BAD : m_openedSocket;
    }
    AnswerReader &reader() { return m_reader; }

private:
    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self);
    static curl_socket_t onOpenSocket(void *self, curlsocktype purpose, curl_sockaddr *address);
    static int onBeforeRequest(void *self, char *remoteIp, char *localIp, int remotePort,
                               int localPort);

    void prepareConnection(const ConnectionPolicy &policy, TimePoint deadline, TimePoint now);
    void prepareAttempt(const AttemptOrder &order, TimePoint now);
    void prepareProbe(const routing::ProbeStart &order);
    void prepareTarget(const Endpoint &address, const std::string &target);
    void prepareBody(const HttpRequest &request);
    void addHeader(const std::string &line);
    void addRequestHeaders(const HttpRequest &request);
    [[nodiscard]] TimePoint deadline() const;

    const TransferContext m_context;
    EasyPtr m_easy;
    const Order m_order;
    const TimePoint m_started;
    AnswerReader m_reader;
    std::unique_ptr<curl_slist, ListDeleter> m_headers;
    curl_socket_t m_openedSocket = CURL_SOCKET_BAD;
    bool m_isStaleConnection = false;
    bool m_isReusedConnection = false;
    bool m_isRequestStarted = false;
};

} // namespace apricotrock::backend
