#pragma once

#include "apricotrock/http.h"

#include <asio.hpp>

#include <set>

namespace apricotrock::emulator {

class Connection;

/// What becomes of a connection behind bytes that were sent as they are.
enum class AfterRaw {
    /// The connection is closed.
    Close,
    /// It stays open and takes no further requests.
    Mute,
    /// It takes the next request.
    Continue,
};

/// One request that waits for its answer. All calls run on the thread of the server's io_context.
class Exchange
{
public:
    Exchange(std::weak_ptr<Connection> connection, HttpRequest newRequest)
        : request(std::move(newRequest)), m_connection(std::move(connection))
    { }

    /// Sends a complete answer; keeps the connection open if the request allows it.
    void respond(const HttpResponse &response);
    /// Sends \a bytes as they are.
    void sendRaw(std::string bytes, AfterRaw after);
    /// Closes the connection; \a reset sends RST instead of FIN.
    void abort(bool reset);
    /// Returns true if the caller has closed the connection.
    [[nodiscard]] bool isGone() const;
    /// Calls \a callback when the caller closes the connection before the answer.
    void onGone(std::function<void()> callback);

    const HttpRequest request;

private:
    std::weak_ptr<Connection> m_connection;
};

using ExchangeHandler = std::function<void(std::shared_ptr<Exchange>)>;

/// A small HTTP/1.1 server that can also misbehave on the wire. RESTinio tells neither that a
/// caller has gone while its request waits, nor lets malformed answers out.
class HttpServer
{
public:
    HttpServer(asio::io_context &context, const Endpoint &endpoint, ExchangeHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// The port that was bound.
    [[nodiscard]] std::uint16_t port() const { return m_endpoint.port(); }
    /// Stops listening and resets all connections, as a crashed process does.
    void crash();
    /// Listens again after crash().
    void restart();
    /// Makes all open connections unresponsive for good; new ones work.
    void freezeConnections();
    [[nodiscard]] std::size_t connectionCount() const { return m_connections.size(); }
    /// Bytes on all connections, headers included.
    [[nodiscard]] std::uint64_t bytesReceived() const { return m_bytesReceived; }
    [[nodiscard]] std::uint64_t bytesSent() const { return m_bytesSent; }

private:
    friend class Connection;
    void listen();
    void accept();

    asio::io_context &m_context;
    asio::ip::tcp::endpoint m_endpoint;
    asio::ip::tcp::acceptor m_acceptor;
    ExchangeHandler m_handler;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::uint64_t m_bytesReceived = 0;
    std::uint64_t m_bytesSent = 0;
};

/// Returns the status line, the headers and the body of \a response as sent on the wire.
std::string serialize(const HttpResponse &response, bool keepAlive);

} // namespace apricotrock::emulator
