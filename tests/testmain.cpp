#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <iostream>
#include <string>

/// Runs all tests, or those of the path that is given, such as
/// `GatewayTest::drainIsKnownEverywhere`.
int main(int argc, char **argv)
{
    const std::string argument = argc > 1 ? argv[1] : "";
    const bool isKnownRed = argument == "--known-red";
    CppUnit::TextUi::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry(isKnownRed ? "known-red" : "All Tests")
                       .makeTest());
    runner.setOutputter(new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
    return runner.run(isKnownRed ? "" : argument, false, true, false) ? 0 : 1;
}
