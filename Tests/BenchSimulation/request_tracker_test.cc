#include "Bench/Simulation/request_tracker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin::bench {
namespace {

class RequestTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestTrackerTest);
  CPPUNIT_TEST(TestCountsNotRunOutcomeOfStartedRun);
  CPPUNIT_TEST(TestCountsRunAfterNotRunOutcome);
  CPPUNIT_TEST(TestCountsSecondRunOfNonIdempotentRequest);
  CPPUNIT_TEST(TestCountsDuplicateResponses);
  CPPUNIT_TEST(TestErasesFinishedRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against missing a not-run outcome of a request that a target ran.
  void TestCountsNotRunOutcomeOfStartedRun() {
    RequestTracker tracker = CreateTracker(true);
    tracker.OnAttemptStarted(kRequest);
    tracker.OnRunStarted(kRequest);
    tracker.OnRequestFinished(Finish(Outcome::kNotRun), TimePoint());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, tracker.counts().false_not_run);
  }

  // Guards against missing a run that begins after the caller received not-run.
  void TestCountsRunAfterNotRunOutcome() {
    RequestTracker tracker = CreateTracker(true);
    tracker.OnAttemptStarted(kRequest);
    tracker.OnRequestFinished(Finish(Outcome::kNotRun), TimePoint());
    tracker.OnRunStarted(kRequest);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, tracker.counts().false_not_run);
  }

  // Guards against missing a non-idempotent request that ran twice.
  void TestCountsSecondRunOfNonIdempotentRequest() {
    RequestTracker tracker = CreateTracker(false);
    for (int run = 0; run < 2; ++run) {
      tracker.OnAttemptStarted(kRequest);
      tracker.OnRunStarted(kRequest);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, tracker.counts().non_idempotent_run_twice);
    RequestTracker idempotent_tracker = CreateTracker(true);
    for (int run = 0; run < 2; ++run) {
      idempotent_tracker.OnAttemptStarted(kRequest);
      idempotent_tracker.OnRunStarted(kRequest);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, idempotent_tracker.counts().violations());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, idempotent_tracker.counts().idempotent_run_again);
  }

  // Guards against missing a second response to one request.
  void TestCountsDuplicateResponses() {
    RequestTracker tracker = CreateTracker(true);
    tracker.OnResponseForwarded(kRequest);
    tracker.OnResponseForwarded(kRequest);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, tracker.counts().duplicate_responses);
    tracker.OnRequestFinished(Finish(Outcome::kTarget), TimePoint());
    tracker.OnRequestFinished(Finish(Outcome::kTarget), TimePoint());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, tracker.counts().duplicate_responses);
  }

  // Guards against unbounded memory use in long simulations.
  void TestErasesFinishedRequests() {
    RequestTracker tracker = CreateTracker(true);
    tracker.OnAttemptStarted(kRequest);
    tracker.OnRunStarted(kRequest);
    tracker.OnRequestFinished(Finish(Outcome::kTarget), TimePoint());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tracker.open_requests());
    tracker.OnAttemptEnded(kRequest);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tracker.open_requests());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, tracker.counts().complete);
  }

 private:
  static constexpr RequestId kRequest{1};

  static RequestTracker CreateTracker(bool idempotent) {
    RequestTracker tracker;
    tracker.OnRequestSubmitted({.request = kRequest, .idempotent = idempotent}, TimePoint());
    return tracker;
  }
  static FinishRequest Finish(Outcome outcome) { return {.request = kRequest, .outcome = outcome}; }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTrackerTest);

}  // namespace
}  // namespace pimentopin::bench
