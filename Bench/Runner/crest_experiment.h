#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "Bench/Runner/deployments.h"
#include "Bench/Simulation/cluster.h"

namespace pimentopin::bench {

enum class CrestMix {
  kShort,
  // 2 % of the requests take 30 times longer.
  kMixed,
  // Short work of which 10 % gets a server error.
  kErrors,
};

std::string_view MixName(CrestMix mix);

struct CrestRun {
  DeployedService service;
  DispatchPolicy policy = DispatchPolicy::kBrokered;
  CrestMix mix = CrestMix::kShort;
  // Before and after the peak.
  double load = 0.7;
  std::uint64_t first_seed = 1;
  std::size_t seeds = 1;
  BrokerPolicy broker;
  bool optimistic_starts = true;
};

// Mean over the seeds; latencies are pooled.
struct CrestResult {
  // Work completed in time during the peak, as a share of the capacity.
  double goodput = 0.0;
  std::uint64_t refused = 0;
  std::uint64_t refused_after_50_ms = 0;
  std::uint64_t refused_after_deadline = 0;
  // Requests during the peak that were told neither target nor not-run.
  std::uint64_t unknown = 0;
  // Retries per first attempt during the peak.
  double retry_share = 0.0;
  // Largest deviation of an organisation from its max-min fair share.
  double unfairness = 0.0;
  // Short work before the peak, and from 2 s to 7 s after it.
  double p99_before_ms = 0.0;
  double p99_after_ms = 0.0;
  // Ejections of targets, all of which are healthy but for their errors.
  std::uint64_t ejections = 0;
  std::uint64_t violations = 0;
};

// Max-min fair shares of `total` among demands.
std::vector<double> FairShares(const std::vector<double>& demands, double total);

CrestResult RunCrest(const CrestRun& run);

}  // namespace pimentopin::bench
