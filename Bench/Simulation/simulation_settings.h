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

// Behaviour of healthy targets.
struct TargetModel {
  // Mean of exponential service times.
  Duration service_time = std::chrono::milliseconds(20);
  // Long work takes this many times longer.
  double long_factor = 30.0;
  // Requests in the target's own queue from which on it sheds load.
  std::size_t shed_above = 100;
  // A started target is slow by this factor, which falls to 1 over the period.
  double cold_factor = 3.0;
  Duration cold_period = std::chrono::seconds(5);
  Duration restart_time = std::chrono::seconds(2);
};

// Faults of one target, changeable at any time.
struct TargetFault {
  double slow_factor = 1.0;
  double error_rate = 0.0;
  double wrong_rate = 0.0;
  std::set<DomainId> deaf_to_domains;
  std::set<HostId> deaf_to_hosts;
  // The health endpoint responds well whatever the target does.
  bool lying_probes = false;
};

struct SimulationSettings {
  std::uint64_t seed = 1;
  std::size_t hosts = 32;
  std::size_t domains = 3;
  std::vector<SimulatedService> services{SimulatedService{}};
  TargetModel target;
  DispatchPolicy policy = DispatchPolicy::kBrokered;
  // Per-host outlier ejection on top of the policy, as a baseline.
  bool host_outlier_ejection = false;
  BrokerPolicy broker;
  bool optimistic_starts = true;
  bool probes = true;
  // One-way delays.
  Duration link_in_domain = std::chrono::microseconds(200);
  Duration link_between_domains = std::chrono::microseconds(1500);
  Duration link_to_client = std::chrono::milliseconds(1);
  // Time until a connection attempt to a deaf target fails.
  Duration connect_timeout = std::chrono::milliseconds(500);
};

}  // namespace pimentopin::bench
