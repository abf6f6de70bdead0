#include "Bench/Runner/gray_failure_command.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "Bench/Runner/command.h"

namespace pimentopin::bench {
namespace {

class GrayFailureCommandTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GrayFailureCommandTest);
  CPPUNIT_TEST(TestUnwritableJsonFileFails);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a run that reports success although its records were not written.
  void TestUnwritableJsonFileFails() {
    std::vector<std::string> arguments = {
        "gray",    "--cases", "errors-30",   "--loads", "0.5",
        "--seeds", "1",       "--skip-hour", "--json",  "/dev/null/records.jsonl"};
    std::vector<char*> argv;
    for (std::string& argument : arguments) {
      argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    CPPUNIT_ASSERT_EQUAL(kExitUsage,
                         RunGrayFailureCommand(static_cast<int>(arguments.size()), argv.data()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GrayFailureCommandTest);

}  // namespace
}  // namespace pimentopin::bench
