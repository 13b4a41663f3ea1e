#include "apricotrock/metrics.h"

#include "summaryprivate.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace apricotrock::metrics {

namespace {

/// Escapes a label value or a help text (Prometheus text format 0.0.4); quotes are escaped in label
/// values only.
std::string escape(std::string_view text, bool escapeQuotes)
{
    std::string result;
    for (const char c : text) {
        if (c == '\\')
            result += "\\\\";
        else if (c == '"' && escapeQuotes)
            result += "\\\"";
        else if (c == '\n')
            result += "\\n";
        else
            result += c;
    }
    return result;
}

std::string formatNumber(double value)
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    std::array<char, 64> buffer{};
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return error == std::errc() ? std::string(buffer.data(), end) : "NaN";
}

std::string formatLabels(const Labels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        text += text.empty() ? "{" : ",";
        text += name + "=\"" + escape(value, true) + '"';
    }
    return text.empty() ? text : text + '}';
}

/// All series of one name.
struct Family
{
    std::string help;
    std::string type;
    /// Formatted lines by label text, so that the output is sorted.
    std::map<std::string, std::string> lines;
};

using Families = std::map<std::string, Family>;

Family &family(Families &families, const std::string &name, const std::string &help,
               const char *type)
{
    Family &result = families[name];
    if (result.type.empty()) {
        result.help = help;
        result.type = type;
    }
    return result;
}

std::string formatSummary(const std::string &name, const Labels &labels,
                          const SummaryValues &values)
{
    std::string text;
    for (std::size_t i = 0; i < quantiles.size(); ++i) {
        Labels quantileLabels = labels;
        quantileLabels.emplace_back("quantile", formatNumber(quantiles[i]));
        text += name + formatLabels(quantileLabels) + ' ' + formatNumber(values.values[i]) + '\n';
    }
    text += name + "_sum" + formatLabels(labels) + ' ' + formatNumber(values.sum) + '\n';
    text += name + "_count" + formatLabels(labels) + ' ' + std::to_string(values.count) + '\n';
    return text;
}

std::string formatHistogram(const std::string &name, const Labels &labels,
                            const std::vector<std::uint64_t> &counts, double sum)
{
    std::string text;
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        total += counts[i];
        Labels bucket = labels;
        const bool isLast = i == Histogram::bounds.size();
        bucket.emplace_back("le",
                            isLast ? "+Inf" : formatNumber(Histogram::bounds[i].count() / 1000.0));
        text += name + "_bucket" + formatLabels(bucket) + ' ' + std::to_string(total) + '\n';
    }
    text += name + "_sum" + formatLabels(labels) + ' ' + formatNumber(sum) + '\n';
    text += name + "_count" + formatLabels(labels) + ' ' + std::to_string(total) + '\n';
    return text;
}

template <typename Value>
struct Series
{
    std::string name;
    std::string help;
    Labels labels;
    Value value;
};

using SeriesId = std::pair<std::string, Labels>;

} // namespace

struct Registry::Private
{
    mutable std::mutex mutex;
    /// Help of the first call for each name.
    std::map<std::string, std::string> helps;
    std::map<SeriesId, Series<std::unique_ptr<Counter>>> counters;
    std::map<SeriesId, Series<std::unique_ptr<Summary>>> summaries;
    std::map<SeriesId, Series<std::unique_ptr<Histogram>>> histograms;
    std::vector<Series<std::function<double()>>> gauges;
    std::vector<std::function<std::vector<Sample>()>> collectors;
};

Registry::Registry() : m_private(std::make_unique<Private>()) { }

Registry::~Registry() = default;

Counter &Registry::counter(const std::string &name, const std::string &help, const Labels &labels)
{
    const std::lock_guard lock(m_private->mutex);
    m_private->helps.emplace(name, help);
    auto &series = m_private->counters[{name, labels}];
    if (!series.value)
        series = {name, help, labels, std::make_unique<Counter>()};
    return *series.value;
}

Summary &Registry::summary(const std::string &name, const std::string &help, const Labels &labels)
{
    const std::lock_guard lock(m_private->mutex);
    m_private->helps.emplace(name, help);
    auto &series = m_private->summaries[{name, labels}];
    if (!series.value)
        series = {name, help, labels, std::make_unique<Summary>()};
    return *series.value;
}

Histogram &Registry::histogram(const std::string &name, const std::string &help,
                               const Labels &labels)
{
    const std::lock_guard lock(m_private->mutex);
    m_private->helps.emplace(name, help);
    auto &series = m_private->histograms[{name, labels}];
    if (!series.value)
        series = {name, help, labels, std::make_unique<Histogram>()};
    return *series.value;
}

void Histogram::add(Duration duration)
{
    const auto found = std::lower_bound(bounds.begin(), bounds.end(), duration);
    m_counts[static_cast<std::size_t>(found - bounds.begin())].fetch_add(1,
                                                                         std::memory_order_relaxed);
    m_sumMicroseconds.fetch_add(
        std::chrono::duration_cast<std::chrono::microseconds>(duration).count(),
        std::memory_order_relaxed);
}

void Registry::gauge(const std::string &name, const std::string &help, const Labels &labels,
                     std::function<double()> value)
{
    const std::lock_guard lock(m_private->mutex);
    m_private->helps.emplace(name, help);
    m_private->gauges.push_back({name, help, labels, std::move(value)});
}

void Registry::collector(std::function<std::vector<Sample>()> collect)
{
    const std::lock_guard lock(m_private->mutex);
    m_private->collectors.push_back(std::move(collect));
}

std::string Registry::text() const
{
    const std::lock_guard lock(m_private->mutex);
    Families families;
    const auto addLine = [this, &families](const std::string &name, const std::string &help,
                                           const char *type, const Labels &labels,
                                           std::string line) {
        const auto known = m_private->helps.find(name);
        family(families, name, known == m_private->helps.end() ? help : known->second, type)
            .lines[formatLabels(labels)] = std::move(line);
    };
    const auto sampleLine = [](const std::string &name, const Labels &labels, double value) {
        return name + formatLabels(labels) + ' ' + formatNumber(value) + '\n';
    };
    for (const auto &[id, series] : m_private->counters)
        addLine(series.name, series.help, "counter", series.labels,
                series.name + formatLabels(series.labels) + ' '
                    + std::to_string(series.value->value()) + '\n');
    for (const auto &[id, series] : m_private->summaries)
        addLine(series.name, series.help, "summary", series.labels,
                formatSummary(series.name, series.labels, series.value->m_private->values()));
    for (const auto &[id, series] : m_private->histograms) {
        const std::vector<std::uint64_t> counts(series.value->m_counts.begin(),
                                                series.value->m_counts.end());
        addLine(series.name, series.help, "histogram", series.labels,
                formatHistogram(series.name, series.labels, counts,
                                static_cast<double>(series.value->m_sumMicroseconds) / 1e6));
    }
    for (const auto &series : m_private->gauges)
        addLine(series.name, series.help, "gauge", series.labels,
                sampleLine(series.name, series.labels, series.value()));
    for (const auto &collect : m_private->collectors) {
        for (const Sample &sample : collect())
            addLine(sample.name, sample.help, sample.isCounter ? "counter" : "gauge", sample.labels,
                    sampleLine(sample.name, sample.labels, sample.value));
    }
    std::string text;
    for (const auto &[name, entry] : families) {
        text += "# HELP " + name + ' ' + escape(entry.help, false) + '\n';
        text += "# TYPE " + name + ' ' + entry.type + '\n';
        for (const auto &[labels, line] : entry.lines)
            text += line;
    }
    return text;
}

} // namespace apricotrock::metrics
