#include "evacuationexchange.h"

#include <algorithm>

namespace apricotrock::gateway {

void addEvacuations(const fleet::Evacuations &evacuations, wire::GatewayMessageT &message)
{
    for (const fleet::EvacuationOrder &each : evacuations.orders()) {
        auto order = std::make_unique<wire::EvacuationOrderT>();
        order->availability_zone = each.availabilityZone;
        order->era = each.position.era;
        order->offset = each.position.offset;
        order->is_active = each.isActive;
        message.evacuations.push_back(std::move(order));
    }
}

std::vector<fleet::EvacuationOrder> evacuationsOf(const wire::GatewayMessageT &message)
{
    std::vector<fleet::EvacuationOrder> orders;
    orders.reserve(message.evacuations.size());
    for (const auto &each : message.evacuations)
        orders.push_back({each->availability_zone, {each->era, each->offset}, each->is_active});
    return orders;
}

std::vector<fleet::EvacuationOrder> takeEvacuations(const Adapter &adapter,
                                                    std::vector<StoredRecord> &records)
{
    std::vector<fleet::EvacuationOrder> orders;
    if (!adapter.evacuatedZone)
        return orders;
    std::erase_if(records, [&](const StoredRecord &record) {
        auto zone = adapter.evacuatedZone(record.key);
        if (!zone)
            return false;
        orders.push_back({std::move(*zone), record.position, record.value.has_value()});
        return true;
    });
    return orders;
}

void logEvacuations(EventLog &log, const std::vector<fleet::Evacuations::Change> &changes,
                    std::string_view source)
{
    for (const fleet::Evacuations::Change &change : changes) {
        log.write(EventLog::Level::Warning, change.isEvacuated ? "zone_evacuated" : "zone_restored",
                  [&](LogLine &line) {
                      line.text("availability_zone", change.availabilityZone)
                          .number("era", change.position.era)
                          .number("offset", static_cast<std::int64_t>(change.position.offset))
                          .text("source", source);
                  });
    }
}

TimePoint slowStartUntil(const fleet::KnownServer &server, const fleet::Evacuations &evacuations,
                         const fleet::ServiceSettings *service)
{
    const auto restored = evacuations.restoredAt(server.entry->availabilityZone);
    if (!restored || !service)
        return server.slowStartUntil;
    return std::max(server.slowStartUntil, *restored + service->coldTime);
}

} // namespace apricotrock::gateway
