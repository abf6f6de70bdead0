#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <cstdlib>

#include "Libraries/LibDispatch/broker_selector.h"
#include "Libraries/LibDispatch/fair_queue.h"
#include "Libraries/LibDispatch/long_work_share.h"
#include "Libraries/LibDispatch/retry_budget.h"
#include "Libraries/LibDispatch/service_time_estimate.h"
#include "Libraries/LibDispatch/slot_table.h"
#include "Libraries/LibDispatch/view_state.h"

namespace pimentopin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

QueueEntry MakeEntry(std::uint64_t attempt,
                     std::uint64_t organisation,
                     int arrived_ms = 0,
                     std::uint32_t priority = 0) {
  return {.request = {.attempt = AttemptId{attempt},
                      .organisation = OrganisationId{organisation},
                      .priority = priority},
          .arrived = TimePoint(milliseconds(arrived_ms))};
}

class ComponentsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ComponentsTest);
  CPPUNIT_TEST(TestFairQueueAlternatesBetweenOrganisations);
  CPPUNIT_TEST(TestFairQueueGivesNoCreditForIdleTime);
  CPPUNIT_TEST(TestFairQueueCountAheadMatchesServiceOrder);
  CPPUNIT_TEST(TestFairQueueEvictsFromLargestOrganisation);
  CPPUNIT_TEST(TestFairQueueEvictsMoreUrgentWorkFirst);
  CPPUNIT_TEST(TestFairQueueIgnoresTheMinimumShare);
  CPPUNIT_TEST(TestRetryBudgetWindow);
  CPPUNIT_TEST(TestLongWorkShareFollowsOfferedWork);
  CPPUNIT_TEST(TestPredictedWait);
  CPPUNIT_TEST(TestMeanOfAKind);
  CPPUNIT_TEST(TestSlotTableIgnoresClaimAfterRelease);
  CPPUNIT_TEST(TestSlotTableReportGrace);
  CPPUNIT_TEST(TestSlotTableFreesHostWithoutReports);
  CPPUNIT_TEST(TestSlotTableRebuildsFromReports);
  CPPUNIT_TEST(TestSlotTableExtendsTimeoutsByOwnPause);
  CPPUNIT_TEST(TestSlotTableCountsStayConsistent);
  CPPUNIT_TEST(TestBrokerSelectorFailsOverAndReturns);
  CPPUNIT_TEST(TestBackoffOfUnavailableBrokerDoubles);
  CPPUNIT_TEST(TestRetryLimitsWithExtra);
  CPPUNIT_TEST(TestNewBrokerStartsWithoutExtra);
  CPPUNIT_TEST(TestViewStateIgnoresOlderViews);
  CPPUNIT_TEST(TestViewStateAppliesFloor);
  CPPUNIT_TEST_SUITE_END();

 public:
  // RapidCheck reads its seed from the environment when the first check runs.
  void setUp() override { setenv("RC_PARAMS", "seed=20261204", 0); }

  // Guards against service in order of arrival, with which an organisation with
  // a backlog delays all others.
  void TestFairQueueAlternatesBetweenOrganisations() {
    FairQueue queue;
    for (std::uint64_t index = 0; index < 50; ++index) {
      queue.Push(MakeEntry(100 + index, 1));
    }
    for (std::uint64_t index = 0; index < 5; ++index) {
      queue.Push(MakeEntry(200 + index, 2, 1));
    }
    int served_of_second = 0;
    for (int index = 0; index < 10; ++index) {
      const AttemptId next = queue.InServiceOrder(WorkClass::kShort).front()->request.attempt;
      served_of_second += RawId(next) >= 200 ? 1 : 0;
      queue.Dequeue(next);
    }
    CPPUNIT_ASSERT_EQUAL(5, served_of_second);
  }

  // Guards against an idle organisation that accumulates credit and is then
  // served ahead of the others.
  void TestFairQueueGivesNoCreditForIdleTime() {
    FairQueue queue;
    for (std::uint64_t index = 0; index < 100; ++index) {
      queue.Push(MakeEntry(100 + index, 1));
    }
    for (int index = 0; index < 50; ++index) {
      queue.Dequeue(queue.InServiceOrder(WorkClass::kShort).front()->request.attempt);
    }
    for (std::uint64_t index = 0; index < 50; ++index) {
      queue.Push(MakeEntry(300 + index, 2, 1));
    }
    int served_of_second = 0;
    for (int index = 0; index < 20; ++index) {
      const AttemptId next = queue.InServiceOrder(WorkClass::kShort).front()->request.attempt;
      served_of_second += RawId(next) >= 300 ? 1 : 0;
      queue.Dequeue(next);
    }
    CPPUNIT_ASSERT(served_of_second >= 9 && served_of_second <= 11);
  }

  // Guards against a predicted wait that includes entries served later, so that
  // requests of a small organisation are refused because of the backlog of
  // another.
  void TestFairQueueCountAheadMatchesServiceOrder() {
    const bool holds = rc::check("CountAhead is the position of a new entry", [] {
      FairQueue queue;
      std::uint64_t attempt = 1;
      for (const auto operation : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6))) {
        const std::vector<const QueueEntry*> ordered = queue.InServiceOrder(WorkClass::kShort);
        if (operation >= 4 && !ordered.empty()) {
          queue.Dequeue(ordered.front()->request.attempt);
        } else {
          queue.Push(MakeEntry(attempt++, static_cast<std::uint64_t>(operation % 4), 0));
        }
      }
      const auto organisation = static_cast<std::uint64_t>(*rc::gen::inRange(0, 5));
      const std::size_t ahead = queue.CountAhead(WorkClass::kShort, OrganisationId{organisation});
      queue.Push(MakeEntry(attempt, organisation, 1));
      const std::vector<const QueueEntry*> ordered = queue.InServiceOrder(WorkClass::kShort);
      RC_ASSERT(ahead < ordered.size());
      RC_ASSERT(ordered[ahead]->request.attempt == AttemptId{attempt});
    });
    CPPUNIT_ASSERT(holds);
  }

  // Guards against a full queue that evicts requests of small organisations.
  void TestFairQueueEvictsFromLargestOrganisation() {
    FairQueue queue;
    for (std::uint64_t index = 0; index < 5; ++index) {
      queue.Push(MakeEntry(100 + index, 1));
    }
    queue.Push(MakeEntry(200, 2));
    CPPUNIT_ASSERT(queue.EvictionCandidate(WorkClass::kShort, OrganisationId{2}) == AttemptId{104});
    CPPUNIT_ASSERT(!queue.EvictionCandidate(WorkClass::kShort, OrganisationId{1}));
  }

  // Guards against a full queue that refuses urgent work while less urgent work waits, and against
  // one that urgent work alone fills.
  void TestFairQueueEvictsMoreUrgentWorkFirst() {
    FairQueue queue([](std::uint32_t priority) { return priority == 2 ? 0.2 : 0.0; });
    for (std::uint64_t index = 0; index < 8; ++index) {
      queue.Push(MakeEntry(100 + index, 1));
    }
    for (std::uint64_t index = 0; index < 3; ++index) {
      queue.Push(MakeEntry(200 + index, 2, 0, 2));
    }
    const auto candidate = [&queue](std::uint32_t priority) {
      return queue.EvictionCandidate(WorkClass::kShort, OrganisationId{1}, priority);
    };
    CPPUNIT_ASSERT(!candidate(0));
    queue.Push(MakeEntry(203, 2, 0, 2));
    CPPUNIT_ASSERT(candidate(0) == AttemptId{203});
    for (const std::uint64_t attempt : {200, 201, 202, 203}) {
      queue.Remove(AttemptId{attempt});
    }
    CPPUNIT_ASSERT(candidate(2) == AttemptId{107});
  }

  // Guards against a priority that waits for ever, and against one that gets more than its share.
  void TestFairQueueIgnoresTheMinimumShare() {
    FairQueue queue([](std::uint32_t) { return 0.1; });
    for (std::uint64_t index = 0; index < 200; ++index) {
      queue.Push(MakeEntry(1000 + index, 1));
      queue.Push(MakeEntry(2000 + index, 2, 0, 5));
    }
    int less_urgent = 0;
    for (int index = 0; index < 100; ++index) {
      const AttemptId next = queue.InServiceOrder(WorkClass::kShort).front()->request.attempt;
      less_urgent += RawId(next) >= 2000 ? 1 : 0;
      queue.Dequeue(next);
    }
    CPPUNIT_ASSERT(less_urgent >= 8 && less_urgent <= 10);
  }

  // Guards against retries above 8 % of the first attempts of the last 10 s,
  // and against a service with few requests that can never retry.
  void TestRetryBudgetWindow() {
    RetryBudget budget;
    TimePoint now(seconds(100));
    CPPUNIT_ASSERT(budget.TryRetry(now));
    CPPUNIT_ASSERT(!budget.TryRetry(now + milliseconds(500)));
    CPPUNIT_ASSERT(budget.TryRetry(now + milliseconds(1100)));
    now += seconds(20);
    for (int index = 0; index < 1000; ++index) {
      budget.RecordFirstAttempt(now);
    }
    int allowed = 0;
    for (int index = 0; index < 200; ++index) {
      allowed += budget.TryRetry(now + milliseconds(100)) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(80, allowed);
    CPPUNIT_ASSERT(budget.TryRetry(now + seconds(11)));
    CPPUNIT_ASSERT(!budget.TryRetry(now + seconds(11)));
  }

  // Guards against a limit that does not follow the mix of work, and against
  // one that gives every slot to long work.
  void TestLongWorkShareFollowsOfferedWork() {
    LongWorkShare share(1.0);
    const TimePoint now(seconds(1));
    CPPUNIT_ASSERT_EQUAL(1U, share.Limit(18));
    for (int index = 0; index < 98; ++index) {
      share.RecordArrival(now, WorkClass::kShort, milliseconds(20));
    }
    share.RecordArrival(now, WorkClass::kLong, milliseconds(600));
    share.RecordArrival(now, WorkClass::kLong, milliseconds(600));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.38, share.share(), 0.01);
    CPPUNIT_ASSERT_EQUAL(7U, share.Limit(18));
    for (int index = 0; index < 1000; ++index) {
      share.RecordArrival(now, WorkClass::kLong, milliseconds(600));
    }
    CPPUNIT_ASSERT_EQUAL(17U, share.Limit(18));
    CPPUNIT_ASSERT_EQUAL(1U, share.Limit(1));
  }

  // Guards against a prediction that uses the mean of the other work class or
  // the wrong number of slots.
  void TestPredictedWait() {
    ServiceTimeEstimate estimate;
    CPPUNIT_ASSERT(estimate.PredictedWait(WorkClass::kShort, 100, 1) == Duration::zero());
    estimate.Observe(WorkClass::kShort, RequestKind{}, milliseconds(20));
    estimate.Observe(WorkClass::kLong, RequestKind{}, milliseconds(600));
    CPPUNIT_ASSERT(estimate.PredictedWait(WorkClass::kShort, 9, 18) == milliseconds(10));
    CPPUNIT_ASSERT(estimate.PredictedWait(WorkClass::kLong, 1, 2) == milliseconds(300));
  }

  // Guards against a kind that is expected to take as long as another one, and against one that is
  // refused for ever because of a mean that no sample corrects.
  void TestMeanOfAKind() {
    ServiceTimeEstimate estimate;
    const RequestKind quick{1};
    const RequestKind slow{2};
    estimate.Observe(WorkClass::kShort, quick, milliseconds(100));
    estimate.Observe(WorkClass::kShort, slow, milliseconds(2900));
    CPPUNIT_ASSERT(estimate.Mean(WorkClass::kShort) == milliseconds(1500));
    CPPUNIT_ASSERT(estimate.Mean(WorkClass::kShort, RequestKind{}) == milliseconds(1500));
    CPPUNIT_ASSERT(estimate.Mean(WorkClass::kShort, quick) == milliseconds(100));
    CPPUNIT_ASSERT(estimate.Mean(WorkClass::kShort, slow) == milliseconds(1500));
    CPPUNIT_ASSERT(estimate.Mean(WorkClass::kShort, RequestKind{3}) == Duration::zero());
    for (std::uint64_t kind = 3; kind <= ServiceTimeEstimate::kMaxKinds + 1; ++kind) {
      estimate.Observe(WorkClass::kLong, RequestKind{kind}, milliseconds(1));
    }
    CPPUNIT_ASSERT(estimate.Mean(WorkClass::kShort, RequestKind{5000}) == milliseconds(1500));
  }

  // Guards against a claim that arrives after its release and occupies a slot
  // permanently.
  void TestSlotTableIgnoresClaimAfterRelease() {
    SlotTable table;
    const TimePoint now(seconds(1));
    table.Free(now, AttemptId{1});
    CPPUNIT_ASSERT(!table.Add(now, AttemptId{1}, {.host = HostId{1}, .target = TargetId{1}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.size());
  }

  // Guards against freeing an attempt whose grant crossed the report, and
  // against keeping one whose release was lost.
  void TestSlotTableReportGrace() {
    SlotTable table;
    const TimePoint now(seconds(1));
    table.Add(now, AttemptId{1}, {.host = HostId{1}, .target = TargetId{1}});
    table.Reconcile(now + milliseconds(900), HostId{1}, {});
    CPPUNIT_ASSERT_EQUAL(1U, table.CountAt(TargetId{1}));
    table.Reconcile(now + milliseconds(1100), HostId{1}, {});
    CPPUNIT_ASSERT_EQUAL(0U, table.CountAt(TargetId{1}));
  }

  // Guards against slots that an unreachable host holds forever.
  void TestSlotTableFreesHostWithoutReports() {
    SlotTable table;
    const TimePoint now(seconds(1));
    table.Add(now, AttemptId{1}, {.host = HostId{1}, .target = TargetId{1}});
    table.Add(now, AttemptId{2}, {.host = HostId{2}, .target = TargetId{1}});
    table.Reconcile(now + seconds(1), HostId{1}, {{AttemptId{1}, TargetId{1}, WorkClass::kShort}});
    table.Expire(now + seconds(2));
    CPPUNIT_ASSERT_EQUAL(2U, table.CountAt(TargetId{1}));
    table.Expire(now + milliseconds(2100));
    CPPUNIT_ASSERT_EQUAL(1U, table.CountAt(TargetId{1}));
    table.Expire(now + milliseconds(3100));
    CPPUNIT_ASSERT_EQUAL(0U, table.CountAt(TargetId{1}));
  }

  // Guards against a new broker that grants slots already in use.
  void TestSlotTableRebuildsFromReports() {
    SlotTable table;
    const TimePoint now(seconds(1));
    table.Reconcile(now, HostId{1}, {{AttemptId{1}, TargetId{1}, WorkClass::kLong}});
    CPPUNIT_ASSERT_EQUAL(1U, table.CountAt(TargetId{1}));
    CPPUNIT_ASSERT_EQUAL(1U, table.long_count());
    table.Reconcile(now, HostId{1}, {{AttemptId{1}, TargetId{2}, WorkClass::kLong}});
    CPPUNIT_ASSERT_EQUAL(0U, table.CountAt(TargetId{1}));
    CPPUNIT_ASSERT_EQUAL(1U, table.CountAt(TargetId{2}));
  }

  // Guards against a broker that frees all slots when it resumes after a pause.
  void TestSlotTableExtendsTimeoutsByOwnPause() {
    SlotTable table;
    const TimePoint now(seconds(1));
    table.Add(now, AttemptId{1}, {.host = HostId{1}, .target = TargetId{1}});
    table.ExtendTimeouts(seconds(5));
    table.Expire(now + seconds(6));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.size());
  }

  // Guards against counts that differ from the attempts after a sequence of
  // additions, releases, reports and timeouts.
  void TestSlotTableCountsStayConsistent() {
    const bool holds = rc::check("counts match the held slots", [] {
      SlotTable table;
      TimePoint now(seconds(1));
      for (const auto step : *rc::gen::container<std::vector<std::uint32_t>>(
               rc::gen::inRange<std::uint32_t>(0, 6000))) {
        now += milliseconds(step % 400);
        const AttemptId attempt{step % 7};
        const HostId host{step % 2};
        const TargetId target{step % 3};
        const auto work_class = step % 5 == 0 ? WorkClass::kLong : WorkClass::kShort;
        switch (step % 4) {
          case 0:
            table.Add(now, attempt, {.host = host, .target = target, .work_class = work_class});
            break;
          case 1:
            table.Free(now, attempt);
            break;
          case 2:
            table.Reconcile(now, host, {{attempt, target, work_class}});
            break;
          default:
            table.Expire(now);
        }
        std::uint32_t sum = 0;
        std::uint32_t sum_long = 0;
        for (std::uint64_t index = 0; index < 3; ++index) {
          sum += table.CountAt(TargetId{index});
          sum_long += table.LongCountAt(TargetId{index});
        }
        RC_ASSERT(sum == table.size());
        RC_ASSERT(sum_long == table.long_count());
      }
    });
    CPPUNIT_ASSERT(holds);
  }

  // Guards against an unavailable broker that delays a request of every host
  // each second. The backoff doubles; after 7 s the broker is tried once
  // in 8 s.
  void TestBackoffOfUnavailableBrokerDoubles() {
    BrokerSelector broker_selector;
    broker_selector.SetRanking({HostId{1}, HostId{2}});
    TimePoint now{seconds(100)};
    int tries_early = 0;
    int tries_late = 0;
    for (int step = 0; step < 2300; ++step) {
      now += milliseconds(10);
      if (broker_selector.Current(now) == HostId{1}) {
        ++(step < 700 ? tries_early : tries_late);
        broker_selector.OnUnavailable(now, HostId{1});
      }
    }
    CPPUNIT_ASSERT_EQUAL(3, tries_early);
    CPPUNIT_ASSERT_EQUAL(2, tries_late);
    broker_selector.OnMessageReceived(now, HostId{1});
    CPPUNIT_ASSERT(broker_selector.Current(now) == HostId{1});
  }

  // Guards against more retries in a window than the operators allow the fleet.
  void TestRetryLimitsWithExtra() {
    RetryBudget budget(RetryLimits{.fraction = 0.2, .extra = 3, .minimum_per_second = 0});
    const TimePoint now{seconds(100)};
    budget.RecordFirstAttempt(now - seconds(20));
    for (int count = 0; count < 10; ++count) {
      budget.RecordFirstAttempt(now);
    }
    int allowed = 0;
    for (int count = 0; count < 20; ++count) {
      allowed += budget.TryRetry(now + milliseconds(400 * count)) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(5, allowed);
    CPPUNIT_ASSERT(budget.TryRetry(now + seconds(20)));
  }

  // Guards against a full allowance of extra retries for each new broker: after
  // a restart of all hosts, 148 retries were sent where 146 were allowed.
  void TestNewBrokerStartsWithoutExtra() {
    RetryBudget budget(RetryLimits{.fraction = 0, .extra = 40, .minimum_per_second = 0});
    const TimePoint now{seconds(100)};
    budget.RecordFirstAttempt(now);
    int allowed = 0;
    for (int step = 0; step < 50; ++step) {
      allowed += budget.TryRetry(now + milliseconds(100 * step)) ? 1 : 0;
    }
    CPPUNIT_ASSERT(allowed >= 15 && allowed <= 20);
  }

  // Guards against waiting for an unavailable broker, and against never returning
  // to it.
  void TestBrokerSelectorFailsOverAndReturns() {
    BrokerSelector broker_selector;
    const TimePoint now(seconds(1));
    broker_selector.SetRanking({HostId{1}, HostId{2}, HostId{3}});
    CPPUNIT_ASSERT(broker_selector.Current(now) == HostId{1});
    broker_selector.OnUnavailable(now, HostId{1});
    CPPUNIT_ASSERT(broker_selector.Current(now) == HostId{2});
    broker_selector.OnUnavailable(now, HostId{2});
    CPPUNIT_ASSERT(!broker_selector.Current(now));
    broker_selector.OnMessageReceived(now, HostId{2});
    CPPUNIT_ASSERT(broker_selector.Current(now) == HostId{2});
    CPPUNIT_ASSERT(broker_selector.Current(now + BrokerSelector::kInitialBackoff) == HostId{1});
    CPPUNIT_ASSERT(!broker_selector.IsCandidate(HostId{3}));
  }

  // Guards against the use of reordered views and of views of a previous
  // broker.
  void TestViewStateIgnoresOlderViews() {
    ViewState state;
    const TimePoint now(seconds(1));
    state.Accept(now, HostId{1}, true, {.sequence = 5, .queued = 5});
    state.Accept(now, HostId{1}, true, {.sequence = 4, .queued = 4});
    CPPUNIT_ASSERT_EQUAL(5U, state.view()->queued);
    state.Accept(now, HostId{2}, false, {.sequence = 9, .queued = 9});
    CPPUNIT_ASSERT_EQUAL(5U, state.view()->queued);
    state.Accept(now, HostId{2}, true, {.sequence = 1, .queued = 1});
    CPPUNIT_ASSERT_EQUAL(1U, state.view()->queued);
    CPPUNIT_ASSERT(state.IsFreshFrom(now + milliseconds(249), HostId{2}));
    CPPUNIT_ASSERT(!state.IsFreshFrom(now + milliseconds(250), HostId{2}));
    CPPUNIT_ASSERT(!state.IsFreshFrom(now, HostId{1}));
  }

  // Guards against a view that leaves a service below its floor, and against a
  // leaving target that counts towards the floor.
  void TestViewStateAppliesFloor() {
    ViewState state;
    DispatchService service{.floor_slots = 6};
    ServiceView view{.sequence = 1};
    for (std::uint64_t index = 1; index <= 4; ++index) {
      service.targets.push_back({.target = TargetId{index}, .slots = 3});
      view.targets.push_back({.target = TargetId{index}, .state = TargetState::kEjected});
    }
    view.targets[0].state = TargetState::kHealthy;
    view.targets[0].usable_slots = 3;
    view.targets[0].free_slots = 2;
    view.targets[1].unreachable_from = {DomainId{1}};
    state.Accept(TimePoint(), HostId{1}, true, view);
    state.RecordStart(TargetId{1});
    const auto in_service =
        state.TargetsInService(service, [](TargetId target) { return target == TargetId{3}; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, in_service.size());
    CPPUNIT_ASSERT(in_service[0].target == TargetId{1});
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, in_service[0].free_slots);
    CPPUNIT_ASSERT(in_service[1].target == TargetId{4});
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{3}, in_service[1].usable_slots);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ComponentsTest);

}  // namespace
}  // namespace pimentopin
