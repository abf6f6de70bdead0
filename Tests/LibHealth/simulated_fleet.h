#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <set>
#include <vector>

#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibHealth/service_health.h"

namespace pimentopin {

struct SimulatedTarget {
  TargetId target{};
  std::uint32_t slots = 3;
  bool leaving = false;
  double slow_factor = 1.0;
  double error_rate = 0.0;
  double wrong_rate = 0.0;
  double timeout_rate = 0.0;
  bool down = false;
  std::set<DomainId> unreachable_from_domains;
  std::set<HostId> unreachable_from_hosts;
  std::uint32_t busy = 0;
};

// Simulates the hosts and targets of one service in virtual time and feeds their
// outcomes to a ServiceHealth. Each request goes to a random target with a free usable
// slot.
class SimulatedFleet {
 public:
  static constexpr std::size_t kHosts = 32;
  static constexpr std::size_t kDomains = 3;

  SimulatedFleet(std::size_t target_count,
                 std::uint32_t slots,
                 std::uint32_t floor_slots,
                 std::uint64_t seed);

  void Configure();
  void Run(Duration duration);
  // Runs until the target is ejected. Returns the elapsed time, or `limit` if it is not
  // ejected by then.
  Duration RunUntilEjected(std::size_t index, Duration limit);

  static HostId Host(std::size_t index) { return HostId{100 + index}; }
  static DomainId Domain(std::size_t index) { return DomainId{1 + index % kDomains}; }

  HealthStatus Status(std::size_t index) const;
  std::size_t CountEvents(HealthEventKind kind) const;
  std::uint32_t UsableSlots() const;
  // Number of requests started at the target so far.
  std::size_t request_count(std::size_t index) const { return this->request_counts[index]; }

  ServiceHealth health;
  std::vector<SimulatedTarget> targets;
  std::vector<HealthEvent> events;
  std::uint32_t floor_slots;
  double load = 0.5;
  // Overrides `load` if above zero.
  double requests_per_second = 0.0;
  double long_share = 0.0;
  // Apply to all targets.
  double common_slow_factor = 1.0;
  double common_error_rate = 0.0;
  Duration mean_service_time = std::chrono::milliseconds(20);
  Duration deadline = std::chrono::seconds(2);
  bool probes = false;
  bool probes_succeed = true;
  // Called after each tick (100 ms).
  std::function<void()> after_tick;
  TimePoint now;

 private:
  struct Completion {
    TimePoint at;
    std::uint64_t sequence = 0;
    std::size_t index = 0;
    HealthObservation observation;
    bool operator>(const Completion& other) const {
      return std::tie(this->at, this->sequence) > std::tie(other.at, other.sequence);
    }
  };

  void StartRequest();
  void SendProbes();
  double Exponential(double mean);

  RandomSource random;
  std::vector<std::size_t> request_counts;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>> completions;
  std::uint64_t next_sequence = 0;
  TimePoint next_tick;
  TimePoint next_probe;
  TimePoint next_arrival;
};

}  // namespace pimentopin
