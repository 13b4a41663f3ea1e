#include "addresses.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::daemon;

namespace {

AddressEntry entry(const std::string &name, const std::string &zone, bool isServing = true)
{
    return {{"10.0.0.1", 80}, name, zone, {1}, isServing};
}

AddressBook makeBook()
{
    AddressBook book;
    book.own = entry("a1", "z1");
    book.peers = {entry("a2", "z2"), entry("a3", "z2"), entry("a4", "z1"), entry("a5", "z1")};
    book.lifetime = std::chrono::milliseconds(250);
    return book;
}

std::vector<std::string> names(const AddressBook &book, const AddressQuery &query)
{
    std::vector<std::string> result;
    for (const AddressEntry &chosen : chooseAddresses(book, query))
        result.push_back(chosen.instance);
    return result;
}

} // namespace

class AddressesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AddressesTest);
    CPPUNIT_TEST(sameAvailabilityZoneComesFirstAndCallersAreSpread);
    CPPUNIT_TEST(leavingInstancesAreLeftOut);
    CPPUNIT_TEST(answerIsNeverEmpty);
    CPPUNIT_TEST(documentMatches);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against callers that all go to one instance, or across availability zones without
    // need.
    void sameAvailabilityZoneComesFirstAndCallersAreSpread()
    {
        std::map<std::string, int> first;
        for (int caller = 0; caller < 300; ++caller) {
            const auto chosen = names(makeBook(), {"z1", "caller" + std::to_string(caller)});
            CPPUNIT_ASSERT_EQUAL(std::size_t(5), chosen.size());
            CPPUNIT_ASSERT(chosen[3] == "a2" || chosen[3] == "a3");
            ++first[chosen[0]];
        }
        for (const char *name : {"a1", "a4", "a5"})
            CPPUNIT_ASSERT_MESSAGE(name, first[name] > 60);
        CPPUNIT_ASSERT(names(makeBook(), {"z1", "x"}) == names(makeBook(), {"z1", "x"}));
    }

    // Guards against callers that are sent to an instance that is about to stop, whoever said so.
    void leavingInstancesAreLeftOut()
    {
        AddressBook book = makeBook();
        book.own.isServing = false;
        book.peers[0].isServing = false;
        book.leavingInstances = {"a4", "a3"};
        CPPUNIT_ASSERT(names(book, {"z1", "x"}) == std::vector<std::string>{"a5"});
    }

    // Guards against callers without any address while this instance still serves.
    void answerIsNeverEmpty()
    {
        AddressBook book;
        book.own = entry("a1", "z1", false);
        CPPUNIT_ASSERT(names(book, {"", ""}) == std::vector<std::string>{"a1"});
    }

    // Guards against a change of the documented format.
    void documentMatches()
    {
        AddressBook book;
        book.own = entry("a1", "z1");
        book.lifetime = std::chrono::milliseconds(250);
        CPPUNIT_ASSERT_EQUAL(
            std::string(R"({"addresses":[{"address":"10.0.0.1:80","instance":"a1",)"
                        R"("key_prefix":"0000000000000001","zone":"z1"}],"lifetime_ms":250})"
                        "\n"),
            addressResponse(book, {"z1", "x"}).body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AddressesTest);
