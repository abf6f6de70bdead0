#include "Libraries/LibDispatch/host_dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>

#include "Libraries/LibCore/rendezvous.h"
#include "Libraries/LibDispatch/service_cells.h"

namespace pimentopin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ServiceId kService{7};
constexpr HostId kSelf{1};

template <typename T>
std::vector<T> ActionsOf(const std::vector<DispatchAction>& actions) {
  std::vector<T> found;
  for (const DispatchAction& action : actions) {
    if (const auto* item = std::get_if<T>(&action)) {
      found.push_back(*item);
    }
  }
  return found;
}

template <typename T>
std::vector<std::pair<HostId, T>> MessagesOf(const std::vector<DispatchAction>& actions) {
  std::vector<std::pair<HostId, T>> found;
  for (const SendToHost& send : ActionsOf<SendToHost>(actions)) {
    if (const auto* message = std::get_if<T>(&send.message)) {
      found.emplace_back(send.host, *message);
    }
  }
  return found;
}

class HostDispatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HostDispatcherTest);
  CPPUNIT_TEST(TestOptimisticStartClaimsSlot);
  CPPUNIT_TEST(TestOptimisticStartsSpreadOverFreeTargets);
  CPPUNIT_TEST(TestRequestsSlotWhenViewIsStaleOrFullOrQueued);
  CPPUNIT_TEST(TestSuspectAlwaysRequestsSlotAndBlockedIsRefused);
  CPPUNIT_TEST(TestLateGrantIsReturnedAndNothingStarts);
  CPPUNIT_TEST(TestUnexpectedGrantIsReturned);
  CPPUNIT_TEST(TestDuplicateGrantKeepsSlot);
  CPPUNIT_TEST(TestGrantOfLeavingTargetIsReturnedAndSlotRequestedAgain);
  CPPUNIT_TEST(TestLeavingTargetAddsAListOfTheOthersToRequests);
  CPPUNIT_TEST(TestOptimisticStartOnAViewThatIsRarelySent);
  CPPUNIT_TEST(TestRequestLeavesItsDomainAlthoughTheOwnCellHasRoom);
  CPPUNIT_TEST(TestRequestIsRefusedAlthoughAnotherCellHasRoom);
  CPPUNIT_TEST(TestFullCellIsAskedAgainByOtherDomains);
  CPPUNIT_TEST(TestSilentBrokerOfACellLeadsToAStartWithoutBroker);
  CPPUNIT_TEST(TestRetryInAnotherCellRepeatsTheFailedTarget);
  CPPUNIT_TEST(TestRequestOfTheWholeServiceIsLostWhenItIsDivided);
  CPPUNIT_TEST(TestFallbackReturnsToTheTargetThatFailed);
  CPPUNIT_TEST(TestGrantOfUnknownTargetIsReturnedAsNotDraining);
  CPPUNIT_TEST(TestGrantOfForbiddenTargetIsReturned);
  CPPUNIT_TEST(TestFailedConnectionNeedsNoRetryBudget);
  CPPUNIT_TEST(TestSentNonIdempotentWorkIsNotRetried);
  CPPUNIT_TEST(TestUnsentNonIdempotentWorkIsRetried);
  CPPUNIT_TEST(TestShedNonIdempotentWorkGoesToAnotherTarget);
  CPPUNIT_TEST(TestShedNonIdempotentWorkIsNotRetriedAfterItMayHaveRun);
  CPPUNIT_TEST(TestShedEverywhereIsRefused);
  CPPUNIT_TEST(TestHeldOffTargetReceivesNothing);
  CPPUNIT_TEST(TestRequestWaitsForEndOfHoldOff);
  CPPUNIT_TEST(TestHoldOffBeyondDeadlineIsRefusedAtOnce);
  CPPUNIT_TEST(TestNotRunOnlyIfNothingWasSent);
  CPPUNIT_TEST(TestShedIsNotRun);
  CPPUNIT_TEST(TestShedCallerCannotReturnInTime);
  CPPUNIT_TEST(TestShedAttemptIsCancelledAtHeader);
  CPPUNIT_TEST(TestServerErrorIsHeldUntilRetryIsDecided);
  CPPUNIT_TEST(TestFailedRunIsForgottenIfItsEndIsLate);
  CPPUNIT_TEST(TestHeldResponseIsForwardedAfterLimit);
  CPPUNIT_TEST(TestTruncationAfterForwardingAbortsConnection);
  CPPUNIT_TEST(TestWrongAttemptIdIsNeverForwarded);
  CPPUNIT_TEST(TestAtMostThreeAttempts);
  CPPUNIT_TEST(TestBrokerTimeoutMovesToSecondThenFallback);
  CPPUNIT_TEST(TestQueuedRequestKeepsItsBroker);
  CPPUNIT_TEST(TestFallbackCapAndLocalQueue);
  CPPUNIT_TEST(TestFallbackRepeatsRetriesThatTheBrokerGranted);
  CPPUNIT_TEST(TestFallbackUsesConnectionSubset);
  CPPUNIT_TEST(TestFallbackExceedsTheShareOfAStatedLimit);
  CPPUNIT_TEST(TestReportsWhileOutstandingAndOnBrokerChange);
  CPPUNIT_TEST(TestReleaseReachesGrantingAndCurrentBroker);
  CPPUNIT_TEST(TestCallerGoneEndsOnce);
  CPPUNIT_TEST(TestDeadlineCancelsRunningAttempt);
  CPPUNIT_TEST(TestOwnPauseDoesNotTimeOutBroker);
  CPPUNIT_TEST(TestMessageAfterOwnPauseTimesOutBroker);
  CPPUNIT_TEST(TestOwnPauseDropsAReadyAnswer);
  CPPUNIT_TEST(TestOwnPauseAtTheEndOfTheHostDropsAReadyAnswer);
  CPPUNIT_TEST(TestOwnPausesPutOffACancellationForever);
  CPPUNIT_TEST(TestNextDeadlineFollowsTheRequests);
  CPPUNIT_TEST(TestRouteLimitsAttempts);
  CPPUNIT_TEST(TestWaitingRequestIsCutAtTheEndOfTheHost);
  CPPUNIT_TEST(TestRefusalNearTheEndOfTheHostNamesAnotherReason);
  CPPUNIT_TEST(TestRefusalNamesTheEndOfTheHostWithoutReason);
  CPPUNIT_TEST(TestRefusedRetryHidesTheFailureOfItsAttempt);
  CPPUNIT_TEST(TestHoldOffBeyondTheEndOfTheHostNamesTheTargets);
  CPPUNIT_TEST(TestRetryWaitsBeyondTheEndOfTheHost);
  CPPUNIT_TEST(TestRunningRequestIsCutAtTheEndOfTheHost);
  CPPUNIT_TEST(TestEndOfTheHostCutsAResponseThatHasBegun);
  CPPUNIT_TEST(TestRequestOutlastsTheHostIfTheEndOfItsAttemptIsLate);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a round trip to the broker while slots are free, and against
  // a start that the broker never learns of.
  void TestOptimisticStartClaimsSlot() {
    this->ReceiveView();
    const auto actions = this->dispatcher->Begin(this->now, this->Request(1));
    const auto starts = ActionsOf<StartAttempt>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    const auto claims = MessagesOf<SlotClaim>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, claims.size());
    CPPUNIT_ASSERT(claims[0].first == this->broker);
    CPPUNIT_ASSERT(claims[0].second.attempt == starts[0].attempt);
  }

  // Guards against hosts that share a view and all start at the target with the
  // most free slots. Its queue made the target look slow and caused false
  // ejections.
  void TestOptimisticStartsSpreadOverFreeTargets() {
    std::map<TargetId, int> starts;
    for (std::uint64_t index = 1; index <= 300; ++index) {
      ServiceView view{.service = kService, .sequence = index, .active_hosts = 4};
      for (std::uint64_t target = 1; target <= 3; ++target) {
        view.targets.push_back({.target = TargetId{target},
                                .usable_slots = 3,
                                .free_slots = static_cast<std::uint16_t>(target == 1 ? 3 : 2)});
      }
      this->dispatcher->OnView(this->now, this->broker, view);
      ++starts[ActionsOf<StartAttempt>(this->dispatcher->Begin(this->now, this->Request(index)))
                   .at(0)
                   .target];
    }
    CPPUNIT_ASSERT(starts[TargetId{1}] > 90 && starts[TargetId{1}] < 170);
    CPPUNIT_ASSERT(starts[TargetId{2}] > 50 && starts[TargetId{3}] > 50);
  }

  // Guards against optimistic starts on views that are outdated or show load.
  void TestRequestsSlotWhenViewIsStaleOrFullOrQueued() {
    this->ReceiveView();
    this->now += milliseconds(251);
    this->AssertRequestsSlot(this->dispatcher->Begin(this->now, this->Request(1)));
    this->Reset();
    this->ReceiveView(1, 0);
    this->AssertRequestsSlot(this->dispatcher->Begin(this->now, this->Request(1)));
    this->Reset();
    this->ReceiveView(3, 1);
    this->AssertRequestsSlot(this->dispatcher->Begin(this->now, this->Request(1)));
    this->Reset();
    this->ReceiveView();
    RequestDescription long_request = this->Request(1);
    long_request.work_class = WorkClass::kLong;
    this->AssertRequestsSlot(this->dispatcher->Begin(this->now, long_request));
    // This host's starts reduce the free slots until the next view.
    this->Reset();
    this->ReceiveView();
    std::size_t starts = 0;
    for (std::uint64_t index = 1; index <= 30; ++index) {
      starts +=
          ActionsOf<StartAttempt>(this->dispatcher->Begin(this->now, this->Request(index))).size();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, starts);
  }

  // Guards against a suspected crash request that runs at several targets at
  // once.
  void TestSuspectAlwaysRequestsSlotAndBlockedIsRefused() {
    this->ReceiveView();
    this->suspects.insert(Fingerprint{1});
    this->AssertRequestsSlot(this->dispatcher->Begin(this->now, this->Request(1)));
    this->blocked.insert(Fingerprint{2});
    const auto finish =
        ActionsOf<FinishRequest>(this->dispatcher->Begin(this->now, this->Request(2))).at(0);
    CPPUNIT_ASSERT(finish.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(finish.refusal == RefusalReason::kCrashRequest);
  }

  // Guards against work that starts after its deadline, for example after a
  // pause of the host, although the caller receives the outcome not-run.
  void TestLateGrantIsReturnedAndNothingStarts() {
    const AttemptId attempt = this->RequestSlot(1);
    this->now += seconds(10);
    const auto actions = this->Grant(attempt, this->broker);
    CPPUNIT_ASSERT(ActionsOf<StartAttempt>(actions).empty());
    this->AssertReturned(actions, attempt, this->broker);
    const auto finish = ActionsOf<FinishRequest>(actions).at(0);
    CPPUNIT_ASSERT(finish.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(finish.refusal == RefusalReason::kDeadline);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->dispatcher->requests_in_progress());
  }

  // Guards against a slot that stays occupied after a grant for which no
  // request waits.
  void TestUnexpectedGrantIsReturned() {
    const auto unknown = this->Grant(AttemptId{123}, this->broker);
    this->AssertReturned(unknown, AttemptId{123}, this->broker);
    const AttemptId attempt = this->RequestSlot(1);
    const auto other = this->Grant(attempt, this->second_broker);
    this->AssertReturned(other, attempt, this->second_broker);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ActionsOf<StartAttempt>(this->Grant(attempt, this->broker)).size());
  }

  // Guards against a duplicate grant that releases the slot of a running
  // attempt or starts it twice.
  void TestDuplicateGrantKeepsSlot() {
    const AttemptId attempt = this->RequestSlot(1);
    this->Grant(attempt, this->broker);
    CPPUNIT_ASSERT(this->Grant(attempt, this->broker).empty());
    this->dispatcher->OnAttemptEnd(this->now, attempt, SuccessfulEnd());
    this->AssertReturned(this->Grant(attempt, this->broker), attempt, this->broker);
  }

  // Guards against new work at a leaving target that a broker still grants.
  void TestGrantOfLeavingTargetIsReturnedAndSlotRequestedAgain() {
    const AttemptId attempt = this->RequestSlot(1);
    this->leaving.insert(TargetId{1});
    const auto actions = this->Grant(attempt, this->broker);
    CPPUNIT_ASSERT(ActionsOf<StartAttempt>(actions).empty());
    this->AssertReturned(actions, attempt, this->broker);
    CPPUNIT_ASSERT(MessagesOf<SlotRelease>(actions)[0].second.target_draining);
    const auto again = MessagesOf<SlotRequest>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
    CPPUNIT_ASSERT(again[0].second.attempt != attempt);
    const std::vector<TargetId> granted{TargetId{1}};
    CPPUNIT_ASSERT(again[0].second.forbidden == granted);
    CPPUNIT_ASSERT(!again[0].second.is_retry);
  }

  // Guards against slot requests that name hundreds of targets because one of them leaves.
  void TestLeavingTargetAddsAListOfTheOthersToRequests() {
    this->leaving.insert(TargetId{3});
    const auto request =
        MessagesOf<SlotRequest>(this->dispatcher->Begin(this->now, this->Request(1))).at(0).second;
    CPPUNIT_ASSERT(request.allowed.empty());
    CPPUNIT_ASSERT(request.forbidden.empty());
  }

  // Guards against hosts that choose the same targets because they share views that are too large
  // to be sent often.
  void TestOptimisticStartOnAViewThatIsRarelySent() {
    DispatchService service{.service = kService};
    ServiceView view{.service = kService, .sequence = 1};
    RequestDescription request = this->Request(1);
    request.allowed.clear();
    for (std::uint64_t index = 1; index <= 185; ++index) {
      service.targets.push_back({.target = TargetId{index}, .slots = 4});
      view.targets.push_back({.target = TargetId{index}, .usable_slots = 4, .free_slots = 4});
      request.allowed.push_back(TargetId{index});
    }
    this->dispatcher->Configure(this->now, {service});
    this->dispatcher->OnView(this->now, this->broker, view);
    this->AssertRequestsSlot(this->dispatcher->Begin(this->now, request));
  }

  // Guards against requests and responses that cross failure domains without need.
  void TestRequestLeavesItsDomainAlthoughTheOwnCellHasRoom() {
    this->Divide();
    const SlotRequest request = this->BeginDivided(1).second;
    CPPUNIT_ASSERT(request.service == this->cells[0]);
    CPPUNIT_ASSERT(request.allowed.empty());
    const auto actions = this->dispatcher->OnGrant(
        this->now, this->BrokerOf(0),
        {.attempt = request.attempt, .service = this->cells[0], .target = TargetId{1}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<StartAttempt>(actions).size());
    const auto end = this->dispatcher->OnAttemptEnd(this->now, request.attempt, SuccessfulEnd());
    CPPUNIT_ASSERT(MessagesOf<SlotRelease>(end).at(0).second.service == this->cells[0]);
  }

  // Guards against refusals in a busy failure domain while others are idle.
  void TestRequestIsRefusedAlthoughAnotherCellHasRoom() {
    this->Divide();
    const SlotRequest first = this->BeginDivided(1).second;
    const auto actions = this->RefuseInCell(first, RefusalReason::kQueueFull);
    const auto second = MessagesOf<SlotRequest>(actions).at(0).second;
    CPPUNIT_ASSERT(second.service != this->cells[0]);
    const auto third =
        MessagesOf<SlotRequest>(this->RefuseInCell(second, RefusalReason::kOverload)).at(0).second;
    CPPUNIT_ASSERT(third.service != this->cells[0] && third.service != second.service);
    const auto last = this->RefuseInCell(third, RefusalReason::kOverload);
    CPPUNIT_ASSERT(ActionsOf<FinishRequest>(last).at(0).refusal == RefusalReason::kOverload);
  }

  // Guards against an overload in which each request is sent to the brokers of all domains.
  void TestFullCellIsAskedAgainByOtherDomains() {
    this->Divide();
    this->TestRequestIsRefusedByAllCells(1);
    const SlotRequest again = this->BeginDivided(2).second;
    CPPUNIT_ASSERT(again.service == this->cells[0]);
    const auto actions = this->RefuseInCell(again, RefusalReason::kOverload);
    CPPUNIT_ASSERT(MessagesOf<SlotRequest>(actions).empty());
    this->now += seconds(1);
    this->TestRequestIsRefusedByAllCells(3);
  }

  // Guards against starts without evidence while brokers of other cells answer.
  void TestSilentBrokerOfACellLeadsToAStartWithoutBroker() {
    this->Divide();
    this->BeginDivided(1);
    const auto second = this->TickUntil<SlotRequest>(milliseconds(50));
    CPPUNIT_ASSERT(second.at(0).second.service == this->cells[0]);
    const auto other = this->TickUntil<SlotRequest>(milliseconds(50));
    CPPUNIT_ASSERT(other.at(0).second.service != this->cells[0]);
  }

  // Guards against a second attempt at the target that failed, through the broker of another cell.
  void TestRetryInAnotherCellRepeatsTheFailedTarget() {
    this->Divide();
    const SlotRequest first = this->BeginDivided(1, true).second;
    this->dispatcher->OnGrant(
        this->now, this->BrokerOf(0),
        {.attempt = first.attempt, .service = this->cells[0], .target = TargetId{1}});
    const auto retry = MessagesOf<SlotRequest>(this->EndShed(first.attempt)).at(0).second;
    const auto other =
        MessagesOf<SlotRequest>(this->RefuseInCell(retry, RefusalReason::kOverload)).at(0).second;
    CPPUNIT_ASSERT(other.service != this->cells[0]);
    CPPUNIT_ASSERT(other.excluded == std::vector<TargetId>{TargetId{1}});
    CPPUNIT_ASSERT(other.is_retry);
  }

  // Guards against requests that wait forever because their service is divided meanwhile.
  void TestRequestOfTheWholeServiceIsLostWhenItIsDivided() {
    const AttemptId attempt = this->RequestSlot(1);
    this->Divide();
    const auto actions = this->Grant(attempt, this->broker);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<StartAttempt>(actions).size());
    const SlotRequest divided = this->BeginDivided(2).second;
    this->dispatcher->Configure(this->now, {this->DividedService(false)});
    this->dispatcher->OnRefusal(this->now, this->BrokerOf(0),
                                {.attempt = divided.attempt,
                                 .service = this->cells[0],
                                 .reason = RefusalReason::kNotBroker});
    const auto again = this->TickUntil<SlotRequest>(milliseconds(300));
    CPPUNIT_ASSERT(again.empty() || again.at(0).second.service == kService);
  }

  // Guards against a host without a broker that sends each request to the target that fails at
  // once, as it has the fewest attempts outstanding.
  void TestFallbackReturnsToTheTargetThatFailed() {
    this->dispatcher->SetMembers(this->now, {});
    std::map<TargetId, int> starts;
    for (std::uint64_t index = 1; index <= 60; ++index) {
      const StartAttempt start =
          ActionsOf<StartAttempt>(this->dispatcher->Begin(this->now, this->Request(index))).at(0);
      CPPUNIT_ASSERT(start.placed_by == PlacedBy::kFallback);
      ++starts[start.target];
      this->dispatcher->OnAttemptEnd(
          this->now, start.attempt,
          {.result =
               start.target == TargetId{1} ? AttemptResult::kServerError : AttemptResult::kSuccess,
           .may_have_been_sent = true});
      this->now += milliseconds(5);
    }
    CPPUNIT_ASSERT(starts[TargetId{1}] <= 2);
  }

  // Guards against a new target that receives no work. If the broker's host
  // knows the target milliseconds earlier than this host, the returned grant
  // must not report it as draining.
  void TestGrantOfUnknownTargetIsReturnedAsNotDraining() {
    constexpr TargetId kUnknown{9};
    this->leaving.insert(kUnknown);
    const AttemptId attempt = this->RequestSlot(1);
    const auto actions = this->Grant(attempt, this->broker, kUnknown);
    this->AssertReturned(actions, attempt, this->broker);
    CPPUNIT_ASSERT(!MessagesOf<SlotRelease>(actions)[0].second.target_draining);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, MessagesOf<SlotRequest>(actions).size());
  }

  // Guards against a broker with a different configuration that grants a target
  // which the caller may not use.
  void TestGrantOfForbiddenTargetIsReturned() {
    RequestDescription request = this->Request(1);
    request.allowed = {TargetId{2}};
    const AttemptId attempt =
        MessagesOf<SlotRequest>(this->dispatcher->Begin(this->now, request)).at(0).second.attempt;
    const auto actions = this->Grant(attempt, this->broker);
    CPPUNIT_ASSERT(ActionsOf<StartAttempt>(actions).empty());
    this->AssertReturned(actions, attempt, this->broker);
  }

  // Guards against requests that are refused for lack of retry budget although
  // they reached no target, for example after all hosts lost power.
  void TestFailedConnectionNeedsNoRetryBudget() {
    RequestDescription request = this->Request(1, true);
    request.max_attempts = 3;
    const AttemptId unsent =
        MessagesOf<SlotRequest>(this->dispatcher->Begin(this->now, request)).at(0).second.attempt;
    this->Grant(unsent, this->broker);
    const auto again = MessagesOf<SlotRequest>(this->dispatcher->OnAttemptEnd(
        this->now, unsent, {.result = AttemptResult::kConnectFailure}));
    CPPUNIT_ASSERT(!again.at(0).second.is_retry);
    this->Grant(again.at(0).second.attempt, this->broker, TargetId{2});
    const auto retry = MessagesOf<SlotRequest>(this->dispatcher->OnAttemptEnd(
        this->now, again.at(0).second.attempt,
        {.result = AttemptResult::kServerError, .may_have_been_sent = true}));
    CPPUNIT_ASSERT(retry.at(0).second.is_retry);
  }

  // Guards against a second run of non-idempotent work.
  void TestSentNonIdempotentWorkIsNotRetried() {
    for (const AttemptResult result :
         {AttemptResult::kConnectionLost, AttemptResult::kTimeout, AttemptResult::kWrongAnswer,
          AttemptResult::kTruncated, AttemptResult::kCancelled}) {
      this->Reset();
      const AttemptId attempt = this->Start(1, false);
      const auto actions = this->dispatcher->OnAttemptEnd(
          this->now, attempt, {.result = result, .may_have_been_sent = true});
      CPPUNIT_ASSERT(MessagesOf<SlotRequest>(actions).empty());
      CPPUNIT_ASSERT(ActionsOf<StartAttempt>(actions).empty());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<FinishRequest>(actions).size());
    }
  }

  // Guards against work that reached no target and is not attempted again.
  void TestUnsentNonIdempotentWorkIsRetried() {
    const AttemptId attempt = this->Start(1, false);
    const auto actions = this->dispatcher->OnAttemptEnd(this->now, attempt,
                                                        {.result = AttemptResult::kConnectFailure});
    const auto retry = MessagesOf<SlotRequest>(actions).at(0).second;
    CPPUNIT_ASSERT(!retry.is_retry);
    CPPUNIT_ASSERT(retry.excluded == std::vector<TargetId>{TargetId{1}});
    const auto refused = this->dispatcher->OnRefusal(
        this->now, this->broker,
        {.attempt = retry.attempt, .service = kService, .reason = RefusalReason::kRetryBudget});
    const auto finish = ActionsOf<FinishRequest>(refused).at(0);
    CPPUNIT_ASSERT(finish.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(finish.refusal == RefusalReason::kRetryBudget);
  }

  // Guards against the outcome not-run for a request of which an earlier
  // attempt was sent.
  void TestNotRunOnlyIfNothingWasSent() {
    const AttemptId attempt = this->Start(1, true);
    auto actions = this->dispatcher->OnAttemptEnd(
        this->now, attempt, {.result = AttemptResult::kConnectionLost, .may_have_been_sent = true});
    const AttemptId retry = MessagesOf<SlotRequest>(actions).at(0).second.attempt;
    actions = this->dispatcher->OnRefusal(
        this->now, this->broker,
        {.attempt = retry, .service = kService, .reason = RefusalReason::kOverload});
    CPPUNIT_ASSERT(ActionsOf<FinishRequest>(actions).at(0).outcome == Outcome::kUnknown);
  }

  // Guards against the outcome unknown although the target reported that it did
  // not run the request.
  void TestShedIsNotRun() {
    const AttemptId attempt = this->Start(1, false);
    const std::vector<DispatchAction> cancel{CancelAttempt{attempt}};
    CPPUNIT_ASSERT(this->dispatcher->OnHeader(this->now, attempt, {.status = 503, .shed = true}) ==
                   cancel);
    const auto actions = this->EndShed(attempt);
    const AttemptId retry = MessagesOf<SlotRequest>(actions).at(0).second.attempt;
    const auto refused = this->dispatcher->OnRefusal(
        this->now, this->broker,
        {.attempt = retry, .service = kService, .reason = RefusalReason::kRetryBudget});
    CPPUNIT_ASSERT(ActionsOf<FinishRequest>(refused).at(0).outcome == Outcome::kNotRun);
  }

  // Guards against a caller that is told to wait for longer than a third of the time that it has
  // left, and does not return.
  void TestShedCallerCannotReturnInTime() {
    RequestDescription request = this->Request(1, false);
    request.max_attempts = 1;
    const AttemptId attempt =
        MessagesOf<SlotRequest>(this->dispatcher->Begin(this->now, request)).at(0).second.attempt;
    this->Grant(attempt, this->broker, TargetId{1});
    const Duration retry_after = ActionsOf<FinishRequest>(this->EndShed(attempt)).at(0).retry_after;
    CPPUNIT_ASSERT(retry_after > Duration::zero());
    CPPUNIT_ASSERT(retry_after <= (request.deadline - this->now) / 3);
  }

  // Guards against refusing work that no target ran while another target could run it, and against
  // a second attempt at the target that refused it.
  void TestShedNonIdempotentWorkGoesToAnotherTarget() {
    const AttemptId attempt = this->Start(1, false);
    const auto retry = MessagesOf<SlotRequest>(this->EndShed(attempt)).at(0).second;
    CPPUNIT_ASSERT(retry.is_retry);
    CPPUNIT_ASSERT(retry.forbidden == std::vector<TargetId>{TargetId{1}});
    const auto returned = this->Grant(retry.attempt, this->broker, TargetId{1});
    AssertReturned(returned, retry.attempt, this->broker);
    const AttemptId next = MessagesOf<SlotRequest>(returned).at(0).second.attempt;
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        ActionsOf<StartAttempt>(this->Grant(next, this->broker, TargetId{2})).size());
  }

  // Guards against a third attempt and a false "not run" after the second attempt may have run.
  void TestShedNonIdempotentWorkIsNotRetriedAfterItMayHaveRun() {
    const AttemptId attempt = this->Start(1, false);
    const AttemptId retry = MessagesOf<SlotRequest>(this->EndShed(attempt)).at(0).second.attempt;
    this->Grant(retry, this->broker, TargetId{2});
    const auto actions = this->dispatcher->OnAttemptEnd(
        this->now, retry, {.result = AttemptResult::kConnectionLost, .may_have_been_sent = true});
    CPPUNIT_ASSERT(MessagesOf<SlotRequest>(actions).empty());
    CPPUNIT_ASSERT(ActionsOf<FinishRequest>(actions).at(0).outcome == Outcome::kUnknown);
  }

  // Guards against a request that is sent in circles between full targets.
  void TestShedEverywhereIsRefused() {
    RequestDescription request = this->Request(1, false);
    request.max_attempts = 5;
    AttemptId attempt =
        MessagesOf<SlotRequest>(this->dispatcher->Begin(this->now, request)).at(0).second.attempt;
    for (std::uint64_t target = 1; target <= 2; ++target) {
      this->Grant(attempt, this->broker, TargetId{target});
      attempt = MessagesOf<SlotRequest>(this->EndShed(attempt)).at(0).second.attempt;
    }
    this->Grant(attempt, this->broker, TargetId{3});
    const auto finish = ActionsOf<FinishRequest>(this->EndShed(attempt)).at(0);
    CPPUNIT_ASSERT(finish.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(finish.refusal == RefusalReason::kShed);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, finish.attempts);
  }

  // Guards against requests to a target that asked this host to send nothing, with and without a
  // broker, and by a grant that was sent before.
  void TestHeldOffTargetReceivesNothing() {
    const AttemptId granted = this->RequestSlot(1, true);
    this->hold_offs[TargetId{1}] = this->now + seconds(1);
    const auto returned = this->Grant(granted, this->broker, TargetId{1});
    AssertReturned(returned, granted, this->broker);
    const auto request = MessagesOf<SlotRequest>(returned).at(0).second;
    CPPUNIT_ASSERT(request.forbidden == std::vector<TargetId>{TargetId{1}});
    this->ReceiveView();
    for (std::uint64_t id = 2; id <= 60; ++id) {
      this->ReceiveView();
      for (const auto& start :
           ActionsOf<StartAttempt>(this->dispatcher->Begin(this->now, this->Request(id, true)))) {
        CPPUNIT_ASSERT(start.target != TargetId{1});
      }
    }
  }

  // Guards against refusing a request that a target accepts before the deadline, and against
  // sending it earlier.
  void TestRequestWaitsForEndOfHoldOff() {
    for (std::uint64_t target = 1; target <= 3; ++target) {
      this->hold_offs[TargetId{target}] = this->now + milliseconds(300 * target);
    }
    CPPUNIT_ASSERT(this->dispatcher->Begin(this->now, this->Request(1, false)).empty());
    CPPUNIT_ASSERT(this->dispatcher->NextDeadline(this->now) == this->now + milliseconds(300));
    CPPUNIT_ASSERT(this->TickUntil<SlotRequest>(milliseconds(290)).empty());
    const auto requests = this->TickUntil<SlotRequest>(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests.size());
    CPPUNIT_ASSERT(
        (requests[0].second.forbidden == std::vector<TargetId>{TargetId{2}, TargetId{3}}));
  }

  // Guards against a request that waits although it is known that no target accepts it.
  void TestHoldOffBeyondDeadlineIsRefusedAtOnce() {
    for (std::uint64_t target = 1; target <= 3; ++target) {
      this->hold_offs[TargetId{target}] = this->now + seconds(2 + static_cast<int>(target));
    }
    const auto actions = this->dispatcher->Begin(this->now, this->Request(1, false));
    const auto finish = ActionsOf<FinishRequest>(actions).at(0);
    CPPUNIT_ASSERT(finish.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(finish.refusal == RefusalReason::kHoldOff);
    CPPUNIT_ASSERT(finish.retry_after == seconds(3));
  }

  // Guards against a retry or refusal that waits for the body of a shed
  // response, which may never end.
  void TestShedAttemptIsCancelledAtHeader() {
    AttemptId attempt = this->Start(1, true);
    const std::vector<DispatchAction> cancel{CancelAttempt{attempt}};
    CPPUNIT_ASSERT(this->dispatcher->OnHeader(this->now, attempt, {.status = 503, .shed = true}) ==
                   cancel);
    const AttemptEnd end{.result = AttemptResult::kCancelled, .may_have_been_sent = true};
    auto actions = this->dispatcher->OnAttemptEnd(this->now, attempt, end);
    CPPUNIT_ASSERT(MessagesOf<SlotRelease>(actions).at(0).second.result == AttemptResult::kShed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, MessagesOf<SlotRequest>(actions).size());

    RequestDescription last = this->Request(2, false);
    last.max_attempts = 1;
    actions = this->dispatcher->Begin(this->now, last);
    attempt = MessagesOf<SlotRequest>(actions).at(0).second.attempt;
    this->Grant(attempt, this->broker);
    this->dispatcher->OnHeader(this->now, attempt, {.status = 503, .shed = true});
    actions = this->dispatcher->OnAttemptEnd(this->now, attempt, end);
    const auto finish = ActionsOf<FinishRequest>(actions).at(0);
    CPPUNIT_ASSERT(finish.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(finish.refusal == RefusalReason::kShed);
  }

  // Guards against forwarding a server error that a retry could replace, and
  // against losing it if no retry is allowed.
  void TestServerErrorIsHeldUntilRetryIsDecided() {
    AttemptId attempt = this->Start(1, true);
    auto actions = this->dispatcher->OnHeader(this->now, attempt, {.status = 500});
    CPPUNIT_ASSERT(ActionsOf<ForwardResponse>(actions).empty());
    AttemptId retry = MessagesOf<SlotRequest>(actions).at(0).second.attempt;
    actions = this->dispatcher->OnRefusal(
        this->now, this->broker,
        {.attempt = retry, .service = kService, .reason = RefusalReason::kRetryBudget});
    CPPUNIT_ASSERT(ActionsOf<ForwardResponse>(actions).at(0).attempt == attempt);
    actions = this->dispatcher->OnAttemptEnd(
        this->now, attempt, {.result = AttemptResult::kServerError, .may_have_been_sent = true});
    CPPUNIT_ASSERT(ActionsOf<FinishRequest>(actions).at(0).outcome == Outcome::kTarget);

    attempt = this->Start(2, true);
    actions = this->dispatcher->OnHeader(this->now, attempt, {.status = 500});
    retry = MessagesOf<SlotRequest>(actions).at(0).second.attempt;
    actions = this->Grant(retry, this->broker, TargetId{2});
    CPPUNIT_ASSERT(ActionsOf<CancelAttempt>(actions).at(0).attempt == attempt);
    CPPUNIT_ASSERT(ActionsOf<StartAttempt>(actions).at(0).attempt == retry);
    actions = this->dispatcher->OnAttemptEnd(
        this->now, attempt, {.result = AttemptResult::kCancelled, .may_have_been_sent = true});
    CPPUNIT_ASSERT(ActionsOf<FinishRequest>(actions).empty());
    // The release still reports the server error as a result of the target.
    CPPUNIT_ASSERT(MessagesOf<SlotRelease>(actions).at(0).second.result ==
                   AttemptResult::kServerError);
  }

  // Guards against "not run" for a request that a target ran and failed, if refusals of later
  // attempts are reported before the end of that run.
  void TestFailedRunIsForgottenIfItsEndIsLate() {
    const AttemptId failed = this->Start(1, true);
    auto actions = this->dispatcher->OnHeader(this->now, failed, {.status = 500});
    for (const TargetId target : {TargetId{2}, TargetId{3}}) {
      const AttemptId retry = MessagesOf<SlotRequest>(actions).at(0).second.attempt;
      this->Grant(retry, this->broker, target);
      actions = this->EndShed(retry);
    }
    CPPUNIT_ASSERT(ActionsOf<FinishRequest>(actions).at(0).outcome == Outcome::kUnknown);
  }

  // Guards against a held response that occupies its slot for as long as the
  // retry waits.
  void TestHeldResponseIsForwardedAfterLimit() {
    const AttemptId attempt = this->Start(1, true);
    this->dispatcher->OnHeader(this->now, attempt, {.status = 500});
    std::vector<DispatchAction> actions;
    for (int tick = 0; tick < 6 && ActionsOf<ForwardResponse>(actions).empty(); ++tick) {
      this->now += milliseconds(10);
      this->ReceiveView(0, 1);
      actions = this->dispatcher->Tick(this->now);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<ForwardResponse>(actions).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, MessagesOf<SlotCancel>(actions).size());
  }

  // Guards against a truncated response that looks complete to the caller.
  void TestTruncationAfterForwardingAbortsConnection() {
    const AttemptId attempt = this->Start(1, true);
    const auto forward = this->dispatcher->OnHeader(this->now, attempt, {.status = 200});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<ForwardResponse>(forward).size());
    CPPUNIT_ASSERT(this->dispatcher->OnHeader(this->now, attempt, {.status = 200}).empty());
    const auto actions = this->dispatcher->OnAttemptEnd(
        this->now, attempt, {.result = AttemptResult::kTruncated, .may_have_been_sent = true});
    const auto finish = ActionsOf<FinishRequest>(actions).at(0);
    CPPUNIT_ASSERT(finish.abort_connection);
    CPPUNIT_ASSERT(finish.outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT(MessagesOf<SlotRequest>(actions).empty());
  }

  // Guards against a caller that receives the response to another request.
  void TestWrongAttemptIdIsNeverForwarded() {
    const AttemptId attempt = this->Start(1, false);
    auto actions =
        this->dispatcher->OnHeader(this->now, attempt, {.status = 200, .wrong_attempt_id = true});
    CPPUNIT_ASSERT(ActionsOf<ForwardResponse>(actions).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<CancelAttempt>(actions).size());
    actions = this->dispatcher->OnAttemptEnd(
        this->now, attempt, {.result = AttemptResult::kSuccess, .may_have_been_sent = true});
    CPPUNIT_ASSERT(ActionsOf<ForwardResponse>(actions).empty());
    CPPUNIT_ASSERT(ActionsOf<FinishRequest>(actions).at(0).outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT(MessagesOf<SlotRelease>(actions).at(0).second.result ==
                   AttemptResult::kWrongAnswer);
  }

  // Guards against endless retries.
  void TestAtMostThreeAttempts() {
    AttemptId attempt = this->Start(1, false);
    for (std::uint64_t index = 2; index <= 3; ++index) {
      const auto actions = this->dispatcher->OnAttemptEnd(
          this->now, attempt, {.result = AttemptResult::kConnectFailure});
      attempt = MessagesOf<SlotRequest>(actions).at(0).second.attempt;
      this->Grant(attempt, this->broker, TargetId{index});
    }
    const auto actions = this->dispatcher->OnAttemptEnd(this->now, attempt,
                                                        {.result = AttemptResult::kConnectFailure});
    const auto finish = ActionsOf<FinishRequest>(actions).at(0);
    CPPUNIT_ASSERT_EQUAL(3U, finish.attempts);
    CPPUNIT_ASSERT(finish.outcome == Outcome::kNotRun);
  }

  // Guards against requests that keep waiting for a failed broker.
  void TestBrokerTimeoutMovesToSecondThenFallback() {
    this->RequestSlot(1);
    const auto second_request = this->TickUntil<SlotRequest>(milliseconds(40));
    CPPUNIT_ASSERT(second_request.at(0).first == this->second_broker);
    std::vector<DispatchAction> actions;
    for (int tick = 0; tick < 4 && ActionsOf<StartAttempt>(actions).empty(); ++tick) {
      this->now += milliseconds(10);
      actions = this->dispatcher->Tick(this->now);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<StartAttempt>(actions).size());
    CPPUNIT_ASSERT(MessagesOf<SlotCancel>(actions).at(0).first == this->second_broker);
    // A suspected crash request is refused without a broker.
    this->suspects.insert(Fingerprint{2});
    const auto suspect = this->dispatcher->Begin(this->now, this->Request(2));
    CPPUNIT_ASSERT(ActionsOf<FinishRequest>(suspect).at(0).outcome == Outcome::kNotRun);
  }

  // Guards against a host that leaves the queue of a broker that is alive.
  void TestQueuedRequestKeepsItsBroker() {
    const AttemptId attempt = this->RequestSlot(1);
    std::size_t repeats = 0;
    for (int tick = 0; tick < 60; ++tick) {
      this->now += milliseconds(10);
      if (tick % 6 == 0) {
        this->ReceiveView(0, 5);
      }
      const auto actions = this->dispatcher->Tick(this->now);
      CPPUNIT_ASSERT(MessagesOf<SlotCancel>(actions).empty());
      for (const auto& [host, request] : MessagesOf<SlotRequest>(actions)) {
        CPPUNIT_ASSERT(host == this->broker);
        CPPUNIT_ASSERT(request.attempt == attempt);
        ++repeats;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, repeats);
  }

  // Guards against hosts that together overload the targets while no broker
  // limits them.
  void TestFallbackCapAndLocalQueue() {
    this->dispatcher->SetMembers(this->now, {});
    std::vector<AttemptId> started;
    for (std::uint64_t index = 1; index <= 20; ++index) {
      for (const StartAttempt& start :
           ActionsOf<StartAttempt>(this->dispatcher->Begin(this->now, this->Request(index)))) {
        started.push_back(start.attempt);
      }
    }
    // Three targets with three slots, one known host.
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, started.size());
    const auto actions = this->dispatcher->OnAttemptEnd(this->now, started[0], SuccessfulEnd());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<StartAttempt>(actions).size());
  }

  // Guards against a host that without a broker makes its share of the retries once more.
  void TestFallbackRepeatsRetriesThatTheBrokerGranted() {
    for (std::uint64_t index = 1; index <= 100; ++index) {
      AttemptId attempt = this->Start(index, true);
      if (index <= 8) {
        attempt = MessagesOf<SlotRequest>(this->EndShed(attempt)).at(0).second.attempt;
        this->Grant(attempt, this->broker, TargetId{2});
      }
      this->dispatcher->OnAttemptEnd(this->now, attempt, SuccessfulEnd());
    }
    this->dispatcher->SetMembers(this->now, {});
    std::size_t retries = 0;
    for (std::uint64_t index = 101; index <= 120; ++index) {
      const auto starts =
          ActionsOf<StartAttempt>(this->dispatcher->Begin(this->now, this->Request(index, true)));
      for (const StartAttempt& retry :
           ActionsOf<StartAttempt>(this->EndShed(starts.at(0).attempt))) {
        ++retries;
        this->dispatcher->OnAttemptEnd(this->now, retry.attempt, SuccessfulEnd());
      }
    }
    // 8 % of 120 are 9, and 8 were made before.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, retries);
  }

  // Guards against more connections to a target than it accepts.
  void TestFallbackUsesConnectionSubset() {
    this->ReceiveView(3, 0, 200);
    this->dispatcher->SetMembers(this->now, {});
    std::set<TargetId> used;
    for (std::uint64_t index = 1; index <= 20; ++index) {
      for (const StartAttempt& start :
           ActionsOf<StartAttempt>(this->dispatcher->Begin(this->now, this->Request(index)))) {
        used.insert(start.target);
        this->dispatcher->OnAttemptEnd(this->now, start.attempt, SuccessfulEnd());
      }
    }
    // 3 x 100 connections shared by 200 hosts allow one target per host.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, used.size());
  }

  // Guards against hosts that without a broker use the whole limit of a target each.
  void TestFallbackExceedsTheShareOfAStatedLimit() {
    constexpr double kLimit = 10;
    this->ReceiveView(3, 0, 20);
    this->dispatcher->SetMembers(this->now, {});
    AttemptEnd limited_end = SuccessfulEnd();
    limited_end.request_rate_limit = kLimit;
    std::size_t starts = 0;
    for (std::uint64_t index = 1; index <= 400; ++index) {
      this->now += milliseconds(100);
      for (const StartAttempt& start :
           ActionsOf<StartAttempt>(this->dispatcher->Begin(this->now, this->Request(index)))) {
        ++starts;
        this->dispatcher->OnAttemptEnd(this->now, start.attempt, limited_end);
      }
    }
    // 40 s, and a share of a half request a second at each of three targets, after one each that
    // names the limit.
    CPPUNIT_ASSERT(starts <= 3 + 3 * 20);
    CPPUNIT_ASSERT(starts >= 15);
  }

  // Guards against a broker that frees the slots of running attempts, and
  // against a new broker that does not learn of them.
  void TestReportsWhileOutstandingAndOnBrokerChange() {
    const AttemptId attempt = this->Start(1, false);
    std::size_t reports = 0;
    for (int tick = 0; tick < 150; ++tick) {
      this->now += milliseconds(10);
      for (const auto& [host, report] : MessagesOf<HostReport>(this->dispatcher->Tick(this->now))) {
        CPPUNIT_ASSERT(host == this->broker);
        CPPUNIT_ASSERT(report.outstanding.at(0).attempt == attempt);
        ++reports;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reports);
    const auto changed = this->dispatcher->SetMembers(this->now, {this->second_broker});
    CPPUNIT_ASSERT(MessagesOf<HostReport>(changed).at(0).first == this->second_broker);
    this->dispatcher->OnAttemptEnd(this->now, attempt, SuccessfulEnd());
    CPPUNIT_ASSERT(MessagesOf<HostReport>(this->dispatcher->Tick(this->now + seconds(2))).empty());
  }

  // Guards against a change of broker during an attempt, after which the old
  // broker keeps the slot or the new one lacks the result.
  void TestReleaseReachesGrantingAndCurrentBroker() {
    const AttemptId attempt = this->Start(1, false);
    this->dispatcher->SetMembers(this->now, {this->second_broker});
    const auto releases = MessagesOf<SlotRelease>(
        this->dispatcher->OnAttemptEnd(this->now, attempt, SuccessfulEnd()));
    std::set<HostId> notified;
    for (const auto& [host, release] : releases) {
      CPPUNIT_ASSERT(release.attempt == attempt);
      notified.insert(host);
    }
    CPPUNIT_ASSERT((notified == std::set<HostId>{this->broker, this->second_broker}));
  }

  // Guards against a second end of a request whose caller disconnected, and
  // against a false not-run outcome for it.
  void TestCallerGoneEndsOnce() {
    this->RequestSlot(1);
    auto actions = this->dispatcher->OnCallerDisconnect(this->now, RequestId{1});
    CPPUNIT_ASSERT(ActionsOf<FinishRequest>(actions).at(0).outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, MessagesOf<SlotCancel>(actions).size());
    CPPUNIT_ASSERT(this->dispatcher->OnCallerDisconnect(this->now, RequestId{1}).empty());

    const AttemptId attempt = this->Start(2, true);
    actions = this->dispatcher->OnCallerDisconnect(this->now, RequestId{2});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<CancelAttempt>(actions).size());
    CPPUNIT_ASSERT(ActionsOf<FinishRequest>(actions).empty());
    actions = this->dispatcher->OnAttemptEnd(
        this->now, attempt, {.result = AttemptResult::kCancelled, .may_have_been_sent = true});
    CPPUNIT_ASSERT(ActionsOf<FinishRequest>(actions).at(0).outcome == Outcome::kUnknown);
  }

  // Guards against attempts that continue after the caller's deadline.
  void TestDeadlineCancelsRunningAttempt() {
    const AttemptId attempt = this->Start(1, true);
    this->now += seconds(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ActionsOf<CancelAttempt>(this->dispatcher->Tick(this->now)).size());
    CPPUNIT_ASSERT(ActionsOf<CancelAttempt>(this->dispatcher->Tick(this->now)).empty());
    const auto actions = this->dispatcher->OnAttemptEnd(
        this->now, attempt, {.result = AttemptResult::kCancelled, .may_have_been_sent = true});
    const auto finish = ActionsOf<FinishRequest>(actions).at(0);
    CPPUNIT_ASSERT(finish.outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT(finish.last_result == AttemptResult::kTimeout);
  }

  // Guards against a host that considers every broker unavailable after its own
  // pause.
  void TestOwnPauseDoesNotTimeOutBroker() {
    this->dispatcher->Tick(this->now);
    this->RequestSlot(1);
    this->now += milliseconds(500);
    const auto actions = this->dispatcher->Tick(this->now);
    CPPUNIT_ASSERT(MessagesOf<SlotCancel>(actions).empty());
  }

  // Guards against a host that forgets its own pause when a message is handled before the tick, and
  // then considers the broker unavailable.
  void TestMessageAfterOwnPauseTimesOutBroker() {
    this->RequestSlot(1);
    this->dispatcher->NextDeadline(this->now);
    this->now += milliseconds(500);
    this->dispatcher->OnView(this->now, this->second_broker, {.service = kService, .sequence = 1});
    this->dispatcher->NextDeadline(this->now);
    const auto actions = this->dispatcher->Tick(this->now);
    CPPUNIT_ASSERT(MessagesOf<SlotCancel>(actions).empty());
  }

  // Guards against 504 in place of an answer that arrived while the host did not run, and that the
  // client thread had no turn to read.
  void TestOwnPauseDropsAReadyAnswer() {
    const AttemptId attempt = this->Start(1, false);
    this->dispatcher->NextDeadline(this->now);
    this->now += seconds(2) + milliseconds(700);
    const auto actions = this->dispatcher->Tick(this->now);
    CPPUNIT_ASSERT(ActionsOf<CancelAttempt>(actions).empty());
    CPPUNIT_ASSERT(ActionsOf<FinishRequest>(actions).empty());
    this->AssertAnswerIsForwarded(attempt);
  }

  // Guards against the same at the end of the host, where the signal may be handled before the
  // tick.
  void TestOwnPauseAtTheEndOfTheHostDropsAReadyAnswer() {
    const AttemptId attempt = this->Start(1, false);
    const HostEnd end = this->EndIn(milliseconds(100));
    this->dispatcher->SetHostEnd(this->now, end);
    this->dispatcher->NextDeadline(this->now);
    this->now += milliseconds(500);
    this->dispatcher->NextDeadline(this->now);
    const auto actions = this->dispatcher->SetHostEnd(this->now, end);
    CPPUNIT_ASSERT(ActionsOf<CancelAttempt>(actions).empty());
    CPPUNIT_ASSERT(ActionsOf<FinishRequest>(actions).empty());
    this->AssertAnswerIsForwarded(attempt);
  }

  // Guards against a host that pauses again and again and never ends an attempt.
  void TestOwnPausesPutOffACancellationForever() {
    const AttemptId attempt = this->Start(1, false);
    this->dispatcher->NextDeadline(this->now);
    this->now += seconds(2) + milliseconds(700);
    CPPUNIT_ASSERT(ActionsOf<CancelAttempt>(this->dispatcher->Tick(this->now)).empty());
    CPPUNIT_ASSERT(this->dispatcher->NextDeadline(this->now) <= this->now + milliseconds(20));
    this->now += milliseconds(300);
    const auto cancelled = ActionsOf<CancelAttempt>(this->dispatcher->Tick(this->now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cancelled.size());
    CPPUNIT_ASSERT(cancelled[0].attempt == attempt);
    const TimePoint next = this->dispatcher->NextDeadline(this->now);
    CPPUNIT_ASSERT(next > this->now && next <= this->now + milliseconds(500));
    const auto finished = ActionsOf<FinishRequest>(this->dispatcher->Tick(next));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, finished.size());
    CPPUNIT_ASSERT(finished[0].outcome == Outcome::kUnknown);
  }

  void setUp() override { this->Reset(); }

  // Guards against a host that wakes up without work, or too late for a
  // deadline.
  void TestNextDeadlineFollowsTheRequests() {
    this->Reset();
    CPPUNIT_ASSERT(this->dispatcher->NextDeadline(this->now) == TimePoint::max());
    const AttemptId attempt = this->RequestSlot(1);
    CPPUNIT_ASSERT(this->dispatcher->NextDeadline(this->now) == this->now + milliseconds(30));
    this->Grant(attempt, this->broker);
    this->dispatcher->Tick(this->now);
    const TimePoint next = this->dispatcher->NextDeadline(this->now);
    CPPUNIT_ASSERT(next <= this->now + seconds(2) && next >= this->now + milliseconds(900));
  }

  // Guards against more attempts than the request's route allows.
  void TestRouteLimitsAttempts() {
    this->Reset();
    RequestDescription request = this->Request(1, true);
    request.max_attempts = 1;
    const auto slot_requested = this->dispatcher->Begin(this->now, request);
    const AttemptId attempt = MessagesOf<SlotRequest>(slot_requested).at(0).second.attempt;
    this->Grant(attempt, this->broker);
    const auto actions = this->dispatcher->OnAttemptEnd(
        this->now, attempt, {.result = AttemptResult::kConnectionLost, .may_have_been_sent = true});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<FinishRequest>(actions).size());
    CPPUNIT_ASSERT(MessagesOf<SlotRequest>(actions).empty());
  }

  // Guards against a request that waits for a slot when its host is killed and ends without an
  // answer.
  void TestWaitingRequestIsCutAtTheEndOfTheHost() {
    this->Reset();
    this->RequestSlot(1);
    this->dispatcher->SetHostEnd(this->now, this->EndIn(milliseconds(100)));
    CPPUNIT_ASSERT(this->dispatcher->NextDeadline(this->now) <= this->now + milliseconds(100));
    this->now += milliseconds(100);
    const auto finished = ActionsOf<FinishRequest>(this->dispatcher->Tick(this->now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, finished.size());
    CPPUNIT_ASSERT(finished[0].outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(finished[0].refusal == RefusalReason::kHostEnd);
  }

  // Guards against the caller's deadline or the load as the stated reason if the request would have
  // had enough time on another host.
  void TestRefusalNearTheEndOfTheHostNamesAnotherReason() {
    for (const RefusalReason reason : {RefusalReason::kDeadline, RefusalReason::kOverload}) {
      this->Reset();
      this->dispatcher->SetHostEnd(this->now, this->EndIn(milliseconds(100)));
      const FinishRequest finish = this->Refuse(this->RequestSlot(1), reason);
      CPPUNIT_ASSERT(finish.outcome == Outcome::kNotRun);
      CPPUNIT_ASSERT(finish.refusal == RefusalReason::kHostEnd);
      CPPUNIT_ASSERT(finish.retry_after == milliseconds(70));
    }
  }

  // Guards against the stop as the stated reason if it does not shorten the time of the request, or
  // has nothing to do with the refusal.
  void TestRefusalNamesTheEndOfTheHostWithoutReason() {
    for (const RefusalReason reason : {RefusalReason::kDeadline, RefusalReason::kOverload}) {
      this->Reset();
      this->dispatcher->SetHostEnd(this->now, this->EndIn(seconds(3)));
      CPPUNIT_ASSERT(this->Refuse(this->RequestSlot(1), reason).refusal == reason);
    }
    this->Reset();
    this->dispatcher->SetHostEnd(this->now, this->EndIn(milliseconds(100)));
    CPPUNIT_ASSERT(this->Refuse(this->RequestSlot(1), RefusalReason::kQueueFull).refusal ==
                   RefusalReason::kQueueFull);
  }

  // Guards against the stop as the stated reason if an attempt failed and its retry is refused.
  void TestRefusedRetryHidesTheFailureOfItsAttempt() {
    this->Reset();
    const AttemptId attempt = this->RequestSlot(1, true);
    this->Grant(attempt, this->broker);
    const auto actions = this->dispatcher->OnAttemptEnd(
        this->now, attempt, {.result = AttemptResult::kConnectionLost, .may_have_been_sent = true});
    const AttemptId retry = MessagesOf<SlotRequest>(actions).at(0).second.attempt;
    this->dispatcher->SetHostEnd(this->now, this->EndIn(milliseconds(100)));
    const FinishRequest finish = this->Refuse(retry, RefusalReason::kOverload);
    CPPUNIT_ASSERT(finish.outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT(finish.refusal == RefusalReason::kOverload);
  }

  // Guards against a wait for targets that is stated although another host could wait for them.
  void TestHoldOffBeyondTheEndOfTheHostNamesTheTargets() {
    this->Reset();
    for (std::uint64_t target = 1; target <= 3; ++target) {
      this->hold_offs[TargetId{target}] = this->now + milliseconds(500);
    }
    this->dispatcher->SetHostEnd(this->now, this->EndIn(milliseconds(100)));
    const auto actions = this->dispatcher->Begin(this->now, this->Request(1, false));
    const auto finish = ActionsOf<FinishRequest>(actions).at(0);
    CPPUNIT_ASSERT(finish.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(finish.refusal == RefusalReason::kHostEnd);
  }

  // Guards against a request whose attempt failed shortly before the end of its host and that then
  // waits for another slot.
  void TestRetryWaitsBeyondTheEndOfTheHost() {
    this->Reset();
    const AttemptId attempt = this->RequestSlot(1);
    this->Grant(attempt, this->broker);
    this->dispatcher->SetHostEnd(this->now, this->EndIn(milliseconds(100)));
    this->now += milliseconds(100);
    const auto actions = this->dispatcher->OnAttemptEnd(
        this->now, attempt, {.result = AttemptResult::kConnectionLost, .may_have_been_sent = true});
    const auto finished = ActionsOf<FinishRequest>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, finished.size());
    CPPUNIT_ASSERT(finished[0].outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT(MessagesOf<SlotRequest>(actions).empty());
  }

  // Guards against a connection that is closed without an answer while a target works, and against
  // blaming that target.
  void TestRunningRequestIsCutAtTheEndOfTheHost() {
    this->Reset();
    const AttemptId attempt = this->RequestSlot(1);
    this->Grant(attempt, this->broker);
    this->dispatcher->SetHostEnd(this->now, this->EndIn(milliseconds(100)));
    this->now += milliseconds(199);
    CPPUNIT_ASSERT(ActionsOf<CancelAttempt>(this->dispatcher->Tick(this->now)).empty());
    this->now += milliseconds(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ActionsOf<CancelAttempt>(this->dispatcher->Tick(this->now)).size());
    const auto actions = this->dispatcher->OnAttemptEnd(
        this->now, attempt, {.result = AttemptResult::kCancelled, .may_have_been_sent = true});
    const auto finished = ActionsOf<FinishRequest>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, finished.size());
    CPPUNIT_ASSERT(finished[0].outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT(finished[0].refusal == RefusalReason::kHostEnd);
    const auto releases = MessagesOf<SlotRelease>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, releases.size());
    CPPUNIT_ASSERT(releases[0].second.result == AttemptResult::kCancelled);
  }

  // Guards against breaking off a response that could still be delivered whole.
  void TestEndOfTheHostCutsAResponseThatHasBegun() {
    this->Reset();
    const AttemptId attempt = this->RequestSlot(1);
    this->Grant(attempt, this->broker);
    this->dispatcher->OnHeader(this->now, attempt, {.status = 200});
    this->dispatcher->SetHostEnd(this->now, this->EndIn(milliseconds(100)));
    this->now += milliseconds(300);
    CPPUNIT_ASSERT(ActionsOf<CancelAttempt>(this->dispatcher->Tick(this->now)).empty());
  }

  // Guards against a request without an answer whose attempt was cancelled at the end of the host
  // and whose end is reported too late.
  void TestRequestOutlastsTheHostIfTheEndOfItsAttemptIsLate() {
    this->Reset();
    const AttemptId attempt = this->RequestSlot(1);
    this->Grant(attempt, this->broker);
    this->dispatcher->SetHostEnd(this->now, this->EndIn(milliseconds(100)));
    this->now += milliseconds(200);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ActionsOf<CancelAttempt>(this->dispatcher->Tick(this->now)).size());
    CPPUNIT_ASSERT(this->dispatcher->NextDeadline(this->now) <= this->now + milliseconds(200));
    this->now += milliseconds(200);
    const auto finished = ActionsOf<FinishRequest>(this->dispatcher->Tick(this->now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, finished.size());
    CPPUNIT_ASSERT(finished[0].outcome == Outcome::kUnknown);
  }

 private:
  // The attempt ends with a complete response, which the caller receives.
  void AssertAnswerIsForwarded(AttemptId attempt) {
    const auto actions = this->dispatcher->OnAttemptEnd(
        this->now, attempt, {.result = AttemptResult::kSuccess, .may_have_been_sent = true});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<ForwardResponse>(actions).size());
    CPPUNIT_ASSERT(ActionsOf<FinishRequest>(actions).at(0).outcome == Outcome::kTarget);
  }
  // The limits of a host whose last attempt may start after `delay`.
  HostEnd EndIn(Duration delay) const {
    return {.last_start = this->now + delay, .last_answer = this->now + 2 * delay};
  }
  // The broker refuses the slot.
  FinishRequest Refuse(AttemptId attempt, RefusalReason reason) {
    return ActionsOf<FinishRequest>(this->dispatcher->OnRefusal(this->now, this->broker,
                                                                {.attempt = attempt,
                                                                 .service = kService,
                                                                 .reason = reason,
                                                                 .retry_after = milliseconds(70)}))
        .at(0);
  }
  void Reset() {
    this->now = TimePoint(seconds(100));
    this->sequence = 0;
    this->leaving.clear();
    this->suspects.clear();
    this->blocked.clear();
    this->hold_offs.clear();
    this->random = std::make_unique<RandomSource>(1);
    this->dispatcher = std::make_unique<HostDispatcher>(
        DispatchSettings{
            .self = kSelf,
            .domain = DomainId{1},
            .is_leaving = [this](TargetId target) { return this->leaving.contains(target); },
            .hold_off_end = [this](TimePoint time, TargetId target) -> std::optional<TimePoint> {
              const auto found = this->hold_offs.find(target);
              return found != this->hold_offs.end() && found->second > time
                         ? std::optional(found->second)
                         : std::nullopt;
            },
            .is_suspect =
                [this](Fingerprint fingerprint) { return this->suspects.contains(fingerprint); },
            .is_blocked =
                [this](Fingerprint fingerprint) { return this->blocked.contains(fingerprint); }},
        *this->random);
    DispatchService service{.service = kService, .floor_slots = 3};
    for (std::uint64_t index = 1; index <= 3; ++index) {
      service.targets.push_back({.target = TargetId{index}, .slots = 3, .connections = 100});
    }
    this->dispatcher->Configure(this->now, {service});
    const std::vector<HostId> members{kSelf, HostId{2}, HostId{3}, HostId{4}};
    const std::vector<HostId> ranked = RendezvousRank(RawId(kService), members);
    this->broker = ranked[0];
    this->second_broker = ranked[1];
    this->dispatcher->SetMembers(this->now, members);
  }

  void ReceiveView(std::uint16_t free = 3, std::uint32_t queued = 0, std::uint16_t hosts = 4) {
    ServiceView view{
        .service = kService, .sequence = ++this->sequence, .queued = queued, .active_hosts = hosts};
    for (std::uint64_t index = 1; index <= 3; ++index) {
      view.targets.push_back({.target = TargetId{index}, .usable_slots = 3, .free_slots = free});
    }
    if (free == 1) {
      view.targets[1].free_slots = 0;
    }
    this->dispatcher->OnView(this->now, this->broker, view);
  }

  // Three domains with 20 targets each. This host is in the first one.
  DispatchService DividedService(bool divided) const {
    DispatchService service{.service = kService, .floor_slots = 60};
    for (std::uint64_t index = 0; index < 60; ++index) {
      service.targets.push_back({.target = TargetId{index + 1},
                                 .domain = DomainId{index / 20 + 1},
                                 .slots = 3,
                                 .connections = 100});
    }
    if (divided) {
      service.cells = CellsByDomain(service);
    }
    return service;
  }

  void Divide() {
    this->cells = {CellId(kService, DomainId{1}), CellId(kService, DomainId{2}),
                   CellId(kService, DomainId{3})};
    this->dispatcher->Configure(this->now, {this->DividedService(true)});
  }

  HostId BrokerOf(std::size_t cell) const {
    return RendezvousRank(RawId(this->cells[cell]), {kSelf, HostId{2}, HostId{3}, HostId{4}})[0];
  }

  std::pair<HostId, SlotRequest> BeginDivided(std::uint64_t id, bool idempotent = false) {
    RequestDescription request = this->Request(id, idempotent);
    request.allowed.clear();
    for (std::uint64_t index = 1; index <= 60; ++index) {
      request.allowed.push_back(TargetId{index});
    }
    return MessagesOf<SlotRequest>(this->dispatcher->Begin(this->now, request)).at(0);
  }

  std::vector<DispatchAction> RefuseInCell(const SlotRequest& request, RefusalReason reason) {
    const auto cell = std::find(this->cells.begin(), this->cells.end(), request.service);
    return this->dispatcher->OnRefusal(
        this->now, this->BrokerOf(static_cast<std::size_t>(cell - this->cells.begin())),
        {.attempt = request.attempt,
         .service = request.service,
         .reason = reason,
         .retry_after = milliseconds(300)});
  }

  // Each cell is asked once.
  void TestRequestIsRefusedByAllCells(std::uint64_t id) {
    std::set<ServiceId> asked;
    std::vector<std::pair<HostId, SlotRequest>> requests{this->BeginDivided(id)};
    while (!requests.empty()) {
      asked.insert(requests[0].second.service);
      requests =
          MessagesOf<SlotRequest>(this->RefuseInCell(requests[0].second, RefusalReason::kOverload));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, asked.size());
  }

  RequestDescription Request(std::uint64_t id, bool idempotent = false) const {
    return {.request = RequestId{id},
            .service = kService,
            .organisation = OrganisationId{1},
            .idempotent = idempotent,
            .deadline = this->now + seconds(2),
            .fingerprint = Fingerprint{id},
            .allowed = {TargetId{1}, TargetId{2}, TargetId{3}}};
  }

  AttemptId RequestSlot(std::uint64_t id, bool idempotent = false) {
    const auto actions = this->dispatcher->Begin(this->now, this->Request(id, idempotent));
    return MessagesOf<SlotRequest>(actions).at(0).second.attempt;
  }

  std::vector<DispatchAction> Grant(AttemptId attempt,
                                    HostId sender,
                                    TargetId target = TargetId{1}) {
    return this->dispatcher->OnGrant(this->now, sender,
                                     {.attempt = attempt, .service = kService, .target = target});
  }

  AttemptId Start(std::uint64_t id, bool idempotent) {
    const AttemptId attempt = this->RequestSlot(id, idempotent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ActionsOf<StartAttempt>(this->Grant(attempt, this->broker)).size());
    return attempt;
  }

  std::vector<DispatchAction> EndShed(AttemptId attempt) {
    return this->dispatcher->OnAttemptEnd(
        this->now, attempt, {.result = AttemptResult::kShed, .may_have_been_sent = true});
  }

  template <typename T>
  std::vector<std::pair<HostId, T>> TickUntil(Duration limit) {
    const TimePoint end = this->now + limit;
    while (this->now < end) {
      this->now += milliseconds(10);
      const auto found = MessagesOf<T>(this->dispatcher->Tick(this->now));
      if (!found.empty()) {
        return found;
      }
    }
    return {};
  }

  static AttemptEnd SuccessfulEnd() {
    return {.result = AttemptResult::kSuccess, .may_have_been_sent = true};
  }

  static void AssertRequestsSlot(const std::vector<DispatchAction>& actions) {
    CPPUNIT_ASSERT(ActionsOf<StartAttempt>(actions).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, MessagesOf<SlotRequest>(actions).size());
  }

  static void AssertReturned(const std::vector<DispatchAction>& actions,
                             AttemptId attempt,
                             HostId broker) {
    const auto releases = MessagesOf<SlotRelease>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, releases.size());
    CPPUNIT_ASSERT(releases[0].first == broker);
    CPPUNIT_ASSERT(releases[0].second.attempt == attempt);
    CPPUNIT_ASSERT(releases[0].second.result == AttemptResult::kCancelled);
  }

  TimePoint now;
  std::uint64_t sequence = 0;
  HostId broker{};
  HostId second_broker{};
  std::vector<ServiceId> cells;
  std::set<TargetId> leaving;
  std::set<Fingerprint> suspects;
  std::set<Fingerprint> blocked;
  std::map<TargetId, TimePoint> hold_offs;
  std::unique_ptr<RandomSource> random;
  std::unique_ptr<HostDispatcher> dispatcher;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostDispatcherTest);

}  // namespace
}  // namespace pimentopin
