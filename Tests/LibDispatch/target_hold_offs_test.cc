#include "Libraries/LibDispatch/target_hold_offs.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

using std::chrono::seconds;

constexpr TargetId kTarget{1};

class TargetHoldOffsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetHoldOffsTest);
  CPPUNIT_TEST(TestHoldOffEnds);
  CPPUNIT_TEST(TestShorterHoldOffIsIgnored);
  CPPUNIT_TEST(TestHoldOffIsLimited);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a target that stays excluded after its hold-off, and against state that grows.
  void TestHoldOffEnds() {
    this->hold_offs.HoldOff(this->now, kTarget, seconds(2));
    CPPUNIT_ASSERT(this->hold_offs.IsHeldOff(this->now + seconds(1), kTarget));
    CPPUNIT_ASSERT(!this->hold_offs.IsHeldOff(this->now + seconds(2), kTarget));
    CPPUNIT_ASSERT(!this->hold_offs.IsHeldOff(this->now, TargetId{2}));
    this->hold_offs.Tick(this->now + seconds(2));
    CPPUNIT_ASSERT(this->hold_offs.empty());
  }

  // Guards against a second refusal that shortens the first one's time.
  void TestShorterHoldOffIsIgnored() {
    this->hold_offs.HoldOff(this->now, kTarget, seconds(5));
    this->hold_offs.HoldOff(this->now + seconds(1), kTarget, seconds(1));
    CPPUNIT_ASSERT(this->hold_offs.EndOf(this->now, kTarget) == this->now + seconds(5));
  }

  // Guards against a faulty value that excludes a target for ever.
  void TestHoldOffIsLimited() {
    this->hold_offs.HoldOff(this->now, kTarget, std::chrono::hours(1000));
    CPPUNIT_ASSERT(this->hold_offs.EndOf(this->now, kTarget) ==
                   this->now + TargetHoldOffs::kMaxHoldOff);
    this->hold_offs.HoldOff(this->now, TargetId{2}, Duration(-1));
    CPPUNIT_ASSERT(!this->hold_offs.IsHeldOff(this->now, TargetId{2}));
  }

 private:
  const TimePoint now{seconds(100)};
  TargetHoldOffs hold_offs;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetHoldOffsTest);

}  // namespace
}  // namespace pimentopin
