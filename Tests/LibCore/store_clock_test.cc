#include "Libraries/LibCore/store_clock.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

BootTimePoint Boot(Duration time) {
  return BootTimePoint(seconds(1000) + time);
}

StoreTimePoint Store(Duration time) {
  return StoreTimePoint(time);
}

class StoreClockTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreClockTest);
  CPPUNIT_TEST(TestBoundsHoldTheTimeOfTheStore);
  CPPUNIT_TEST(TestSlowCallDoesNotWidenTheBounds);
  CPPUNIT_TEST(TestBoundsWidenWithTheDriftOfTheClocks);
  CPPUNIT_TEST(TestJumpOfTheStoreReplacesTheBounds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestBoundsHoldTheTimeOfTheStore() {
    StoreClock clock;
    CPPUNIT_ASSERT(!clock.Latest(Boot(seconds(0))));
    CPPUNIT_ASSERT(clock.Observe(Boot(seconds(0)), Boot(milliseconds(20)), Store(seconds(7))));
    CPPUNIT_ASSERT(*clock.Latest(Boot(milliseconds(20))) == Store(milliseconds(7020)));
    CPPUNIT_ASSERT(*clock.Earliest(Boot(milliseconds(20))) == Store(seconds(7)));
  }

  // Guards against a lease that ends early because one response came late.
  void TestSlowCallDoesNotWidenTheBounds() {
    StoreClock clock;
    clock.Observe(Boot(seconds(0)), Boot(milliseconds(20)), Store(seconds(7)));
    clock.Observe(Boot(seconds(1)), Boot(seconds(3)), Store(seconds(9)));
    CPPUNIT_ASSERT(*clock.Latest(Boot(seconds(3))) < Store(milliseconds(10021)));
  }

  // Guards against bounds that miss the store's time after a day without a response.
  void TestBoundsWidenWithTheDriftOfTheClocks() {
    StoreClock clock;
    clock.Observe(Boot(seconds(0)), Boot(milliseconds(20)), Store(seconds(7)));
    // The store's clock has gained 100 parts in a million.
    const Duration day = hours(24);
    const Duration gained = day + day / 10'000;
    CPPUNIT_ASSERT(*clock.Latest(Boot(day)) > Store(seconds(7) + gained));
    CPPUNIT_ASSERT(clock.Observe(Boot(day), Boot(day), Store(seconds(7) + gained)));
    CPPUNIT_ASSERT(*clock.Latest(Boot(day)) == Store(seconds(7) + gained));
  }

  // Guards against a store that was replaced, so that its clock starts again.
  void TestJumpOfTheStoreReplacesTheBounds() {
    for (const Duration restarted : {Duration(seconds(1)), Duration(seconds(500))}) {
      StoreClock clock;
      clock.Observe(Boot(seconds(0)), Boot(milliseconds(20)), Store(seconds(100)));
      const BootTimePoint now = Boot(seconds(10));
      CPPUNIT_ASSERT(!clock.Observe(now, now, Store(restarted)));
      CPPUNIT_ASSERT(*clock.Latest(now) == Store(restarted));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClockTest);

}  // namespace
}  // namespace pimentopin
