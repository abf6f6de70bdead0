#include "Libraries/LibCore/pause_monitor.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PauseMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PauseMonitorTest);
  CPPUNIT_TEST(TestPauseIsForgottenAtOnce);
  CPPUNIT_TEST(TestOldPauseCounts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a host that forgets its pauses when a window ends.
  void TestPauseIsForgottenAtOnce() {
    PauseMonitor monitor(kInterval);
    TimePoint now = kStart;
    monitor.Tick(now);
    CPPUNIT_ASSERT(monitor.longest() == Duration::zero());
    now += kInterval + milliseconds(400);
    monitor.Tick(now);
    CPPUNIT_ASSERT(monitor.longest() == milliseconds(400));
    const TimePoint end = now + PauseMonitor::kWindow;
    for (; now < end; now += kInterval) {
      monitor.Tick(now);
      CPPUNIT_ASSERT(monitor.longest() == milliseconds(400));
    }
  }

  // Guards against a host that ends its work early because of a pause of long ago.
  void TestOldPauseCounts() {
    PauseMonitor monitor(kInterval);
    monitor.Tick(kStart);
    TimePoint now = kStart + seconds(2);
    monitor.Tick(now);
    const TimePoint end = now + 2 * PauseMonitor::kWindow + kInterval;
    for (; now < end; now += kInterval) {
      monitor.Tick(now);
    }
    CPPUNIT_ASSERT(monitor.longest() == Duration::zero());
  }

 private:
  static constexpr TimePoint kStart = TimePoint(seconds(1000));
  static constexpr Duration kInterval = milliseconds(50);
};

CPPUNIT_TEST_SUITE_REGISTRATION(PauseMonitorTest);

}  // namespace
}  // namespace pimentopin
