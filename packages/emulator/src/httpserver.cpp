#include "httpserver.h"

#include "connection.h"

namespace apricotrock::emulator {

namespace {

std::string_view reason(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

} // namespace

void Exchange::respond(const HttpResponse &response)
{
    if (const auto connection = m_connection.lock())
        connection->respond(response);
}

void Exchange::sendRaw(std::string bytes, AfterRaw after)
{
    if (const auto connection = m_connection.lock())
        connection->sendRaw(std::move(bytes), after);
}

void Exchange::abort(bool reset)
{
    if (const auto connection = m_connection.lock())
        connection->close(reset);
}

bool Exchange::isGone() const
{
    const auto connection = m_connection.lock();
    return !connection || connection->isClosed();
}

void Exchange::onGone(std::function<void()> callback)
{
    if (const auto connection = m_connection.lock())
        connection->onGone(std::move(callback));
}

HttpServer::HttpServer(asio::io_context &context, const Endpoint &endpoint, ExchangeHandler handler)
    : m_context(context), m_endpoint(asio::ip::make_address(endpoint.ip), endpoint.port),
      m_acceptor(context), m_handler(std::move(handler))
{
    listen();
}

HttpServer::~HttpServer()
{
    crash();
}

void HttpServer::crash()
{
    asio::error_code ignored;
    m_acceptor.close(ignored);
    const auto connections = m_connections;
    for (const auto &connection : connections)
        connection->close(true);
}

void HttpServer::restart()
{
    if (!m_acceptor.is_open())
        listen();
}

void HttpServer::freezeConnections()
{
    for (const auto &connection : m_connections)
        connection->freeze();
}

void HttpServer::listen()
{
    m_acceptor.open(m_endpoint.protocol());
    m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    m_acceptor.bind(m_endpoint);
    m_acceptor.listen();
    m_endpoint = m_acceptor.local_endpoint();
    accept();
}

void HttpServer::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        // A closed acceptor may belong to a server that no longer exists.
        if (error)
            return;
        auto connection = std::make_shared<Connection>(std::move(socket), *this);
        m_connections.insert(connection);
        connection->start();
        accept();
    });
}

std::string serialize(const HttpResponse &response, bool keepAlive)
{
    std::string bytes = "HTTP/1.1 " + std::to_string(response.status) + ' ';
    bytes += reason(response.status);
    bytes += "\r\n";
    for (const HttpHeader &header : response.headers)
        bytes += header.name + ": " + header.value + "\r\n";
    if (!findHeader(response.headers, "Content-Length"))
        bytes += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    if (!keepAlive)
        bytes += "Connection: close\r\n";
    return bytes + "\r\n" + response.body;
}

} // namespace apricotrock::emulator
