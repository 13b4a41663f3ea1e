#include "messageparser.h"

#include <fmt/format.h>

namespace apricotrock::loop {

namespace {

/// How long a closing connection is still read: closing with unread bytes would send a TCP reset,
/// which can discard the last response.
constexpr Duration lingerTime = std::chrono::seconds(1);
/// Maximum number of bytes of pipelined requests that are buffered while a request is handled.
constexpr std::size_t maxReadAhead = std::size_t(64) * 1024;

} // namespace

struct HttpServerConnection::Parser : MessageParser
{
    Parser() : MessageParser(HTTP_REQUEST) { }
    HttpRequest request;
};

HttpServerConnection::HttpServerConnection(HttpListener &listener, asio::ip::tcp::socket socket)
    : m_listener(listener), m_openConnections(listener.m_connections), m_socket(std::move(socket)),
      m_parser(std::make_unique<Parser>()), m_timeoutStart(Clock::now())
{
    m_openConnections->insert(this);
}

HttpServerConnection::~HttpServerConnection()
{
    m_openConnections->erase(this);
}

const HttpRequest &HttpServerConnection::request() const
{
    return m_parser->request;
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
                                     self->parse();
                                 }
                                 self->read();
                             });
}

void HttpServerConnection::parse()
{
    if (m_isHandlingRequest || m_isWriting || m_closeAfterWrite || m_input.empty())
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
    else if (parser.isComplete)
        dispatchRequest();
}

void HttpServerConnection::dispatchRequest()
{
    Parser &parser = *m_parser;
    HttpRequest &request = parser.request;
    request.method = http_method_str(static_cast<http_method>(parser.parser.method));
    request.target = std::move(parser.target);
    request.headers = std::move(parser.headers);
    request.body = std::move(parser.body);
    request.keepAlive = parser.keepAlive;
    parser.reset();
    if (request.target.empty() || request.target.front() != '/') {
        refuse(400, "the request target must be a path");
        return;
    }
    m_isHandlingRequest = true;
    m_requestReceivedAt = Clock::now();
    m_onCallerDisconnect = nullptr;
    m_listener.m_handler(shared_from_this());
}

void HttpServerConnection::refuse(int status, std::string_view text)
{
    if (m_listener.m_onRefusal)
        m_listener.m_onRefusal(status, text);
    m_isHandlingRequest = true;
    respond(status, {{"Content-Type", "text/plain"}}, text, true);
}

void HttpServerConnection::respond(int status, const Headers &contentHeaders, std::string_view body,
                                   bool close)
{
    if (m_isClosed || !m_isHandlingRequest)
        return;
    m_isHandlingRequest = false;
    m_onCallerDisconnect = nullptr;
    const bool closes = close || !m_parser->request.keepAlive || m_listener.m_closeAfterResponses;
    std::string data;
    data.reserve(256 + body.size());
    fmt::format_to(std::back_inserter(data), "HTTP/1.1 {} {}\r\n", status, reasonPhrase(status));
    for (const auto &[name, value] : contentHeaders)
        data.append(name).append(": ").append(value).append("\r\n");
    fmt::format_to(std::back_inserter(data), "Content-Length: {}\r\n", body.size());
    if (closes)
        data.append("Connection: close\r\n");
    data.append("\r\n");
    if (m_parser->request.method != "HEAD")
        data.append(body);
    write(std::move(data), closes);
}

void HttpServerConnection::write(std::string data, bool close)
{
    m_output = std::move(data);
    m_isWriting = true;
    m_closeAfterWrite = close;
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
    m_lease.reset();
    m_timeoutStart = Clock::now();
    if (m_closeAfterWrite) {
        startGracefulClose();
        return;
    }
    parse();
    read();
}

void HttpServerConnection::startGracefulClose()
{
    m_isLingering = true;
    m_input.clear();
    std::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    read();
}

void HttpServerConnection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_lease.reset();
    std::error_code ignored;
    m_socket.close(ignored);
    m_openConnections->erase(this);
    if (const auto onDisconnect = std::exchange(m_onCallerDisconnect, nullptr))
        onDisconnect();
}

void HttpServerConnection::checkTimeout(TimePoint now)
{
    if (m_isHandlingRequest || m_isClosed)
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
