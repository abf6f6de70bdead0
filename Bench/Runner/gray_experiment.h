#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Bench/Simulation/cluster.h"

namespace pimentopin::bench {

enum class GrayPolicy { kFleetDetector, kHostOutliers };

struct FleetShape {
  std::size_t targets = 6;
  std::uint32_t slots = 3;

  std::string Name() const;
  // Half of the slots.
  std::uint32_t Floor() const {
    return static_cast<std::uint32_t>(this->targets) * this->slots / 2;
  }
};

struct GrayCase {
  std::string name;
  // Puts the fault on target 0 or takes it off.
  std::function<void(Cluster& cluster, bool on)> apply;
  // The fault affects only these hosts; null: all.
  std::function<bool(const Cluster& cluster, HostId host)> affects;
  // Stated bound of the time until affected hosts start no work, at load 0.5.
  std::optional<Duration> bound;
  // The target must not be ejected (partitions).
  bool must_stay = false;
  // Length of each on and off period; zero: stays on.
  Duration flapping{};
  Duration observed = std::chrono::seconds(40);
};

struct GrayRun {
  GrayCase gray;
  GrayPolicy policy = GrayPolicy::kFleetDetector;
  FleetShape shape;
  double load = 0.5;
  std::uint64_t seed = 1;
};

struct GrayResult {
  // Until no affected host started work at the target for 4 s.
  std::optional<Duration> detection;
  std::uint64_t ejections = 0;
  // Of targets without a fault.
  std::uint64_t false_ejections = 0;
  // Samples (each 100 ms) with usable slots below the floor.
  std::uint64_t below_floor = 0;
  // Share of the requests after the fault with a complete and right answer.
  double good_share = 0.0;
  // Share of the starts of affected hosts that went to the target while faulty.
  double exposed_share = 0.0;
  double p99_before_ms = 0.0;
  double p99_after_ms = 0.0;
  std::uint64_t violations = 0;
};

const std::vector<GrayCase>& GrayCases();
GrayResult RunGray(const GrayRun& run);

struct HealthyHourRun {
  GrayPolicy policy = GrayPolicy::kFleetDetector;
  FleetShape shape;
  std::uint64_t seed = 1;
  Duration duration = std::chrono::hours(1);
};

struct HealthyHourResult {
  std::uint64_t requests = 0;
  std::uint64_t false_ejections = 0;
  std::uint64_t below_floor = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  double p99_ms = 0.0;
  std::uint64_t violations = 0;
};

// Healthy targets, 2 % long work, demand that changes every 5 s to 60 s between
// 0.2 and 0.95 of capacity, with peaks of 5 s at 1.5.
HealthyHourResult RunHealthyHour(const HealthyHourRun& run);

}  // namespace pimentopin::bench
