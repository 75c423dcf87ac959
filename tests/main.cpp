#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

#include <galenaturn/core.h>

/** Runs all registered tests and prints the summary line that util/test parses. */
int main()
{
    galenaturn::init_log(galenaturn::log_level::fatal);
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(controller);

    CppUnit::CompilerOutputter outputter{&collector, std::cerr};
    outputter.write();
    const auto failed = collector.testFailuresTotal();
    const auto passed = collector.runTests() - failed;
    std::cout << passed << " passed, " << failed << " failed" << std::endl;
    return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}
