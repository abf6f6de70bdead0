#include "Bench/Runner/crest_experiment.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "Bench/Simulation/latency_recorder.h"

namespace pimentopin::bench {
namespace {

constexpr double kPeak = 3.0;
constexpr double kLongShare = 0.02;
constexpr double kErrorRate = 0.1;
constexpr Duration kWarmUp = std::chrono::seconds(5);
constexpr Duration kRise = std::chrono::seconds(1);
constexpr std::size_t kRiseSteps = 4;
constexpr Duration kPeakStart = std::chrono::seconds(20);
constexpr Duration kPeakEnd = kPeakStart + kRise + std::chrono::seconds(20);
constexpr Duration kRecovery = std::chrono::seconds(2);
constexpr Duration kAfter = std::chrono::seconds(5);
constexpr Duration kEnd = kPeakEnd + kRecovery + kAfter;
constexpr Duration kPromptRefusal = std::chrono::milliseconds(50);
// One organisation sends four times as much as most others, one twice as much.
constexpr double kWeights[] = {4, 2, 1, 1, 1, 1, 1, 1};

// Counts of one seed.
struct Counts {
  double work = 0;
  double starts = 0;
  double first_starts = 0;
  std::vector<double> demands = std::vector<double>(std::size(kWeights));
  std::vector<double> served = std::vector<double>(std::size(kWeights));
};

struct Latencies {
  LatencyRecorder before;
  LatencyRecorder after;
};

WorkloadSettings WorkloadOf(const CrestRun& run, const TargetModel& model) {
  const double long_share = run.mix == CrestMix::kMixed ? kLongShare : 0.0;
  WorkloadSettings workload{
      .service = IdFromName<ServiceId>(run.service.name),
      .requests_per_second = Workload::RateForLoad(
          run.load, run.service.total_slots(), model.service_time, long_share, model.long_factor),
      .organisations = {},
      .long_share = long_share,
      .duration = kEnd};
  for (std::size_t step = 1; step <= kRiseSteps; ++step) {
    const double part = static_cast<double>(step) / kRiseSteps;
    workload.steps.push_back({.at = kPeakStart + kRise * (step - 1) / kRiseSteps,
                              .factor = 1.0 + (kPeak / run.load - 1.0) * part});
  }
  workload.steps.push_back({.at = kPeakEnd, .factor = 1.0});
  for (std::size_t index = 0; index < std::size(kWeights); ++index) {
    workload.organisations.push_back({OrganisationId{index}, kWeights[index]});
  }
  return workload;
}

void Count(const TrackedRequest& request, Counts& counts, CrestResult& result) {
  const auto organisation = static_cast<std::size_t>(RawId(request.description.organisation));
  counts.demands[organisation] += 1;
  counts.starts += request.started_attempts;
  counts.first_starts += request.started_attempts > 0 ? 1 : 0;
  if (request.finish.outcome == Outcome::kTarget) {
    counts.served[organisation] += 1;
  } else if (request.finish.outcome == Outcome::kNotRun) {
    const Duration delay = request.ended_at - request.intended_arrival;
    ++result.refused;
    result.refused_after_50_ms += delay > kPromptRefusal ? 1 : 0;
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
  const Duration at = request.intended_arrival - start;
  if (at >= kWarmUp && at < kPeakStart) {
    latencies.before.Record(request.ended_at - request.intended_arrival);
  } else if (at >= kPeakEnd + kRecovery) {
    latencies.after.Record(request.ended_at - request.intended_arrival);
  }
}

void RunSeed(const CrestRun& run, std::uint64_t seed, Latencies& latencies, CrestResult& result) {
  SimulationSettings settings{.seed = seed,
                              .services = {run.service.Simulated()},
                              .policy = run.policy,
                              .broker = run.broker,
                              .optimistic_starts = run.optimistic_starts};
  Cluster cluster(settings);
  if (run.mix == CrestMix::kErrors) {
    for (std::size_t index = 0; index < run.service.targets; ++index) {
      cluster.target(0, index).fault.error_rate = kErrorRate;
    }
  }
  Counts counts;
  const TimePoint start = cluster.events().now();
  const TimePoint from = start + kPeakStart + kRise;
  const TimePoint until = start + kPeakEnd;
  cluster.request_tracker().on_finished = [&](const TrackedRequest& request) {
    RecordLatency(request, start, latencies);
    if (request.intended_arrival >= from && request.intended_arrival < until) {
      Count(request, counts, result);
    }
    const bool in_time = request.ended_at <= request.description.deadline;
    if (request.ended_at >= from && request.ended_at < until && in_time &&
        request.finish.outcome == Outcome::kTarget) {
      const bool is_long = request.description.work_class == WorkClass::kLong;
      counts.work += is_long ? settings.target.long_factor : 1.0;
    }
  };
  cluster.on_health_event = [&result](const HealthEvent& event) {
    result.ejections += event.kind == HealthEventKind::kEjected ? 1 : 0;
  };
  cluster.AddWorkload(WorkloadOf(run, settings.target));
  cluster.RunFor(kEnd + std::chrono::seconds(30));
  const double capacity = Workload::RateForLoad(1.0, run.service.total_slots(),
                                                settings.target.service_time, 0.0, 1.0) *
                          static_cast<double>((until - from).count()) / 1e6;
  const auto seeds = static_cast<double>(run.seeds);
  result.goodput += counts.work / capacity / seeds;
  result.retry_share += (counts.starts / std::max(1.0, counts.first_starts) - 1.0) / seeds;
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

std::string_view MixName(CrestMix mix) {
  switch (mix) {
    case CrestMix::kShort:
      return "short";
    case CrestMix::kMixed:
      return "mixed";
    case CrestMix::kErrors:
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
  double left = total;
  std::size_t waiting = demands.size();
  for (const std::size_t index : order) {
    shares[index] = std::min(demands[index], left / static_cast<double>(waiting));
    left -= shares[index];
    --waiting;
  }
  return shares;
}

CrestResult RunCrest(const CrestRun& run) {
  CrestResult result;
  Latencies latencies;
  for (std::size_t index = 0; index < run.seeds; ++index) {
    RunSeed(run, run.first_seed + index, latencies, result);
  }
  result.p99_before_ms = latencies.before.QuantileMs(0.99);
  result.p99_after_ms = latencies.after.QuantileMs(0.99);
  return result;
}

}  // namespace pimentopin::bench
