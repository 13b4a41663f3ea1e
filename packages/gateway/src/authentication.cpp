#include "authentication.h"

#include <algorithm>

namespace apricotrock::gateway {

namespace {

ConfigurationRefusal refusalWhileOverdue()
{
    return {503, "configuration_unconfirmed",
            "this instance cannot tell whether its configuration is the newest one"};
}

} // namespace

Authentication authenticate(const loop::Headers &headers, std::string_view keyHeader,
                            bool isPublicRoute, const fleet::OrganisationTable &organisations)
{
    if (organisations.isEmpty())
        return {};
    const KeyCheck checkWithoutKey = isPublicRoute ? KeyCheck::NotNeeded : KeyCheck::UnknownKey;
    // With several keys, this instance and a proxy in front of it may disagree on the caller.
    if (loop::countHeader(headers, keyHeader) != 1)
        return {checkWithoutKey, nullptr};
    const fleet::Organisation *organisation =
        organisations.find(loop::findHeader(headers, keyHeader).value_or(""));
    return {organisation ? KeyCheck::Admitted : checkWithoutKey, organisation};
}

OrganisationTerms termsFor(const fleet::Organisation *organisation, const fleet::Route &route)
{
    OrganisationTerms terms;
    terms.priority = route.priority;
    if (!organisation)
        return terms;
    const bool hasQuota = organisation->requestsPerSecond > 0;
    terms.name = organisation->name;
    terms.priority = organisation->priority.value_or(route.priority);
    terms.weight = hasQuota ? organisation->requestsPerSecond : 1.0;
    terms.needsToken = hasQuota && !route.isPublic;
    return terms;
}

bool isConfirmationOverdue(TimePoint confirmedAt, Duration bound, TimePoint now)
{
    return now - confirmedAt > bound;
}

ConfigurationRefusal refusalOfUnknownKey(bool isOverdue)
{
    if (isOverdue)
        return refusalWhileOverdue();
    return {401, "key_unknown", "the request needs the key of an organisation"};
}

ConfigurationRefusal refusalOfUnknownRoute(bool isOverdue)
{
    if (isOverdue)
        return refusalWhileOverdue();
    return {404, "route_unknown", "no route matches host and path"};
}

TimePoint earliestAnswer(TimePoint started, Duration wait, bool hasRecords, TimePoint now)
{
    return hasRecords ? started : std::min(now, started + wait);
}

} // namespace apricotrock::gateway
