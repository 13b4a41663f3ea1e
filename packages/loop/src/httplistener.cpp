#include "apricotrock/loop.h"

#include <fmt/format.h>

namespace apricotrock::loop {

namespace {

constexpr Duration timeoutCheckInterval = std::chrono::milliseconds(500);
constexpr int backlog = 1024;
/// Delay before the next accept after a failed one, for example if no file descriptor is free.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

HttpListener::HttpListener(asio::io_context &context, LoopTimers &timers, Handler handler)
    : m_context(context), m_acceptor(context), m_handler(std::move(handler))
{
    timers.callEvery(timeoutCheckInterval, [this] {
        const TimePoint now = Clock::now();
        for (const auto &each : openConnections())
            each->checkTimeout(now);
    });
}

HttpListener::~HttpListener()
{
    for (const auto &each : openConnections())
        each->abandon();
}

std::vector<std::shared_ptr<HttpServerConnection>> HttpListener::openConnections() const
{
    std::vector<std::shared_ptr<HttpServerConnection>> all;
    for (HttpServerConnection *each : m_connections->open) {
        if (auto held = each->weak_from_this().lock())
            all.push_back(std::move(held));
    }
    return all;
}

Result<void> HttpListener::listen(const Endpoint &address)
{
    std::error_code error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip, error), address.port);
    if (!error)
        m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(backlog, error);
    if (error)
        return makeError(
            fmt::format("cannot listen on {}: {}; choose a free address of this machine",
                        address.toString(), error.message()));
    accept();
    return {};
}

void HttpListener::accept()
{
    m_acceptor.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (error) {
            auto timer = std::make_shared<asio::steady_timer>(m_context, acceptRetryDelay);
            timer->async_wait([this, timer](std::error_code) {
                if (m_acceptor.is_open())
                    accept();
            });
            return;
        }
        add(std::move(socket));
        accept();
    });
}

void HttpListener::add(asio::ip::tcp::socket socket)
{
    std::make_shared<HttpServerConnection>(*this, std::move(socket))->start();
}

void HttpListener::stopAccepting()
{
    // Closing the acceptor would reset connections that it holds but has not handed over.
    std::error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        if (!error)
            add(std::move(socket));
    }
    m_acceptor.close(error);
}

void HttpListener::closeIdleConnections(Duration minIdle)
{
    // Bytes that were read already may belong to a handler in the queue of the event loop; it runs
    // first.
    for (HttpServerConnection *each : m_connections->open) {
        asio::post(m_context, [weak = each->weak_from_this(), minIdle] {
            const auto held = weak.lock();
            if (held && held->isIdleFor(minIdle, Clock::now()))
                held->startGracefulClose();
        });
    }
}

void HttpListener::refuseIncompleteRequests(int status, std::string_view text,
                                            const Headers &extraHeaders)
{
    for (const auto &each : openConnections()) {
        if (each->isReceiving())
            each->refuse(status, text, extraHeaders);
    }
}

std::size_t HttpListener::busyConnections() const
{
    std::size_t count = 0;
    for (const HttpServerConnection *each : m_connections->open) {
        if (each->isBusy())
            ++count;
    }
    return count;
}

} // namespace apricotrock::loop
