#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "Bench/Runner/deployments.h"
#include "Bench/Simulation/cluster.h"

namespace pimentopin::bench {

enum class PeakLoadMix {
  kShort,
  // 2 % of the requests take 30 times longer.
  kMixed,
  // Short work; targets fail 10 % of the requests with a server error.
  kErrors,
};

std::string_view MixName(PeakLoadMix mix);

struct PeakLoadRun {
  DeployedService service;
  DispatchPolicy policy = DispatchPolicy::kBrokered;
  PeakLoadMix mix = PeakLoadMix::kShort;
  // Load before and after the peak.
  double load = 0.7;
  std::uint64_t first_seed = 1;
  std::size_t seeds = 1;
  BrokerPolicy broker;
  bool optimistic_starts = true;
};

// Mean over the seeds for rates and shares, sum for counts. Latency quantiles are
// computed over all seeds together.
struct PeakLoadResult {
  // Work completed in time during the peak, as a share of the capacity.
  double goodput = 0.0;
  std::uint64_t refused = 0;
  std::uint64_t refused_after_50_ms = 0;
  std::uint64_t refused_after_deadline = 0;
  // Requests during the peak with the outcome unknown.
  std::uint64_t unknown = 0;
  // Retries per request with at least one attempt, during the peak.
  double retry_share = 0.0;
  // Largest relative deviation of an organisation from its max-min fair share.
  double unfairness = 0.0;
  // Latency of short work before the peak, and from 2 s to 7 s after it.
  double p99_before_ms = 0.0;
  double p99_after_ms = 0.0;
  // Ejections of targets. No target has a fault other than the errors of kErrors.
  std::uint64_t ejections = 0;
  std::uint64_t violations = 0;
};

// Returns the max-min fair allocation of `total` among the demands.
std::vector<double> FairShares(const std::vector<double>& demands, double total);

PeakLoadResult RunPeakLoad(const PeakLoadRun& run);

}  // namespace pimentopin::bench
