#include "Libraries/LibHealth/service_health.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "Tests/LibHealth/health_fleet.h"

namespace pimentopin {
namespace {

using namespace std::chrono_literals;

struct FleetSize {
  std::size_t targets;
  std::uint32_t slots;
};

constexpr FleetSize kSizes[] = {{6, 3}, {8, 2}, {11, 3}, {11, 2}};

class ServiceHealthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServiceHealthTest);
  CPPUNIT_TEST(TestGrosslySlowTargetIsEjectedWithinBound);
  CPPUNIT_TEST(TestMildlySlowTargetIsEjectedWithinBound);
  CPPUNIT_TEST(TestWrongAnswersAreEjectedWithinBound);
  CPPUNIT_TEST(TestRareErrorsAreEjected);
  CPPUNIT_TEST(TestSlowLongWorkIsComparedWithLongWork);
  CPPUNIT_TEST(TestHealthyTargetsStayWithLongWork);
  CPPUNIT_TEST(TestCommonSlowdownEjectsNobody);
  CPPUNIT_TEST(TestCommonFailuresEjectNobody);
  CPPUNIT_TEST(TestCommonErrorRateEjectsNobody);
  CPPUNIT_TEST(TestQueueAtTargetIsNotSlowness);
  CPPUNIT_TEST(TestSlowTargetWithQueueIsEjected);
  CPPUNIT_TEST(TestShedAndCancelledSayNothing);
  CPPUNIT_TEST(TestDeafToDomainIsNotEjected);
  CPPUNIT_TEST(TestDomainIsUsedAgainAfterPartition);
  CPPUNIT_TEST(TestDeafToFewHostsIsNotEjected);
  CPPUNIT_TEST(TestIsolatedHostDoesNotMarkAllTargets);
  CPPUNIT_TEST(TestIntermittentTimeoutsFromEverywhereAreSickness);
  CPPUNIT_TEST(TestUnreachableFromEverywhereIsEjected);
  CPPUNIT_TEST(TestShortDeadlinesSayNothing);
  CPPUNIT_TEST(TestDeathWithManyRequestsInFlightIsOneFailure);
  CPPUNIT_TEST(TestCrashRequestDoesNotEject);
  CPPUNIT_TEST(TestRepeatedFaultyRequestDoesNotEject);
  CPPUNIT_TEST(TestRepeatedRequestThatSucceedsElsewhereCounts);
  CPPUNIT_TEST(TestLyingProbesDoNotHideSickness);
  CPPUNIT_TEST(TestProbeFailuresCountOnlyWithoutTraffic);
  CPPUNIT_TEST(TestIdleDeadTargetIsFoundByProbes);
  CPPUNIT_TEST(TestProbationRampAndReturn);
  CPPUNIT_TEST(TestSickTargetFailsProbationAndIsEjectedLonger);
  CPPUNIT_TEST(TestFloorKeepsLeastSevereTargets);
  CPPUNIT_TEST(TestDrainReinstatesLeastSevereTarget);
  CPPUNIT_TEST(TestInterruptedEjectionIsNoRepeat);
  CPPUNIT_TEST(TestNewTargetRampsUp);
  CPPUNIT_TEST(TestReconfigurationKeepsState);
  CPPUNIT_TEST(TestNightTrafficFindsSlowTarget);
  CPPUNIT_TEST(TestHealthyNightEjectsNobody);
  CPPUNIT_TEST(TestSingleTargetStays);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a detector too slow for the 3 s bound at load 0.5.
  void TestGrosslySlowTargetIsEjectedWithinBound() {
    this->AssertEjected(3s, [](FleetTarget& target) { target.slow_factor = 10.0; });
  }

  // Guards against a detector blind to 3x slowness (bound 10 s).
  void TestMildlySlowTargetIsEjectedWithinBound() {
    this->AssertEjected(10s, [](FleetTarget& target) { target.slow_factor = 3.0; });
  }

  // Guards against fast but wrong responses counting as health (bound 3 s).
  void TestWrongAnswersAreEjectedWithinBound() {
    this->AssertEjected(3s, [](FleetTarget& target) { target.wrong_rate = 0.3; });
  }

  // Guards against an error rate of 5 % hiding below a fixed threshold.
  void TestRareErrorsAreEjected() {
    this->AssertEjected(60s, [](FleetTarget& target) { target.error_rate = 0.05; });
  }

  // Guards against long work hiding a slow target, as one class is sick only.
  void TestSlowLongWorkIsComparedWithLongWork() {
    HealthFleet fleet(6, 3, 9, 5);
    fleet.long_share = 0.02;
    fleet.deadline = 60s;
    fleet.Run(60s);
    fleet.targets[2].slow_factor = 4.0;
    CPPUNIT_ASSERT(fleet.RunUntilEjected(2, 20s) < 20s);
  }

  // Guards against long work and chance looking like sickness: ten minutes for
  // each size; the hour is measured by the bench.
  void TestHealthyTargetsStayWithLongWork() {
    for (const FleetSize& size : kSizes) {
      HealthFleet fleet(size.targets, size.slots, size.slots, 11);
      fleet.long_share = 0.02;
      fleet.deadline = 60s;
      for (const double load : {0.2, 0.5, 0.8, 0.95, 0.5}) {
        fleet.load = load;
        fleet.Run(2min);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
    }
  }

  // Guards against a demand peak or a slow common dependency ejecting targets.
  void TestCommonSlowdownEjectsNobody() {
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      HealthFleet fleet(6, 3, 3, seed);
      fleet.deadline = 60s;
      fleet.Run(10s);
      fleet.common_slow_factor = 20.0;
      fleet.Run(30s);
      fleet.common_slow_factor = 1.0;
      fleet.Run(30s);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
    }
  }

  // Guards against a failed common dependency ejecting targets.
  void TestCommonFailuresEjectNobody() {
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      HealthFleet fleet(8, 2, 2, seed);
      fleet.Run(10s);
      fleet.common_error_rate = 1.0;
      fleet.Run(20s);
      fleet.common_error_rate = 0.0;
      fleet.Run(20s);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
    }
  }

  // Guards against chance differences of a usual error rate.
  void TestCommonErrorRateEjectsNobody() {
    for (const double rate : {0.01, 0.05, 0.2}) {
      HealthFleet fleet(11, 3, 3, 3);
      fleet.common_error_rate = rate;
      fleet.Run(5min);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
    }
  }

  // Guards against hosts that choose the same target at once making it look
  // slow: service times 4x as long behind a queue 4x as long, over seconds.
  void TestQueueAtTargetIsNotSlowness() {
    HealthFleet fleet(6, 3, 3, 40);
    fleet.Run(5s);
    for (const double factor : {4.0, 0.0}) {
      for (int index = 0; index < 100; ++index) {
        HealthEvidence evidence = this->Evidence(fleet, 1, AttemptResult::kSuccess);
        evidence.service_time = factor > 0.0 ? 60ms : 600ms;
        evidence.queue_factor = factor;
        fleet.health.Observe(fleet.now, evidence);
        fleet.Run(20ms);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
  }

  // Guards against a queue excusing a slow target.
  void TestSlowTargetWithQueueIsEjected() {
    HealthFleet fleet(6, 3, 3, 41);
    fleet.Run(5s);
    for (int index = 0; index < 100; ++index) {
      HealthEvidence evidence = this->Evidence(fleet, 1, AttemptResult::kSuccess);
      evidence.service_time = 400ms;
      evidence.queue_factor = 2.0;
      fleet.health.Observe(fleet.now, evidence);
      fleet.Run(20ms);
    }
    CPPUNIT_ASSERT(fleet.Verdict(1).state == TargetState::kEjected);
  }

  // Guards against an overloaded target, or impatient callers, looking sick.
  void TestShedAndCancelledSayNothing() {
    HealthFleet fleet(6, 3, 3, 4);
    fleet.Run(5s);
    for (int index = 0; index < 1000; ++index) {
      HealthEvidence evidence = this->Evidence(fleet, 1, AttemptResult::kShed);
      evidence.reporter = HealthFleet::Host(static_cast<std::size_t>(index) % 32);
      evidence.service_time = 5s;
      fleet.health.Observe(fleet.now, evidence);
      evidence.result = AttemptResult::kCancelled;
      fleet.health.Observe(fleet.now, evidence);
    }
    fleet.Run(1s);
    CPPUNIT_ASSERT(fleet.Verdict(1) == (HealthVerdict{TargetState::kHealthy, 3, {}, {}}));
  }

  // Guards against a one-way partition ejecting a target that two domains use.
  void TestDeafToDomainIsNotEjected() {
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
      HealthFleet fleet(6, 3, 9, seed);
      fleet.Run(5s);
      fleet.targets[0].deaf_to_domains = {HealthFleet::Domain(1)};
      fleet.Run(3s);
      CPPUNIT_ASSERT(fleet.Verdict(0).unreachable_from ==
                     std::vector<DomainId>{HealthFleet::Domain(1)});
      fleet.Run(5min);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
      CPPUNIT_ASSERT(fleet.Verdict(0).state == TargetState::kHealthy);
    }
  }

  // Guards against a mark that outlives the partition.
  void TestDomainIsUsedAgainAfterPartition() {
    HealthFleet fleet(6, 3, 9, 6);
    fleet.targets[0].deaf_to_domains = {HealthFleet::Domain(1)};
    fleet.Run(2min);
    fleet.targets[0].deaf_to_domains.clear();
    fleet.Run(90s);
    CPPUNIT_ASSERT(fleet.Verdict(0) == (HealthVerdict{TargetState::kHealthy, 3, {}, {}}));
  }

  // Guards against a few broken paths making a target or a domain look sick.
  void TestDeafToFewHostsIsNotEjected() {
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
      HealthFleet fleet(6, 3, 9, seed);
      fleet.Run(5s);
      fleet.targets[0].deaf_to_hosts = {HealthFleet::Host(1), HealthFleet::Host(4),
                                        HealthFleet::Host(5)};
      fleet.Run(10s);
      const HealthVerdict verdict = fleet.Verdict(0);
      CPPUNIT_ASSERT(verdict.unreachable_from.empty());
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, verdict.unreachable_hosts.size());
      fleet.Run(2min);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
    }
  }

  // Guards against a host without network marking the whole service.
  void TestIsolatedHostDoesNotMarkAllTargets() {
    HealthFleet fleet(6, 3, 9, 8);
    for (FleetTarget& target : fleet.targets) {
      target.deaf_to_hosts = {HealthFleet::Host(7)};
    }
    fleet.Run(2min);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
    std::size_t marked = 0;
    for (std::size_t index = 0; index < 6; ++index) {
      marked += fleet.Verdict(index).unreachable_hosts.size();
    }
    CPPUNIT_ASSERT(marked <= 3);
  }

  // Guards against time-outs seen by every host being taken for broken paths.
  void TestIntermittentTimeoutsFromEverywhereAreSickness() {
    HealthFleet fleet(6, 3, 9, 9);
    fleet.Run(5s);
    fleet.targets[3].timeout_rate = 0.3;
    CPPUNIT_ASSERT(fleet.RunUntilEjected(3, 60s) < 60s);
  }

  // Guards against a dead target being avoided domain by domain only.
  void TestUnreachableFromEverywhereIsEjected() {
    for (const FleetSize& size : kSizes) {
      HealthFleet fleet(size.targets, size.slots, size.slots, 10);
      fleet.Run(5s);
      fleet.targets[0].down = true;
      CPPUNIT_ASSERT(fleet.RunUntilEjected(0, 2s) < 2s);
    }
  }

  // Guards against callers with hopeless deadlines ejecting targets.
  void TestShortDeadlinesSayNothing() {
    HealthFleet fleet(6, 3, 3, 12);
    fleet.Run(5s);
    for (int index = 0; index < 1000; ++index) {
      HealthEvidence evidence = this->Evidence(fleet, 1, AttemptResult::kTimeout);
      evidence.reporter = HealthFleet::Host(static_cast<std::size_t>(index) % 32);
      evidence.reporter_domain = HealthFleet::Domain(static_cast<std::size_t>(index) % 32);
      evidence.service_time = 20ms;
      fleet.health.Observe(fleet.now, evidence);
    }
    fleet.Run(1s);
    CPPUNIT_ASSERT(fleet.Verdict(1) == (HealthVerdict{TargetState::kHealthy, 3, {}, {}}));
  }

  // Guards against one death counting once per request in flight.
  void TestDeathWithManyRequestsInFlightIsOneFailure() {
    HealthFleet fleet(6, 3, 3, 13);
    fleet.Run(5s);
    for (std::size_t index = 0; index < 200; ++index) {
      HealthEvidence evidence = this->Evidence(fleet, 1, AttemptResult::kConnectionLost);
      evidence.reporter = HealthFleet::Host(index % 32);
      evidence.reporter_domain = HealthFleet::Domain(index % 32);
      evidence.fingerprint = Fingerprint{5000 + index};
      evidence.result = index % 2 == 0 ? AttemptResult::kConnectionLost : AttemptResult::kTruncated;
      fleet.health.Observe(fleet.now + Duration(index * 1000), evidence);
    }
    fleet.Run(5s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
  }

  // Guards against a request that crashes its targets ejecting the service:
  // it is sent to each target in turn, and each crash takes others with it.
  void TestCrashRequestDoesNotEject() {
    HealthFleet fleet(6, 3, 3, 14);
    fleet.Run(5s);
    for (std::size_t round = 0; round < 20; ++round) {
      for (std::size_t target = 0; target < 6; ++target) {
        for (std::size_t index = 0; index < 6; ++index) {
          HealthEvidence evidence = this->Evidence(fleet, target, AttemptResult::kConnectionLost);
          evidence.fingerprint =
              index == 2 ? Fingerprint{77} : Fingerprint{round * 1000 + target * 10 + index};
          fleet.health.Observe(fleet.now, evidence);
        }
        fleet.Run(50ms);
      }
      fleet.Run(1s);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
  }

  // Guards against a caller that repeats a faulty request at its affine target.
  void TestRepeatedFaultyRequestDoesNotEject() {
    HealthFleet fleet(6, 3, 3, 15);
    fleet.Run(5s);
    for (int index = 0; index < 500; ++index) {
      HealthEvidence evidence = this->Evidence(fleet, 1, AttemptResult::kServerError);
      evidence.fingerprint = Fingerprint{99};
      fleet.health.Observe(fleet.now, evidence);
      fleet.Run(10ms);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
  }

  // Guards against the opposite: one popular request that only this target
  // answers wrongly.
  void TestRepeatedRequestThatSucceedsElsewhereCounts() {
    HealthFleet fleet(6, 3, 3, 16);
    fleet.Run(5s);
    for (int index = 0; index < 30; ++index) {
      HealthEvidence evidence = this->Evidence(fleet, 1, AttemptResult::kWrongAnswer);
      evidence.fingerprint = Fingerprint{99};
      fleet.health.Observe(fleet.now, evidence);
      evidence = this->Evidence(fleet, 2, AttemptResult::kSuccess);
      evidence.fingerprint = Fingerprint{99};
      fleet.health.Observe(fleet.now, evidence);
    }
    CPPUNIT_ASSERT(fleet.Verdict(1).state == TargetState::kEjected);
  }

  // Guards against a health endpoint that says 200 while the work is wrong.
  void TestLyingProbesDoNotHideSickness() {
    HealthFleet fleet(8, 2, 8, 17);
    fleet.probes = true;
    fleet.requests_per_second = 4.0;
    fleet.Run(60s);
    fleet.targets[4].wrong_rate = 1.0;
    CPPUNIT_ASSERT(fleet.RunUntilEjected(4, 60s) < 60s);
  }

  // Guards against a broken health endpoint ejecting targets that work.
  void TestProbeFailuresCountOnlyWithoutTraffic() {
    HealthFleet fleet(6, 3, 3, 18);
    fleet.probes = true;
    fleet.Run(5s);
    for (int index = 0; index < 100; ++index) {
      HealthEvidence evidence = this->Evidence(fleet, 1, AttemptResult::kServerError);
      evidence.is_probe = true;
      fleet.health.Observe(fleet.now, evidence);
    }
    fleet.Run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
  }

  // Guards against the first caller in the morning finding the dead target.
  void TestIdleDeadTargetIsFoundByProbes() {
    HealthFleet fleet(6, 3, 3, 19);
    fleet.probes = true;
    fleet.requests_per_second = 0.001;
    fleet.Run(10s);
    fleet.targets[5].down = true;
    CPPUNIT_ASSERT(fleet.RunUntilEjected(5, 30s) < 30s);
  }

  // Guards against a recovered target staying out, or returning at full load
  // while it is cold.
  void TestProbationRampAndReturn() {
    HealthFleet fleet(6, 3, 9, 20);
    fleet.Run(5s);
    fleet.targets[0].slow_factor = 10.0;
    CPPUNIT_ASSERT(fleet.RunUntilEjected(0, 5s) < 5s);
    fleet.targets[0].slow_factor = 1.0;
    const std::size_t starts = fleet.starts(0);
    fleet.Run(9s);
    CPPUNIT_ASSERT_EQUAL(starts, fleet.starts(0));
    CPPUNIT_ASSERT(fleet.Verdict(0) == (HealthVerdict{TargetState::kEjected, 0, {}, {}}));
    fleet.Run(1s + 200ms);
    CPPUNIT_ASSERT(fleet.Verdict(0) == (HealthVerdict{TargetState::kProbation, 1, {}, {}}));
    fleet.Run(8s);
    CPPUNIT_ASSERT(fleet.Verdict(0) == (HealthVerdict{TargetState::kProbation, 2, {}, {}}));
    fleet.Run(6s);
    CPPUNIT_ASSERT(fleet.Verdict(0) == (HealthVerdict{TargetState::kHealthy, 3, {}, {}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.CountEvents(HealthEventKind::kReturned));
  }

  // Guards against a sick target being tried again every 10 s for ever.
  void TestSickTargetFailsProbationAndIsEjectedLonger() {
    HealthFleet fleet(6, 3, 9, 21);
    fleet.targets[0].slow_factor = 10.0;
    fleet.Run(20min);
    // 10 + 20 + 40 + 80 + 160 s, then 300 s each.
    const std::size_t ejections = fleet.CountEvents(HealthEventKind::kEjected);
    CPPUNIT_ASSERT(ejections >= 7 && ejections <= 9);
    CPPUNIT_ASSERT(fleet.starts(0) < 500);
  }

  // Guards against the floor being held by the worst targets (P1).
  void TestFloorKeepsLeastSevereTargets() {
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
      HealthFleet fleet(6, 3, 12, seed);
      fleet.Run(5s);
      // The mild cases first, so that the worst ones find the floor reached.
      fleet.targets[0].slow_factor = 4.0;
      fleet.targets[1].slow_factor = 4.0;
      fleet.Run(6s);
      fleet.targets[2].wrong_rate = 0.9;
      fleet.targets[3].wrong_rate = 0.9;
      fleet.Run(4s);
      CPPUNIT_ASSERT(fleet.Verdict(2).state == TargetState::kEjected);
      CPPUNIT_ASSERT(fleet.Verdict(3).state == TargetState::kEjected);
      CPPUNIT_ASSERT_EQUAL(3U, fleet.Verdict(0).usable_slots);
      CPPUNIT_ASSERT_EQUAL(3U, fleet.Verdict(1).usable_slots);
    }
  }

  // Guards against a planned drain taking the service below its floor.
  void TestDrainReinstatesLeastSevereTarget() {
    HealthFleet fleet(6, 3, 12, 22);
    fleet.Run(5s);
    fleet.targets[0].wrong_rate = 0.9;
    fleet.targets[1].slow_factor = 5.0;
    fleet.Run(5s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.CountEvents(HealthEventKind::kEjected));
    fleet.targets[5].leaving = true;
    fleet.Configure();
    CPPUNIT_ASSERT(fleet.Verdict(5) == (HealthVerdict{TargetState::kLeaving, 0, {}, {}}));
    CPPUNIT_ASSERT(fleet.Verdict(1) == (HealthVerdict{TargetState::kHealthy, 3, {}, {}}));
    CPPUNIT_ASSERT(fleet.Verdict(0).state == TargetState::kEjected);
    fleet.Run(5s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.CountEvents(HealthEventKind::kReinstatedForFloor));
  }

  // Guards against an ejection that the floor cut short counting twice in the
  // escalation.
  void TestInterruptedEjectionIsNoRepeat() {
    HealthFleet fleet(6, 3, 15, 23);
    fleet.Run(5s);
    fleet.targets[1].slow_factor = 10.0;
    CPPUNIT_ASSERT(fleet.RunUntilEjected(1, 5s) < 5s);
    const TimePoint ejected = fleet.now;
    fleet.targets[5].leaving = true;
    fleet.Configure();
    fleet.Run(1s);
    CPPUNIT_ASSERT(fleet.Verdict(1).state == TargetState::kHealthy);
    fleet.floor_slots = 9;
    fleet.Configure();
    CPPUNIT_ASSERT(fleet.Verdict(1).state == TargetState::kEjected);
    fleet.targets[1].slow_factor = 1.0;
    fleet.Run(ejected + 10s + 200ms - fleet.now);
    CPPUNIT_ASSERT(fleet.Verdict(1).state == TargetState::kProbation);
  }

  // Guards against full load on a target that has just started.
  void TestNewTargetRampsUp() {
    HealthFleet fleet(6, 3, 9, 24);
    fleet.targets[5].leaving = true;
    fleet.Configure();
    fleet.Run(5s);
    fleet.targets[5].leaving = false;
    fleet.Configure();
    CPPUNIT_ASSERT(fleet.Verdict(5) == (HealthVerdict{TargetState::kProbation, 1, {}, {}}));
    fleet.Run(11s);
    CPPUNIT_ASSERT(fleet.Verdict(5) == (HealthVerdict{TargetState::kHealthy, 3, {}, {}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
  }

  // Guards against a configuration change reinstating sick targets.
  void TestReconfigurationKeepsState() {
    HealthFleet fleet(6, 3, 9, 25);
    fleet.targets[0].slow_factor = 10.0;
    CPPUNIT_ASSERT(fleet.RunUntilEjected(0, 5s) < 5s);
    std::reverse(fleet.targets.begin(), fleet.targets.end());
    fleet.Configure();
    CPPUNIT_ASSERT(fleet.Verdict(5).state == TargetState::kEjected);
    CPPUNIT_ASSERT_EQUAL(15U, fleet.UsableSlots());
  }

  // Guards against a detector that needs day traffic: one request per second.
  void TestNightTrafficFindsSlowTarget() {
    for (const FleetSize& size : kSizes) {
      HealthFleet fleet(size.targets, size.slots, size.slots, 26);
      fleet.requests_per_second = 1.0;
      fleet.Run(10min);
      fleet.targets[0].slow_factor = 10.0;
      CPPUNIT_ASSERT(fleet.RunUntilEjected(0, 10min) < 10min);
    }
  }

  // Guards against too little evidence passing for proof at night.
  void TestHealthyNightEjectsNobody() {
    for (const FleetSize& size : kSizes) {
      HealthFleet fleet(size.targets, size.slots, size.slots, 27);
      fleet.requests_per_second = 1.0;
      fleet.long_share = 0.02;
      fleet.deadline = 60s;
      fleet.probes = true;
      fleet.Run(8h);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.events.size());
    }
  }

  // Guards against a service of one target losing it, whatever its floor.
  void TestSingleTargetStays() {
    HealthFleet fleet(1, 3, 0, 28);
    fleet.Run(5s);
    fleet.targets[0].down = true;
    fleet.Run(30s);
    CPPUNIT_ASSERT(fleet.Verdict(0).state == TargetState::kHealthy);
  }

 private:
  static HealthEvidence Evidence(const HealthFleet& fleet,
                                 std::size_t index,
                                 AttemptResult result) {
    HealthEvidence evidence;
    evidence.target = fleet.targets[index].target;
    evidence.reporter = HealthFleet::Host(0);
    evidence.reporter_domain = HealthFleet::Domain(0);
    evidence.result = result;
    evidence.service_time = 10ms;
    return evidence;
  }

  template <typename Fault>
  static void AssertEjected(Duration bound, Fault fault) {
    for (const FleetSize& size : kSizes) {
      for (std::uint64_t seed = 0; seed < 20; ++seed) {
        HealthFleet fleet(size.targets, size.slots, size.slots * 2, seed);
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
