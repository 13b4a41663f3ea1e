#include "requestparser.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace apricotrock;
using namespace apricotrock::daemon;

namespace {

const std::string uuid = "018f0000-0000-7000-8000-000000000001";
const std::string key = "Idempotency-Key";

ParsedRequest parse(const std::string &method, const std::string &target,
                    const HttpHeaders &headers = {})
{
    return parseRequest({7, {method, target, headers, ""}, "10.0.0.1"}, {});
}

void expectRefusal(ErrorKind kind, Outcome outcome, const ParsedRequest &parsed)
{
    const auto *refusal = std::get_if<Refusal>(&parsed);
    CPPUNIT_ASSERT(refusal != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string(errorInfo(kind).name),
                         std::string(errorInfo(refusal->kind).name));
    CPPUNIT_ASSERT_EQUAL(std::string(outcomeName(outcome)),
                         std::string(outcomeName(refusal->outcome)));
}

engine::RequestArrived expectRequest(const ParsedRequest &parsed)
{
    CPPUNIT_ASSERT(std::holds_alternative<engine::RequestArrived>(parsed));
    return std::get<engine::RequestArrived>(parsed);
}

} // namespace

class RequestParserTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestParserTest);
    CPPUNIT_TEST(targetsAreSplit);
    CPPUNIT_TEST(refusalsOfKeyedActionsAreUnknown);
    CPPUNIT_TEST(malformedKeysAreRefusedFirst);
    CPPUNIT_TEST(lookupsCarryNoKey);
    CPPUNIT_TEST(statusQueriesNameKeyAndService);
    CPPUNIT_TEST(callerIsTheNameOrTheAddress);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a request that reaches another service or another target than its caller
    // named.
    void targetsAreSplit()
    {
        const auto request = expectRequest(parse("GET", "/services/orders/a/b?c=/d"));
        CPPUNIT_ASSERT_EQUAL(std::string("orders"), request.service);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=/d"), request.request.target);
        CPPUNIT_ASSERT_EQUAL(std::string("/"),
                             expectRequest(parse("GET", "/services/orders")).request.target);
        const auto query = expectRequest(parse("GET", "/services/orders?x=1"));
        CPPUNIT_ASSERT_EQUAL(std::string("orders"), query.service);
        CPPUNIT_ASSERT_EQUAL(std::string("/?x=1"), query.request.target);
        expectRefusal(ErrorKind::UnknownService, Outcome::NotRun, parse("GET", "/services//a"));
        expectRefusal(ErrorKind::UnknownService, Outcome::NotRun, parse("POST", "/other"));
    }

    // Guards against "not run" for a key of which another copy may have run (G3).
    void refusalsOfKeyedActionsAreUnknown()
    {
        const HttpHeaders keyed = {{key, uuid}, {"Request-Deadline-Ms", "x"}};
        expectRefusal(ErrorKind::MalformedRequest, Outcome::Unknown,
                      parse("POST", "/services/orders/", keyed));
        expectRefusal(ErrorKind::UnknownService, Outcome::Unknown,
                      parse("POST", "/other", {{key, uuid}}));
        expectRefusal(ErrorKind::MalformedRequest, Outcome::NotRun,
                      parse("POST", "/services/orders/", {{"Request-Deadline-Ms", "0"}}));
        const auto request = expectRequest(parse("POST", "/services/orders/", {{key, uuid}}));
        CPPUNIT_ASSERT(unrecordedOutcome(ErrorKind::RingFull, request) == Outcome::Unknown);
    }

    // Guards against an action that runs without the protection that its caller asked for.
    void malformedKeysAreRefusedFirst()
    {
        expectRefusal(ErrorKind::KeyMalformed, Outcome::NotRun,
                      parse("POST", "/other", {{key, "1"}, {"Request-Deadline-Ms", "x"}}));
        expectRefusal(ErrorKind::KeyMalformed, Outcome::Unknown,
                      parse("POST", "/services/orders/", {{key, uuid}, {key, uuid}}));
    }

    // Guards against lookups that need the log or the owner of a key.
    void lookupsCarryNoKey()
    {
        CPPUNIT_ASSERT(!expectRequest(parse("GET", "/services/orders/", {{key, uuid}})).key);
        CPPUNIT_ASSERT(expectRequest(parse("POST", "/services/orders/", {{key, uuid}})).key);
    }

    // Guards against a status query that closes the key of another service, or runs something.
    void statusQueriesNameKeyAndService()
    {
        const auto request = expectRequest(parse("GET", "/requests/" + uuid + "?service=orders"));
        CPPUNIT_ASSERT(request.isStatusQuery);
        CPPUNIT_ASSERT_EQUAL(std::string("orders"), request.service);
        CPPUNIT_ASSERT_EQUAL(uuid, request.key->toString());
        expectRefusal(ErrorKind::MalformedRequest, Outcome::Unknown,
                      parse("GET", "/requests/" + uuid));
        expectRefusal(ErrorKind::KeyMalformed, Outcome::NotRun,
                      parse("GET", "/requests/x?service=orders"));
    }

    // Guards against callers that share one queue share because their names are lost.
    void callerIsTheNameOrTheAddress()
    {
        const auto named = parse("GET", "/services/orders/", {{"caller-name", "desk"}});
        CPPUNIT_ASSERT_EQUAL(std::string("desk"), expectRequest(named).caller);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"),
                             expectRequest(parse("GET", "/services/orders/")).caller);
        const auto query = std::get<AddressQuery>(parse("GET", "/addresses?zone=z1"));
        CPPUNIT_ASSERT_EQUAL(std::string("z1"), query.availabilityZone);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestParserTest);
