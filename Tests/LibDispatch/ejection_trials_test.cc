#include "Libraries/LibDispatch/ejection_trials.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TargetId kTarget{1};

class EjectionTrialsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EjectionTrialsTest);
  CPPUNIT_TEST(TestNoTrialsWhileRequestsAreServed);
  CPPUNIT_TEST(TestTrialsEndWithTheTrouble);
  CPPUNIT_TEST(TestTrialsAreLimitedByShareAndTime);
  CPPUNIT_TEST(TestNonIdempotentWorkTriesLaterAndLess);
  CPPUNIT_TEST(TestTargetIsNotTriedAgainSoon);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that an ejected target fails while the others serve the load.
  void TestNoTrialsWhileRequestsAreServed() {
    this->Record(91, 9);
    CPPUNIT_ASSERT(!this->MayTry(true, seconds(60)));
    this->Record(0, 4);
    CPPUNIT_ASSERT(this->MayTry(true, seconds(60)));
  }

  // Guards against a decision on a few requests, and on old ones.
  void TestTrialsEndWithTheTrouble() {
    this->Record(0, 10);
    CPPUNIT_ASSERT(!this->MayTry(true, seconds(60)));
    this->Record(0, 10);
    CPPUNIT_ASSERT(this->MayTry(true, seconds(60)));
    this->now += seconds(3);
    CPPUNIT_ASSERT(!this->MayTry(true, seconds(60)));
  }

  // Guards against trials that use up the service's retry budget.
  void TestTrialsAreLimitedByShareAndTime() {
    this->Record(50, 50);
    CPPUNIT_ASSERT(!this->MayTry(true, milliseconds(1100)));
    for (std::uint64_t trial = 10; trial < 15; ++trial) {
      CPPUNIT_ASSERT(this->MayTry(true, milliseconds(1200)));
      this->trials.RecordTrial(this->now, Request(true), TargetId{trial});
    }
    CPPUNIT_ASSERT(!this->MayTry(true, seconds(60)));
  }

  // Guards against losing requests that cannot be retried.
  void TestNonIdempotentWorkTriesLaterAndLess() {
    this->Record(50, 50);
    CPPUNIT_ASSERT(!this->MayTry(false, milliseconds(3900)));
    CPPUNIT_ASSERT(this->MayTry(false, seconds(4)));
    this->trials.RecordTrial(this->now, Request(false), TargetId{10});
    CPPUNIT_ASSERT(!this->MayTry(false, seconds(60)));
    SlotRequest retry = Request(true);
    retry.is_retry = true;
    CPPUNIT_ASSERT(!this->trials.MayTry(this->now, retry, kTarget, this->now - seconds(60)));
  }

  // Guards against a target that fails a request each second for as long as the trouble lasts.
  void TestTargetIsNotTriedAgainSoon() {
    this->Record(50, 50);
    this->trials.RecordTrial(this->now, Request(true), kTarget);
    this->now += milliseconds(1900);
    CPPUNIT_ASSERT(!this->MayTry(true, seconds(60)));
    this->now += milliseconds(2100);
    this->Record(50, 50);
    CPPUNIT_ASSERT(this->MayTry(true, seconds(60)));
  }

 private:
  static SlotRequest Request(bool idempotent) { return {.idempotent = idempotent}; }

  void Record(int served, int unserved) {
    for (int index = 0; index < served + unserved; ++index) {
      this->trials.RecordFirstAttempt(this->now);
      this->trials.RecordOutcome(this->now, index < served);
    }
  }

  bool MayTry(bool idempotent, Duration idle) {
    return this->trials.MayTry(this->now, Request(idempotent), kTarget, this->now - idle);
  }

  TimePoint now{seconds(100)};
  EjectionTrials trials;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EjectionTrialsTest);

}  // namespace
}  // namespace pimentopin
