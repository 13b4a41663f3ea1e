#include "apricotrock/caller.h"

#include "exchangetable.h"
#include "requestcheck.h"
#include "responsehead.h"

#include <atomic>

namespace apricotrock::caller {

namespace {

/// RESTinio reads one request ahead, because it notices a closed connection only while it reads.
constexpr std::size_t pipelinedRequests = 2;
/// RESTinio closes the connection of a larger body; between the limit and this one the whole body
/// is read, so that the answer reaches the caller.
constexpr std::size_t bodySlackBytes = std::size_t(1024) * 1024;
constexpr std::size_t maxHeaderFields = 256;

/// Receives what RESTinio reports; the only use is to answer requests that its parser refused.
class ParserErrorLogger
{
public:
    using ErrorCallback = std::function<void(const std::string &text)>;

    explicit ParserErrorLogger(ErrorCallback callback) : m_callback(std::move(callback)) { }

    template <typename Builder>
    void trace(Builder &&)
    { }
    template <typename Builder>
    void info(Builder &&)
    { }
    template <typename Builder>
    void warn(Builder &&)
    { }
    template <typename Builder>
    void error(Builder &&builder)
    {
        m_callback(builder());
    }

private:
    ErrorCallback m_callback;
};

class StateListener
{
public:
    explicit StateListener(std::function<void(ConnectionId, bool isOpen)> callback)
        : m_callback(std::move(callback))
    { }

    // The name is given by RESTinio.
    // NOLINTNEXTLINE(readability-identifier-naming)
    void state_changed(const restinio::connection_state::notice_t &notice) noexcept
    {
        const bool isClosed =
            restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause());
        m_callback(notice.connection_id(), !isClosed);
    }

private:
    std::function<void(ConnectionId, bool isOpen)> m_callback;
};

struct ListenerTraits
    : restinio::traits_t<
          restinio::asio_timer_manager_t, ParserErrorLogger,
          std::function<restinio::request_handling_status_t(restinio::request_handle_t)>,
          restinio::default_strand_t, RejectingSocket>
{
    using connection_state_listener_t = StateListener;
    // The name is given by RESTinio.
    // NOLINTNEXTLINE(readability-identifier-naming)
    static constexpr bool use_connection_count_limiter = true;
};

using Server = restinio::http_server_t<ListenerTraits>;

/// Returns the connection of a report "[connection:ID] parser error NAME: ...".
std::optional<ConnectionId> parserErrorConnection(const std::string &text)
{
    constexpr std::string_view prefix = "[connection:";
    if (!text.starts_with(prefix) || text.find("parser error") == std::string::npos)
        return std::nullopt;
    return std::strtoull(text.c_str() + prefix.size(), nullptr, 10);
}

/// Limits are checked in callbacks of the parser, whose failures have names with "CB".
ErrorKind parserErrorKind(const std::string &text)
{
    const bool isLimit = text.find("HPE_CB_") != std::string::npos
        || text.find("HPE_HEADER_OVERFLOW") != std::string::npos;
    return isLimit ? ErrorKind::RequestTooLarge : ErrorKind::MalformedRequest;
}

HttpRequest makeRequest(const restinio::request_t &source)
{
    HttpRequest request;
    request.method = source.header().method().c_str();
    request.target = source.header().request_target();
    source.header().for_each_field([&request](const auto &field) {
        request.headers.push_back({field.name(), field.value()});
    });
    request.body = source.body();
    return request;
}

restinio::response_output_flags_t outputFlags(bool keepsConnection)
{
    return {restinio::response_parts_attr_t::final_parts,
            keepsConnection ? restinio::response_connection_attr_t::connection_keepalive
                            : restinio::response_connection_attr_t::connection_close};
}

} // namespace

struct Listener::Private
{
    Private(Parameters parametersIn, Callbacks callbacksIn)
        : parameters(std::move(parametersIn)), callbacks(std::move(callbacksIn))
    { }

    void onConnection(ConnectionId id, bool isOpen);
    void onParserError(const std::string &text);
    void onRequest(const restinio::request_handle_t &handle);
    void refuse(const restinio::request_handle_t &handle, ErrorKind kind, Outcome outcome);
    void write(const Exchange &exchange, const std::shared_ptr<const HttpResponse> &response,
               const HttpHeaders &extraHeaders, bool closeConnection);
    std::unique_ptr<Server> makeServer();

    const Parameters parameters;
    const Callbacks callbacks;
    ExchangeTable table;
    std::atomic<RequestId> nextId{1};
    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> answers{0};
    std::atomic<std::uint64_t> answersDropped{0};
    std::atomic<std::uint64_t> malformedRequests{0};
    asio::io_context context;
    std::unique_ptr<Server> server;
    std::vector<std::thread> threads;
};

void Listener::Private::onConnection(ConnectionId id, bool isOpen)
{
    if (isOpen) {
        table.openConnection(id);
        return;
    }
    if (const RequestId request = table.closeConnection(id); request != 0)
        callbacks.onCallerGone(request);
}

void Listener::Private::onParserError(const std::string &text)
{
    const auto connection = parserErrorConnection(text);
    if (!connection)
        return;
    ++malformedRequests;
    // A caller would take the error for the answer to its earlier request.
    if (table.isBusy(*connection))
        return;
    const ErrorKind kind = parserErrorKind(text);
    // Whether the request carried a key is not known, and another copy of the key may have run.
    const HttpResponse response = errorResponse(kind, Outcome::Unknown);
    pendingRejection() = formatResponseHead(response, {}, {false, false}) + response.body;
}

void Listener::Private::onRequest(const restinio::request_handle_t &handle)
{
    ++requests;
    IncomingRequest incoming;
    incoming.request = makeRequest(*handle);
    if (const auto kind = checkRequest(incoming.request, parameters)) {
        ++malformedRequests;
        refuse(handle, *kind, refusalOutcome(*kind, incoming.request));
        return;
    }
    removeHopByHopHeaders(incoming.request.headers);
    incoming.id = nextId++;
    incoming.remoteAddress = handle->remote_endpoint().address().to_string();
    const bool isHead = incoming.request.method == "HEAD";
    if (table.add(incoming.id, {handle, handle->connection_id(), isHead}))
        callbacks.onRequest(std::move(incoming));
}

void Listener::Private::refuse(const restinio::request_handle_t &handle, ErrorKind kind,
                               Outcome outcome)
{
    const bool isHead = handle->header().method() == restinio::http_method_head();
    write({handle, handle->connection_id(), isHead},
          std::make_shared<const HttpResponse>(errorResponse(kind, outcome)), {}, true);
}

void Listener::Private::write(const Exchange &exchange,
                              const std::shared_ptr<const HttpResponse> &response,
                              const HttpHeaders &extraHeaders, bool closeConnection)
{
    const bool keepsConnection = exchange.handle->header().should_keep_alive() && !closeConnection;
    restinio::writable_items_container_t items;
    items.emplace_back(
        formatResponseHead(*response, extraHeaders, {exchange.isHead, keepsConnection}));
    if (!exchange.isHead && !isBodyless(response->status) && !response->body.empty())
        items.emplace_back(std::shared_ptr<const std::string>(response, &response->body));
    restinio::write_group_t group(std::move(items));
    group.after_write_notificator([this, id = exchange.connection](const auto &error) {
        const auto next = table.endTurn(id);
        if (next && !error)
            onRequest(next);
    });
    const auto connection = restinio::impl::access_req_connection(*exchange.handle);
    connection->write_response_parts(exchange.handle->request_id(), outputFlags(keepsConnection),
                                     std::move(group));
}

std::unique_ptr<Server> Listener::Private::makeServer()
{
    const auto onOpenOrClosed = [this](ConnectionId id, bool isOpen) { onConnection(id, isOpen); };
    restinio::incoming_http_msg_limits_t limits;
    limits.max_url_size(parameters.maxHeaderBytes);
    limits.max_field_name_size(parameters.maxHeaderBytes);
    limits.max_field_value_size(parameters.maxHeaderBytes);
    limits.max_field_count(maxHeaderFields);
    limits.max_body_size(parameters.maxBodyBytes + bodySlackBytes);
    restinio::server_settings_t<ListenerTraits> settings;
    settings.address(parameters.address.ip)
        .port(parameters.address.port)
        .protocol(parameters.address.ip.find(':') == std::string::npos ? asio::ip::tcp::v4()
                                                                       : asio::ip::tcp::v6())
        .logger([this](const std::string &text) { onParserError(text); })
        .connection_state_listener(std::make_shared<StateListener>(onOpenOrClosed))
        .socket_options_setter(
            [](auto &options) { options.set_option(asio::ip::tcp::no_delay(true)); })
        .incoming_http_msg_limits(limits)
        .max_parallel_connections(parameters.maxConnections)
        .max_pipelined_requests(pipelinedRequests)
        // RESTinio 0.6.16 counts connection ids without a lock, so that concurrent accepts race and
        // two connections may get the same id.
        .concurrent_accepts_count(1)
        .read_next_http_message_timelimit(parameters.idleTimeout)
        .write_http_response_timelimit(parameters.answerTimeout)
        .handle_request_timeout(parameters.answerTimeout)
        .request_handler([this](const restinio::request_handle_t &handle) {
            if (table.takeTurn(handle))
                onRequest(handle);
            return restinio::request_accepted();
        });
    return std::make_unique<Server>(restinio::external_io_context(context), std::move(settings));
}

Listener::Listener(Parameters parameters, Callbacks callbacks)
    : m_private(std::make_unique<Private>(std::move(parameters), std::move(callbacks)))
{ }

Listener::~Listener()
{
    stop();
}

Result<void> Listener::start()
{
    try {
        m_private->server = m_private->makeServer();
        m_private->server->open_sync();
    } catch (const std::exception &exception) {
        m_private->server.reset();
        return makeError("cannot listen on " + m_private->parameters.address.toString() + ": "
                         + exception.what() + "; choose a free address of this machine");
    }
    for (std::size_t i = 0; i < m_private->parameters.threads; ++i)
        m_private->threads.emplace_back([this] { m_private->context.run(); });
    return {};
}

void Listener::answer(RequestId id, const HttpResponse &response, bool closeConnection)
{
    answer(id, std::make_shared<const HttpResponse>(response), {}, closeConnection);
}

void Listener::answer(RequestId id, const std::shared_ptr<const HttpResponse> &response,
                      const HttpHeaders &extraHeaders, bool closeConnection)
{
    const auto exchange = m_private->table.take(id);
    if (!exchange) {
        ++m_private->answersDropped;
        return;
    }
    ++m_private->answers;
    m_private->write(*exchange, response, extraHeaders, closeConnection);
}

Counters Listener::counters() const
{
    Counters counters;
    counters.requests = m_private->requests;
    counters.answers = m_private->answers;
    counters.answersDropped = m_private->answersDropped;
    counters.malformedRequests = m_private->malformedRequests;
    counters.openConnections = m_private->table.openConnections();
    return counters;
}

void Listener::waitForAnswers(TimePoint deadline) const
{
    constexpr std::chrono::milliseconds checkInterval{5};
    while (m_private->table.hasBusyConnections() && Clock::now() < deadline)
        std::this_thread::sleep_for(checkInterval);
}

void Listener::stop()
{
    m_private->context.stop();
    for (std::thread &thread : m_private->threads)
        thread.join();
    m_private->threads.clear();
    m_private->table.clear();
}

} // namespace apricotrock::caller
