#include "Libraries/LibHealth/ejection_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

using namespace std::chrono_literals;

class EjectionScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EjectionScheduleTest);
  CPPUNIT_TEST(TestDoublesUpToMaximum);
  CPPUNIT_TEST(TestHalvesPerQuietPeriod);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a flapping target being tried at a constant rate.
  void TestDoublesUpToMaximum() {
    EjectionSchedule schedule;
    TimePoint now(1h);
    for (const Duration expected : {Duration(10s), Duration(20s), Duration(40s), Duration(80s),
                                    Duration(160s), Duration(300s), Duration(300s)}) {
      const Duration length = schedule.Next(now);
      CPPUNIT_ASSERT(expected == length);
      now += length + 15s;
      schedule.Returned(now);
    }
  }

  // Guards against a target paying for a fault of last week.
  void TestHalvesPerQuietPeriod() {
    EjectionSchedule schedule;
    TimePoint now(1h);
    for (int index = 0; index < 4; ++index) {
      now += schedule.Next(now);
      schedule.Returned(now);
    }
    // The next would take 160 s.
    CPPUNIT_ASSERT(Duration(40s) == schedule.Next(now + 20min));
    schedule.Returned(now + 21min);
    CPPUNIT_ASSERT(Duration(10s) == schedule.Next(now + 10h));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EjectionScheduleTest);

}  // namespace
}  // namespace pimentopin
