#include "Bench/Runner/deployments.h"

namespace pimentopin::bench {

SimulatedService DeployedService::ToSimulatedService() const {
  return {.name = std::string(this->name),
          .targets = this->targets,
          .slots = this->slots,
          .floor_slots = this->total_slots() / 2};
}

const std::vector<DeployedService>& DeployedServices() {
  static const std::vector<DeployedService> services{
      {"consortium", "parts", 6, 3},
      {"consortium", "booking", 9, 3},
      {"consortium", "manuals", 11, 3},
      {"caribstone", "scorecards", 6, 2},
      {"caribstone", "corrective-actions", 11, 2},
      {"caribstone", "evidence", 8, 2},
  };
  return services;
}

std::string_view PolicyName(DispatchPolicy policy) {
  switch (policy) {
    case DispatchPolicy::kBrokered:
      return "brokered";
    case DispatchPolicy::kLeastOutstanding:
      return "least";
    case DispatchPolicy::kRandom:
      return "random";
  }
  return "";
}

}  // namespace pimentopin::bench
