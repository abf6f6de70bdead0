#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstring>
#include <iostream>

// Runs every registered suite; `--verbose` names each test as it starts.
int main(int argc, char** argv) {
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  result.addListener(&collector);
  CppUnit::BriefTestProgressListener progress;
  if (argc > 1 && std::strcmp(argv[1], "--verbose") == 0) {
    result.addListener(&progress);
  }
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(result);
  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  std::cout << collector.tests().size() << " tests, " << collector.testFailuresTotal()
            << " failures\n";
  return !collector.tests().empty() && collector.wasSuccessful() ? 0 : 1;
}
