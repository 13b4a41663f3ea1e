#include "transfer.h"

#include "sockettable.h"

namespace apricotrock::backend {

namespace {

/// A connection that takes longer than this share of the time left is given up, so that time is
/// left for another backend server.
constexpr int connectShare = 3;
constexpr std::chrono::milliseconds minimumConnectTime{50};

std::chrono::milliseconds roundUp(Duration duration)
{
    const auto time = std::chrono::ceil<std::chrono::milliseconds>(duration);
    return std::max(time, std::chrono::milliseconds(1));
}

long count(std::chrono::milliseconds time)
{
    return static_cast<long>(time.count());
}

bool isHead(const Transfer::Order &order)
{
    const auto *attempt = std::get_if<AttemptOrder>(&order);
    return attempt != nullptr && attempt->request->method == "HEAD";
}

/// Headers that this system or libcurl writes itself.
bool isReplacedHeader(std::string_view name)
{
    for (const std::string_view replaced :
         {std::string_view("Host"), std::string_view("Content-Length"), headername::requestDeadline,
          headername::servedBy}) {
        if (equalsIgnoringCase(name, replaced))
            return true;
    }
    return isHopByHopHeader(name);
}

/// Methods whose requests carry a length also if the body is empty (RFC 9110, section 8.6).
bool hasBodySemantics(const std::string &method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

Transfer::Transfer(TransferContext context, EasyPtr easy, Order order, TimePoint now)
    : m_context(context), m_easy(std::move(easy)), m_order(std::move(order)), m_started(now),
      m_reader({context.parameters->maxHeaderBytes, context.parameters->maxAnswerBytes},
               isHead(m_order), context.memory)
{ }

TimePoint Transfer::deadline() const
{
    if (const auto *attempt = std::get_if<AttemptOrder>(&m_order))
        return attempt->start.deadline;
    return std::get<routing::ProbeStart>(m_order).deadline;
}

void Transfer::prepare(const ConnectionPolicy &policy, TimePoint now)
{
    m_isStaleConnection = false;
    m_headers.reset();
    curl_easy_reset(easy());
    prepareConnection(policy, deadline(), now);
    if (const auto *attempt = std::get_if<AttemptOrder>(&m_order))
        prepareAttempt(*attempt, now);
    else
        prepareProbe(std::get<routing::ProbeStart>(m_order));
    curl_easy_setopt(easy(), CURLOPT_HTTPHEADER, m_headers.get());
}

void Transfer::prepareConnection(const ConnectionPolicy &policy, TimePoint deadline, TimePoint now)
{
    CURL *handle = easy();
    const auto timeLeft = roundUp(deadline - now);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_HTTP09_ALLOWED, 0L);
    curl_easy_setopt(handle, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, count(timeLeft));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     count(std::max(timeLeft / connectShare, minimumConnectTime)));
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, policy.isFresh ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN,
                     static_cast<long>(m_context.parameters->maxIdle.count()));
    curl_easy_setopt(handle, CURLOPT_MAXLIFETIME_CONN,
                     static_cast<long>(policy.maxLifetime.count()));
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &Transfer::onHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &Transfer::onBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, &Transfer::onOpenSocket);
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(
        handle, CURLOPT_CLOSESOCKETFUNCTION, +[](void *sockets, curl_socket_t socket) {
            static_cast<SocketTable *>(sockets)->close(socket);
            return 0;
        });
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, m_context.sockets);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &Transfer::onBeforeRequest);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
}

void Transfer::prepareTarget(const Endpoint &address, const std::string &target)
{
    curl_easy_setopt(easy(), CURLOPT_URL, ("http://" + address.toString() + '/').c_str());
    curl_easy_setopt(easy(), CURLOPT_REQUEST_TARGET, target.c_str());
}

void Transfer::prepareAttempt(const AttemptOrder &order, TimePoint now)
{
    const HttpRequest &request = *order.request;
    prepareTarget(order.start.address, request.target);
    if (request.method == "HEAD")
        curl_easy_setopt(easy(), CURLOPT_NOBODY, 1L);
    else
        prepareBody(request);
    addRequestHeaders(request);
    const auto timeLeft = std::chrono::floor<std::chrono::milliseconds>(order.start.deadline - now);
    addHeader(std::string(headername::requestDeadline) + ": "
              + std::to_string(std::max<std::int64_t>(timeLeft.count(), 1)));
}

void Transfer::prepareProbe(const routing::ProbeStart &order)
{
    prepareTarget(order.address, order.path);
    addHeader(std::string(headername::servedBy) + ": " + m_context.parameters->instance);
}

/// The body stays in the request, which the order keeps alive.
void Transfer::prepareBody(const HttpRequest &request)
{
    if (!request.body.empty() || hasBodySemantics(request.method)) {
        curl_easy_setopt(easy(), CURLOPT_POST, 1L);
        curl_easy_setopt(easy(), CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(easy(), CURLOPT_POSTFIELDS, request.body.data());
    }
    curl_easy_setopt(easy(), CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void Transfer::addRequestHeaders(const HttpRequest &request)
{
    for (const HttpHeader &header : request.headers) {
        if (isReplacedHeader(header.name))
            continue;
        // libcurl writes a header without value only if a semicolon stands for the colon.
        addHeader(header.value.empty() ? header.name + ';' : header.name + ": " + header.value);
    }
    // A name without value keeps libcurl from adding its own header.
    for (const char *name : {"Accept", "Content-Type", "Expect"}) {
        if (!findHeader(request.headers, name) || std::string_view(name) == "Expect")
            addHeader(std::string(name) + ':');
    }
    addHeader(std::string(headername::servedBy) + ": " + m_context.parameters->instance);
}

void Transfer::addHeader(const std::string &line)
{
    curl_slist *list = curl_slist_append(m_headers.get(), line.c_str());
    if (list == nullptr)
        throw std::bad_alloc();
    // The first call makes the list; later calls return the same head.
    (void)m_headers.release();
    m_headers.reset(list);
}

routing::AttemptStatus Transfer::status(CURLcode code) const
{
    using enum routing::AttemptStatus;
    if (code == CURLE_OK)
        return m_reader.isHeadComplete() && !m_reader.isInvalid() ? Answered : AnswerInvalid;
    long requestBytes = 0;
    curl_easy_getinfo(easy(), CURLINFO_REQUEST_SIZE, &requestBytes);
    if (!m_isRequestStarted && requestBytes == 0)
        return ConnectFailed;
    if (m_reader.isInvalid())
        return AnswerInvalid;
    if (code == CURLE_OPERATION_TIMEDOUT)
        return Timeout;
    const bool isProtocolFault =
        code == CURLE_UNSUPPORTED_PROTOCOL || code == CURLE_WEIRD_SERVER_REPLY;
    return m_reader.isStarted() || isProtocolFault ? AnswerInvalid : ConnectionLost;
}

std::size_t Transfer::onHeader(char *data, std::size_t size, std::size_t count, void *self)
{
    const std::size_t bytes = size * count;
    return static_cast<Transfer *>(self)->m_reader.addHeaderLine({data, bytes}) ? bytes : 0;
}

std::size_t Transfer::onBody(char *data, std::size_t size, std::size_t count, void *self)
{
    const std::size_t bytes = size * count;
    // A short count ends the transfer; an empty write never comes.
    return static_cast<Transfer *>(self)->m_reader.addBody({data, bytes}) ? bytes : 0;
}

curl_socket_t Transfer::onOpenSocket(void *self, curlsocktype, curl_sockaddr *address)
{
    auto *transfer = static_cast<Transfer *>(self);
    transfer->m_openedSocket =
        ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    return transfer->m_openedSocket;
}

/// Called when a connection is ready, before the first byte of the request.
int Transfer::onBeforeRequest(void *self, char *remoteIp, char *localIp, int remotePort,
                              int localPort)
{
    auto *transfer = static_cast<Transfer *>(self);
    SocketTable &sockets = *transfer->m_context.sockets;
    const SocketTable::Ends ends{remoteIp, remotePort, localIp, localPort};
    // libcurl would send the request a second time; whether it runs again is not its choice.
    if (transfer->m_isRequestStarted)
        return CURL_PREREQFUNC_ABORT;
    if (transfer->m_openedSocket != CURL_SOCKET_BAD) {
        sockets.add(ends, transfer->m_openedSocket);
    } else if (!sockets.isQuiet(ends)) {
        transfer->m_isStaleConnection = true;
        return CURL_PREREQFUNC_ABORT;
    } else {
        transfer->m_isReusedConnection = true;
    }
    transfer->m_isRequestStarted = true;
    return CURL_PREREQFUNC_OK;
}

} // namespace apricotrock::backend
