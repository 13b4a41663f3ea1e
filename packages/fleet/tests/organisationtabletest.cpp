#include "apricotrock/fleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::fleet;

namespace {

Configuration makeConfiguration(std::vector<Organisation> organisations)
{
    Configuration configuration;
    configuration.organisations = std::move(organisations);
    return configuration;
}

/// Returns all messages about \a organisations.
std::string problemsOf(std::vector<Organisation> organisations)
{
    std::string text;
    for (const std::string &each : validate(makeConfiguration(std::move(organisations))))
        text += each + '\n';
    return text;
}

} // namespace

class OrganisationTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrganisationTableTest);
    CPPUNIT_TEST(organisationIsFoundByAnyOfItsKeys);
    CPPUNIT_TEST(tableOutlivesTheConfigurationOfItsCopy);
    CPPUNIT_TEST(problemsNameTheOrganisationOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a key that is compared in part or belongs to the wrong organisation.
    void organisationIsFoundByAnyOfItsKeys()
    {
        const RouteTable table(std::make_shared<Configuration>(makeConfiguration(
            {{"a", {"k1", "k2"}, {}, 0, 0}, {"b", {"k3"}, {}, 0, 0}, {"c", {}, {}, 0, 0}})));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), table.organisations().find("k2")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), table.organisations().find("k3")->name);
        CPPUNIT_ASSERT(!table.organisations().find("k"));
        CPPUNIT_ASSERT(!table.organisations().find(""));
        CPPUNIT_ASSERT(!table.organisations().isEmpty());
        CPPUNIT_ASSERT(RouteTable().organisations().isEmpty());
    }

    // Guards against keys that refer to a configuration which was replaced.
    void tableOutlivesTheConfigurationOfItsCopy()
    {
        RouteTable table(std::make_shared<Configuration>(
            makeConfiguration({{"a", {"a key that does not fit into a small text"}, {}, 0, 0}})));
        const OrganisationTable copy = table.organisations();
        table = RouteTable(std::make_shared<Configuration>(makeConfiguration({})));
        CPPUNIT_ASSERT_EQUAL(std::string("a"),
                             copy.find("a key that does not fit into a small text")->name);
        CPPUNIT_ASSERT(table.organisations().isEmpty());
    }

    // Guards against an accepted configuration in which a key is ambiguous, and against a message
    // that gives a key away.
    void problemsNameTheOrganisationOnly()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             problemsOf({{"a", {"k1", "k1"}, {}, 0, 0}, {"b", {"k2"}, {}, 1, 0}}));
        const std::string shared =
            problemsOf({{"a", {"secret"}, {}, 0, 0}, {"b", {"secret"}, {}, 0, 0}});
        CPPUNIT_ASSERT(shared.find("'a'") != std::string::npos);
        CPPUNIT_ASSERT(shared.find("'b'") != std::string::npos);
        CPPUNIT_ASSERT(shared.find("secret") == std::string::npos);
        for (const std::vector<Organisation> &invalid :
             std::vector<std::vector<Organisation>>{{{"a", {}, {}, 0, 0}, {"a", {}, {}, 0, 0}},
                                                    {{"a", {}, {}, -1, 0}},
                                                    {{"a", {}, {}, 0, -1}},
                                                    {{"a", {""}, {}, 0, 0}},
                                                    {{"a\r\nX-Other: 1", {}, {}, 0, 0}},
                                                    {{"", {}, {}, 0, 0}}}) {
            CPPUNIT_ASSERT(!problemsOf(invalid).empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrganisationTableTest);
