#pragma once

#include <string_view>
#include <vector>

#include "Bench/Simulation/simulation_settings.h"

namespace pimentopin::bench {

// Service of one of the current deployments.
struct DeployedService {
  std::string_view deployment;
  std::string_view name;
  std::size_t targets = 0;
  std::uint32_t slots = 0;

  std::uint32_t total_slots() const { return static_cast<std::uint32_t>(this->targets) * slots; }
  SimulatedService ToSimulatedService() const;
};

const std::vector<DeployedService>& DeployedServices();

// Name of the policy in tables and JSON records.
std::string_view PolicyName(DispatchPolicy policy);

}  // namespace pimentopin::bench
