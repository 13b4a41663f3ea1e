#include "messageparser.h"

#include <algorithm>
#include <fmt/format.h>

namespace apricotrock::loop {

namespace {

/// How long a closing connection is still read: closing with unread bytes would send a TCP reset,
/// which can discard the last response.
constexpr Duration lingerTime = std::chrono::seconds(1);
/// Maximum number of unparsed bytes that are buffered for one connection.
constexpr std::size_t maxReadAhead = std::size_t(64) * 1024;
/// Maximum number of requests of one connection that have no response yet.
constexpr std::size_t maxPipelinedRequests = 16;
/// Maximum size of these requests. One request alone may be larger.
constexpr std::size_t maxPipelinedBytes = std::size_t(64) * 1024;
/// Maximum number of requests of all connections that are behind another one.
constexpr std::size_t maxRequestsAhead = 2048;
/// Bodies up to this size don't count towards the budget of the listener, so that small requests
/// are served while large ones use it up. The buffers of a connection are of the same order.
constexpr std::size_t smallBodyBytes = std::size_t(16) * 1024;
/// Retry-After, in seconds, of requests whose body does not fit into the budget.
constexpr const char *bodyBudgetRetryAfter = "1";

std::size_t sizeOf(const HttpRequest &request)
{
    std::size_t size = request.target.size() + request.body.size();
    for (const auto &[name, value] : request.headers)
        size += name.size() + value.size();
    return size;
}

} // namespace

struct HttpServerConnection::Parser : MessageParser
{
    Parser() : MessageParser(HTTP_REQUEST) { }
};

HttpExchange::HttpExchange(std::shared_ptr<HttpServerConnection> connection, HttpRequest request,
                           TimePoint requestReceivedAt)
    : m_connection(std::move(connection)), m_request(std::move(request)),
      m_requestReceivedAt(requestReceivedAt)
{ }

void HttpExchange::respond(int status, const Headers &contentHeaders, std::string_view body,
                           bool close)
{
    if (m_hasResponse || !isOpen())
        return;
    m_connection->addResponse(*this, status, contentHeaders, body, close);
}

void HttpExchange::abort()
{
    m_connection->close();
}

bool HttpExchange::isOpen() const
{
    return m_connection->isOpen();
}

std::string HttpExchange::remoteAddress() const
{
    return m_connection->remoteAddress();
}

HttpServerConnection::HttpServerConnection(HttpListener &listener, asio::ip::tcp::socket socket)
    : m_listener(listener), m_connections(listener.m_connections), m_socket(std::move(socket)),
      m_parser(std::make_unique<Parser>()), m_timeoutStart(Clock::now())
{
    m_connections->open.insert(this);
}

HttpServerConnection::~HttpServerConnection()
{
    m_connections->open.erase(this);
}

std::string HttpServerConnection::remoteAddress() const
{
    std::error_code error;
    const auto endpoint = m_socket.remote_endpoint(error);
    return error ? std::string() : endpoint.address().to_string();
}

void HttpServerConnection::start()
{
    std::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    read();
}

void HttpServerConnection::read()
{
    // Reading continues while a request is handled, because only a read detects that the caller
    // closed the connection.
    if (m_isReading || m_isClosed || m_input.size() > maxReadAhead)
        return;
    m_isReading = true;
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [self = shared_from_this()](std::error_code error, std::size_t count) {
                                 self->m_isReading = false;
                                 if (self->m_isClosed)
                                     return;
                                 if (error) {
                                     self->close();
                                     return;
                                 }
                                 if (!self->m_isLingering) {
                                     self->m_input.append(self->m_buffer.data(), count);
                                     self->m_lastRead = Clock::now();
                                     self->parse();
                                 }
                                 self->read();
                             });
}

void HttpServerConnection::parse()
{
    while (!m_input.empty() && !m_isClosed && !m_isInputEnded && !m_isLingering) {
        const bool isFull = m_exchanges.size() >= maxPipelinedRequests
            || m_requestBytes > maxPipelinedBytes
            || m_connections->requestsAhead >= maxRequestsAhead;
        // Requests that arrive while the listener closes its connections are left to the next
        // connection of the caller.
        const bool isClosing = m_listener.m_closeAfterResponses;
        if (!m_exchanges.empty() && (isFull || isClosing))
            return;
        Parser &parser = *m_parser;
        if (!parser.hasStarted)
            m_timeoutStart = Clock::now();
        parser.maxHeaderBytes = m_listener.m_limits.maxHeaderBytes;
        parser.maxBodyBytes = m_listener.m_limits.maxBodyBytes;
        const std::size_t used = parser.feed(m_input.data(), m_input.size());
        m_input.erase(0, used);
        if (parser.isHeaderTooLarge)
            refuse(431, "the header is larger than the limit");
        else if (parser.isBodyTooLarge)
            refuse(413, "the body is larger than the limit");
        else if (!parser.errorText.empty())
            refuse(400, parser.errorText);
        else if (!reserveBody())
            refuse(503, "the memory for requests is used up",
                   {{"Retry-After", bodyBudgetRetryAfter}});
        else if (parser.isComplete)
            addRequest();
        else
            return;
    }
}

void HttpServerConnection::addRequest()
{
    Parser &parser = *m_parser;
    HttpRequest request;
    request.method = http_method_str(static_cast<http_method>(parser.parser.method));
    request.target = std::move(parser.target);
    request.headers = std::move(parser.headers);
    request.body = std::move(parser.body);
    request.keepAlive = parser.keepAlive;
    request.lease = std::move(m_bodyLease);
    if (request.lease)
        request.lease->resize(request.body.size());
    parser.reset();
    if (request.target.empty() || request.target.front() != '/') {
        refuse(400, "the request target must be a path");
        return;
    }
    m_requestBytes += sizeOf(request);
    m_isInputEnded = !request.keepAlive;
    m_connections->requestsAhead += m_exchanges.empty() ? 0 : 1;
    m_exchanges.push_back(
        std::make_shared<HttpExchange>(shared_from_this(), std::move(request), m_lastRead));
    dispatch();
}

bool HttpServerConnection::reserveBody()
{
    std::string &body = m_parser->body;
    // A body of unknown size moves when it grows, and takes up twice its size until it has moved.
    const std::size_t bytes = m_parser->declaredBodyBytes.value_or(2 * body.size());
    if (!m_listener.m_bodyBudget || bytes <= smallBodyBytes)
        return true;
    if (!m_bodyLease)
        m_bodyLease = std::make_shared<ByteLease>(m_listener.m_bodyBudget);
    if (!m_bodyLease->resize(bytes))
        return false;
    if (m_parser->declaredBodyBytes)
        body.reserve(bytes);
    return true;
}

void HttpServerConnection::dropBody()
{
    std::string().swap(m_parser->body);
    m_bodyLease.reset();
}

bool HttpServerConnection::mayDispatch(std::size_t index) const
{
    if (index == 0)
        return true;
    const auto mayOverlap = [this](const std::shared_ptr<HttpExchange> &each) {
        return m_listener.m_mayOverlap && m_listener.m_mayOverlap(each->request());
    };
    // The one before was dispatched ahead of others itself, or is the oldest one.
    const HttpExchange &before = *m_exchanges[index - 1];
    return before.m_isDispatched && !before.m_closes && mayOverlap(m_exchanges[index - 1])
        && mayOverlap(m_exchanges[index]);
}

void HttpServerConnection::dispatch()
{
    while (!m_closeAfterWrite && !m_isClosed) {
        const auto next = std::find_if(m_exchanges.begin(), m_exchanges.end(),
                                       [](const auto &each) { return !each->m_isDispatched; });
        if (next == m_exchanges.end()
            || !mayDispatch(static_cast<std::size_t>(next - m_exchanges.begin())))
            return;
        // The handler may respond, which removes requests.
        const std::shared_ptr<HttpExchange> exchange = *next;
        exchange->m_isDispatched = true;
        m_listener.m_handler(exchange);
    }
}

void HttpServerConnection::refuse(int status, std::string_view text, const Headers &extraHeaders)
{
    if (m_listener.m_onRefusal)
        m_listener.m_onRefusal(status, text);
    m_isInputEnded = true;
    dropBody();
    m_connections->requestsAhead += m_exchanges.empty() ? 0 : 1;
    m_exchanges.push_back(
        std::make_shared<HttpExchange>(shared_from_this(), HttpRequest(), m_lastRead));
    const std::shared_ptr<HttpExchange> exchange = m_exchanges.back();
    exchange->m_isDispatched = true;
    Headers headers{{"Content-Type", "text/plain"}};
    headers.insert(headers.end(), extraHeaders.begin(), extraHeaders.end());
    exchange->respond(status, headers, text, true);
}

void HttpServerConnection::addResponse(HttpExchange &exchange, int status,
                                       const Headers &contentHeaders, std::string_view body,
                                       bool close)
{
    std::string &data = exchange.m_response;
    data.reserve(256 + body.size());
    fmt::format_to(std::back_inserter(data), "HTTP/1.1 {} {}\r\n", status, reasonPhrase(status));
    for (const auto &[name, value] : contentHeaders)
        data.append(name).append(": ").append(value).append("\r\n");
    fmt::format_to(std::back_inserter(data), "Content-Length: {}\r\n\r\n", body.size());
    if (exchange.m_request.method != "HEAD")
        data.append(body);
    exchange.m_hasResponse = true;
    exchange.m_closes = close || !exchange.m_request.keepAlive;
    exchange.m_onCallerDisconnect = nullptr;
    writeResponses();
}

void HttpServerConnection::writeResponses()
{
    if (m_isClosed || m_isWriting || m_closeAfterWrite)
        return;
    while (!m_exchanges.empty() && m_exchanges.front()->m_hasResponse && !m_closeAfterWrite) {
        const std::shared_ptr<HttpExchange> exchange = m_exchanges.front();
        m_exchanges.pop_front();
        m_connections->requestsAhead -= m_exchanges.empty() ? 0 : 1;
        m_requestBytes -= sizeOf(exchange->m_request);
        // A listener that closes its connections first sends the responses to the requests that
        // were passed on to the handler.
        const bool isOwed = !m_exchanges.empty() && m_exchanges.front()->m_isDispatched;
        m_closeAfterWrite = exchange->m_closes || (m_listener.m_closeAfterResponses && !isOwed);
        if (m_closeAfterWrite)
            exchange->m_response.insert(exchange->m_response.find("\r\n") + 2,
                                        "Connection: close\r\n");
        m_output.append(exchange->m_response);
        if (exchange->m_lease)
            m_leases.push_back(std::move(exchange->m_lease));
    }
    if (m_output.empty())
        return;
    m_isWriting = true;
    asio::async_write(m_socket, asio::buffer(m_output),
                      [self = shared_from_this()](std::error_code error, std::size_t) {
                          self->m_isWriting = false;
                          if (self->m_isClosed)
                              return;
                          if (error)
                              self->close();
                          else
                              self->handleWritten();
                      });
}

void HttpServerConnection::handleWritten()
{
    m_output.clear();
    m_output.shrink_to_fit();
    m_leases.clear();
    m_timeoutStart = Clock::now();
    if (m_closeAfterWrite) {
        startGracefulClose();
        return;
    }
    writeResponses();
    dispatch();
    parse();
    read();
}

void HttpServerConnection::startGracefulClose()
{
    m_isLingering = true;
    m_input.clear();
    // Requests behind a response that closes the connection are not passed on; the caller sends
    // them again. Those that were passed on can be repeated and are ended.
    dropRequests();
    std::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    read();
}

void HttpServerConnection::dropRequests()
{
    const auto unanswered = std::exchange(m_exchanges, {});
    m_connections->requestsAhead -= unanswered.empty() ? 0 : unanswered.size() - 1;
    for (const auto &each : unanswered) {
        if (const auto onDisconnect = std::exchange(each->m_onCallerDisconnect, nullptr))
            onDisconnect();
    }
}

void HttpServerConnection::abandon()
{
    m_isClosed = true;
    m_exchanges.clear();
}

void HttpServerConnection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_leases.clear();
    dropBody();
    std::error_code ignored;
    m_socket.close(ignored);
    m_connections->open.erase(this);
    dropRequests();
}

bool HttpServerConnection::isReceiving() const
{
    return !isBusy() && !m_isLingering && !m_isInputEnded && m_parser->hasStarted;
}

bool HttpServerConnection::isIdleFor(Duration length, TimePoint now) const
{
    if (isBusy() || m_isLingering || !m_input.empty() || m_parser->hasStarted
        || now - std::max(m_timeoutStart, m_lastRead) < length)
        return false;
    std::error_code error;
    return m_socket.available(error) == 0 || error;
}

void HttpServerConnection::checkTimeout(TimePoint now)
{
    if (!m_exchanges.empty() || m_isClosed)
        return;
    const Duration waited = now - m_timeoutStart;
    if (m_isLingering) {
        if (waited > lingerTime)
            close();
    } else if (m_isWriting) {
        if (waited > m_listener.m_limits.idleTimeout)
            close();
    } else if (m_parser->hasStarted) {
        if (!m_parser->hasHeaders && waited > m_listener.m_limits.headerTimeout)
            refuse(408, "the header was not complete in time");
        else if (waited > m_listener.m_limits.idleTimeout)
            refuse(408, "the body was not complete in time");
    } else if (waited > m_listener.m_limits.idleTimeout) {
        startGracefulClose();
        m_timeoutStart = now;
    }
}

} // namespace apricotrock::loop
