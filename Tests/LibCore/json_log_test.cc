#include "Libraries/LibCore/json_log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace pimentopin {
namespace {

class JsonLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JsonLogTest);
  CPPUNIT_TEST(TestLinesLostByFullQueueAreReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against lines that disappear without notice while the reader of the log is blocked.
  void TestLinesLostByFullQueueAreReported() {
    constexpr std::size_t kLost = 10;
    std::promise<void> blocked;
    std::promise<void> release;
    std::vector<std::string> written;
    StartLog("test", LogLevel::kInfo, [&](std::string_view line) {
      written.emplace_back(line);
      if (written.size() == 1) {
        blocked.set_value();
        release.get_future().wait();
      }
    });
    Log(LogLevel::kWarning, "first", {});
    blocked.get_future().wait();
    const std::uint64_t lost_before = LostLogLines();
    // Warnings are exempt from the rate limit.
    for (std::size_t index = 0; index < kMaxQueuedLogLines + kLost; ++index) {
      Log(LogLevel::kWarning, "numbered", {{"index", index}});
    }
    const std::uint64_t lost = LostLogLines();
    release.set_value();
    StopLog();

    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, lost_before);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{kLost}, lost);
    CPPUNIT_ASSERT_EQUAL(kMaxQueuedLogLines + 2, written.size());
    const nlohmann::json report = nlohmann::json::parse(written[1]);
    CPPUNIT_ASSERT_EQUAL(std::string("log_lines_lost"), report["event"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(kLost, report["lines"].get<std::size_t>());
    CPPUNIT_ASSERT_EQUAL(kLost, nlohmann::json::parse(written[2])["index"].get<std::size_t>());
    CPPUNIT_ASSERT(written.back().ends_with("\n"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonLogTest);

}  // namespace
}  // namespace pimentopin
