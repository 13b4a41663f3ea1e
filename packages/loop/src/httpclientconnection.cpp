#include "messageparser.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>

namespace apricotrock::loop {

namespace {

/// TCP_USER_TIMEOUT: a connection whose sent bytes stay unacknowledged for this time is closed, so
/// that an unresponsive peer is detected.
constexpr int tcpUserTimeoutMs = 1500;
/// Bytes of framing allowed for each byte of a body; a chunk of one byte needs five.
constexpr std::size_t framingPerBodyByte = 8;

std::optional<Duration> readKeepAlive(const Headers &headers)
{
    const auto value = findHeader(headers, "keep-alive");
    if (!value)
        return std::nullopt;
    const std::size_t start = value->find("timeout=");
    if (start == std::string_view::npos)
        return std::nullopt;
    unsigned seconds = 0;
    const char *first = value->data() + start + 8;
    if (std::from_chars(first, value->data() + value->size(), seconds).ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

/// True if \a text contains the beginning of a response: the version, a space and a status.
bool containsStatusLine(std::string_view text)
{
    constexpr std::string_view form = "HTTP/0.0 000";
    for (std::size_t at = text.find("HTTP/"); at != std::string_view::npos;
         at = text.find("HTTP/", at + 1)) {
        const std::string_view found = text.substr(at, form.size());
        const bool hasForm = found.size() == form.size()
            && std::equal(found.begin(), found.end(), form.begin(), [](char each, char wanted) {
                                 return wanted == '0' ? each >= '0' && each <= '9' : each == wanted;
                             });
        if (hasForm)
            return true;
    }
    return false;
}

} // namespace

ByteLease::~ByteLease()
{
    m_budget->m_used -= m_bytes;
}

bool ByteLease::resize(std::size_t bytes)
{
    const std::size_t others = m_budget->m_used - m_bytes;
    if (others + bytes > m_budget->m_limit)
        return false;
    m_budget->m_used = others + bytes;
    m_bytes = bytes;
    return true;
}

struct HttpClientConnection::Parser : MessageParser
{
    Parser() : MessageParser(HTTP_RESPONSE) { }
};

HttpClientConnection::HttpClientConnection(asio::io_context &context, LoopTimers &timers,
                                           const Endpoint &address, const ResponseLimits &limits,
                                           std::shared_ptr<ByteBudget> budget)
    : m_socket(context), m_timers(timers), m_address(address), m_parser(std::make_unique<Parser>()),
      m_limits(limits), m_budget(std::move(budget))
{
    m_parser->maxBodyBytes = limits.maxBodyBytes;
}

HttpClientConnection::~HttpClientConnection() = default;

void HttpClientConnection::send(std::string data, bool isHead, Duration connectTimeout,
                                Filter filter, Callback callback)
{
    send(std::move(data), nullptr, isHead, connectTimeout, std::move(filter), std::move(callback));
}

void HttpClientConnection::send(std::string head, std::shared_ptr<const std::string> body,
                                bool isHead, Duration connectTimeout, Filter filter,
                                Callback callback)
{
    m_output = std::move(head);
    m_body = std::move(body);
    m_isHead = isHead;
    m_filter = std::move(filter);
    m_callback = std::move(callback);
    m_isReusable = false;
    m_isWritten = false;
    m_hasWriteFailed = false;
    m_parsedBytes = 0;
    m_discardedBodyBytes = 0;
    m_lease = m_budget ? std::make_shared<ByteLease>(m_budget) : nullptr;
    m_parser->reset();
    m_parser->isHead = isHead;
    if (m_isConnected) {
        writeRequest();
        return;
    }
    std::error_code error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_address.ip, error),
                                           m_address.port);
    m_connectTimer = m_timers.callAfter(connectTimeout, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->fail(ClientStatus::ConnectFailed, "connection attempt timed out");
    });
    m_socket.async_connect(endpoint, [self = shared_from_this()](std::error_code failure) {
        self->m_timers.cancel(self->m_connectTimer);
        if (self->m_isClosed)
            return;
        if (failure) {
            self->fail(ClientStatus::ConnectFailed, failure.message());
            return;
        }
        self->m_isConnected = true;
        std::error_code ignored;
        self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        const int timeout = tcpUserTimeoutMs;
        setsockopt(self->m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
                   sizeof(timeout));
        self->writeRequest();
    });
}

void HttpClientConnection::writeRequest()
{
    const auto body = std::exchange(m_body, nullptr);
    const std::array<asio::const_buffer, 2> data = {
        asio::buffer(m_output), body ? asio::buffer(*body) : asio::const_buffer()};
    asio::async_write(m_socket, data,
                      [self = shared_from_this(), body](std::error_code error, std::size_t) {
                          if (self->m_isClosed)
                              return;
                          // After a failed write, the pending read reports the end of the
                          // connection, possibly after a response.
                          self->m_isWritten = !error;
                          self->m_hasWriteFailed = bool(error);
                      });
    read();
}

void HttpClientConnection::read()
{
    if (m_isReading || m_isClosed)
        return;
    m_isReading = true;
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [self = shared_from_this()](std::error_code error, std::size_t count) {
                                 self->m_isReading = false;
                                 if (!self->m_isClosed)
                                     self->handleRead(error, count);
                             });
}

void HttpClientConnection::handleRead(std::error_code error, std::size_t count)
{
    if (!m_callback) {
        // The connection is idle: it was closed, or received bytes that belong to no request.
        const auto callback = std::exchange(m_onIdleClose, nullptr);
        close();
        if (callback)
            callback();
        return;
    }
    // The error of a reset is reported once. If the write has received it, the read reports the end
    // of the stream, which is then no proof that the server has sent its whole response.
    const bool isEnd = error == asio::error::eof && !m_hasWriteFailed;
    if (isEnd && m_parser->hasHeaders && m_parser->needsEnd) {
        m_parser->finishInput();
        if (m_parser->isComplete) {
            m_isReusable = false;
            handleResponse();
            return;
        }
    }
    if (error) {
        fail(ClientStatus::ConnectionLost, error.message());
        return;
    }
    m_received.append(m_buffer.data(), count);
    parseReceived();
    if (m_callback || m_isReusable)
        read();
}

void HttpClientConnection::parseReceived()
{
    while (!m_received.empty() && m_callback && !m_isClosed) {
        const std::size_t used = m_parser->feed(m_received.data(), m_received.size());
        m_received.erase(0, used);
        m_parsedBytes += used;
        if (!m_parser->errorText.empty() || m_parser->isBodyTooLarge) {
            fail(ClientStatus::InvalidResponse,
                 m_parser->isBodyTooLarge ? "response body too large" : m_parser->errorText);
            return;
        }
        if (const std::string_view limit = exceededLimit(); !limit.empty()) {
            fail(ClientStatus::InvalidResponse, std::string(limit));
            return;
        }
        if (!m_parser->isComplete)
            return;
        if (m_hasReceived && isJoined()) {
            fail(ClientStatus::InvalidResponse, "bytes of another response before the response");
            return;
        }
        if (m_parser->parser.status_code / 100 == 1) {
            m_parser->reset();
            m_parser->isHead = m_isHead;
            continue;
        }
        handleResponse();
    }
}

bool HttpClientConnection::isJoined() const
{
    // Elsewhere the joined bytes are invalid or belong to a response with another id.
    return containsStatusLine(m_parser->reason)
        || std::any_of(m_parser->headers.begin(), m_parser->headers.end(),
                       [](const auto &each) { return containsStatusLine(each.value); });
}

std::string_view HttpClientConnection::exceededLimit()
{
    const std::size_t body = m_parser->body.size();
    const std::size_t bodies = m_discardedBodyBytes + body;
    if (bodies > m_limits.maxBodyBytes)
        return "response body too large";
    if (m_parsedBytes - bodies > m_limits.maxHeaderBytes + framingPerBodyByte * bodies)
        return "response header or framing too large";
    if (m_lease && !m_lease->resize(body + m_parser->headerBytes))
        return "memory for responses exhausted";
    return {};
}

void HttpClientConnection::handleResponse()
{
    ClientResult result;
    result.status = ClientStatus::ResponseReceived;
    HttpResponse &response = result.response;
    response.status = m_parser->parser.status_code;
    response.reason = m_parser->reason;
    response.headers = std::move(m_parser->headers);
    response.body = std::move(m_parser->body);
    response.keepAlive = m_parser->keepAlive && !m_parser->needsEnd;
    m_parser->reset();
    m_parser->isHead = m_isHead;
    m_hasReceived = true;
    if (m_filter && !m_filter(response)) {
        // A late response to an earlier request; the response to this request may still follow.
        m_discardedBodyBytes += response.body.size();
        if (!response.keepAlive)
            fail(ClientStatus::InvalidResponse, "response belongs to another request");
        return;
    }
    // A connection is not reusable if bytes follow the response, because they belong to no request,
    // or if the request was not written completely.
    m_isReusable = response.keepAlive && m_received.empty() && m_isWritten;
    m_serverIdleTimeout = readKeepAlive(response.headers);
    m_idleSince = Clock::now();
    response.lease = std::move(m_lease);
    const Callback callback = std::exchange(m_callback, nullptr);
    m_filter = nullptr;
    const auto self = shared_from_this();
    if (m_isReusable)
        read();
    callback(std::move(result));
    if (!m_isReusable && !m_callback)
        close();
}

void HttpClientConnection::fail(ClientStatus status, std::string detail)
{
    const auto self = shared_from_this();
    const Callback callback = std::exchange(m_callback, nullptr);
    close();
    if (!callback)
        return;
    ClientResult result;
    result.status = status;
    result.detail = std::move(detail);
    callback(std::move(result));
}

void HttpClientConnection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_isReusable = false;
    m_callback = nullptr;
    m_filter = nullptr;
    m_onIdleClose = nullptr;
    m_body.reset();
    m_lease.reset();
    m_timers.cancel(m_connectTimer);
    std::error_code ignored;
    m_socket.close(ignored);
}

} // namespace apricotrock::loop
