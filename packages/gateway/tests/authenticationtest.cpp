#include "authentication.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::gateway;
using namespace std::chrono_literals;

namespace {

const std::string keyHeader = "X-Key";

fleet::OrganisationTable makeTable(std::vector<fleet::Organisation> organisations)
{
    auto configuration = std::make_shared<fleet::Configuration>();
    configuration->organisations = std::move(organisations);
    return fleet::OrganisationTable(configuration);
}

fleet::OrganisationTable oneOrganisation()
{
    return makeTable({{"a", {"key-1", "key-2"}, std::nullopt, 10, 5}});
}

KeyCheck check(const loop::Headers &headers, bool isPublicRoute = false)
{
    return authenticate(headers, keyHeader, isPublicRoute, oneOrganisation()).check;
}

} // namespace

class AuthenticationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AuthenticationTest);
    CPPUNIT_TEST(keyOfAnOrganisationIsAdmitted);
    CPPUNIT_TEST(otherKeysAreUnknown);
    CPPUNIT_TEST(publicRoutesNeedNoKey);
    CPPUNIT_TEST(keysAreNotNeededWithoutOrganisations);
    CPPUNIT_TEST(termsOfTheOrganisationApply);
    CPPUNIT_TEST(overdueConfigurationPromisesNothing);
    CPPUNIT_TEST(longPollConfirmsTheTimeOfItsAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a request that is counted for the wrong organisation or refused.
    void keyOfAnOrganisationIsAdmitted()
    {
        const auto table = oneOrganisation();
        const auto result = authenticate({{"x-key", "key-2"}}, keyHeader, false, table);
        CPPUNIT_ASSERT(result.check == KeyCheck::Admitted);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), result.organisation->name);
    }

    // Guards against running a request without a key, or with one that was not compared exactly.
    void otherKeysAreUnknown()
    {
        CPPUNIT_ASSERT(check({}) == KeyCheck::UnknownKey);
        CPPUNIT_ASSERT(check({{keyHeader, ""}}) == KeyCheck::UnknownKey);
        CPPUNIT_ASSERT(check({{keyHeader, "KEY-1"}}) == KeyCheck::UnknownKey);
        CPPUNIT_ASSERT(check({{keyHeader, "key-"}}) == KeyCheck::UnknownKey);
        CPPUNIT_ASSERT(check({{keyHeader, "key-1"}, {keyHeader, "key-1"}}) == KeyCheck::UnknownKey);
    }

    // Guards against refusing requests on public routes, and against losing their organisation.
    void publicRoutesNeedNoKey()
    {
        CPPUNIT_ASSERT(check({}, true) == KeyCheck::NotNeeded);
        CPPUNIT_ASSERT(check({{keyHeader, "other"}}, true) == KeyCheck::NotNeeded);
        CPPUNIT_ASSERT(check({{keyHeader, "key-1"}}, true) == KeyCheck::Admitted);
    }

    // Guards against a changed behaviour of deployments without organisations.
    void keysAreNotNeededWithoutOrganisations()
    {
        const auto result = authenticate({{keyHeader, "x"}}, keyHeader, false, makeTable({}));
        CPPUNIT_ASSERT(result.check == KeyCheck::NotNeeded);
        CPPUNIT_ASSERT(authenticate({}, keyHeader, false, fleet::OrganisationTable()).check
                       == KeyCheck::NotNeeded);
    }

    // Guards against requests beyond the quota that ask for no token, and public ones that do.
    void termsOfTheOrganisationApply()
    {
        fleet::Route route;
        route.priority = 2;
        fleet::Organisation organisation{"a", {}, std::nullopt, 10, 5};
        OrganisationTerms terms = termsFor(&organisation, route);
        CPPUNIT_ASSERT(terms.needsToken && terms.weight == 10 && terms.priority == 2);
        organisation.priority = 0;
        organisation.requestsPerSecond = 0;
        terms = termsFor(&organisation, route);
        CPPUNIT_ASSERT(!terms.needsToken && terms.weight == 1 && terms.priority == 0);
        organisation.requestsPerSecond = 10;
        route.isPublic = true;
        CPPUNIT_ASSERT(!termsFor(&organisation, route).needsToken);
        terms = termsFor(nullptr, route);
        CPPUNIT_ASSERT(terms.name.empty() && terms.weight == 0 && terms.priority == 2);
    }

    // Guards against 401 or 404 for a key or route that a newer configuration may hold.
    void overdueConfigurationPromisesNothing()
    {
        const TimePoint start = TimePoint() + 100s;
        CPPUNIT_ASSERT(!isConfirmationOverdue(start, 2500ms, start + 2500ms));
        CPPUNIT_ASSERT(isConfirmationOverdue(start, 2500ms, start + 2501ms));
        CPPUNIT_ASSERT_EQUAL(401, refusalOfUnknownKey(false).status);
        CPPUNIT_ASSERT_EQUAL(404, refusalOfUnknownRoute(false).status);
        CPPUNIT_ASSERT_EQUAL(503, refusalOfUnknownKey(true).status);
        CPPUNIT_ASSERT_EQUAL(503, refusalOfUnknownRoute(true).status);
    }

    // Guards against a delayed answer of the store that confirms the time of its arrival, at which
    // a newer version may have been published.
    void longPollConfirmsTheTimeOfItsAnswer()
    {
        const TimePoint start = TimePoint() + 100s;
        CPPUNIT_ASSERT(earliestAnswer(start, 1200ms, true, start + 700ms) == start);
        CPPUNIT_ASSERT(earliestAnswer(start, 1200ms, false, start + 1900ms) == start + 1200ms);
        CPPUNIT_ASSERT(earliestAnswer(start, 1200ms, false, start + 100ms) == start + 100ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AuthenticationTest);
