#include "connection.h"

namespace apricotrock::emulator {

Connection::Connection(asio::ip::tcp::socket socket, HttpServer &server)
    : m_socket(std::move(socket)), m_server(&server)
{
    http_parser_init(&m_parser, HTTP_REQUEST);
    m_parser.data = this;
    asio::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void Connection::respond(const HttpResponse &response)
{
    std::string bytes = serialize(response, m_keepAlive);
    if (m_parser.method == HTTP_HEAD)
        bytes.resize(bytes.size() - response.body.size());
    write(std::move(bytes), !m_keepAlive);
}

void Connection::sendRaw(std::string bytes, AfterRaw after)
{
    m_isMuted = m_isMuted || after == AfterRaw::Mute;
    write(std::move(bytes), after == AfterRaw::Close);
}

void Connection::close(bool reset)
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    asio::error_code ignored;
    if (reset)
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
    auto self = shared_from_this();
    m_server->m_connections.erase(self);
    if (m_isWaiting && m_onGone) {
        auto callback = std::move(m_onGone);
        m_onGone = nullptr;
        callback();
    }
}

int Connection::onUrl(http_parser *parser, const char *data, std::size_t size)
{
    of(parser).m_request.target.append(data, size);
    return 0;
}

int Connection::onHeaderField(http_parser *parser, const char *data, std::size_t size)
{
    Connection &self = of(parser);
    if (self.m_request.headers.empty() || self.m_isValueLast)
        self.m_request.headers.emplace_back();
    self.m_isValueLast = false;
    self.m_request.headers.back().name.append(data, size);
    return 0;
}

int Connection::onHeaderValue(http_parser *parser, const char *data, std::size_t size)
{
    Connection &self = of(parser);
    self.m_isValueLast = true;
    self.m_request.headers.back().value.append(data, size);
    return 0;
}

int Connection::onBody(http_parser *parser, const char *data, std::size_t size)
{
    of(parser).m_request.body.append(data, size);
    return 0;
}

int Connection::onComplete(http_parser *parser)
{
    Connection &self = of(parser);
    self.m_request.method = http_method_str(static_cast<http_method>(parser->method));
    self.m_keepAlive = http_should_keep_alive(parser) != 0;
    self.m_isComplete = true;
    // Bytes behind the request stay unparsed until it is answered.
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings &Connection::parserSettings()
{
    static const http_parser_settings settings = [] {
        http_parser_settings result;
        http_parser_settings_init(&result);
        result.on_url = &Connection::onUrl;
        result.on_header_field = &Connection::onHeaderField;
        result.on_header_value = &Connection::onHeaderValue;
        result.on_body = &Connection::onBody;
        result.on_message_complete = &Connection::onComplete;
        return result;
    }();
    return settings;
}

Connection &Connection::of(http_parser *parser)
{
    return *static_cast<Connection *>(parser->data);
}

void Connection::read()
{
    auto self = shared_from_this();
    m_socket.async_read_some(asio::buffer(m_input),
                             [self](const asio::error_code &error, std::size_t size) {
                                 if (error)
                                     self->close(false);
                                 else
                                     self->onRead(size);
                             });
}

void Connection::onRead(std::size_t size)
{
    if (m_isClosed)
        return;
    m_server->m_bytesReceived += size;
    m_rest.append(m_input.data(), size);
    dispatch();
    // Reading goes on while a request waits, so that the end of the connection is noticed.
    if (!m_isClosed)
        read();
}

void Connection::dispatch()
{
    if (m_isClosed || m_isWaiting || m_isMuted || m_rest.empty())
        return;
    const std::size_t parsed =
        http_parser_execute(&m_parser, &parserSettings(), m_rest.data(), m_rest.size());
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (error != HPE_OK && error != HPE_PAUSED) {
        close(false);
        return;
    }
    m_rest.erase(0, parsed);
    if (!m_isComplete)
        return;
    http_parser_pause(&m_parser, 0);
    m_isComplete = false;
    m_isWaiting = true;
    HttpRequest request = std::move(m_request);
    m_request = HttpRequest();
    m_isValueLast = false;
    m_server->m_handler(std::make_shared<Exchange>(weak_from_this(), std::move(request)));
}

void Connection::write(std::string bytes, bool closeAfter)
{
    if (m_isClosed || m_isFrozen || !m_isWaiting)
        return;
    m_onGone = nullptr;
    m_output = std::move(bytes);
    m_server->m_bytesSent += m_output.size();
    auto self = shared_from_this();
    asio::async_write(m_socket, asio::buffer(m_output),
                      [self, closeAfter](const asio::error_code &error, std::size_t) {
                          if (error)
                              self->close(false);
                          else
                              self->onWritten(closeAfter);
                      });
}

void Connection::onWritten(bool closeAfter)
{
    m_isWaiting = m_isMuted;
    if (closeAfter) {
        close(false);
        return;
    }
    dispatch();
}

} // namespace apricotrock::emulator
