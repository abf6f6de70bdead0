#include "Bench/Runner/gray_failure_experiment.h"

#include <algorithm>

#include "Bench/Simulation/latency_recorder.h"

namespace pimentopin::bench {
namespace {

using namespace std::chrono_literals;

constexpr Duration kWarmUp = 10s;
// A fault is detected once affected hosts have started no attempt at the target for
// this time. Shorter than the first period for which a target is marked unreachable
// (5 s) or ejected (10 s), but longer than random gaps at a target in use.
constexpr Duration kDetectionQuietTime = 4s;
constexpr Duration kSampleInterval = 100ms;
constexpr std::size_t kUnreachableHosts = 3;
constexpr double kLongShare = 0.02;

SimulationSettings CreateSettings(DetectorKind detector,
                                  const ServiceShape& shape,
                                  std::uint64_t seed) {
  SimulationSettings settings;
  settings.seed = seed;
  settings.services = {{.name = "service",
                        .targets = shape.targets,
                        .slots = shape.slots,
                        .floor_slots = shape.Floor()}};
  if (detector == DetectorKind::kPerHost) {
    settings.policy = DispatchPolicy::kLeastOutstanding;
    settings.host_outlier_ejection = true;
  }
  return settings;
}

WorkloadSettings CreateWorkload(const Cluster& cluster, double load, Duration duration) {
  WorkloadSettings workload;
  workload.service = cluster.service(0);
  workload.long_share = kLongShare;
  const TargetModel model;
  workload.requests_per_second = Workload::RateForLoad(
      load, cluster.total_slots(0), model.service_time, kLongShare, model.long_factor);
  workload.duration = duration;
  return workload;
}

// Counts the samples in which the usable slots were below the floor.
class FloorSampler {
 public:
  FloorSampler(Cluster& sampled_cluster, DetectorKind detector, std::uint32_t floor_slots)
      : cluster(sampled_cluster), detector(detector), floor(floor_slots) {
    this->Sample();
  }
  std::uint64_t samples_below_floor() const { return this->samples_below; }

 private:
  void Sample() {
    this->cluster.events().ScheduleAfter(kSampleInterval, [this] { this->Sample(); });
    if (this->detector == DetectorKind::kPerHost) {
      this->samples_below += this->cluster.hosts_below_floor(0) > 0 ? 1 : 0;
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
    this->samples_below += usable < this->floor ? 1 : 0;
  }

  Cluster& cluster;
  DetectorKind detector;
  std::uint32_t floor;
  std::uint64_t samples_below = 0;
};

GrayFailureCase CreateFaultCase(std::string name,
                                std::function<void(TargetFault&)> set,
                                std::optional<Duration> detection_bound = std::nullopt) {
  GrayFailureCase failure_case{.name = std::move(name), .detection_bound = detection_bound};
  failure_case.set_fault = [set = std::move(set)](Cluster& cluster, bool on) {
    TargetFault fault;
    if (on) {
      set(fault);
    }
    cluster.target(0, 0).fault = fault;
  };
  return failure_case;
}

std::vector<GrayFailureCase> CreateGrayFailureCases() {
  std::vector<GrayFailureCase> cases;
  cases.push_back(CreateFaultCase(
      "slow-3x", [](TargetFault& fault) { fault.slow_factor = 3; }, 10s));
  cases.push_back(CreateFaultCase(
      "slow-10x", [](TargetFault& fault) { fault.slow_factor = 10; }, 3s));
  cases.push_back(CreateFaultCase("errors-5", [](TargetFault& fault) { fault.error_rate = 0.05; }));
  cases.push_back(CreateFaultCase("errors-30", [](TargetFault& fault) { fault.error_rate = 0.3; }));
  cases.push_back(CreateFaultCase("wrong-5", [](TargetFault& fault) { fault.wrong_rate = 0.05; }));
  cases.push_back(CreateFaultCase(
      "wrong-30", [](TargetFault& fault) { fault.wrong_rate = 0.3; }, 3s));

  GrayFailureCase unreachable_domain{.name = "deaf-domain", .must_not_be_ejected = true};
  unreachable_domain.set_fault = [](Cluster& cluster, bool on) {
    if (on) {
      cluster.target(0, 0).fault.unreachable_from_domains = {cluster.domain(1)};
    }
  };
  unreachable_domain.affects_host = [](const Cluster& cluster, HostId host) {
    return cluster.domain_of(host) == cluster.domain(1);
  };
  cases.push_back(std::move(unreachable_domain));

  GrayFailureCase unreachable_hosts{.name = "deaf-hosts", .must_not_be_ejected = true};
  unreachable_hosts.set_fault = [](Cluster& cluster, bool on) {
    for (std::size_t index = 0; on && index < kUnreachableHosts; ++index) {
      cluster.target(0, 0).fault.unreachable_from_hosts.insert(cluster.host(index));
    }
  };
  unreachable_hosts.affects_host = [](const Cluster& cluster, HostId host) {
    for (std::size_t index = 0; index < kUnreachableHosts; ++index) {
      if (cluster.host(index) == host) {
        return true;
      }
    }
    return false;
  };
  cases.push_back(std::move(unreachable_hosts));

  GrayFailureCase flapping =
      CreateFaultCase("flapping-10s", [](TargetFault& fault) { fault.slow_factor = 10; });
  flapping.flapping_period = 10s;
  flapping.observation_time = 180s;
  cases.push_back(std::move(flapping));

  cases.push_back(CreateFaultCase("lying-health", [](TargetFault& fault) {
    fault.wrong_rate = 0.3;
    fault.probes_always_succeed = true;
  }));
  return cases;
}

}  // namespace

std::string ServiceShape::Name() const {
  return std::to_string(this->targets) + "x" + std::to_string(this->slots);
}

const std::vector<GrayFailureCase>& GrayFailureCases() {
  static const std::vector<GrayFailureCase> cases = CreateGrayFailureCases();
  return cases;
}

GrayFailureResult RunGrayFailure(const GrayFailureRun& run) {
  Cluster cluster(CreateSettings(run.detector, run.shape, run.seed));
  const TargetId faulty = cluster.target(0, 0).id();
  const TimePoint fault_time = cluster.events().now() + kWarmUp;
  GrayFailureResult result;
  LatencyRecorder before;
  LatencyRecorder after;
  std::uint64_t requests_after = 0;
  std::uint64_t successful_after = 0;
  cluster.request_tracker().on_finished = [&](const TrackedRequest& request) {
    const bool good = request.finish.outcome == Outcome::kTarget && !request.bad_response &&
                      request.finish.last_result != AttemptResult::kServerError;
    const bool after_fault = request.intended_arrival >= fault_time;
    requests_after += after_fault ? 1 : 0;
    successful_after += after_fault && good ? 1 : 0;
    if (request.description.work_class == WorkClass::kShort &&
        request.finish.outcome == Outcome::kTarget) {
      (after_fault ? after : before).Record(request.ended_at - request.intended_arrival);
    }
  };
  bool fault_on = false;
  std::uint64_t starts = 0;
  std::uint64_t faulty_starts = 0;
  TimePoint last_start = fault_time;
  cluster.on_attempt_start = [&](HostId host, TargetId target, WorkClass) {
    const TimePoint now = cluster.events().now();
    if (now < fault_time ||
        (run.failure_case.affects_host && !run.failure_case.affects_host(cluster, host))) {
      return;
    }
    starts += fault_on ? 1 : 0;
    faulty_starts += fault_on && target == faulty ? 1 : 0;
    if (target != faulty || result.detection) {
      return;
    }
    if (now - last_start >= kDetectionQuietTime) {
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
  const FloorSampler floor(cluster, run.detector, run.shape.Floor());
  cluster.AddWorkload(
      CreateWorkload(cluster, run.load, kWarmUp + run.failure_case.observation_time));
  cluster.RunFor(kWarmUp);
  for (Duration elapsed{}; elapsed < run.failure_case.observation_time;) {
    const Duration remaining = run.failure_case.observation_time - elapsed;
    const Duration period = run.failure_case.flapping_period > Duration{}
                                ? std::min(remaining, run.failure_case.flapping_period)
                                : remaining;
    fault_on = !fault_on;
    run.failure_case.set_fault(cluster, fault_on);
    cluster.RunFor(period);
    elapsed += period;
  }
  if (!result.detection && cluster.events().now() - last_start >= kDetectionQuietTime) {
    result.detection = last_start - fault_time;
  }
  if (run.detector == DetectorKind::kPerHost) {
    for (std::size_t index = 0; index < cluster.target_count(0); ++index) {
      const TargetId target = cluster.target(0, index).id();
      (target == faulty ? result.ejections : result.false_ejections) +=
          cluster.host_ejections(target);
    }
  }
  result.samples_below_floor = floor.samples_below_floor();
  result.success_share = requests_after == 0 ? 0.0
                                             : static_cast<double>(successful_after) /
                                                   static_cast<double>(requests_after);
  result.faulty_start_share =
      starts == 0 ? 0.0 : static_cast<double>(faulty_starts) / static_cast<double>(starts);
  result.p99_before_ms = before.QuantileMs(0.99);
  result.p99_after_ms = after.QuantileMs(0.99);
  result.violations = cluster.request_tracker().counts().violations();
  return result;
}

HealthyHourResult RunHealthyHour(const HealthyHourRun& run) {
  Cluster cluster(CreateSettings(run.detector, run.shape, run.seed));
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
  const FloorSampler floor(cluster, run.detector, run.shape.Floor());
  WorkloadSettings workload = CreateWorkload(cluster, 1.0, run.duration);
  RandomSource random(run.seed + 1'000'000);
  for (Duration at{}; at < run.duration;) {
    const bool peak = random.Below(10) == 0;
    workload.steps.push_back({at, peak ? 1.5 : 0.2 + 0.75 * random.Unit()});
    at += peak ? Duration(5s) : Duration(5s + 1s * random.Below(56));
  }
  cluster.AddWorkload(workload);
  cluster.RunFor(run.duration + 30s);
  if (run.detector == DetectorKind::kPerHost) {
    for (std::size_t index = 0; index < cluster.target_count(0); ++index) {
      result.false_ejections += cluster.host_ejections(cluster.target(0, index).id());
    }
  }
  const RequestCounts& counts = cluster.request_tracker().counts();
  result.requests = counts.requests;
  result.samples_below_floor = floor.samples_below_floor();
  result.refused = counts.refused;
  result.unknown = counts.unknown;
  result.p99_ms = latency.QuantileMs(0.99);
  result.violations = counts.violations();
  return result;
}

}  // namespace pimentopin::bench
