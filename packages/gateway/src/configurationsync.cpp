#include "tablesync.h"

#include "evacuationexchange.h"

// Reads the configuration from the store, applies it and records until when it was the newest one;
// tablesync.cpp decides when it is read.
namespace apricotrock::gateway {

void TableSync::watchConfiguration()
{
    if (m_isWatching)
        return;
    if (!m_hasConfigurationPosition) {
        if (Clock::now() - m_configurationRead > retryInterval)
            readConfiguration();
        return;
    }
    m_isWatching = true;
    const TimePoint started = Clock::now();
    const fleet::StorePosition from = m_configurationPosition;
    m_context.adapter.store->readFrom(
        Topic::Configuration, from, configurationLongPollTimeout,
        [this, started, from](Result<StoredRecords> result) {
            m_configurationRead = Clock::now();
            if (!result) {
                handleStoreFailure("watch_configuration", result.error());
                m_hasConfigurationPosition = false;
                m_context.timers.callAfter(retryInterval, [this] { m_isWatching = false; });
                return;
            }
            m_isWatching = false;
            handleStoreSuccess();
            if (!acceptsEra(result->end.era))
                return;
            if (result->isTruncated || result->end.era != from.era) {
                readConfiguration();
                return;
            }
            m_configurationPosition = std::max(m_configurationPosition, result->end);
            const bool hasRecords = !result->records.empty();
            applyConfigurationRecords(std::move(result->records), std::nullopt);
            confirmConfiguration(
                earliestAnswer(started, configurationLongPollTimeout, hasRecords, Clock::now()));
        });
}

void TableSync::readConfiguration()
{
    if (m_isReadingConfiguration)
        return;
    m_isReadingConfiguration = true;
    const TimePoint started = Clock::now();
    m_configurationRead = started;
    m_context.adapter.store->readNewest(
        Topic::Configuration, [this, started](Result<StoredRecords> result) {
            m_isReadingConfiguration = false;
            if (!result) {
                handleStoreFailure("read_configuration", result.error());
                return;
            }
            handleStoreSuccess();
            if (!acceptsEra(result->end.era))
                return;
            // Not the higher of both: it may not exist after a restore of the store.
            m_configurationPosition = result->end;
            m_hasConfigurationPosition = true;
            applyConfigurationRecords(std::move(result->records), result->end);
            confirmConfiguration(started);
        });
}

void TableSync::applyConfigurationRecords(std::vector<StoredRecord> records,
                                          const std::optional<fleet::StorePosition> &snapshotEnd)
{
    const TimePoint now = Clock::now();
    const auto orders = takeEvacuations(m_context.adapter, records);
    handleEvacuations(snapshotEnd ? m_context.evacuations.mergeSnapshot(orders, *snapshotEnd, now)
                                  : m_context.evacuations.merge(orders, now),
                      "store");
    for (const StoredRecord &record : records) {
        if (record.value)
            applyConfiguration(*record.value, "store");
    }
}

void TableSync::applyConfiguration(const std::string &text, std::string_view source)
{
    auto decoded = m_context.adapter.decodeConfiguration(text);
    if (!decoded) {
        m_context.counter("configurations_refused_total", "Configurations that are not valid.")
            .add();
        m_context.log.write(EventLog::Level::Error, "configuration_refused", [&](LogLine &line) {
            line.text("reason", decoded.error().message).text("source", source);
        });
        return;
    }
    const fleet::Configuration *current = m_context.routes.configuration();
    if (current && decoded->version <= current->version)
        return;
    const std::uint64_t before = current ? current->version : 0;
    m_context.routes =
        fleet::RouteTable(std::make_shared<const fleet::Configuration>(std::move(*decoded)));
    m_context.configurationText = text;
    m_context.log.write(EventLog::Level::Info, "configuration_accepted", [&](LogLine &line) {
        line.number("version", static_cast<std::int64_t>(m_context.routes.configuration()->version))
            .number("before", static_cast<std::int64_t>(before))
            .text("source", source);
    });
    m_handlers.configurationChanged();
    const bool isFromStore = source == "store" && isReader();
    if (isFromStore && m_context.membership.usesZoneReports())
        broadcastConfiguration();
    else if (isFromStore || (m_context.membership.usesZoneReports() && isZoneFetcher()))
        m_peers.announce();
}

void TableSync::confirmConfiguration(TimePoint time)
{
    m_context.configurationConfirmedAt = std::max(m_context.configurationConfirmedAt, time);
}

void TableSync::logConfirmation(TimePoint now)
{
    const bool isOverdue = m_context.isConfigurationOverdue(now);
    if (isOverdue == std::exchange(m_wasOverdue, isOverdue))
        return;
    m_context.log.write(
        isOverdue ? EventLog::Level::Warning : EventLog::Level::Info,
        isOverdue ? "configuration_overdue" : "configuration_confirmed", [&](LogLine &line) {
            line.number("version",
                        static_cast<std::int64_t>(m_context.routes.configuration()->version))
                .milliseconds("age", now - m_context.configurationConfirmedAt);
        });
}

} // namespace apricotrock::gateway
