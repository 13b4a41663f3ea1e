#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <iostream>

/// Runs all tests, or those of the path that is given, such as
/// `GatewayTest::drainIsKnownEverywhere`.
int main(int argc, char **argv)
{
    CppUnit::TextUi::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.setOutputter(new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
    return runner.run(argc > 1 ? argv[1] : "", false, true, false) ? 0 : 1;
}
