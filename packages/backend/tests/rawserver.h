#pragma once

#include "apricotrock/base.h"

#include <asio.hpp>

#include <atomic>

/// What the server does after it has read the head of a request.
struct Reaction
{
    /// Bytes to send, each after the delay of its step.
    struct Step
    {
        std::chrono::milliseconds delay{};
        std::string bytes;
    };
    std::vector<Step> steps;
    bool closesConnection = false;
};

/// A server on the loopback address that answers the requests of all connections with raw bytes, in
/// the order of the given reactions; the last one repeats.
class RawServer
{
public:
    explicit RawServer(std::vector<Reaction> reactions)
        : m_reactions(std::move(reactions)),
          m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~RawServer()
    {
        m_context.stop();
        m_thread.join();
    }

    [[nodiscard]] apricotrock::Endpoint endpoint() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    /// Heads of the requests received so far.
    std::vector<std::string> requests()
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

    [[nodiscard]] int connections() const { return m_connections; }
    [[nodiscard]] int openConnections() const { return m_openConnections; }

private:
    struct Connection
    {
        asio::ip::tcp::socket socket;
        asio::steady_timer timer;
        std::string buffer;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept()
    {
        m_acceptor.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            ++m_connections;
            ++m_openConnections;
            read(std::make_shared<Connection>(
                Connection{std::move(socket), asio::steady_timer(m_context), {}}));
            accept();
        });
    }

    void read(const ConnectionPtr &connection)
    {
        asio::async_read_until(
            connection->socket, asio::dynamic_buffer(connection->buffer), "\r\n\r\n",
            [this, connection](asio::error_code error, std::size_t bytes) {
                if (error) {
                    --m_openConnections;
                    return;
                }
                const std::size_t number = remember(connection->buffer.substr(0, bytes));
                connection->buffer.erase(0, bytes);
                react(connection, m_reactions[std::min(number, m_reactions.size() - 1)], 0);
                read(connection);
            });
    }

    std::size_t remember(std::string head)
    {
        const std::lock_guard lock(m_mutex);
        m_requests.push_back(std::move(head));
        return m_requests.size() - 1;
    }

    void react(const ConnectionPtr &connection, const Reaction &reaction, std::size_t step)
    {
        if (step == reaction.steps.size()) {
            if (reaction.closesConnection)
                connection->socket.shutdown(asio::ip::tcp::socket::shutdown_both);
            return;
        }
        connection->timer.expires_after(reaction.steps[step].delay);
        connection->timer.async_wait([this, connection, &reaction, step](asio::error_code error) {
            if (error)
                return;
            asio::error_code ignored;
            asio::write(connection->socket, asio::buffer(reaction.steps[step].bytes), ignored);
            react(connection, reaction, step + 1);
        });
    }

    const std::vector<Reaction> m_reactions;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::atomic<int> m_connections{0};
    std::atomic<int> m_openConnections{0};
    std::thread m_thread;
};
