#include "Libraries/LibHealth/ejection_backoff.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

using namespace std::chrono_literals;

class EjectionBackoffTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EjectionBackoffTest);
  CPPUNIT_TEST(TestDoublesUpToMaximum);
  CPPUNIT_TEST(TestHalvesPerDecayPeriod);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a flapping target being retried at a constant rate.
  void TestDoublesUpToMaximum() {
    EjectionBackoff backoff;
    TimePoint now(1h);
    for (const Duration expected : {Duration(10s), Duration(20s), Duration(40s), Duration(80s),
                                    Duration(160s), Duration(300s), Duration(300s)}) {
      const Duration duration = backoff.NextDuration(now);
      CPPUNIT_ASSERT(expected == duration);
      now += duration + 15s;
      backoff.RecordReturn(now);
    }
  }

  // Guards against a long ejection because of faults that are long over.
  void TestHalvesPerDecayPeriod() {
    EjectionBackoff backoff;
    TimePoint now(1h);
    for (int index = 0; index < 4; ++index) {
      now += backoff.NextDuration(now);
      backoff.RecordReturn(now);
    }
    // Without the decay, the next ejection would last 160 s.
    CPPUNIT_ASSERT(Duration(40s) == backoff.NextDuration(now + 20min));
    backoff.RecordReturn(now + 21min);
    CPPUNIT_ASSERT(Duration(10s) == backoff.NextDuration(now + 10h));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EjectionBackoffTest);

}  // namespace
}  // namespace pimentopin
