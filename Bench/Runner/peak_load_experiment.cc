#include "Bench/Runner/peak_load_experiment.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "Bench/Simulation/latency_recorder.h"

namespace pimentopin::bench {
namespace {

constexpr double kPeakLoad = 3.0;
constexpr double kLongShare = 0.02;
constexpr double kErrorRate = 0.1;
constexpr Duration kWarmUp = std::chrono::seconds(5);
constexpr Duration kRampTime = std::chrono::seconds(1);
constexpr std::size_t kRampSteps = 4;
constexpr Duration kPeakStart = std::chrono::seconds(20);
constexpr Duration kPeakEnd = kPeakStart + kRampTime + std::chrono::seconds(20);
constexpr Duration kRecoveryTime = std::chrono::seconds(2);
constexpr Duration kMeasuredAfterPeak = std::chrono::seconds(5);
constexpr Duration kArrivalsEnd = kPeakEnd + kRecoveryTime + kMeasuredAfterPeak;
constexpr Duration kPromptRefusalLimit = std::chrono::milliseconds(50);
// Demand of the organisations relative to each other.
constexpr double kOrganisationWeights[] = {4, 2, 1, 1, 1, 1, 1, 1};

// Counts for one seed.
struct SeedCounts {
  double completed_work = 0;
  double started_attempts = 0;
  double started_requests = 0;
  std::vector<double> demands = std::vector<double>(std::size(kOrganisationWeights));
  std::vector<double> served = std::vector<double>(std::size(kOrganisationWeights));
};

struct Latencies {
  LatencyRecorder before;
  LatencyRecorder after;
};

WorkloadSettings CreateWorkload(const PeakLoadRun& run, const TargetModel& model) {
  const double long_share = run.mix == PeakLoadMix::kMixed ? kLongShare : 0.0;
  WorkloadSettings workload{
      .service = IdFromName<ServiceId>(run.service.name),
      .requests_per_second = Workload::RateForLoad(
          run.load, run.service.total_slots(), model.service_time, long_share, model.long_factor),
      .organisations = {},
      .long_share = long_share,
      .duration = kArrivalsEnd};
  for (std::size_t step = 1; step <= kRampSteps; ++step) {
    const double ramp_fraction = static_cast<double>(step) / kRampSteps;
    workload.steps.push_back({.at = kPeakStart + kRampTime * (step - 1) / kRampSteps,
                              .factor = 1.0 + (kPeakLoad / run.load - 1.0) * ramp_fraction});
  }
  workload.steps.push_back({.at = kPeakEnd, .factor = 1.0});
  for (std::size_t index = 0; index < std::size(kOrganisationWeights); ++index) {
    workload.organisations.push_back({OrganisationId{index}, kOrganisationWeights[index]});
  }
  return workload;
}

void Count(const TrackedRequest& request, SeedCounts& counts, PeakLoadResult& result) {
  const auto organisation = static_cast<std::size_t>(RawId(request.description.organisation));
  counts.demands[organisation] += 1;
  counts.started_attempts += request.started_attempts;
  counts.started_requests += request.started_attempts > 0 ? 1 : 0;
  if (request.finish.outcome == Outcome::kTarget) {
    counts.served[organisation] += 1;
  } else if (request.finish.outcome == Outcome::kNotRun) {
    const Duration delay = request.ended_at - request.intended_arrival;
    ++result.refused;
    result.refused_after_50_ms += delay > kPromptRefusalLimit ? 1 : 0;
    result.refused_after_deadline += request.ended_at > request.description.deadline ? 1 : 0;
  } else {
    ++result.unknown;
  }
}

void RecordLatency(const TrackedRequest& request, TimePoint start, Latencies& latencies) {
  if (request.finish.outcome != Outcome::kTarget ||
      request.description.work_class != WorkClass::kShort) {
    return;
  }
  const Duration arrival_offset = request.intended_arrival - start;
  if (arrival_offset >= kWarmUp && arrival_offset < kPeakStart) {
    latencies.before.Record(request.ended_at - request.intended_arrival);
  } else if (arrival_offset >= kPeakEnd + kRecoveryTime) {
    latencies.after.Record(request.ended_at - request.intended_arrival);
  }
}

void RunSeed(const PeakLoadRun& run,
             std::uint64_t seed,
             Latencies& latencies,
             PeakLoadResult& result) {
  SimulationSettings settings{.seed = seed,
                              .services = {run.service.ToSimulatedService()},
                              .policy = run.policy,
                              .broker = run.broker,
                              .optimistic_starts = run.optimistic_starts};
  Cluster cluster(settings);
  if (run.mix == PeakLoadMix::kErrors) {
    for (std::size_t index = 0; index < run.service.targets; ++index) {
      cluster.target(0, index).fault.error_rate = kErrorRate;
    }
  }
  SeedCounts counts;
  const TimePoint start = cluster.events().now();
  const TimePoint measured_from = start + kPeakStart + kRampTime;
  const TimePoint measured_until = start + kPeakEnd;
  cluster.request_tracker().on_finished = [&](const TrackedRequest& request) {
    RecordLatency(request, start, latencies);
    if (request.intended_arrival >= measured_from && request.intended_arrival < measured_until) {
      Count(request, counts, result);
    }
    const bool in_time = request.ended_at <= request.description.deadline;
    if (request.ended_at >= measured_from && request.ended_at < measured_until && in_time &&
        request.finish.outcome == Outcome::kTarget) {
      const bool is_long = request.description.work_class == WorkClass::kLong;
      counts.completed_work += is_long ? settings.target.long_factor : 1.0;
    }
  };
  cluster.on_health_event = [&result](const HealthEvent& event) {
    result.ejections += event.kind == HealthEventKind::kEjected ? 1 : 0;
  };
  cluster.AddWorkload(CreateWorkload(run, settings.target));
  cluster.RunFor(kArrivalsEnd + std::chrono::seconds(30));
  const double capacity = Workload::RateForLoad(1.0, run.service.total_slots(),
                                                settings.target.service_time, 0.0, 1.0) *
                          static_cast<double>((measured_until - measured_from).count()) / 1e6;
  const auto seeds = static_cast<double>(run.seeds);
  result.goodput += counts.completed_work / capacity / seeds;
  result.retry_share +=
      (counts.started_attempts / std::max(1.0, counts.started_requests) - 1.0) / seeds;
  const double served = std::accumulate(counts.served.begin(), counts.served.end(), 0.0);
  const std::vector<double> fair = FairShares(counts.demands, served);
  double unfairness = 0;
  for (std::size_t index = 0; index < fair.size(); ++index) {
    unfairness = std::max(unfairness, std::abs(counts.served[index] / fair[index] - 1.0));
  }
  result.unfairness += unfairness / seeds;
  result.violations += cluster.request_tracker().counts().violations();
}

}  // namespace

std::string_view MixName(PeakLoadMix mix) {
  switch (mix) {
    case PeakLoadMix::kShort:
      return "short";
    case PeakLoadMix::kMixed:
      return "mixed";
    case PeakLoadMix::kErrors:
      return "errors";
  }
  return "";
}

std::vector<double> FairShares(const std::vector<double>& demands, double total) {
  std::vector<std::size_t> order(demands.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(),
            [&](std::size_t left, std::size_t right) { return demands[left] < demands[right]; });
  std::vector<double> shares(demands.size());
  double remaining = total;
  std::size_t remaining_demands = demands.size();
  for (const std::size_t index : order) {
    shares[index] = std::min(demands[index], remaining / static_cast<double>(remaining_demands));
    remaining -= shares[index];
    --remaining_demands;
  }
  return shares;
}

PeakLoadResult RunPeakLoad(const PeakLoadRun& run) {
  PeakLoadResult result;
  Latencies latencies;
  for (std::size_t index = 0; index < run.seeds; ++index) {
    RunSeed(run, run.first_seed + index, latencies, result);
  }
  result.p99_before_ms = latencies.before.QuantileMs(0.99);
  result.p99_after_ms = latencies.after.QuantileMs(0.99);
  return result;
}

}  // namespace pimentopin::bench
