#pragma once

#include "apricotrock/base.h"

#include <array>
#include <atomic>

namespace apricotrock::metrics {

using Labels = std::vector<std::pair<std::string, std::string>>;

/// A value that only grows. Thread safe.
class Counter
{
public:
    void add(std::uint64_t count = 1) { m_value.fetch_add(count, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// Latency quantiles (0.5, 0.9, 0.99, 0.999) estimated with Boost.Accumulators. Thread safe.
class Summary
{
public:
    Summary();
    ~Summary();
    Summary(const Summary &) = delete;
    Summary &operator=(const Summary &) = delete;

    void add(Duration duration);

private:
    friend class Registry;
    struct Private;
    std::unique_ptr<Private> m_private;
};

/// Counts durations in fixed buckets from 1 ms to 10 s. Thread safe.
class Histogram
{
public:
    static constexpr std::array<std::chrono::milliseconds, 13> bounds = {
        std::chrono::milliseconds(1),    std::chrono::milliseconds(2),
        std::chrono::milliseconds(5),    std::chrono::milliseconds(10),
        std::chrono::milliseconds(25),   std::chrono::milliseconds(50),
        std::chrono::milliseconds(100),  std::chrono::milliseconds(250),
        std::chrono::milliseconds(500),  std::chrono::milliseconds(1000),
        std::chrono::milliseconds(2500), std::chrono::milliseconds(5000),
        std::chrono::milliseconds(10000)};

    void add(Duration duration);

private:
    friend class Registry;

    /// Counts of single buckets; the last one has no bound.
    std::array<std::atomic<std::uint64_t>, bounds.size() + 1> m_counts{};
    std::atomic<std::int64_t> m_sumMicroseconds{0};
};

/// Names and prints counters, gauges, summaries and histograms. Thread safe. Returned references
/// stay valid.
class Registry
{
public:
    Registry();
    ~Registry();
    Registry(const Registry &) = delete;
    Registry &operator=(const Registry &) = delete;

    /// Names follow the Prometheus conventions; \a help is used by the first call for a name.
    Counter &counter(const std::string &name, const std::string &help, const Labels &labels = {});
    Summary &summary(const std::string &name, const std::string &help, const Labels &labels = {});
    Histogram &histogram(const std::string &name, const std::string &help,
                         const Labels &labels = {});
    /// A value that is read when the text is made.
    void gauge(const std::string &name, const std::string &help, const Labels &labels,
               std::function<double()> value);
    /// Calls \a collect when the text is made; it returns samples of counters kept elsewhere.
    struct Sample
    {
        std::string name;
        std::string help;
        Labels labels;
        double value = 0;
        bool isCounter = true;
    };
    void collector(std::function<std::vector<Sample>()> collect);
    /// Returns the text in the Prometheus exposition format, version 0.0.4.
    [[nodiscard]] std::string text() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace apricotrock::metrics
