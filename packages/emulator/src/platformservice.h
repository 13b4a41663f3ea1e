#pragma once

#include "httpserver.h"

#include <list>

namespace apricotrock::emulator {

struct PlatformParameters
{
    Endpoint listen;
    std::chrono::milliseconds retention{std::chrono::hours(1)};
    /// Delay after which a change of the instance list shows.
    std::chrono::milliseconds listLag{500};
    /// Appends above this rate are refused.
    std::uint64_t appendsPerSecond = 400;
};

enum class Outage { Off, Refuse, Hang, LoseAnswers };

/// The platform's log service and instance list, in memory (design page, section 4), with test
/// controls under /control.
class PlatformService
{
public:
    PlatformService(asio::io_context &context, PlatformParameters parameters);
    PlatformService(const PlatformService &) = delete;
    PlatformService &operator=(const PlatformService &) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }
    /// The outage ends after \a duration, or after \a count requests if that is above 0.
    void setOutage(Outage mode, std::chrono::milliseconds duration, std::uint64_t count);
    /// Drops the records below \a offset, of all streams.
    void expire(std::uint64_t offset);
    void setInstances(const std::string &listJson);

private:
    struct StoredRecord
    {
        TimePoint time;
        std::string data;
    };

    struct Stream
    {
        /// Offset of the first record held.
        std::uint64_t first = 0;
        std::deque<StoredRecord> records;
    };

    struct Waiter
    {
        std::shared_ptr<Exchange> exchange;
        std::string stream;
        std::uint64_t from = 0;
        std::uint64_t max = 0;
        std::unique_ptr<asio::steady_timer> timer;
    };

    struct Stats
    {
        std::uint64_t appends = 0;
        std::uint64_t appendsRefused = 0;
        std::uint64_t reads = 0;
        std::uint64_t listReads = 0;
        std::uint64_t bytesAppended = 0;
        std::uint64_t bytesRead = 0;
    };

    void handle(const std::shared_ptr<Exchange> &exchange);
    void handleDelayed(const std::shared_ptr<Exchange> &exchange);
    void serve(const std::shared_ptr<Exchange> &exchange);
    void control(const std::shared_ptr<Exchange> &exchange, std::string_view path);
    void append(const std::shared_ptr<Exchange> &exchange, const std::string &stream,
                bool losesAnswer);
    void read(const std::shared_ptr<Exchange> &exchange, const std::string &stream);
    void answerRead(Exchange &exchange, const std::string &stream, std::uint64_t from,
                    std::uint64_t max);
    void wakeWaiters(const std::string &stream);
    void answerInstances(Exchange &exchange);
    void controlOutage(Exchange &exchange);
    void controlInstances(Exchange &exchange);
    void controlExpire(Exchange &exchange);
    void answerStats(Exchange &exchange);
    void dropExpired(Stream &stream);
    void dropBefore(Stream &stream, std::uint64_t offset);
    bool takeAppendToken();
    /// Returns the outage that the present request meets.
    Outage takeOutage();

    asio::io_context &m_context;
    const PlatformParameters m_parameters;
    std::map<std::string, Stream> m_streams;
    std::list<Waiter> m_waiters;
    /// Exchanges that never get an answer, kept so that their connections stay open.
    std::vector<std::shared_ptr<Exchange>> m_hanging;
    std::string m_instances = "[]";
    Stats m_stats;
    Outage m_outage = Outage::Off;
    TimePoint m_outageEnd{};
    /// Requests until the outage ends; 0 for no limit.
    std::uint64_t m_outageCount = 0;
    std::chrono::milliseconds m_delay{};
    double m_appendTokens = 0;
    TimePoint m_lastRefill{};
    HttpServer m_server;
};

} // namespace apricotrock::emulator
