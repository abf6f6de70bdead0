#include "Libraries/LibHost/stop_progress.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <utility>

namespace pimentopin {
namespace {

class StopProgressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopProgressTest);
  CPPUNIT_TEST(TestPhaseHasTheTimeOfAnother);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a log that blames the wrong part of a stop for its length.
  void TestPhaseHasTheTimeOfAnother() {
    TimePoint now(std::chrono::seconds(1000));
    StopProgress progress([&now] { return now; });
    const std::array<std::pair<StopPhase, int>, 5> phases = {{{StopPhase::kDelay, 3200},
                                                              {StopPhase::kListener, 4},
                                                              {StopPhase::kRequests, 150},
                                                              {StopPhase::kWrites, 20},
                                                              {StopPhase::kEnd, 7}}};
    for (const auto& [phase, length_ms] : phases) {
      progress.Enter(phase);
      CPPUNIT_ASSERT(progress.phase() == phase);
      CPPUNIT_ASSERT(progress.BeganAt(phase) == now);
      now += std::chrono::milliseconds(length_ms);
    }
    const nlohmann::json expected = {
        {"delay_ms", 3200}, {"listener_ms", 4}, {"requests_ms", 150}, {"writes_ms", 20}};
    CPPUNIT_ASSERT(progress.EndedPhases() == expected);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopProgressTest);

}  // namespace
}  // namespace pimentopin
