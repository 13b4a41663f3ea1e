#include "apricotrock/backend.h"

#include "eventloop.h"
#include "sockettable.h"
#include "transfer.h"

#include <atomic>
#include <new>
#include <unordered_map>

namespace apricotrock::backend {

namespace {

constexpr std::chrono::milliseconds longestWait{1000};
/// For this time after a pause no pooled connection is used, because libcurl counts the age of
/// connections in whole seconds.
constexpr std::chrono::seconds freshTime{2};
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

struct Cancel
{
    AttemptId attempt = 0;
};

struct CloseIdle
{ };

using Command = std::variant<AttemptOrder, routing::ProbeStart, Cancel, CloseIdle>;

bool isShed(const HttpResponse &response)
{
    const bool isRefusal =
        response.status == statusTooManyRequests || response.status == statusUnavailable;
    const auto outcome = findHeader(response.headers, headername::requestOutcome);
    return isRefusal && outcome && equalsIgnoringCase(*outcome, outcomeName(Outcome::NotRun));
}

bool isDraining(const HttpResponse &response)
{
    const auto state = findHeader(response.headers, headername::serverState);
    return state && equalsIgnoringCase(*state, "draining");
}

std::optional<LoadReport> loadReport(const HttpResponse &response)
{
    const auto report = findHeader(response.headers, headername::loadReport);
    return report ? parseLoadReport(*report) : std::nullopt;
}

/// Removes what only this system may tell callers, and what is meant for this system.
void removeSystemHeaders(HttpHeaders &headers)
{
    std::erase_if(headers, [](const HttpHeader &header) {
        for (const std::string_view name :
             {headername::requestOutcome, headername::errorKind, headername::servedBy,
              headername::backendServer, headername::loadReport, headername::serverState}) {
            if (equalsIgnoringCase(header.name, name))
                return true;
        }
        return false;
    });
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

struct Sender::Private
{
    Private(Parameters parametersIn, Callbacks callbacksIn)
        : parameters(std::move(parametersIn)), callbacks(std::move(callbacksIn)),
          memory(parameters.maxReceivingBytes), commands(parameters.ringEntries)
    {
        commands.setWakeup([this] { loop.wake(); });
        thread = std::thread([this] { run(); });
    }

    void run();
    void execute(Command &command);
    void begin(Transfer::Order order);
    void send(Transfer &transfer);
    void finish(CURL *easy, CURLcode code);
    void finishAttempt(Transfer &transfer, const AttemptOrder &order, CURLcode code);
    void finishProbe(Transfer &transfer, const routing::ProbeStart &order, CURLcode code);
    void cancel(AttemptId attempt);
    void reportCancelled(const AttemptOrder &order, Duration latency);
    void readResults();
    void cancelAll();
    std::unique_ptr<Transfer> release(CURL *easy);
    /// Releases a transfer that is not finished, which closes its connection.
    std::unique_ptr<Transfer> abandon(CURL *easy);
    EasyPtr takeEasy();
    [[nodiscard]] ConnectionPolicy policy(const Transfer &transfer) const;

    const Parameters parameters;
    const Callbacks callbacks;
    std::atomic<std::uint64_t> attempts{0};
    std::atomic<std::uint64_t> probes{0};
    std::atomic<std::uint64_t> connectionsOpened{0};
    std::atomic<std::uint64_t> connectionsReused{0};
    std::atomic<std::uint64_t> lateAnswers{0};
    /// Closed by the event loop's last transfers, so it is destroyed after the loop.
    SocketTable sockets;
    EventLoop loop;
    ReceivingMemory memory;
    std::vector<EasyPtr> spareHandles;
    std::unordered_map<CURL *, std::unique_ptr<Transfer>> transfers;
    std::unordered_map<AttemptId, CURL *> byAttempt;
    std::optional<TimePoint> idleClosedAt;
    BoundedRing<Command> commands;
    std::thread thread;
};

void Sender::Private::run()
{
    sockets.onClose([this](curl_socket_t socket) { loop.forget(socket); });
    while (!commands.isClosed()) {
        while (auto command = commands.tryPop())
            execute(*command);
        loop.runDueTimeouts();
        readResults();
        if (commands.size() == 0 && !commands.isClosed())
            loop.runOnce(longestWait);
        readResults();
    }
    cancelAll();
}

void Sender::Private::execute(Command &command)
{
    if (auto *order = std::get_if<AttemptOrder>(&command)) {
        ++attempts;
        begin(std::move(*order));
    } else if (auto *probe = std::get_if<routing::ProbeStart>(&command)) {
        ++probes;
        begin(std::move(*probe));
    } else if (const auto *wanted = std::get_if<Cancel>(&command)) {
        cancel(wanted->attempt);
    } else {
        idleClosedAt = Clock::now();
    }
}

void Sender::Private::begin(Transfer::Order order)
{
    auto transfer = std::make_unique<Transfer>(TransferContext{&parameters, &sockets, &memory},
                                               takeEasy(), std::move(order), Clock::now());
    CURL *easy = transfer->easy();
    if (const auto *attempt = std::get_if<AttemptOrder>(&transfer->order()))
        byAttempt[attempt->start.attempt] = easy;
    Transfer &added = *transfer;
    transfers.emplace(easy, std::move(transfer));
    send(added);
}

void Sender::Private::send(Transfer &transfer)
{
    transfer.prepare(policy(transfer), Clock::now());
    curl_multi_add_handle(loop.multi(), transfer.easy());
}

ConnectionPolicy Sender::Private::policy(const Transfer &transfer) const
{
    ConnectionPolicy policy;
    const auto *attempt = std::get_if<AttemptOrder>(&transfer.order());
    policy.isFresh =
        (attempt != nullptr && attempt->start.useNewConnection) || transfer.isStaleConnection();
    if (!idleClosedAt)
        return policy;
    const auto age = std::chrono::floor<std::chrono::seconds>(Clock::now() - *idleClosedAt);
    policy.isFresh = policy.isFresh || age < freshTime;
    // Older connections were all closed for their idle time by then.
    if (age >= freshTime && age <= parameters.maxIdle + freshTime)
        policy.maxLifetime = age - std::chrono::seconds(1);
    return policy;
}

void Sender::Private::readResults()
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(loop.multi(), &left)) {
        if (message->msg == CURLMSG_DONE)
            finish(message->easy_handle, message->data.result);
    }
}

void Sender::Private::finish(CURL *easy, CURLcode code)
{
    Transfer &transfer = *transfers.at(easy);
    if (code != CURLE_OK && transfer.isStaleConnection()) {
        lateAnswers = sockets.lateAnswers();
        curl_multi_remove_handle(loop.multi(), easy);
        send(transfer);
        return;
    }
    ++(transfer.isReusedConnection() ? connectionsReused : connectionsOpened);
    const auto finished = release(easy);
    if (const auto *attempt = std::get_if<AttemptOrder>(&finished->order()))
        finishAttempt(*finished, *attempt, code);
    else
        finishProbe(*finished, std::get<routing::ProbeStart>(finished->order()), code);
    spareHandles.push_back(finished->takeEasy());
}

void Sender::Private::finishAttempt(Transfer &transfer, const AttemptOrder &order, CURLcode code)
{
    byAttempt.erase(order.start.attempt);
    routing::AttemptResult result;
    result.attempt = order.start.attempt;
    result.status = transfer.status(code);
    result.latency = transfer.latency(Clock::now());
    if (result.status != routing::AttemptStatus::Answered) {
        callbacks.onAttemptFinished(result, nullptr);
        return;
    }
    HttpResponse response = transfer.reader().takeResponse();
    result.httpStatus = response.status;
    result.load = loadReport(response);
    result.isDraining = isDraining(response);
    if (isShed(response))
        result.status = routing::AttemptStatus::Shed;
    removeSystemHeaders(response.headers);
    callbacks.onAttemptFinished(result, std::make_shared<const HttpResponse>(std::move(response)));
}

void Sender::Private::finishProbe(Transfer &transfer, const routing::ProbeStart &order,
                                  CURLcode code)
{
    routing::ProbeResult result;
    result.backendServer = order.backendServer;
    result.latency = transfer.latency(Clock::now());
    if (transfer.status(code) == routing::AttemptStatus::Answered) {
        const HttpResponse response = transfer.reader().takeResponse();
        result.isHealthy = isSuccess(response.status);
        result.load = loadReport(response);
        result.isDraining = isDraining(response);
    }
    callbacks.onProbeFinished(result);
}

void Sender::Private::cancel(AttemptId attempt)
{
    const auto found = byAttempt.find(attempt);
    if (found == byAttempt.end())
        return;
    const auto transfer = abandon(found->second);
    byAttempt.erase(found);
    reportCancelled(std::get<AttemptOrder>(transfer->order()), transfer->latency(Clock::now()));
    spareHandles.push_back(transfer->takeEasy());
}

void Sender::Private::reportCancelled(const AttemptOrder &order, Duration latency)
{
    routing::AttemptResult result;
    result.attempt = order.start.attempt;
    result.status = routing::AttemptStatus::Cancelled;
    result.latency = latency;
    callbacks.onAttemptFinished(result, nullptr);
}

void Sender::Private::cancelAll()
{
    while (auto command = commands.tryPop()) {
        if (const auto *order = std::get_if<AttemptOrder>(&*command))
            reportCancelled(*order, Duration::zero());
    }
    while (!transfers.empty()) {
        const auto transfer = abandon(transfers.begin()->first);
        if (const auto *order = std::get_if<AttemptOrder>(&transfer->order()))
            reportCancelled(*order, transfer->latency(Clock::now()));
    }
    byAttempt.clear();
}

std::unique_ptr<Transfer> Sender::Private::abandon(CURL *easy)
{
    // libcurl closes a socket that is still connecting without a callback, and reports that it is
    // no longer watched after that, when its number may belong to another thread.
    loop.forget(transfers.at(easy)->connectingSocket());
    return release(easy);
}

std::unique_ptr<Transfer> Sender::Private::release(CURL *easy)
{
    curl_multi_remove_handle(loop.multi(), easy);
    return std::move(transfers.extract(easy).mapped());
}

EasyPtr Sender::Private::takeEasy()
{
    if (spareHandles.empty()) {
        EasyPtr easy(curl_easy_init());
        if (!easy)
            throw std::bad_alloc();
        return easy;
    }
    EasyPtr easy = std::move(spareHandles.back());
    spareHandles.pop_back();
    return easy;
}

Sender::Sender(Parameters parameters, Callbacks callbacks)
{
    // Not thread safe by itself; later calls only count.
    static std::once_flag isInitialized;
    std::call_once(isInitialized, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
    m_private = std::make_unique<Private>(std::move(parameters), std::move(callbacks));
}

Sender::~Sender()
{
    stop();
}

bool Sender::start(AttemptOrder order)
{
    return m_private->commands.tryPush(std::move(order));
}

bool Sender::cancel(AttemptId attempt)
{
    return m_private->commands.tryPush(Cancel{attempt});
}

bool Sender::probe(routing::ProbeStart order)
{
    return m_private->commands.tryPush(std::move(order));
}

void Sender::closeIdleConnections()
{
    m_private->commands.tryPush(CloseIdle{});
}

Counters Sender::counters() const
{
    Counters counters;
    counters.attempts = m_private->attempts;
    counters.probes = m_private->probes;
    counters.connectionsOpened = m_private->connectionsOpened;
    counters.connectionsReused = m_private->connectionsReused;
    counters.lateAnswers = m_private->lateAnswers;
    return counters;
}

void Sender::stop()
{
    m_private->commands.close();
    if (m_private->thread.joinable())
        m_private->thread.join();
}

} // namespace apricotrock::backend
