#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Bench/Simulation/cluster.h"

namespace pimentopin::bench {

// kShared: health state shared through the broker. kPerHost: outlier ejection by
// each host alone, the baseline.
enum class DetectorKind { kShared, kPerHost };

// Number of targets of a service, and slots of each.
struct ServiceShape {
  std::size_t targets = 6;
  std::uint32_t slots = 3;

  std::string Name() const;
  // Floor of usable slots: half of all slots.
  std::uint32_t Floor() const {
    return static_cast<std::uint32_t>(this->targets) * this->slots / 2;
  }
};

struct GrayFailureCase {
  std::string name;
  // Injects the fault into target 0 or removes it.
  std::function<void(Cluster& cluster, bool on)> set_fault;
  // True for hosts that the fault affects. If null, it affects all hosts.
  std::function<bool(const Cluster& cluster, HostId host)> affects_host;
  // Upper bound for the time until affected hosts start no attempts, at load 0.5.
  std::optional<Duration> detection_bound;
  // Set for partitions: the target must stay available to the unaffected hosts.
  bool must_not_be_ejected = false;
  // Length of each period with and without the fault. If zero, the fault persists.
  Duration flapping_period{};
  Duration observation_time = std::chrono::seconds(40);
};

struct GrayFailureRun {
  GrayFailureCase failure_case;
  DetectorKind detector = DetectorKind::kShared;
  ServiceShape shape;
  double load = 0.5;
  std::uint64_t seed = 1;
};

struct GrayFailureResult {
  // Time from the fault to the last start before a period of 4 s in which no
  // affected host started an attempt at the target. Empty if there is no such period.
  std::optional<Duration> detection;
  std::uint64_t ejections = 0;
  // Ejections of targets without a fault.
  std::uint64_t false_ejections = 0;
  // Number of samples, taken every 100 ms, with usable slots below the floor.
  std::uint64_t samples_below_floor = 0;
  // Share of the requests after the fault with a complete and correct response.
  double success_share = 0.0;
  // Share of the attempts of affected hosts that went to the target while it was
  // faulty.
  double faulty_start_share = 0.0;
  double p99_before_ms = 0.0;
  double p99_after_ms = 0.0;
  std::uint64_t violations = 0;
};

const std::vector<GrayFailureCase>& GrayFailureCases();
GrayFailureResult RunGrayFailure(const GrayFailureRun& run);

// Run without faults.
struct HealthyHourRun {
  DetectorKind detector = DetectorKind::kShared;
  ServiceShape shape;
  std::uint64_t seed = 1;
  Duration duration = std::chrono::hours(1);
};

struct HealthyHourResult {
  std::uint64_t requests = 0;
  std::uint64_t false_ejections = 0;
  std::uint64_t samples_below_floor = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  double p99_ms = 0.0;
  std::uint64_t violations = 0;
};

// Simulates healthy targets to find false ejections. Long work is 2 % of the
// requests. The demand changes every 5 s to 60 s to a value between 0.2 and 0.95 of
// the capacity, with peaks of 5 s at 1.5.
HealthyHourResult RunHealthyHour(const HealthyHourRun& run);

}  // namespace pimentopin::bench
