#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "Bench/Runner/deployments.h"
#include "Bench/Simulation/cluster.h"
#include "Bench/Simulation/latency_recorder.h"

namespace pimentopin::bench {

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
  // Null: one shared queue in front of all slots, without links and brokers.
  std::optional<DispatchPolicy> policy;
  WorkMix mix = WorkMix::kMixed;
  double load = 0.7;
  std::uint64_t first_seed = 1;
  std::size_t seeds = 1;
  BrokerPolicy broker;
  bool optimistic_starts = true;
  Duration warm_up = std::chrono::seconds(20);
  Duration measured = std::chrono::seconds(200);
};

// Pooled over the seeds.
struct BlockingResult {
  LatencyRecorder short_work;
  LatencyRecorder long_work;
  std::uint64_t requests = 0;
  // Without a complete answer.
  std::uint64_t failed = 0;
  std::uint64_t violations = 0;
};

BlockingResult RunBlocking(const BlockingRun& run);

}  // namespace pimentopin::bench
