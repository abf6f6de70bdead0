#include "Libraries/LibHealth/failure_estimator.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

using Outcome = FailureEstimator::Outcome;

class FailureEstimatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailureEstimatorTest);
  CPPUNIT_TEST(TestOneFailureRaisesFailureProbability);
  CPPUNIT_TEST(TestSuccessesLowerFailureProbability);
  CPPUNIT_TEST(TestEstimateDecays);
  CPPUNIT_TEST(TestNoResponseIsWeakerThanFailure);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against non-idempotent requests being sent to a target that has just failed
  // one.
  void TestOneFailureRaisesFailureProbability() {
    FailureEstimator good;
    FailureEstimator failed;
    good.Observe(kNow, Outcome::kSuccess);
    failed.Observe(kNow, Outcome::kFailure);
    CPPUNIT_ASSERT(failed.FailureProbability(kNow) > 0.5);
    CPPUNIT_ASSERT(good.FailureProbability(kNow) < 0.1);
    const FailureEstimator unknown;
    CPPUNIT_ASSERT(unknown.FailureProbability(kNow) < failed.FailureProbability(kNow));
    CPPUNIT_ASSERT(unknown.FailureProbability(kNow) > good.FailureProbability(kNow));
  }

  // Guards against a target being avoided for one error among many successes.
  void TestSuccessesLowerFailureProbability() {
    FailureEstimator estimator;
    estimator.Observe(kNow, Outcome::kFailure);
    for (int count = 0; count < 4; ++count) {
      estimator.Observe(kNow + std::chrono::milliseconds(100 * count), Outcome::kSuccess);
    }
    CPPUNIT_ASSERT(estimator.FailureProbability(kNow + std::chrono::milliseconds(400)) < 0.15);
  }

  // Guards against an estimate that outlives the fault, which lasts some seconds.
  void TestEstimateDecays() {
    FailureEstimator estimator;
    estimator.Observe(kNow, Outcome::kFailure);
    const double fresh = estimator.FailureProbability(kNow);
    const double later = estimator.FailureProbability(kNow + std::chrono::seconds(8));
    const double old = estimator.FailureProbability(kNow + std::chrono::seconds(60));
    CPPUNIT_ASSERT(fresh > later && later > old);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(FailureEstimator().FailureProbability(kNow), old, 0.01);
  }

  // Guards against a missing response, which a broken path may cause, weighing as much
  // as an error.
  void TestNoResponseIsWeakerThanFailure() {
    FailureEstimator unanswered;
    FailureEstimator failed;
    unanswered.Observe(kNow, Outcome::kNoResponse);
    failed.Observe(kNow, Outcome::kFailure);
    CPPUNIT_ASSERT(unanswered.FailureProbability(kNow) < failed.FailureProbability(kNow));
  }

 private:
  static constexpr TimePoint kNow{std::chrono::seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureEstimatorTest);

}  // namespace
}  // namespace pimentopin
