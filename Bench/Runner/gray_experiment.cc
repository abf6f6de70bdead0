#include "Bench/Runner/gray_experiment.h"

#include <algorithm>

#include "Bench/Simulation/latency_recorder.h"

namespace pimentopin::bench {
namespace {

using namespace std::chrono_literals;

constexpr Duration kWarmUp = 10s;
// Shorter than the first mark of an unreachable target (5 s) and the first
// ejection (10 s), longer than a chance gap at a target in service.
constexpr Duration kSilence = 4s;
constexpr Duration kSampleInterval = 100ms;
constexpr std::size_t kDeafHosts = 3;
constexpr double kLongShare = 0.02;

SimulationSettings SettingsFor(GrayPolicy policy, const FleetShape& shape, std::uint64_t seed) {
  SimulationSettings settings;
  settings.seed = seed;
  settings.services = {{.name = "service",
                        .targets = shape.targets,
                        .slots = shape.slots,
                        .floor_slots = shape.Floor()}};
  if (policy == GrayPolicy::kHostOutliers) {
    settings.policy = DispatchPolicy::kLeastOutstanding;
    settings.host_outlier_ejection = true;
  }
  return settings;
}

WorkloadSettings WorkloadFor(const Cluster& cluster, double load, Duration duration) {
  WorkloadSettings workload;
  workload.service = cluster.service(0);
  workload.long_share = kLongShare;
  const TargetModel model;
  workload.requests_per_second = Workload::RateForLoad(
      load, cluster.total_slots(0), model.service_time, kLongShare, model.long_factor);
  workload.duration = duration;
  return workload;
}

// Counts samples with fewer usable slots than the floor.
class FloorSampler {
 public:
  FloorSampler(Cluster& observed, GrayPolicy policy, std::uint32_t floor_slots)
      : cluster(observed), policy(policy), floor(floor_slots) {
    this->Sample();
  }
  std::uint64_t below_floor() const { return this->below; }

 private:
  void Sample() {
    this->cluster.events().ScheduleAfter(kSampleInterval, [this] { this->Sample(); });
    if (this->policy == GrayPolicy::kHostOutliers) {
      this->below += this->cluster.hosts_below_floor(0) > 0 ? 1 : 0;
      return;
    }
    const SlotBroker* broker = this->cluster.broker(0);
    if (broker == nullptr) {
      return;
    }
    std::uint32_t usable = 0;
    for (const TargetView& target : broker->View().targets) {
      usable += target.usable_slots;
    }
    this->below += usable < this->floor ? 1 : 0;
  }

  Cluster& cluster;
  GrayPolicy policy;
  std::uint32_t floor;
  std::uint64_t below = 0;
};

GrayCase FaultCase(std::string name,
                   std::function<void(TargetFault&)> set,
                   std::optional<Duration> bound = std::nullopt) {
  GrayCase gray{.name = std::move(name), .bound = bound};
  gray.apply = [set = std::move(set)](Cluster& cluster, bool on) {
    TargetFault fault;
    if (on) {
      set(fault);
    }
    cluster.target(0, 0).fault = fault;
  };
  return gray;
}

std::vector<GrayCase> CreateCases() {
  std::vector<GrayCase> cases;
  cases.push_back(FaultCase(
      "slow-3x", [](TargetFault& fault) { fault.slow_factor = 3; }, 10s));
  cases.push_back(FaultCase(
      "slow-10x", [](TargetFault& fault) { fault.slow_factor = 10; }, 3s));
  cases.push_back(FaultCase("errors-5", [](TargetFault& fault) { fault.error_rate = 0.05; }));
  cases.push_back(FaultCase("errors-30", [](TargetFault& fault) { fault.error_rate = 0.3; }));
  cases.push_back(FaultCase("wrong-5", [](TargetFault& fault) { fault.wrong_rate = 0.05; }));
  cases.push_back(FaultCase(
      "wrong-30", [](TargetFault& fault) { fault.wrong_rate = 0.3; }, 3s));

  GrayCase deaf_domain{.name = "deaf-domain", .must_stay = true};
  deaf_domain.apply = [](Cluster& cluster, bool on) {
    if (on) {
      cluster.target(0, 0).fault.unreachable_from_domains = {cluster.domain(1)};
    }
  };
  deaf_domain.affects = [](const Cluster& cluster, HostId host) {
    return cluster.domain_of(host) == cluster.domain(1);
  };
  cases.push_back(std::move(deaf_domain));

  GrayCase deaf_hosts{.name = "deaf-hosts", .must_stay = true};
  deaf_hosts.apply = [](Cluster& cluster, bool on) {
    for (std::size_t index = 0; on && index < kDeafHosts; ++index) {
      cluster.target(0, 0).fault.unreachable_from_hosts.insert(cluster.host(index));
    }
  };
  deaf_hosts.affects = [](const Cluster& cluster, HostId host) {
    for (std::size_t index = 0; index < kDeafHosts; ++index) {
      if (cluster.host(index) == host) {
        return true;
      }
    }
    return false;
  };
  cases.push_back(std::move(deaf_hosts));

  GrayCase flapping = FaultCase("flapping-10s", [](TargetFault& fault) { fault.slow_factor = 10; });
  flapping.flapping = 10s;
  flapping.observed = 180s;
  cases.push_back(std::move(flapping));

  cases.push_back(FaultCase("lying-health", [](TargetFault& fault) {
    fault.wrong_rate = 0.3;
    fault.probes_always_succeed = true;
  }));
  return cases;
}

}  // namespace

std::string FleetShape::Name() const {
  return std::to_string(this->targets) + "x" + std::to_string(this->slots);
}

const std::vector<GrayCase>& GrayCases() {
  static const std::vector<GrayCase> cases = CreateCases();
  return cases;
}

GrayResult RunGray(const GrayRun& run) {
  Cluster cluster(SettingsFor(run.policy, run.shape, run.seed));
  const TargetId faulty = cluster.target(0, 0).id();
  const TimePoint fault_time = cluster.events().now() + kWarmUp;
  GrayResult result;
  LatencyRecorder before;
  LatencyRecorder after;
  std::uint64_t requests_after = 0;
  std::uint64_t good_after = 0;
  cluster.request_tracker().on_finished = [&](const TrackedRequest& request) {
    const bool good = request.finish.outcome == Outcome::kTarget && !request.bad_response &&
                      request.finish.last_result != AttemptResult::kServerError;
    const bool is_after = request.intended_arrival >= fault_time;
    requests_after += is_after ? 1 : 0;
    good_after += is_after && good ? 1 : 0;
    if (request.description.work_class == WorkClass::kShort &&
        request.finish.outcome == Outcome::kTarget) {
      (is_after ? after : before).Record(request.ended_at - request.intended_arrival);
    }
  };
  bool fault_on = false;
  std::uint64_t starts = 0;
  std::uint64_t exposed = 0;
  TimePoint last_start = fault_time;
  cluster.on_attempt_start = [&](HostId host, TargetId target, WorkClass) {
    const TimePoint now = cluster.events().now();
    if (now < fault_time || (run.gray.affects && !run.gray.affects(cluster, host))) {
      return;
    }
    starts += fault_on ? 1 : 0;
    exposed += fault_on && target == faulty ? 1 : 0;
    if (target != faulty || result.detection) {
      return;
    }
    if (now - last_start >= kSilence) {
      result.detection = last_start - fault_time;
    }
    last_start = now;
  };
  cluster.on_health_event = [&](const HealthEvent& event) {
    if (event.kind == HealthEventKind::kEjected) {
      (event.target == faulty && event.at >= fault_time ? result.ejections
                                                        : result.false_ejections) += 1;
    }
  };
  const FloorSampler floor(cluster, run.policy, run.shape.Floor());
  cluster.AddWorkload(WorkloadFor(cluster, run.load, kWarmUp + run.gray.observed));
  cluster.RunFor(kWarmUp);
  for (Duration elapsed{}; elapsed < run.gray.observed;) {
    const Duration rest = run.gray.observed - elapsed;
    const Duration period =
        run.gray.flapping > Duration{} ? std::min(rest, run.gray.flapping) : rest;
    fault_on = !fault_on;
    run.gray.apply(cluster, fault_on);
    cluster.RunFor(period);
    elapsed += period;
  }
  if (!result.detection && cluster.events().now() - last_start >= kSilence) {
    result.detection = last_start - fault_time;
  }
  if (run.policy == GrayPolicy::kHostOutliers) {
    for (std::size_t index = 0; index < cluster.target_count(0); ++index) {
      const TargetId target = cluster.target(0, index).id();
      (target == faulty ? result.ejections : result.false_ejections) +=
          cluster.host_ejections(target);
    }
  }
  result.below_floor = floor.below_floor();
  result.good_share = requests_after == 0
                          ? 0.0
                          : static_cast<double>(good_after) / static_cast<double>(requests_after);
  result.exposed_share =
      starts == 0 ? 0.0 : static_cast<double>(exposed) / static_cast<double>(starts);
  result.p99_before_ms = before.QuantileMs(0.99);
  result.p99_after_ms = after.QuantileMs(0.99);
  result.violations = cluster.request_tracker().counts().violations();
  return result;
}

HealthyHourResult RunHealthyHour(const HealthyHourRun& run) {
  Cluster cluster(SettingsFor(run.policy, run.shape, run.seed));
  HealthyHourResult result;
  LatencyRecorder latency;
  cluster.request_tracker().on_finished = [&latency](const TrackedRequest& request) {
    if (request.description.work_class == WorkClass::kShort &&
        request.finish.outcome == Outcome::kTarget) {
      latency.Record(request.ended_at - request.intended_arrival);
    }
  };
  cluster.on_health_event = [&result](const HealthEvent& event) {
    result.false_ejections += event.kind == HealthEventKind::kEjected ? 1 : 0;
  };
  const FloorSampler floor(cluster, run.policy, run.shape.Floor());
  WorkloadSettings workload = WorkloadFor(cluster, 1.0, run.duration);
  RandomSource random(run.seed + 1'000'000);
  for (Duration at{}; at < run.duration;) {
    const bool peak = random.Below(10) == 0;
    workload.steps.push_back({at, peak ? 1.5 : 0.2 + 0.75 * random.Unit()});
    at += peak ? Duration(5s) : Duration(5s + 1s * random.Below(56));
  }
  cluster.AddWorkload(workload);
  cluster.RunFor(run.duration + 30s);
  if (run.policy == GrayPolicy::kHostOutliers) {
    for (std::size_t index = 0; index < cluster.target_count(0); ++index) {
      result.false_ejections += cluster.host_ejections(cluster.target(0, index).id());
    }
  }
  const RequestCounts& counts = cluster.request_tracker().counts();
  result.requests = counts.requests;
  result.below_floor = floor.below_floor();
  result.refused = counts.refused;
  result.unknown = counts.unknown;
  result.p99_ms = latency.QuantileMs(0.99);
  result.violations = counts.violations();
  return result;
}

}  // namespace pimentopin::bench
