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

struct FleetTarget {
  TargetId target{};
  std::uint32_t slots = 3;
  bool leaving = false;
  double slow_factor = 1.0;
  double error_rate = 0.0;
  double wrong_rate = 0.0;
  double timeout_rate = 0.0;
  bool down = false;
  std::set<DomainId> deaf_to_domains;
  std::set<HostId> deaf_to_hosts;
  std::uint32_t busy = 0;
};

// Hosts and targets of one service in virtual time, which feed a ServiceHealth
// with outcomes. Work goes to a random target with a free usable slot.
class HealthFleet {
 public:
  static constexpr std::size_t kHosts = 32;
  static constexpr std::size_t kDomains = 3;

  HealthFleet(std::size_t target_count,
              std::uint32_t slots,
              std::uint32_t floor_slots,
              std::uint64_t seed);

  void Configure();
  void Run(Duration duration);
  // Runs until the target is ejected; returns the time, or `limit` if it is not.
  Duration RunUntilEjected(std::size_t index, Duration limit);

  static HostId Host(std::size_t index) { return HostId{100 + index}; }
  static DomainId Domain(std::size_t index) { return DomainId{1 + index % kDomains}; }

  HealthVerdict Verdict(std::size_t index) const;
  std::size_t CountEvents(HealthEventKind kind) const;
  std::uint32_t UsableSlots() const;
  // Requests that began at the target since the start.
  std::size_t starts(std::size_t index) const { return this->started[index]; }

  ServiceHealth health;
  std::vector<FleetTarget> targets;
  std::vector<HealthEvent> events;
  std::uint32_t floor_slots;
  double load = 0.5;
  // Overrides `load` if above zero.
  double requests_per_second = 0.0;
  double long_share = 0.0;
  // Applied to every target.
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
  struct Ending {
    TimePoint at;
    std::uint64_t sequence = 0;
    std::size_t index = 0;
    HealthEvidence evidence;
    bool operator>(const Ending& other) const {
      return std::tie(this->at, this->sequence) > std::tie(other.at, other.sequence);
    }
  };

  void Arrive();
  void SendProbes();
  double Exponential(double mean);

  RandomSource random;
  std::vector<std::size_t> started;
  std::priority_queue<Ending, std::vector<Ending>, std::greater<>> endings;
  std::uint64_t next_sequence = 0;
  TimePoint next_tick;
  TimePoint next_probe;
  TimePoint next_arrival;
};

}  // namespace pimentopin
