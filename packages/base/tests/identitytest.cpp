#include "apricotrock/base.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;

class IdentityTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IdentityTest);
    CPPUNIT_TEST(keysRoundTrip);
    CPPUNIT_TEST(uuidHoldsItsCreationTime);
    CPPUNIT_TEST(malformedKeysAreRejected);
    CPPUNIT_TEST(endpointsAcceptIpNumbersOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a key that two instances read differently.
    void keysRoundTrip()
    {
        const Uuid7 uuid = Uuid7::make(WallTime(std::chrono::milliseconds(1'700'000'000'123)),
                                       0xabc, 0x123456789abcdef0);
        const IdempotencyKey plain{std::nullopt, uuid};
        const IdempotencyKey bound{IncarnationId{0xfeed}, uuid};
        CPPUNIT_ASSERT(IdempotencyKey::parse(plain.toString()) == plain);
        CPPUNIT_ASSERT(IdempotencyKey::parse(bound.toString()) == bound);
    }

    // Guards against a wrong key age, which would let a forgotten key run again.
    void uuidHoldsItsCreationTime()
    {
        const WallTime time(std::chrono::milliseconds(1'700'000'000'123));
        CPPUNIT_ASSERT(Uuid7::make(time, ~0ULL, ~0ULL).time() == time);
        // Example of RFC 9562, appendix A.6.
        const auto example = Uuid7::parse("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
        CPPUNIT_ASSERT(example.has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0x017F22E279B0),
                             std::int64_t(example->time().time_since_epoch().count()));
    }

    // Guards against keys without a usable age or owner.
    void malformedKeysAreRejected()
    {
        for (const char *text :
             {"", "abc", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
              "017f22e2-79b0-7cc3-18c4-dc0c0c07398f", "017F22E2-79B0-7CC3-98C4-DC0C0C07398F",
              ".017f22e2-79b0-7cc3-98c4-dc0c0c07398f", "12.017f22e2-79b0-7cc3-98c4-dc0c0c07398f"})
            CPPUNIT_ASSERT_MESSAGE(text, !IdempotencyKey::parse(text));
    }

    // Guards against host names, which would need a resolver at run time.
    void endpointsAcceptIpNumbersOnly()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:80"),
                             Endpoint::parse("127.0.0.1:80")->toString());
        CPPUNIT_ASSERT_EQUAL(std::string("[::1]:80"), Endpoint::parse("[::1]:80")->toString());
        for (const char *text : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000",
                                 "::1:80", "127.0.0.1:80x"})
            CPPUNIT_ASSERT_MESSAGE(text, !Endpoint::parse(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdentityTest);
