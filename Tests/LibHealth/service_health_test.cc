#include "Libraries/LibHealth/service_health.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "Tests/LibHealth/simulated_fleet.h"

namespace pimentopin {
namespace {

using namespace std::chrono_literals;

struct FleetSize {
  std::size_t targets;
  std::uint32_t slots;
};

constexpr FleetSize kFleetSizes[] = {{6, 3}, {8, 2}, {11, 3}, {11, 2}};

class ServiceHealthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServiceHealthTest);
  CPPUNIT_TEST(TestGrosslySlowTargetIsEjectedWithinBound);
  CPPUNIT_TEST(TestMildlySlowTargetIsEjectedWithinBound);
  CPPUNIT_TEST(TestWrongAnswersAreEjectedWithinBound);
  CPPUNIT_TEST(TestRareErrorsAreEjected);
  CPPUNIT_TEST(TestSlowLongWorkIsComparedWithLongWork);
  CPPUNIT_TEST(TestHealthyTargetsStayWithLongWork);
  CPPUNIT_TEST(TestCommonSlowdownEjectsNoTarget);
  CPPUNIT_TEST(TestCommonFailuresEjectNoTarget);
  CPPUNIT_TEST(TestCommonErrorRateEjectsNoTarget);
  CPPUNIT_TEST(TestQueueAtTargetIsNotSlowness);
  CPPUNIT_TEST(TestSlowTargetWithQueueIsEjected);
  CPPUNIT_TEST(TestShedAndCancelledAreNotEvidence);
  CPPUNIT_TEST(TestUnreachableFromOneDomainIsNotEjected);
  CPPUNIT_TEST(TestDomainIsUsedAgainAfterPartition);
  CPPUNIT_TEST(TestUnreachableFromFewHostsIsNotEjected);
  CPPUNIT_TEST(TestIsolatedHostDoesNotMarkAllTargets);
  CPPUNIT_TEST(TestIntermittentTimeoutsAtAllHostsEject);
  CPPUNIT_TEST(TestUnreachableFromAllHostsIsEjected);
  CPPUNIT_TEST(TestShortDeadlinesAreNotEvidence);
  CPPUNIT_TEST(TestCrashWithManyRequestsInFlightIsOneFailure);
  CPPUNIT_TEST(TestCrashRequestDoesNotEject);
  CPPUNIT_TEST(TestRepeatedFaultyRequestDoesNotEject);
  CPPUNIT_TEST(TestRepeatedRequestThatSucceedsElsewhereCounts);
  CPPUNIT_TEST(TestSuccessfulProbesDoNotHideWrongAnswers);
  CPPUNIT_TEST(TestProbeFailuresCountOnlyWithoutTraffic);
  CPPUNIT_TEST(TestIdleDownTargetIsFoundByProbes);
  CPPUNIT_TEST(TestProbationRampAndReturn);
  CPPUNIT_TEST(TestFaultyTargetFailsProbationAndIsEjectedLonger);
  CPPUNIT_TEST(TestAlternatingFailuresEndProbation);
  CPPUNIT_TEST(TestAttemptsFromBeforeProbationDoNotFailIt);
  CPPUNIT_TEST(TestFloorKeepsLeastSevereTargets);
  CPPUNIT_TEST(TestDrainReinstatesLeastSevereTarget);
  CPPUNIT_TEST(TestInterruptedEjectionIsNoRepeat);
  CPPUNIT_TEST(TestNewTargetRampsUp);
  CPPUNIT_TEST(TestReconfigurationKeepsState);
  CPPUNIT_TEST(TestLowTrafficFindsSlowTarget);
  CPPUNIT_TEST(TestHealthyTargetsStayAtLowTraffic);
  CPPUNIT_TEST(TestSingleTargetStays);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a detector that misses the 3 s bound at load 0.5.
  void TestGrosslySlowTargetIsEjectedWithinBound() {
    this->AssertEjected(3s, [](SimulatedTarget& target) { target.slow_factor = 10.0; });
  }

  // Guards against a detector that misses 3x slowness (bound 10 s).
  void TestMildlySlowTargetIsEjectedWithinBound() {
    this->AssertEjected(10s, [](SimulatedTarget& target) { target.slow_factor = 3.0; });
  }

  // Guards against fast but wrong responses counting as healthy (bound 3 s).
  void TestWrongAnswersAreEjectedWithinBound() {
    this->AssertEjected(3s, [](SimulatedTarget& target) { target.wrong_rate = 0.3; });
  }

  // Guards against an error rate of 5 % staying below a fixed threshold.
  void TestRareErrorsAreEjected() {
    this->AssertEjected(60s, [](SimulatedTarget& target) { target.error_rate = 0.05; });
  }

  // Guards against long requests hiding a slow target when both work classes are
  // compared together.
  void TestSlowLongWorkIsComparedWithLongWork() {
    SimulatedFleet fleet(6, 3, 9, 5);
    fleet.long_share = 0.02;
    fleet.deadline = 60s;
    fleet.Run(60s);
    fleet.targets[2].slow_factor = 4.0;
    CPPUNIT_ASSERT(fleet.RunUntilEjected(2, 20s) < 20s);
  }

  // Guards against long requests and random variation looking like a fault: ten minutes
  // for each size; the benchmark covers a full hour.
  void TestHealthyTargetsStayWithLongWork() {
    for (const FleetSize& size : kFleetSizes) {
      SimulatedFleet fleet(size.targets, size.slots, size.slots, 11);
      fleet.long_share = 0.02;
      fleet.deadline = 60s;
      for (const double load : {0.2, 0.5, 0.8, 0.95, 0.5}) {
        fleet.load = load;
        fleet.Run(2min);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
    }
  }

  // Guards against ejections during a demand peak or a slowdown of a shared dependency.
  void TestCommonSlowdownEjectsNoTarget() {
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      SimulatedFleet fleet(6, 3, 3, seed);
      fleet.deadline = 60s;
      fleet.Run(10s);
      fleet.common_slow_factor = 20.0;
      fleet.Run(30s);
      fleet.common_slow_factor = 1.0;
      fleet.Run(30s);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
    }
  }

  // Guards against ejections when a shared dependency fails.
  void TestCommonFailuresEjectNoTarget() {
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      SimulatedFleet fleet(8, 2, 2, seed);
      fleet.Run(10s);
      fleet.common_error_rate = 1.0;
      fleet.Run(20s);
      fleet.common_error_rate = 0.0;
      fleet.Run(20s);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
    }
  }

  // Guards against ejections for random differences between targets with the same error
  // rate.
  void TestCommonErrorRateEjectsNoTarget() {
    for (const double rate : {0.01, 0.05, 0.2}) {
      SimulatedFleet fleet(11, 3, 3, 3);
      fleet.common_error_rate = rate;
      fleet.Run(5min);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
    }
  }

  // Guards against a target looking slow when several hosts choose it at once: service
  // times 4x as long behind a queue 4x as long, for several seconds.
  void TestQueueAtTargetIsNotSlowness() {
    SimulatedFleet fleet(6, 3, 3, 40);
    fleet.Run(5s);
    for (const double factor : {4.0, 0.0}) {
      for (int index = 0; index < 100; ++index) {
        HealthObservation observation = this->Observation(fleet, 1, AttemptResult::kSuccess);
        observation.service_time = factor > 0.0 ? 60ms : 600ms;
        observation.queue_factor = factor;
        fleet.health.Observe(fleet.now, observation);
        fleet.Run(20ms);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
  }

  // Guards against queueing hiding a slow target.
  void TestSlowTargetWithQueueIsEjected() {
    SimulatedFleet fleet(6, 3, 3, 41);
    fleet.Run(5s);
    for (int index = 0; index < 100; ++index) {
      HealthObservation observation = this->Observation(fleet, 1, AttemptResult::kSuccess);
      observation.service_time = 400ms;
      observation.queue_factor = 2.0;
      fleet.health.Observe(fleet.now, observation);
      fleet.Run(20ms);
    }
    CPPUNIT_ASSERT(fleet.Status(1).state == TargetState::kEjected);
  }

  // Guards against an overloaded target, or one whose callers cancel early, looking
  // faulty.
  void TestShedAndCancelledAreNotEvidence() {
    SimulatedFleet fleet(6, 3, 3, 4);
    fleet.Run(5s);
    for (int index = 0; index < 1000; ++index) {
      HealthObservation observation = this->Observation(fleet, 1, AttemptResult::kShed);
      observation.reporter = SimulatedFleet::Host(static_cast<std::size_t>(index) % 32);
      observation.service_time = 5s;
      fleet.health.Observe(fleet.now, observation);
      observation.result = AttemptResult::kCancelled;
      fleet.health.Observe(fleet.now, observation);
    }
    fleet.Run(1s);
    CPPUNIT_ASSERT(fleet.Status(1) == (HealthStatus{TargetState::kHealthy, 3, {}, {}}));
  }

  // Guards against a partition from one failure domain ejecting a target that two
  // others use.
  void TestUnreachableFromOneDomainIsNotEjected() {
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
      SimulatedFleet fleet(6, 3, 9, seed);
      fleet.Run(5s);
      fleet.targets[0].unreachable_from_domains = {SimulatedFleet::Domain(1)};
      fleet.Run(3s);
      CPPUNIT_ASSERT(fleet.Status(0).unreachable_from_domains ==
                     std::vector<DomainId>{SimulatedFleet::Domain(1)});
      fleet.Run(5min);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
      CPPUNIT_ASSERT(fleet.Status(0).state == TargetState::kHealthy);
    }
  }

  // Guards against a domain staying marked as unreachable after the partition.
  void TestDomainIsUsedAgainAfterPartition() {
    SimulatedFleet fleet(6, 3, 9, 6);
    fleet.targets[0].unreachable_from_domains = {SimulatedFleet::Domain(1)};
    fleet.Run(2min);
    fleet.targets[0].unreachable_from_domains.clear();
    fleet.Run(90s);
    CPPUNIT_ASSERT(fleet.Status(0) == (HealthStatus{TargetState::kHealthy, 3, {}, {}}));
  }

  // Guards against a few broken paths making a target faulty or a domain unreachable.
  void TestUnreachableFromFewHostsIsNotEjected() {
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
      SimulatedFleet fleet(6, 3, 9, seed);
      fleet.Run(5s);
      fleet.targets[0].unreachable_from_hosts = {SimulatedFleet::Host(1), SimulatedFleet::Host(4),
                                                 SimulatedFleet::Host(5)};
      fleet.Run(10s);
      const HealthStatus status = fleet.Status(0);
      CPPUNIT_ASSERT(status.unreachable_from_domains.empty());
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, status.unreachable_from_hosts.size());
      fleet.Run(2min);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
    }
  }

  // Guards against a host without network marking all targets of the service.
  void TestIsolatedHostDoesNotMarkAllTargets() {
    SimulatedFleet fleet(6, 3, 9, 8);
    for (SimulatedTarget& target : fleet.targets) {
      target.unreachable_from_hosts = {SimulatedFleet::Host(7)};
    }
    fleet.Run(2min);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
    std::size_t marked = 0;
    for (std::size_t index = 0; index < 6; ++index) {
      marked += fleet.Status(index).unreachable_from_hosts.size();
    }
    CPPUNIT_ASSERT(marked <= 3);
  }

  // Guards against timeouts at all hosts being taken for broken paths.
  void TestIntermittentTimeoutsAtAllHostsEject() {
    SimulatedFleet fleet(6, 3, 9, 9);
    fleet.Run(5s);
    fleet.targets[3].timeout_rate = 0.3;
    CPPUNIT_ASSERT(fleet.RunUntilEjected(3, 60s) < 60s);
  }

  // Guards against a target that is down being marked domain by domain instead of being
  // ejected.
  void TestUnreachableFromAllHostsIsEjected() {
    for (const FleetSize& size : kFleetSizes) {
      SimulatedFleet fleet(size.targets, size.slots, size.slots, 10);
      fleet.Run(5s);
      fleet.targets[0].down = true;
      CPPUNIT_ASSERT(fleet.RunUntilEjected(0, 2s) < 2s);
    }
  }

  // Guards against ejections because of callers with deadlines that no target can meet.
  void TestShortDeadlinesAreNotEvidence() {
    SimulatedFleet fleet(6, 3, 3, 12);
    fleet.Run(5s);
    for (int index = 0; index < 1000; ++index) {
      HealthObservation observation = this->Observation(fleet, 1, AttemptResult::kTimeout);
      observation.reporter = SimulatedFleet::Host(static_cast<std::size_t>(index) % 32);
      observation.reporter_domain = SimulatedFleet::Domain(static_cast<std::size_t>(index) % 32);
      observation.service_time = 20ms;
      fleet.health.Observe(fleet.now, observation);
    }
    fleet.Run(1s);
    CPPUNIT_ASSERT(fleet.Status(1) == (HealthStatus{TargetState::kHealthy, 3, {}, {}}));
  }

  // Guards against one crash counting once per request in flight.
  void TestCrashWithManyRequestsInFlightIsOneFailure() {
    SimulatedFleet fleet(6, 3, 3, 13);
    fleet.Run(5s);
    for (std::size_t index = 0; index < 200; ++index) {
      HealthObservation observation = this->Observation(fleet, 1, AttemptResult::kConnectionLost);
      observation.reporter = SimulatedFleet::Host(index % 32);
      observation.reporter_domain = SimulatedFleet::Domain(index % 32);
      observation.fingerprint = Fingerprint{5000 + index};
      observation.result =
          index % 2 == 0 ? AttemptResult::kConnectionLost : AttemptResult::kTruncated;
      fleet.health.Observe(fleet.now + Duration(index * 1000), observation);
    }
    fleet.Run(5s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
  }

  // Guards against ejecting the service because of a request that crashes targets: it
  // is sent to each target in turn, and each crash also fails other requests.
  void TestCrashRequestDoesNotEject() {
    SimulatedFleet fleet(6, 3, 3, 14);
    fleet.Run(5s);
    for (std::size_t round = 0; round < 20; ++round) {
      for (std::size_t target = 0; target < 6; ++target) {
        for (std::size_t index = 0; index < 6; ++index) {
          HealthObservation observation =
              this->Observation(fleet, target, AttemptResult::kConnectionLost);
          observation.fingerprint =
              index == 2 ? Fingerprint{77} : Fingerprint{round * 1000 + target * 10 + index};
          fleet.health.Observe(fleet.now, observation);
        }
        fleet.Run(50ms);
      }
      fleet.Run(1s);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
  }

  // Guards against ejecting a target because a caller repeats an invalid request that
  // affinity binds to it.
  void TestRepeatedFaultyRequestDoesNotEject() {
    SimulatedFleet fleet(6, 3, 3, 15);
    fleet.Run(5s);
    for (int index = 0; index < 500; ++index) {
      HealthObservation observation = this->Observation(fleet, 1, AttemptResult::kServerError);
      observation.fingerprint = Fingerprint{99};
      fleet.health.Observe(fleet.now, observation);
      fleet.Run(10ms);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
  }

  // Guards against ignoring a popular request that only this target answers wrongly.
  void TestRepeatedRequestThatSucceedsElsewhereCounts() {
    SimulatedFleet fleet(6, 3, 3, 16);
    fleet.Run(5s);
    for (int index = 0; index < 30; ++index) {
      HealthObservation observation = this->Observation(fleet, 1, AttemptResult::kWrongAnswer);
      observation.fingerprint = Fingerprint{99};
      fleet.health.Observe(fleet.now, observation);
      observation = this->Observation(fleet, 2, AttemptResult::kSuccess);
      observation.fingerprint = Fingerprint{99};
      fleet.health.Observe(fleet.now, observation);
    }
    CPPUNIT_ASSERT(fleet.Status(1).state == TargetState::kEjected);
  }

  // Guards against a target staying in service because its health endpoint returns 200
  // while its responses are wrong.
  void TestSuccessfulProbesDoNotHideWrongAnswers() {
    SimulatedFleet fleet(8, 2, 8, 17);
    fleet.probes = true;
    fleet.requests_per_second = 4.0;
    fleet.Run(60s);
    fleet.targets[4].wrong_rate = 1.0;
    CPPUNIT_ASSERT(fleet.RunUntilEjected(4, 60s) < 60s);
  }

  // Guards against ejecting working targets because their health endpoint fails.
  void TestProbeFailuresCountOnlyWithoutTraffic() {
    SimulatedFleet fleet(6, 3, 3, 18);
    fleet.probes = true;
    fleet.Run(5s);
    for (int index = 0; index < 100; ++index) {
      HealthObservation observation = this->Observation(fleet, 1, AttemptResult::kServerError);
      observation.is_probe = true;
      fleet.health.Observe(fleet.now, observation);
    }
    fleet.Run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
  }

  // Guards against an idle target that is down being found only by the first request.
  void TestIdleDownTargetIsFoundByProbes() {
    SimulatedFleet fleet(6, 3, 3, 19);
    fleet.probes = true;
    fleet.requests_per_second = 0.001;
    fleet.Run(10s);
    fleet.targets[5].down = true;
    CPPUNIT_ASSERT(fleet.RunUntilEjected(5, 30s) < 30s);
  }

  // Guards against a recovered target staying ejected, or getting full load before it
  // has warmed up.
  void TestProbationRampAndReturn() {
    SimulatedFleet fleet(6, 3, 9, 20);
    fleet.Run(5s);
    fleet.targets[0].slow_factor = 10.0;
    CPPUNIT_ASSERT(fleet.RunUntilEjected(0, 5s) < 5s);
    fleet.targets[0].slow_factor = 1.0;
    const std::size_t request_count = fleet.request_count(0);
    fleet.Run(9s);
    CPPUNIT_ASSERT_EQUAL(request_count, fleet.request_count(0));
    CPPUNIT_ASSERT(fleet.Status(0) == (HealthStatus{TargetState::kEjected, 0, {}, {}}));
    fleet.Run(1s + 200ms);
    CPPUNIT_ASSERT(fleet.Status(0) == (HealthStatus{TargetState::kProbation, 1, {}, {}}));
    fleet.Run(8s);
    CPPUNIT_ASSERT(fleet.Status(0) == (HealthStatus{TargetState::kProbation, 2, {}, {}}));
    fleet.Run(6s);
    CPPUNIT_ASSERT(fleet.Status(0) == (HealthStatus{TargetState::kHealthy, 3, {}, {}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.CountEvents(HealthEventKind::kReturned));
  }

  // Guards against a faulty target being retried every 10 s.
  void TestFaultyTargetFailsProbationAndIsEjectedLonger() {
    SimulatedFleet fleet(6, 3, 9, 21);
    fleet.targets[0].slow_factor = 10.0;
    fleet.Run(20min);
    // Ejections of 10 + 20 + 40 + 80 + 160 s, then 300 s each.
    const std::size_t ejections = fleet.CountEvents(HealthEventKind::kEjected);
    CPPUNIT_ASSERT(ejections >= 7 && ejections <= 9);
    CPPUNIT_ASSERT(fleet.request_count(0) < 500);
  }

  // Guards against a target that fails every second request and stays in probation forever: it has
  // neither five passes nor two failures in a row.
  void TestAlternatingFailuresEndProbation() {
    SimulatedFleet fleet(6, 3, 9, 30);
    fleet.Run(5s);
    fleet.targets[0].slow_factor = 10.0;
    CPPUNIT_ASSERT(fleet.RunUntilEjected(0, 5s) < 5s);
    fleet.targets[0].slow_factor = 1.0;
    // Requests of the simulation would add outcomes of their own.
    fleet.targets[0].busy = 1000;
    fleet.Run(10s + 200ms);
    CPPUNIT_ASSERT(fleet.Status(0).state == TargetState::kProbation);
    for (const AttemptResult result :
         {AttemptResult::kSuccess, AttemptResult::kServerError, AttemptResult::kSuccess}) {
      fleet.health.Observe(fleet.now, this->Observation(fleet, 0, result));
      CPPUNIT_ASSERT(fleet.Status(0).state == TargetState::kProbation);
    }
    fleet.health.Observe(fleet.now, this->Observation(fleet, 0, AttemptResult::kServerError));
    CPPUNIT_ASSERT(fleet.Status(0).state == TargetState::kEjected);
  }

  // Guards against attempts that began before probation and end during it, such as those
  // of a target that hung, prolonging the ejection.
  void TestAttemptsFromBeforeProbationDoNotFailIt() {
    SimulatedFleet fleet(6, 3, 9, 29);
    fleet.Run(5s);
    fleet.targets[0].slow_factor = 10.0;
    CPPUNIT_ASSERT(fleet.RunUntilEjected(0, 5s) < 5s);
    fleet.targets[0].slow_factor = 1.0;
    while (fleet.Status(0).state == TargetState::kEjected) {
      fleet.Run(10ms);
    }
    HealthObservation late = Observation(fleet, 0, AttemptResult::kWrongAnswer);
    late.service_time = 12s;
    for (std::uint64_t attempt = 1; attempt <= 3; ++attempt) {
      late.fingerprint = Fingerprint{attempt};
      fleet.health.Observe(fleet.now, late);
    }
    fleet.Run(200ms);
    CPPUNIT_ASSERT(fleet.Status(0).state == TargetState::kProbation);
  }

  // Property P1: guards against the most severe targets being kept in service to meet
  // the floor.
  void TestFloorKeepsLeastSevereTargets() {
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
      SimulatedFleet fleet(6, 3, 12, seed);
      fleet.Run(5s);
      // The mild faults come first, so that the floor is reached when the severe ones
      // start.
      fleet.targets[0].slow_factor = 4.0;
      fleet.targets[1].slow_factor = 4.0;
      fleet.Run(6s);
      fleet.targets[2].wrong_rate = 0.9;
      fleet.targets[3].wrong_rate = 0.9;
      fleet.Run(4s);
      CPPUNIT_ASSERT(fleet.Status(2).state == TargetState::kEjected);
      CPPUNIT_ASSERT(fleet.Status(3).state == TargetState::kEjected);
      CPPUNIT_ASSERT_EQUAL(3U, fleet.Status(0).usable_slots);
      CPPUNIT_ASSERT_EQUAL(3U, fleet.Status(1).usable_slots);
    }
  }

  // Guards against a planned drain taking the service below its floor.
  void TestDrainReinstatesLeastSevereTarget() {
    SimulatedFleet fleet(6, 3, 12, 22);
    fleet.Run(5s);
    fleet.targets[0].wrong_rate = 0.9;
    fleet.targets[1].slow_factor = 5.0;
    fleet.Run(5s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.CountEvents(HealthEventKind::kEjected));
    fleet.targets[5].leaving = true;
    fleet.Configure();
    CPPUNIT_ASSERT(fleet.Status(5) == (HealthStatus{TargetState::kLeaving, 0, {}, {}}));
    CPPUNIT_ASSERT(fleet.Status(1) == (HealthStatus{TargetState::kHealthy, 3, {}, {}}));
    CPPUNIT_ASSERT(fleet.Status(0).state == TargetState::kEjected);
    fleet.Run(5s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.CountEvents(HealthEventKind::kReinstatedForFloor));
  }

  // Guards against an ejection that the floor interrupted counting twice in the
  // backoff.
  void TestInterruptedEjectionIsNoRepeat() {
    SimulatedFleet fleet(6, 3, 15, 23);
    fleet.Run(5s);
    fleet.targets[1].slow_factor = 10.0;
    CPPUNIT_ASSERT(fleet.RunUntilEjected(1, 5s) < 5s);
    const TimePoint ejected = fleet.now;
    fleet.targets[5].leaving = true;
    fleet.Configure();
    fleet.Run(1s);
    CPPUNIT_ASSERT(fleet.Status(1).state == TargetState::kHealthy);
    fleet.floor_slots = 9;
    fleet.Configure();
    CPPUNIT_ASSERT(fleet.Status(1).state == TargetState::kEjected);
    fleet.targets[1].slow_factor = 1.0;
    fleet.Run(ejected + 10s + 200ms - fleet.now);
    CPPUNIT_ASSERT(fleet.Status(1).state == TargetState::kProbation);
  }

  // Guards against full load on a target that has just started.
  void TestNewTargetRampsUp() {
    SimulatedFleet fleet(6, 3, 9, 24);
    fleet.targets[5].leaving = true;
    fleet.Configure();
    fleet.Run(5s);
    fleet.targets[5].leaving = false;
    fleet.Configure();
    CPPUNIT_ASSERT(fleet.Status(5) == (HealthStatus{TargetState::kProbation, 1, {}, {}}));
    fleet.Run(11s);
    CPPUNIT_ASSERT(fleet.Status(5) == (HealthStatus{TargetState::kHealthy, 3, {}, {}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
  }

  // Guards against a configuration change reinstating faulty targets.
  void TestReconfigurationKeepsState() {
    SimulatedFleet fleet(6, 3, 9, 25);
    fleet.targets[0].slow_factor = 10.0;
    CPPUNIT_ASSERT(fleet.RunUntilEjected(0, 5s) < 5s);
    std::reverse(fleet.targets.begin(), fleet.targets.end());
    fleet.Configure();
    CPPUNIT_ASSERT(fleet.Status(5).state == TargetState::kEjected);
    CPPUNIT_ASSERT_EQUAL(15U, fleet.UsableSlots());
  }

  // Guards against a detector that needs a high request rate: one request per second
  // here.
  void TestLowTrafficFindsSlowTarget() {
    for (const FleetSize& size : kFleetSizes) {
      SimulatedFleet fleet(size.targets, size.slots, size.slots, 26);
      fleet.requests_per_second = 1.0;
      fleet.Run(10min);
      fleet.targets[0].slow_factor = 10.0;
      CPPUNIT_ASSERT(fleet.RunUntilEjected(0, 10min) < 10min);
    }
  }

  // Guards against ejections on too little evidence at a low request rate.
  void TestHealthyTargetsStayAtLowTraffic() {
    for (const FleetSize& size : kFleetSizes) {
      SimulatedFleet fleet(size.targets, size.slots, size.slots, 27);
      fleet.requests_per_second = 1.0;
      fleet.long_share = 0.02;
      fleet.deadline = 60s;
      fleet.probes = true;
      fleet.Run(8h);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
    }
  }

  // Guards against a service with one target losing it, whatever its floor.
  void TestSingleTargetStays() {
    SimulatedFleet fleet(1, 3, 0, 28);
    fleet.Run(5s);
    fleet.targets[0].down = true;
    fleet.Run(30s);
    CPPUNIT_ASSERT(fleet.Status(0).state == TargetState::kHealthy);
  }

 private:
  static HealthObservation Observation(const SimulatedFleet& fleet,
                                       std::size_t index,
                                       AttemptResult result) {
    HealthObservation observation;
    observation.target = fleet.targets[index].target;
    observation.reporter = SimulatedFleet::Host(0);
    observation.reporter_domain = SimulatedFleet::Domain(0);
    observation.result = result;
    observation.service_time = 10ms;
    return observation;
  }

  template <typename Fault>
  static void AssertEjected(Duration bound, Fault fault) {
    for (const FleetSize& size : kFleetSizes) {
      for (std::uint64_t seed = 0; seed < 20; ++seed) {
        SimulatedFleet fleet(size.targets, size.slots, size.slots * 2, seed);
        fleet.Run(10s);
        fault(fleet.targets[1]);
        const Duration elapsed = fleet.RunUntilEjected(1, bound);
        CPPUNIT_ASSERT_MESSAGE(
            std::to_string(size.targets) + " targets, seed " + std::to_string(seed),
            elapsed < bound);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.CountEvents(HealthEventKind::kEjected));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceHealthTest);

}  // namespace
}  // namespace pimentopin
