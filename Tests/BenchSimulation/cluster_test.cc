#include "Bench/Simulation/cluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Bench/Simulation/latency_recorder.h"

namespace pimentopin::bench {
namespace {

using namespace std::chrono_literals;

class ClusterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClusterTest);
  CPPUNIT_TEST(TestRunIsReproducible);
  CPPUNIT_TEST(TestHealthyTargetsCompleteAllRequests);
  CPPUNIT_TEST(TestSlowTargetIsEjected);
  CPPUNIT_TEST(TestUnreachableTargetIsAvoidedByDomain);
  CPPUNIT_TEST(TestUnreachableTargetIsAvoidedByHosts);
  CPPUNIT_TEST(TestCrashRequestIsRefused);
  CPPUNIT_TEST(TestDrainingTargetReceivesNoRequests);
  CPPUNIT_TEST(TestOverloadHoldsInvariants);
  CPPUNIT_TEST(TestCrashedTargetIsEjectedAndReinstated);
  CPPUNIT_TEST(TestHostOutlierDetectorEjectsFailingTarget);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against simulations that differ between runs with the same seed.
  void TestRunIsReproducible() {
    const auto run = [](std::uint64_t seed) {
      Cluster cluster({.seed = seed});
      LatencyRecorder latency;
      cluster.request_tracker().on_finished = [&latency](const TrackedRequest& request) {
        latency.Record(request.ended_at - request.intended_arrival);
      };
      cluster.AddWorkload(WorkloadForLoad(cluster, 0.8, 20s));
      cluster.RunFor(25s);
      return std::pair(cluster.request_tracker().counts().requests, latency.MeanMs());
    };
    CPPUNIT_ASSERT(run(1) == run(1));
    CPPUNIT_ASSERT(run(1) != run(2));
  }

  // Guards against a simulation that loses requests or violates the invariants
  // without any fault.
  void TestHealthyTargetsCompleteAllRequests() {
    Cluster cluster({.seed = 3});
    LatencyRecorder latency;
    cluster.request_tracker().on_finished = [&latency](const TrackedRequest& request) {
      latency.Record(request.ended_at - request.intended_arrival);
    };
    cluster.AddWorkload(WorkloadForLoad(cluster, 0.5, 60s));
    cluster.RunFor(65s);
    const RequestCounts& counts = cluster.request_tracker().counts();
    CPPUNIT_ASSERT(counts.requests > 25'000);
    CPPUNIT_ASSERT_EQUAL(counts.requests, counts.complete);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, counts.violations());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.request_tracker().open_requests());
    // 20 ms of service time, 2 ms between caller and host, and at most 3 ms between
    // host and target.
    CPPUNIT_ASSERT(latency.MeanMs() > 22.0 && latency.MeanMs() < 30.0);
  }

  // Guards against health evidence that does not reach the broker.
  void TestSlowTargetIsEjected() {
    Cluster cluster({.seed = 4});
    cluster.AddWorkload(WorkloadForLoad(cluster, 0.5, 20s));
    cluster.RunFor(10s);
    cluster.target(0, 0).fault.slow_factor = 10;
    cluster.RunFor(5s);
    CPPUNIT_ASSERT(ViewOf(cluster, 0).state == TargetState::kEjected);
  }

  // Guards against ejecting a target for all hosts when it is unreachable from one
  // failure domain only.
  void TestUnreachableTargetIsAvoidedByDomain() {
    Cluster cluster({.seed = 5});
    cluster.AddWorkload(WorkloadForLoad(cluster, 0.5, 40s));
    cluster.RunFor(10s);
    cluster.target(0, 0).fault.unreachable_from_domains = {cluster.domain(2)};
    std::size_t unreachable_starts = 0;
    std::size_t other_starts = 0;
    cluster.RunFor(5s);
    cluster.on_attempt_start = [&](HostId host, TargetId target, WorkClass) {
      if (target == cluster.target(0, 0).id()) {
        ++(cluster.domain_of(host) == cluster.domain(2) ? unreachable_starts : other_starts);
      }
    };
    cluster.RunFor(20s);
    CPPUNIT_ASSERT(ViewOf(cluster, 0).state == TargetState::kHealthy);
    CPPUNIT_ASSERT(other_starts > 500);
    CPPUNIT_ASSERT(unreachable_starts < 50);
  }

  // Guards against hosts that continue to start attempts at a target which they
  // cannot reach, and against ejecting that target for the other hosts.
  void TestUnreachableTargetIsAvoidedByHosts() {
    Cluster cluster({.seed = 11});
    cluster.AddWorkload(WorkloadForLoad(cluster, 0.5, 60s));
    cluster.RunFor(10s);
    cluster.target(0, 0).fault.unreachable_from_hosts = {cluster.host(4), cluster.host(9)};
    cluster.RunFor(20s);
    std::size_t unreachable_starts = 0;
    std::size_t all_starts = 0;
    cluster.on_attempt_start = [&](HostId host, TargetId target, WorkClass) {
      if (host == cluster.host(4) || host == cluster.host(9)) {
        ++all_starts;
        unreachable_starts += target == cluster.target(0, 0).id() ? 1 : 0;
      }
    };
    cluster.RunFor(30s);
    CPPUNIT_ASSERT(ViewOf(cluster, 0).state == TargetState::kHealthy);
    CPPUNIT_ASSERT(all_starts > 500);
    CPPUNIT_ASSERT(unreachable_starts * 50 < all_starts);
  }

  // Guards against a request that crashes every target of a service in turn.
  void TestCrashRequestIsRefused() {
    Cluster cluster({.seed = 6});
    std::size_t ejections = 0;
    cluster.on_health_event = [&](const HealthEvent& event) {
      ejections += event.kind == HealthEventKind::kEjected ? 1 : 0;
    };
    const Fingerprint crash_fingerprint{42};
    for (std::size_t index = 0; index < cluster.target_count(0); ++index) {
      cluster.target(0, index).CrashOnFingerprint(crash_fingerprint);
    }
    std::size_t sent = 0;
    std::size_t refused = 0;
    cluster.request_tracker().on_finished = [&](const TrackedRequest& request) {
      if (request.description.fingerprint == crash_fingerprint) {
        ++sent;
        refused += request.finish.refusal == RefusalReason::kCrashRequest ? 1 : 0;
      }
    };
    cluster.AddWorkload(WorkloadForLoad(cluster, 0.3, 60s));
    cluster.RunFor(5s);
    for (int index = 0; index < 10; ++index) {
      cluster.Submit({.service = cluster.service(0), .deadline = 2s}, crash_fingerprint);
      cluster.RunFor(5s);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, sent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, refused);
    // The two crashed targets may be ejected, because they are down for 2 s. The
    // others must not be.
    CPPUNIT_ASSERT(ejections <= 2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cluster.request_tracker().counts().violations());
  }

  // Guards against attempts at a target more than 3 s after it starts to drain.
  void TestDrainingTargetReceivesNoRequests() {
    Cluster cluster({.seed = 7});
    cluster.AddWorkload(WorkloadForLoad(cluster, 0.5, 20s));
    cluster.RunFor(5s);
    cluster.target(0, 3).Drain();
    cluster.RunFor(3s);
    std::size_t starts = 0;
    cluster.on_attempt_start = [&](HostId, TargetId target, WorkClass) {
      starts += target == cluster.target(0, 3).id() ? 1 : 0;
    };
    cluster.RunFor(10s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, starts);
  }

  // Guards against violations of the invariants at three times the capacity.
  void TestOverloadHoldsInvariants() {
    Cluster cluster({.seed = 8});
    WorkloadSettings workload = WorkloadForLoad(cluster, 0.7, 30s);
    workload.steps = {{0s, 1.0}, {5s, 4.0}, {15s, 1.0}};
    cluster.AddWorkload(workload);
    cluster.RunFor(60s);
    const RequestCounts& counts = cluster.request_tracker().counts();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, counts.violations());
    CPPUNIT_ASSERT(counts.refused > 1000);
    CPPUNIT_ASSERT_EQUAL(counts.requests,
                         counts.complete + counts.server_errors + counts.refused + counts.unknown);
  }

  // Guards against a crashed target that still receives requests, and against one
  // that stays ejected after its restart.
  void TestCrashedTargetIsEjectedAndReinstated() {
    SimulationSettings settings{.seed = 9};
    settings.target.restart_time = 15s;
    Cluster cluster(settings);
    cluster.AddWorkload(WorkloadForLoad(cluster, 0.5, 120s));
    cluster.RunFor(5s);
    cluster.target(0, 1).Crash();
    cluster.RunFor(2s);
    CPPUNIT_ASSERT(ViewOf(cluster, 1).state == TargetState::kEjected);
    cluster.RunFor(100s);
    CPPUNIT_ASSERT(ViewOf(cluster, 1).state == TargetState::kHealthy);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cluster.request_tracker().counts().violations());
  }

  // Guards against a baseline that detects no faults, which would make comparisons
  // with it meaningless.
  void TestHostOutlierDetectorEjectsFailingTarget() {
    SimulationSettings settings{.seed = 10};
    settings.policy = DispatchPolicy::kLeastOutstanding;
    settings.host_outlier_ejection = true;
    Cluster cluster(settings);
    cluster.AddWorkload(WorkloadForLoad(cluster, 0.5, 60s));
    cluster.RunFor(10s);
    cluster.target(0, 0).fault.error_rate = 1.0;
    cluster.RunFor(20s);
    CPPUNIT_ASSERT(cluster.host_ejections(cluster.target(0, 0).id()) >= 30);
  }

 private:
  static WorkloadSettings WorkloadForLoad(const Cluster& cluster, double load, Duration duration) {
    WorkloadSettings workload;
    workload.service = cluster.service(0);
    workload.requests_per_second =
        Workload::RateForLoad(load, cluster.total_slots(0), TargetModel().service_time, 0.0, 1.0);
    workload.duration = duration;
    return workload;
  }

  static TargetView ViewOf(Cluster& cluster, std::size_t index) {
    return cluster.broker(0)->View().targets[index];
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClusterTest);

}  // namespace
}  // namespace pimentopin::bench
