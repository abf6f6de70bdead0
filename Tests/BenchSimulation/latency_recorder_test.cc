#include "Bench/Simulation/latency_recorder.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin::bench {
namespace {

class LatencyRecorderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LatencyRecorderTest);
  CPPUNIT_TEST(TestQuantilesAreAccurateToOneBin);
  CPPUNIT_TEST(TestValuesOutsideRangeAreCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against quantiles with an error above the width of a bin.
  void TestQuantilesAreAccurateToOneBin() {
    LatencyRecorder recorder;
    CPPUNIT_ASSERT_EQUAL(0.0, recorder.QuantileMs(0.99));
    for (int index = 1; index <= 100'000; ++index) {
      recorder.Record(Duration(index * 10));
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(500.0, recorder.QuantileMs(0.5), 5.0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(990.0, recorder.QuantileMs(0.99), 10.0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(500.0, recorder.MeanMs(), 0.1);
  }

  // Guards against dropping latencies outside the range of the histogram.
  void TestValuesOutsideRangeAreCounted() {
    LatencyRecorder recorder;
    recorder.Record(Duration(0));
    recorder.Record(std::chrono::hours(1));
    recorder.Record(std::chrono::hours(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, recorder.count());
    CPPUNIT_ASSERT(recorder.QuantileMs(0.1) < 0.1);
    CPPUNIT_ASSERT(recorder.QuantileMs(0.9) >= 600'000.0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LatencyRecorderTest);

}  // namespace
}  // namespace pimentopin::bench
