#include "apricotrock/cli.h"
#include "httpserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

using namespace apricotrock;
using namespace apricotrock::cli;

/// Calls of the operator's commands to instances.
class NetworkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NetworkTest);
    CPPUNIT_TEST(headersAndTrailersAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an answer whose trailers do not end, and are all kept in memory.
    void headersAndTrailersAreBounded()
    {
        const std::string start =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
        std::string trailers;
        while (trailers.size() < 128UL * 1024)
            trailers += "X: y\r\n";
        const auto response = call(start + "X: y\r\n\r\n");
        CPPUNIT_ASSERT(response);
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), response->body);
        CPPUNIT_ASSERT(!call(start + trailers + "\r\n"));
    }

private:
    static Result<HttpResponse> call(const std::string &answer)
    {
        asio::io_context context{1};
        emulator::HttpServer server(context, {"127.0.0.1", 0}, [&answer](const auto &exchange) {
            exchange->sendRaw(answer, emulator::AfterRaw::Close);
        });
        std::thread thread([&context] { context.run(); });
        auto result =
            networkEnvironment(std::cout, std::cerr, std::cin)
                .callInstance(
                    {{"127.0.0.1", server.port()}, "GET", "/status", std::chrono::seconds(5)});
        context.stop();
        thread.join();
        return result;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NetworkTest);
