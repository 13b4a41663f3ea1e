#include "sharing.h"

#include "estimate.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace apricotrock::broker {

namespace {

/// Time in which the slot time that was used loses half of its influence.
constexpr Duration useHalfLife = std::chrono::seconds(1);
/// Organisations that sent no request for this long are forgotten and no longer have a share.
constexpr Duration idleTime = std::chrono::seconds(10);
constexpr Duration cleanupInterval = std::chrono::seconds(1);
/// An organisation is beyond its share from this multiple of it on, because the load of an
/// organisation that is within its share fluctuates.
constexpr double shareTolerance = 1.5;
/// Attempts beyond the share that don't count, because the share of a small organisation can be
/// less than one attempt.
constexpr double toleratedAttempts = 2.0;
constexpr double defaultWeight = 1.0;
/// The longest base of a spread Retry-After, as a part of its limit.
constexpr double maxSpreadBase = 0.6;

double decayed(double seconds, Duration age)
{
    return seconds * std::exp2(-toSeconds(age) / toSeconds(useHalfLife));
}

void removeIdle(Sharing &sharing, TimePoint now)
{
    if (now - sharing.lastCleanup < cleanupInterval)
        return;
    sharing.lastCleanup = now;
    std::erase_if(sharing.organisations,
                  [now](const auto &each) { return now - each.second.lastRequest > idleTime; });
    // Summed again, so that rounding errors do not accumulate.
    sharing.totalWeight = 0;
    for (const auto &[key, each] : sharing.organisations)
        sharing.totalWeight += each.weight;
}

} // namespace

void recordDemand(Sharing &sharing, const AttemptRequest &request, TimePoint now)
{
    if (request.organisation == 0)
        return;
    removeIdle(sharing, now);
    const bool isValid = std::isfinite(request.weight) && request.weight > 0;
    const double weight = isValid ? request.weight : defaultWeight;
    OrganisationUse &use = sharing.organisations[request.organisation];
    sharing.totalWeight += weight - use.weight;
    use.weight = weight;
    use.lastRequest = now;
}

void addSlotTime(Sharing &sharing, OrganisationKey organisation, double seconds, TimePoint now)
{
    const auto found = sharing.organisations.find(organisation);
    if (found == sharing.organisations.end())
        return;
    OrganisationUse &use = found->second;
    use.seconds = std::max(0.0, decayed(use.seconds, now - use.updated) + seconds);
    use.updated = now;
    sharing.totalSeconds =
        std::max(0.0, decayed(sharing.totalSeconds, now - sharing.updated) + seconds);
    sharing.updated = now;
}

bool isBeyondShare(const Sharing &sharing, const AttemptRequest &request, double work,
                   TimePoint now)
{
    if (request.organisation == 0)
        return false;
    const auto found = sharing.organisations.find(request.organisation);
    if (found == sharing.organisations.end() || sharing.totalWeight <= 0)
        return false;
    const OrganisationUse &use = found->second;
    const double total = decayed(sharing.totalSeconds, now - sharing.updated);
    const double share = total * use.weight / sharing.totalWeight;
    return decayed(use.seconds, now - use.updated)
        > shareTolerance * share + toleratedAttempts * work;
}

Duration spreadRetryAfter(const AttemptKey &key, Duration retryAfter, Duration limit)
{
    const double base = std::min(toSeconds(retryAfter), toSeconds(limit) * maxSpreadBase);
    const double range = std::min(base, toSeconds(limit) - base);
    const double position = static_cast<double>(AttemptKeyHash()(key))
        / static_cast<double>(std::numeric_limits<std::size_t>::max());
    return toDuration(base + range * position);
}

} // namespace apricotrock::broker
