#include "apricotrock/fleet.h"

#include "organisationvalidation.h"

#include <algorithm>
#include <set>

namespace apricotrock::fleet {

namespace {

/// The name is sent to backend servers as the value of a header.
bool hasControlCharacter(std::string_view text)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    return std::any_of(text.begin(), text.end(), [](char each) {
        const auto code = static_cast<unsigned char>(each);
        return code < firstPrintable || code == deleteCharacter;
    });
}

/// Returns the problems of \a organisation that do not depend on the others.
std::vector<std::string> validateAlone(const Organisation &organisation,
                                       const std::string &messagePrefix)
{
    std::vector<std::string> problems;
    if (organisation.name.empty())
        problems.push_back(messagePrefix + "name is empty; name the organisation");
    if (hasControlCharacter(organisation.name))
        problems.push_back(messagePrefix + "name must not contain control characters");
    // Negated, so that a value that is not a number is rejected too.
    if (!(organisation.requestsPerSecond >= 0))
        problems.push_back(messagePrefix + "rate must be a number that is not negative");
    if (!(organisation.burst >= 0))
        problems.push_back(messagePrefix + "burst must be a number that is not negative");
    const bool hasEmptyKey = std::any_of(organisation.apiKeys.begin(), organisation.apiKeys.end(),
                                         [](const std::string &key) { return key.empty(); });
    if (hasEmptyKey)
        problems.push_back(messagePrefix
                           + "an API key is empty or not a text; remove or replace it");
    return problems;
}

} // namespace

OrganisationTable::OrganisationTable(std::shared_ptr<const Configuration> configuration)
    : m_configuration(std::move(configuration))
{
    for (const Organisation &organisation : m_configuration->organisations) {
        for (const std::string &key : organisation.apiKeys)
            m_byKey.emplace(key, &organisation);
    }
}

const Organisation *OrganisationTable::find(std::string_view key) const
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : found->second;
}

bool OrganisationTable::isEmpty() const
{
    return !m_configuration || m_configuration->organisations.empty();
}

std::vector<std::string> validateOrganisations(const std::vector<Organisation> &organisations)
{
    std::vector<std::string> problems;
    std::set<std::string_view> names;
    std::map<std::string_view, const Organisation *> holders;
    std::size_t number = 0;
    for (const Organisation &organisation : organisations) {
        ++number;
        const std::string messagePrefix = organisation.name.empty()
            ? "organisation number " + std::to_string(number) + ": "
            : "organisation '" + organisation.name + "': ";
        for (std::string &problem : validateAlone(organisation, messagePrefix))
            problems.push_back(std::move(problem));
        if (!organisation.name.empty() && !names.insert(organisation.name).second)
            problems.push_back(messagePrefix + "name is used twice; names must be unique");
        for (const std::string &key : organisation.apiKeys) {
            const auto [holder, isNew] = holders.emplace(key, &organisation);
            if (!isNew && holder->second != &organisation && !key.empty())
                problems.push_back(messagePrefix + "shares an API key with organisation '"
                                   + holder->second->name + "'; remove it from one of them");
        }
    }
    return problems;
}

} // namespace apricotrock::fleet
