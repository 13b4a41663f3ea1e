#pragma once

#include "apricotrock/gateway.h"

/// Decisions about the API keys of callers. Keys are never logged.
namespace apricotrock::gateway {

enum class KeyCheck : std::uint8_t {
    /// The request carries the key of an organisation.
    Admitted,
    /// The request needs a key and carries none, several, or one that no organisation holds.
    UnknownKey,
    /// The route is public, or the configuration has no organisations.
    NotNeeded,
};

struct Authentication
{
    KeyCheck check = KeyCheck::NotNeeded;
    /// Organisation whose key the request carries, also on a public route; otherwise nullptr.
    /// Valid while the configuration of the table is.
    const fleet::Organisation *organisation = nullptr;

    [[nodiscard]] bool isRefused() const { return check == KeyCheck::UnknownKey; }
};

/// Checks the key in the header \a keyHeader of a request with \a headers.
Authentication authenticate(const loop::Headers &headers, std::string_view keyHeader,
                            bool isPublicRoute, const fleet::OrganisationTable &organisations);

/// What the organisation of a request changes in its handling.
struct OrganisationTerms
{
    /// Empty if there is no organisation.
    std::string name;
    unsigned priority = 0;
    /// Weight among the organisations that share a service: the rate of the quota in requests per
    /// second, 1 without a quota, 0 without an organisation.
    double weight = 0;
    /// True if the request needs a token under the quota.
    bool needsToken = false;
};

/// Returns the terms of \a organisation, or those of a request without one if it is nullptr.
OrganisationTerms termsFor(const fleet::Organisation *organisation, const fleet::Route &route);

/// True if a configuration that was last confirmed at \a confirmedAt may be older than \a bound.
bool isConfirmationOverdue(TimePoint confirmedAt, Duration bound, TimePoint now);

/// A refusal because the configuration does not hold the key or the route of a request.
struct ConfigurationRefusal
{
    int status = 0;
    std::string_view reason;
    std::string_view text;
};

/// Returns the refusal of a request with an unknown key (401) or, if \a isOverdue, the one that
/// asks the caller to come back (503): a newer configuration may hold the key.
ConfigurationRefusal refusalOfUnknownKey(bool isOverdue);
/// The same for a request that matches no route (404).
ConfigurationRefusal refusalOfUnknownRoute(bool isOverdue);

/// Time at which the store can have answered a read that started at \a started and ended at \a now
/// at the earliest. The store answers a read without new records after \a wait.
TimePoint earliestAnswer(TimePoint started, Duration wait, bool hasRecords, TimePoint now);

} // namespace apricotrock::gateway
