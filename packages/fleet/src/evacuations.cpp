#include "apricotrock/fleet.h"

#include <algorithm>
#include <set>
#include <utility>

namespace apricotrock::fleet {

namespace {

/// Returns the last position before \a end, at which everything missing before it was withdrawn.
StorePosition lastBefore(const StorePosition &end)
{
    return {end.era, end.offset > 0 ? end.offset - 1 : 0};
}

} // namespace

std::optional<Evacuations::Change> Evacuations::mergeOrder(const EvacuationOrder &order,
                                                           TimePoint now)
{
    auto found = m_orders.find(order.availabilityZone);
    if (found == m_orders.end()) {
        const std::size_t size = order.availabilityZone.size();
        if (size == 0 || size > maxZoneBytes || !makeRoom()) {
            ++m_ignoredRecords;
            return std::nullopt;
        }
        Known known;
        known.position = order.position;
        known.isActive = order.isActive;
        applySnapshotEnd(known, now);
        m_orders.emplace(order.availabilityZone, known);
        if (!known.isActive)
            return std::nullopt;
        return Change{order.availabilityZone, true, order.position};
    }
    Known &known = found->second;
    // Two records have the same position only if one is a withdrawal that was derived from a read
    // without the order, which was then written last.
    const bool isNewer = order.position > known.position
        || (order.position == known.position && order.isActive && !known.isActive);
    if (!isNewer)
        return std::nullopt;
    const bool wasActive = known.isActive;
    known.position = order.position;
    known.isActive = order.isActive;
    known.graceUntil.reset();
    // A withdrawal after another one: an order between them was missed here, but other instances
    // may have followed it.
    if (order.isActive)
        known.restored.reset();
    else
        known.restored = now;
    if (wasActive == order.isActive)
        return std::nullopt;
    return Change{order.availabilityZone, order.isActive, order.position};
}

void Evacuations::applySnapshotEnd(Known &known, TimePoint now) const
{
    if (!known.isActive || !m_snapshotEnd || known.position >= *m_snapshotEnd)
        return;
    // The set may have held the order, and it was ignored.
    if (m_ignoredRecords > 0)
        return;
    if (known.position.era < m_snapshotEnd->era) {
        known.graceUntil = now + restoreGrace;
        known.missingFrom = lastBefore(*m_snapshotEnd);
        return;
    }
    known.position = lastBefore(*m_snapshotEnd);
    known.isActive = false;
}

bool Evacuations::makeRoom()
{
    if (m_orders.size() < maxOrders)
        return true;
    auto oldest = m_orders.end();
    for (auto each = m_orders.begin(); each != m_orders.end(); ++each) {
        if (!each->second.isActive
            && (oldest == m_orders.end() || each->second.position < oldest->second.position))
            oldest = each;
    }
    if (oldest == m_orders.end())
        return false;
    m_orders.erase(oldest);
    return true;
}

std::vector<Evacuations::Change> Evacuations::merge(const std::vector<EvacuationOrder> &orders,
                                                    TimePoint now)
{
    std::vector<Change> changes = expire(now);
    for (const EvacuationOrder &each : orders) {
        if (auto change = mergeOrder(each, now))
            changes.push_back(std::move(*change));
    }
    return changes;
}

std::vector<Evacuations::Change>
Evacuations::mergeSnapshot(const std::vector<EvacuationOrder> &orders, const StorePosition &end,
                           TimePoint now)
{
    const auto earlierEnd = std::exchange(m_snapshotEnd, std::nullopt);
    std::vector<Change> changes = merge(orders, now);
    std::set<std::string_view> present;
    for (const EvacuationOrder &each : orders)
        present.insert(each.availabilityZone);
    std::vector<EvacuationOrder> withdrawals;
    for (auto &[zone, known] : m_orders) {
        if (!known.isActive || present.contains(zone))
            continue;
        if (known.position.era == end.era && known.position < end) {
            withdrawals.push_back({zone, lastBefore(end), false});
        } else if (known.position.era < end.era
                   && (!known.graceUntil || known.missingFrom.era < end.era)) {
            known.graceUntil = now + restoreGrace;
            known.missingFrom = lastBefore(end);
        }
    }
    const auto withdrawn = merge(withdrawals, now);
    changes.insert(changes.end(), withdrawn.begin(), withdrawn.end());
    m_snapshotEnd = std::max(earlierEnd, std::optional(end));
    return changes;
}

std::vector<Evacuations::Change> Evacuations::expire(TimePoint now)
{
    std::vector<EvacuationOrder> withdrawals;
    for (const auto &[zone, known] : m_orders) {
        if (known.graceUntil && now >= *known.graceUntil)
            withdrawals.push_back({zone, known.missingFrom, false});
    }
    std::vector<Change> changes;
    for (const EvacuationOrder &each : withdrawals) {
        if (auto change = mergeOrder(each, now))
            changes.push_back(std::move(*change));
    }
    return changes;
}

bool Evacuations::isEvacuated(std::string_view availabilityZone, TimePoint now) const
{
    const auto found = m_orders.find(availabilityZone);
    return found != m_orders.end() && found->second.isActive
        && (!found->second.graceUntil || now < *found->second.graceUntil);
}

std::optional<TimePoint> Evacuations::restoredAt(std::string_view availabilityZone) const
{
    const auto found = m_orders.find(availabilityZone);
    return found == m_orders.end() ? std::nullopt : found->second.restored;
}

std::size_t Evacuations::evacuatedCount(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_orders.begin(), m_orders.end(),
                      [this, now](const auto &each) { return isEvacuated(each.first, now); }));
}

std::vector<EvacuationOrder> Evacuations::orders() const
{
    std::vector<EvacuationOrder> orders;
    orders.reserve(m_orders.size());
    for (const auto &[zone, known] : m_orders)
        orders.push_back({zone, known.position, known.isActive});
    return orders;
}

} // namespace apricotrock::fleet
