#include "Libraries/LibConfig/registered_target.h"

#include <utility>

namespace pimentopin {

Configuration WithRegisteredTargets(const Configuration& configuration,
                                    const std::vector<RegisteredTarget>& registered_targets) {
  Configuration merged = configuration;
  for (const RegisteredTarget& target : registered_targets) {
    const Service* const service = configuration.FindService(target.service);
    if (service == nullptr) {
      continue;
    }
    merged.targets.push_back({.name = target.name,
                              .service = target.service,
                              .address = target.address,
                              .domain = target.domain,
                              .slots = target.slots,
                              .connections = service->target_connections,
                              .leaving = target.leaving,
                              .instance = target.name,
                              .incarnation = target.incarnation});
  }
  return merged.WithIndex();
}

}  // namespace pimentopin
