#pragma once

#include "backendstats.h"
#include "httpserver.h"

#include <list>
#include <random>

namespace apricotrock::emulator {

enum class Distribution { Exponential, Constant, Lognormal };

struct BackendParameters
{
    Endpoint listen;
    std::string name;
    std::string zone;
    std::uint32_t slots = 1;
    /// Mean time for which a request occupies a slot.
    std::chrono::microseconds serviceTime{5000};
    Distribution distribution = Distribution::Exponential;
    /// Time for which a probe occupies a slot.
    std::chrono::microseconds probeTime{6000};
    std::size_t queueLimit = 32;
    std::uint64_t seed = 1;
};

/// What a backend server does wrong when it answers.
enum class Fault { None, FailFast, Close, Truncate, WrongLength, Oversized, Hang, Duplicate };

/// A backend server with a fixed number of slots and a bounded queue, and with test controls under
/// /control. An action counts as run from its start; it then runs to its end, whatever happens to
/// its connection. A lookup ends when its connection is closed or its deadline has passed.
class BackendServer
{
public:
    BackendServer(asio::io_context &context, BackendParameters parameters);
    BackendServer(const BackendServer &) = delete;
    BackendServer &operator=(const BackendServer &) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }

private:
    struct Work
    {
        std::shared_ptr<Exchange> exchange;
        bool isProbe = false;
        bool isAction = false;
        TimePoint deadline = TimePoint::max();
        TimePoint started{};
        asio::steady_timer timer;
    };
    using WorkList = std::list<Work>;

    void handle(const std::shared_ptr<Exchange> &exchange);
    void accept(const std::shared_ptr<Exchange> &exchange);
    void startNext();
    void start(WorkList::iterator work);
    void finish(WorkList::iterator work);
    void onGone(const Exchange *exchange);
    [[nodiscard]] Duration serviceTime(const Work &work);
    [[nodiscard]] bool crashes(const HttpRequest &request) const;
    void crash(std::chrono::milliseconds downTime);
    HttpResponse answerTo(const HttpRequest &request) const;
    void addReport(HttpResponse &response) const;
    void refuse(Exchange &exchange, int status, std::string_view message);
    void deliver(const std::shared_ptr<Exchange> &exchange, const HttpResponse &response);
    Fault takeFault();

    void control(Exchange &exchange, std::string_view path);
    bool setFault(const HttpRequest &request);
    bool setReport(const HttpRequest &request);
    bool setSpeed(const HttpRequest &request);
    bool setCrash(const HttpRequest &request);
    bool setState(const HttpRequest &request, std::string_view path);
    std::string statsJson() const;

    asio::io_context &m_context;
    const BackendParameters m_parameters;
    std::mt19937_64 m_random;
    WorkList m_queue;
    WorkList m_running;
    std::vector<std::shared_ptr<Exchange>> m_hanging;
    BackendStats m_stats;
    Fault m_fault = Fault::None;
    std::uint64_t m_faultsLeft = 0;
    double m_stragglerFactor = 1;
    bool m_isDraining = false;
    TimePoint m_drainStart{};
    std::optional<LoadReport> m_forgedReport;
    std::string m_crashMarker;
    std::chrono::milliseconds m_crashDownTime{1000};
    asio::steady_timer m_restartTimer;
    HttpServer m_server;
};

} // namespace apricotrock::emulator
