#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "Bench/Runner/deployments.h"
#include "Bench/Simulation/cluster.h"
#include "Bench/Simulation/latency_recorder.h"

namespace pimentopin::bench {

// Mix of short and long work.
enum class WorkMix {
  // 2 % of the requests take 30 times longer.
  kMixed,
  // No long work at the same offered load.
  kShortAtSameLoad,
  // No long work at the same rate of short requests.
  kShortAtSameRate,
};

std::string_view MixName(WorkMix mix);

struct BlockingRun {
  DeployedService service;
  // If empty, one shared queue feeds all slots, without links and brokers.
  std::optional<DispatchPolicy> policy;
  WorkMix mix = WorkMix::kMixed;
  double load = 0.7;
  std::uint64_t first_seed = 1;
  std::size_t seeds = 1;
  BrokerPolicy broker;
  bool optimistic_starts = true;
  Duration warm_up = std::chrono::seconds(20);
  Duration measured_time = std::chrono::seconds(200);
};

// Results pooled over the seeds.
struct BlockingResult {
  LatencyRecorder short_work;
  LatencyRecorder long_work;
  std::uint64_t requests = 0;
  // Requests without a complete response.
  std::uint64_t failed = 0;
  std::uint64_t violations = 0;
};

// Measures head-of-line blocking of short work by long work.
BlockingResult RunBlocking(const BlockingRun& run);

}  // namespace pimentopin::bench
