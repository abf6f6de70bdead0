#include "Bench/Simulation/cluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Bench/Simulation/latency_recorder.h"

namespace pimentopin::bench {
namespace {

using namespace std::chrono_literals;

class ClusterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClusterTest);
  CPPUNIT_TEST(TestSameSeedSameRun);
  CPPUNIT_TEST(TestHealthyFleetCompletesEverything);
  CPPUNIT_TEST(TestSlowTargetIsEjected);
  CPPUNIT_TEST(TestDeafDomainIsAvoided);
  CPPUNIT_TEST(TestDeafHostAvoidsTarget);
  CPPUNIT_TEST(TestCrashRequestIsRefusedAndTargetsStay);
  CPPUNIT_TEST(TestDrainingTargetGetsNoWork);
  CPPUNIT_TEST(TestOverloadKeepsPromises);
  CPPUNIT_TEST(TestDeadTargetIsEjectedAndReturns);
  CPPUNIT_TEST(TestHostBaselineEjectsFailingTarget);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against runs that cannot be repeated.
  void TestSameSeedSameRun() {
    const auto run = [](std::uint64_t seed) {
      Cluster cluster({.seed = seed});
      LatencyRecorder latency;
      cluster.observer().on_finished = [&latency](const ObservedRequest& request) {
        latency.Record(request.ended - request.intended);
      };
      cluster.AddWorkload(Load(cluster, 0.8, 20s));
      cluster.RunFor(25s);
      return std::pair(cluster.observer().counts().requests, latency.MeanMs());
    };
    CPPUNIT_ASSERT(run(1) == run(1));
    CPPUNIT_ASSERT(run(1) != run(2));
  }

  // Guards against a simulation that loses requests or breaks promises itself.
  void TestHealthyFleetCompletesEverything() {
    Cluster cluster({.seed = 3});
    LatencyRecorder latency;
    cluster.observer().on_finished = [&latency](const ObservedRequest& request) {
      latency.Record(request.ended - request.intended);
    };
    cluster.AddWorkload(Load(cluster, 0.5, 60s));
    cluster.RunFor(65s);
    const ObserverCounts& counts = cluster.observer().counts();
    CPPUNIT_ASSERT(counts.requests > 25'000);
    CPPUNIT_ASSERT_EQUAL(counts.requests, counts.complete);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, counts.violations());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.observer().open_requests());
    // 20 ms of service, 2 ms to the client and back, at most 3 ms of links.
    CPPUNIT_ASSERT(latency.MeanMs() > 22.0 && latency.MeanMs() < 30.0);
  }

  // Guards against evidence that does not reach the broker.
  void TestSlowTargetIsEjected() {
    Cluster cluster({.seed = 4});
    cluster.AddWorkload(Load(cluster, 0.5, 20s));
    cluster.RunFor(10s);
    cluster.target(0, 0).fault.slow_factor = 10;
    cluster.RunFor(5s);
    CPPUNIT_ASSERT(ViewOf(cluster, 0).state == TargetState::kEjected);
  }

  // Guards against a partition of one domain hurting the others.
  void TestDeafDomainIsAvoided() {
    Cluster cluster({.seed = 5});
    cluster.AddWorkload(Load(cluster, 0.5, 40s));
    cluster.RunFor(10s);
    cluster.target(0, 0).fault.deaf_to_domains = {cluster.domain(2)};
    std::size_t deaf_starts = 0;
    std::size_t other_starts = 0;
    cluster.RunFor(5s);
    cluster.on_start = [&](HostId host, TargetId target, WorkClass) {
      if (target == cluster.target(0, 0).id()) {
        ++(cluster.domain_of(host) == cluster.domain(2) ? deaf_starts : other_starts);
      }
    };
    cluster.RunFor(20s);
    CPPUNIT_ASSERT(ViewOf(cluster, 0).state == TargetState::kHealthy);
    CPPUNIT_ASSERT(other_starts > 500);
    CPPUNIT_ASSERT(deaf_starts < 50);
  }

  // Guards against a single host that goes on starting work at a target which
  // it cannot reach, without the target losing the other hosts.
  void TestDeafHostAvoidsTarget() {
    Cluster cluster({.seed = 11});
    cluster.AddWorkload(Load(cluster, 0.5, 60s));
    cluster.RunFor(10s);
    cluster.target(0, 0).fault.deaf_to_hosts = {cluster.host(4), cluster.host(9)};
    cluster.RunFor(20s);
    std::size_t deaf_starts = 0;
    std::size_t all_starts = 0;
    cluster.on_start = [&](HostId host, TargetId target, WorkClass) {
      if (host == cluster.host(4) || host == cluster.host(9)) {
        ++all_starts;
        deaf_starts += target == cluster.target(0, 0).id() ? 1 : 0;
      }
    };
    cluster.RunFor(30s);
    CPPUNIT_ASSERT(ViewOf(cluster, 0).state == TargetState::kHealthy);
    CPPUNIT_ASSERT(all_starts > 500);
    CPPUNIT_ASSERT(deaf_starts * 50 < all_starts);
  }

  // Guards against a crash request that goes through the whole service.
  void TestCrashRequestIsRefusedAndTargetsStay() {
    Cluster cluster({.seed = 6});
    std::size_t ejections = 0;
    cluster.on_health_event = [&](const HealthEvent& event) {
      ejections += event.kind == HealthEventKind::kEjected ? 1 : 0;
    };
    const Fingerprint deadly{42};
    for (std::size_t index = 0; index < cluster.target_count(0); ++index) {
      cluster.target(0, index).CrashOn(deadly);
    }
    std::size_t sent = 0;
    std::size_t refused = 0;
    cluster.observer().on_finished = [&](const ObservedRequest& request) {
      if (request.description.fingerprint == deadly) {
        ++sent;
        refused += request.finish.refusal == RefusalReason::kCrashRequest ? 1 : 0;
      }
    };
    cluster.AddWorkload(Load(cluster, 0.3, 60s));
    cluster.RunFor(5s);
    for (int index = 0; index < 10; ++index) {
      cluster.Submit({.service = cluster.service(0), .deadline = 2s}, deadly);
      cluster.RunFor(5s);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, sent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, refused);
    // The two crashed targets are down for 2 s, which may eject them; the
    // others must stay.
    CPPUNIT_ASSERT(ejections <= 2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cluster.observer().counts().violations());
  }

  // Guards against work for a target that announced its drain (bound: 3 s).
  void TestDrainingTargetGetsNoWork() {
    Cluster cluster({.seed = 7});
    cluster.AddWorkload(Load(cluster, 0.5, 20s));
    cluster.RunFor(5s);
    cluster.target(0, 3).Drain();
    cluster.RunFor(3s);
    std::size_t starts = 0;
    cluster.on_start = [&](HostId, TargetId target, WorkClass) {
      starts += target == cluster.target(0, 3).id() ? 1 : 0;
    };
    cluster.RunFor(10s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, starts);
  }

  // Guards against broken promises at 3x demand.
  void TestOverloadKeepsPromises() {
    Cluster cluster({.seed = 8});
    WorkloadSettings workload = Load(cluster, 0.7, 30s);
    workload.steps = {{0s, 1.0}, {5s, 4.0}, {15s, 1.0}};
    cluster.AddWorkload(workload);
    cluster.RunFor(60s);
    const ObserverCounts& counts = cluster.observer().counts();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, counts.violations());
    CPPUNIT_ASSERT(counts.refused > 1000);
    CPPUNIT_ASSERT_EQUAL(counts.requests,
                         counts.complete + counts.server_errors + counts.refused + counts.unknown);
  }

  // Guards against a dead target keeping its share of the work, and against a
  // restarted one staying out.
  void TestDeadTargetIsEjectedAndReturns() {
    SimulationSettings settings{.seed = 9};
    settings.target.restart_time = 15s;
    Cluster cluster(settings);
    cluster.AddWorkload(Load(cluster, 0.5, 120s));
    cluster.RunFor(5s);
    cluster.target(0, 1).Crash();
    cluster.RunFor(2s);
    CPPUNIT_ASSERT(ViewOf(cluster, 1).state == TargetState::kEjected);
    cluster.RunFor(100s);
    CPPUNIT_ASSERT(ViewOf(cluster, 1).state == TargetState::kHealthy);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cluster.observer().counts().violations());
  }

  // Guards against a baseline that detects nothing and so proves nothing.
  void TestHostBaselineEjectsFailingTarget() {
    SimulationSettings settings{.seed = 10};
    settings.policy = DispatchPolicy::kLeastOutstanding;
    settings.host_outlier_ejection = true;
    Cluster cluster(settings);
    cluster.AddWorkload(Load(cluster, 0.5, 60s));
    cluster.RunFor(10s);
    cluster.target(0, 0).fault.error_rate = 1.0;
    cluster.RunFor(20s);
    CPPUNIT_ASSERT(cluster.host_ejections(cluster.target(0, 0).id()) >= 30);
  }

 private:
  static WorkloadSettings Load(const Cluster& cluster, double load, Duration duration) {
    WorkloadSettings workload;
    workload.service = cluster.service(0);
    workload.requests_per_second =
        Workload::RateFor(load, cluster.total_slots(0), TargetModel().service_time, 0.0, 1.0);
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
