#pragma once

#include "httpserver.h"

#include <http_parser.h>

#include <array>

namespace apricotrock::emulator {

/// One connection of a caller: reads requests and writes one answer to each, in order.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::ip::tcp::socket socket, HttpServer &server);

    void start() { read(); }
    void respond(const HttpResponse &response);
    void sendRaw(std::string bytes, AfterRaw after);
    void freeze() { m_isMuted = m_isFrozen = true; }
    void close(bool reset);
    [[nodiscard]] bool isClosed() const { return m_isClosed; }
    void onGone(std::function<void()> callback) { m_onGone = std::move(callback); }

private:
    static int onUrl(http_parser *parser, const char *data, std::size_t size);
    static int onHeaderField(http_parser *parser, const char *data, std::size_t size);
    static int onHeaderValue(http_parser *parser, const char *data, std::size_t size);
    static int onBody(http_parser *parser, const char *data, std::size_t size);
    static int onComplete(http_parser *parser);
    static const http_parser_settings &parserSettings();
    static Connection &of(http_parser *parser);

    void read();
    void onRead(std::size_t size);
    void dispatch();
    void write(std::string bytes, bool closeAfter);
    void onWritten(bool closeAfter);

    asio::ip::tcp::socket m_socket;
    HttpServer *m_server;
    http_parser m_parser{};
    std::array<char, 16384> m_input{};
    /// Bytes that arrived while a request waited for its answer.
    std::string m_rest;
    std::string m_output;
    HttpRequest m_request;
    bool m_isValueLast = false;
    bool m_isComplete = false;
    bool m_keepAlive = true;
    bool m_isWaiting = false;
    bool m_isClosed = false;
    bool m_isMuted = false;
    bool m_isFrozen = false;
    std::function<void()> m_onGone;
};

} // namespace apricotrock::emulator
