#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "Bench/Simulation/cluster.h"
#include "Bench/Simulation/latency_recorder.h"

namespace pimentopin::bench {

inline constexpr Duration kSwingPeriod = std::chrono::seconds(17);

struct PlacementRun {
  Placement placement = Placement::kLoad;
  // Gives each request the key and kind of another one.
  bool shuffled = false;
  std::size_t targets = 28;
  // Mean offered load. Demand swings by 55 % around it with a period of 17 s.
  double load = 0.8;
  // Targets that take three times as long, and targets that restart cold every 10 s.
  std::size_t slow_targets = 0;
  std::size_t cold_targets = 0;
  std::uint64_t first_seed = 1;
  std::size_t seeds = 1;
  BrokerPolicy broker;
  Duration warm_up = std::chrono::seconds(8);
  // One period of the demand.
  Duration measured_time = kSwingPeriod;
};

// Results pooled over the seeds.
struct PlacementResult {
  // Requests of the two kinds with less work, and of all kinds, that were served.
  LatencyRecorder short_kinds;
  LatencyRecorder all_kinds;
  std::uint64_t requests = 0;
  std::uint64_t served_in_time = 0;
  std::uint64_t violations = 0;
};

std::string_view PlacementName(Placement placement);

// Replays demand of four kinds with long tails at one service.
PlacementResult RunPlacement(const PlacementRun& run);

}  // namespace pimentopin::bench
