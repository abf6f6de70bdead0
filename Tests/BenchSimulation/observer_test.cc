#include "Bench/Simulation/observer.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin::bench {
namespace {

class ObserverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObserverTest);
  CPPUNIT_TEST(TestFindsFalseNotRunClaim);
  CPPUNIT_TEST(TestFindsRunAfterNotRunClaim);
  CPPUNIT_TEST(TestFindsSecondRunOfNonIdempotentWork);
  CPPUNIT_TEST(TestFindsSecondAnswer);
  CPPUNIT_TEST(TestForgetsFinishedRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an observer that cannot see a broken not-run promise.
  void TestFindsFalseNotRunClaim() {
    Observer observer = Begun(true);
    observer.AttemptStarted(kRequest);
    observer.RunStarted(kRequest);
    observer.Finished(Finish(Outcome::kNotRun), TimePoint());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, observer.counts().false_not_run);
  }

  // Guards against missing a run that begins after the caller was told not-run.
  void TestFindsRunAfterNotRunClaim() {
    Observer observer = Begun(true);
    observer.AttemptStarted(kRequest);
    observer.Finished(Finish(Outcome::kNotRun), TimePoint());
    observer.RunStarted(kRequest);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, observer.counts().false_not_run);
  }

  // Guards against missing a booking that ran twice.
  void TestFindsSecondRunOfNonIdempotentWork() {
    Observer observer = Begun(false);
    for (int run = 0; run < 2; ++run) {
      observer.AttemptStarted(kRequest);
      observer.RunStarted(kRequest);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, observer.counts().non_idempotent_run_twice);
    Observer harmless = Begun(true);
    for (int run = 0; run < 2; ++run) {
      harmless.AttemptStarted(kRequest);
      harmless.RunStarted(kRequest);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, harmless.counts().violations());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, harmless.counts().run_again);
  }

  // Guards against missing two answers to one caller.
  void TestFindsSecondAnswer() {
    Observer observer = Begun(true);
    observer.Forwarded(kRequest);
    observer.Forwarded(kRequest);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, observer.counts().answered_twice);
    observer.Finished(Finish(Outcome::kTarget), TimePoint());
    observer.Finished(Finish(Outcome::kTarget), TimePoint());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, observer.counts().answered_twice);
  }

  // Guards against the memory of an hour's run.
  void TestForgetsFinishedRequests() {
    Observer observer = Begun(true);
    observer.AttemptStarted(kRequest);
    observer.RunStarted(kRequest);
    observer.Finished(Finish(Outcome::kTarget), TimePoint());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, observer.open_requests());
    observer.AttemptEnded(kRequest);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, observer.open_requests());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, observer.counts().complete);
  }

 private:
  static constexpr RequestId kRequest{1};

  static Observer Begun(bool idempotent) {
    Observer observer;
    observer.Begin({.request = kRequest, .idempotent = idempotent}, TimePoint());
    return observer;
  }
  static FinishRequest Finish(Outcome outcome) { return {.request = kRequest, .outcome = outcome}; }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObserverTest);

}  // namespace
}  // namespace pimentopin::bench
