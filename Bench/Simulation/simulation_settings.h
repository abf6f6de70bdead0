#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/broker_policy.h"
#include "Libraries/LibDispatch/dispatch_types.h"

namespace pimentopin::bench {

struct SimulatedService {
  std::string name = "service";
  std::size_t targets = 6;
  std::uint32_t slots = 3;
  std::uint32_t floor_slots = 0;
  std::uint32_t queue_limit = 200;
};

// Model of a healthy target.
struct TargetModel {
  // Mean of the exponentially distributed service time.
  Duration service_time = std::chrono::milliseconds(20);
  // Ratio of the mean service time of long work to that of short work.
  double long_factor = 30.0;
  // Queue length at which the target sheds further requests.
  std::size_t shed_queue_length = 100;
  // Service time factor after a restart; falls linearly to 1 over the period.
  double cold_start_factor = 3.0;
  Duration cold_start_period = std::chrono::seconds(5);
  Duration restart_time = std::chrono::seconds(2);
};

// Injected faults of one target. They may change at any time.
struct TargetFault {
  double slow_factor = 1.0;
  double error_rate = 0.0;
  double wrong_rate = 0.0;
  std::set<DomainId> unreachable_from_domains;
  std::set<HostId> unreachable_from_hosts;
  // Probes that reach the target succeed whatever the other faults are.
  bool probes_always_succeed = false;
};

struct SimulationSettings {
  std::uint64_t seed = 1;
  std::size_t hosts = 32;
  std::size_t domains = 3;
  std::vector<SimulatedService> services{SimulatedService{}};
  TargetModel target;
  DispatchPolicy policy = DispatchPolicy::kBrokered;
  // Adds per-host outlier ejection to the policy, as a baseline.
  bool host_outlier_ejection = false;
  BrokerPolicy broker;
  bool optimistic_starts = true;
  bool probes = true;
  // One-way delays of the links.
  Duration link_delay_in_domain = std::chrono::microseconds(200);
  Duration link_delay_between_domains = std::chrono::microseconds(1500);
  Duration link_delay_to_caller = std::chrono::milliseconds(1);
  // Time until a connection attempt to an unreachable target fails.
  Duration connect_timeout = std::chrono::milliseconds(500);
};

}  // namespace pimentopin::bench
