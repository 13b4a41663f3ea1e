#include "instancemetrics.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace apricotrock::daemon {

namespace {

using Samples = std::vector<metrics::Registry::Sample>;

double processCpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        constexpr double microsecondsPerSecond = 1e6;
        return static_cast<double>(time.tv_sec)
            + static_cast<double>(time.tv_usec) / microsecondsPerSecond;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double residentBytes()
{
    // The second field of statm is the resident set in pages (proc(5)).
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

void add(Samples &samples, const char *name, const char *help, std::uint64_t value,
         metrics::Labels labels = {}, bool isCounter = true)
{
    samples.push_back({name, help, std::move(labels), static_cast<double>(value), isCounter});
}

void addLog(Samples &samples, const char *stream, const platform::LogTailCounters &counters)
{
    const auto addOne = [&samples, stream](const char *name, const char *help,
                                           std::uint64_t value) {
        add(samples, name, help, value, {{"stream", stream}});
    };
    addOne("apricotrock_log_appends_total", "Records appended to the log.", counters.appends);
    addOne("apricotrock_log_appended_entries_total", "Entries in these records.",
           counters.appendedEntries);
    addOne("apricotrock_log_appends_uncertain_total", "Appends whose answer was lost.",
           counters.appendsUncertain);
    addOne("apricotrock_log_appends_repeated_total", "Appends sent again with the same id.",
           counters.appendsRepeated);
    addOne("apricotrock_log_appends_dropped_total", "Entries dropped at their deadline.",
           counters.appendsDropped);
    addOne("apricotrock_log_records_read_total", "Records read.", counters.recordsRead);
    addOne("apricotrock_log_bad_records_total", "Records that could not be decoded.",
           counters.badRecords);
    addOne("apricotrock_log_read_failures_total", "Reads that failed.", counters.readFailures);
    addOne("apricotrock_log_bytes_read_total", "Bytes of records read.", counters.bytesRead);
    addOne("apricotrock_log_bytes_appended_total", "Bytes of records appended.",
           counters.bytesAppended);
}

} // namespace

InstanceMetrics::InstanceMetrics(Instance &instance) : m_instance(instance)
{
    addProcess();
    metrics::Registry &registry = m_instance.m_registry;
    registry.collector([this] { return lanes(); });
    registry.collector([this] { return backends(); });
    registry.collector([this] { return listeners(); });
    registry.collector([this] { return platform(); });
    registry.collector([this] { return peers(); });
}

void InstanceMetrics::addProcess() const
{
    metrics::Registry &registry = m_instance.m_registry;
    registry.gauge("apricotrock_resident_memory_bytes", "Resident memory of the process.", {},
                   residentBytes);
    registry.collector([] {
        return Samples{{"apricotrock_cpu_seconds_total",
                        "CPU time of the process.",
                        {},
                        processCpuSeconds(),
                        true}};
    });
    registry.gauge("apricotrock_ready", "1 if callers may use this instance.", {},
                   [this] { return m_instance.isReady() ? 1.0 : 0.0; });
    registry.gauge("apricotrock_configuration_version", "Version of the configuration in force.",
                   {}, [this] {
                       const auto current = m_instance.m_configuration.current();
                       return current ? static_cast<double>(current->version) : 0.0;
                   });
    registry.gauge("apricotrock_pending_requests", "Requests without an answer.", {},
                   [this] { return static_cast<double>(m_instance.m_pending.size()); });
}

/// Counters of the engine are named by the engine: retries by reason, hedges, probes and so on.
Samples InstanceMetrics::lanes() const
{
    std::map<std::string, std::uint64_t> sums;
    std::size_t ledgerEntries = 0;
    std::size_t quarantines = 0;
    std::size_t number = 0;
    for (const engine::Status &status : m_instance.laneStatus()) {
        for (const auto &[name, value] : status.counters)
            sums[name] += value;
        ledgerEntries += status.ledgerEntries;
        // Every lane knows every quarantine.
        quarantines = std::max(quarantines, status.quarantines.size());
    }
    Samples samples;
    for (const auto &[name, value] : sums)
        add(samples, "apricotrock_decisions_total", "Decisions of the engine by reason.", value,
            {{"reason", name}});
    add(samples, "apricotrock_ledger_entries", "Idempotency keys remembered.", ledgerEntries, {},
        false);
    add(samples, "apricotrock_quarantines", "Requests suspected or quarantined.", quarantines, {},
        false);
    for (const auto &lane : m_instance.m_lanes) {
        const std::string label = std::to_string(number++);
        add(samples, "apricotrock_ring_refusals_total", "Pushes to full rings.",
            lane->intakeRefusals(), {{"ring", "intake"}, {"lane", label}});
        add(samples, "apricotrock_ring_refusals_total", "Pushes to full rings.",
            lane->resultRefusals(), {{"ring", "results"}, {"lane", label}});
    }
    return samples;
}

Samples InstanceMetrics::backends() const
{
    backend::Counters sum;
    for (const auto &lane : m_instance.m_lanes) {
        const backend::Counters counters = lane->backendCounters();
        sum.attempts += counters.attempts;
        sum.probes += counters.probes;
        sum.connectionsOpened += counters.connectionsOpened;
        sum.connectionsReused += counters.connectionsReused;
        sum.lateAnswers += counters.lateAnswers;
    }
    Samples samples;
    add(samples, "apricotrock_attempts_total", "Attempts sent to backend servers.", sum.attempts);
    add(samples, "apricotrock_probes_total", "Probes sent to backend servers.", sum.probes);
    add(samples, "apricotrock_backend_connections_opened_total",
        "Requests to backend servers on new connections.", sum.connectionsOpened);
    add(samples, "apricotrock_backend_connections_reused_total",
        "Requests to backend servers on pooled connections.", sum.connectionsReused);
    add(samples, "apricotrock_late_answers_total",
        "Pooled connections dropped because bytes arrived after their answer.", sum.lateAnswers);
    return samples;
}

Samples InstanceMetrics::listeners() const
{
    const caller::Counters counters = m_instance.m_listener->counters();
    Samples samples;
    add(samples, "apricotrock_requests_total", "Requests received.", counters.requests);
    add(samples, "apricotrock_answers_total", "Answers sent.", counters.answers);
    add(samples, "apricotrock_answers_dropped_total", "Answers whose caller was gone.",
        counters.answersDropped);
    add(samples, "apricotrock_malformed_requests_total",
        "Requests refused by the listener as malformed or too large.", counters.malformedRequests);
    add(samples, "apricotrock_caller_connections", "Open connections of callers.",
        counters.openConnections, {}, false);
    return samples;
}

Samples InstanceMetrics::platform() const
{
    Samples samples;
    addLog(samples, "config", m_instance.m_configTail->counters());
    addLog(samples, "events", m_instance.m_eventsTail->counters());
    return samples;
}

Samples InstanceMetrics::peers() const
{
    const peer::Counters counters = m_instance.m_mesh->counters();
    Samples samples;
    add(samples, "apricotrock_peers", "Instances that can be reached.",
        m_instance.m_mesh->peers().size(), {}, false);
    add(samples, "apricotrock_peer_bytes_sent_total", "Bytes sent to peers.", counters.bytesSent);
    add(samples, "apricotrock_peer_bytes_received_total", "Bytes received from peers.",
        counters.bytesReceived);
    add(samples, "apricotrock_peer_messages_sent_total", "Messages sent to peers.",
        counters.messagesSent);
    add(samples, "apricotrock_peer_messages_received_total", "Messages received from peers.",
        counters.messagesReceived);
    add(samples, "apricotrock_peer_bad_messages_total", "Malformed messages from peers.",
        counters.badMessages);
    add(samples, "apricotrock_peer_links_opened_total", "Peer links opened.", counters.linksOpened);
    add(samples, "apricotrock_peer_links_timed_out_total", "Peer links replaced after silence.",
        counters.linksTimedOut);
    add(samples, "apricotrock_forwards_sent_total", "Requests forwarded to the owner of a key.",
        counters.forwardsSent);
    add(samples, "apricotrock_forwards_failed_total", "Forwards without an answer.",
        counters.forwardsFailed);
    add(samples, "apricotrock_ring_refusals_total", "Pushes to full rings.",
        counters.messagesRefused, {{"ring", "peer_link"}});
    return samples;
}

} // namespace apricotrock::daemon
