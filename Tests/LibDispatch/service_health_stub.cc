#include "Libraries/LibHealth/service_health.h"

// Takes every target for healthy until LibHealth has an implementation.

namespace pimentopin {

void ServiceHealth::Configure(TimePoint, std::vector<HealthTarget>, std::uint32_t) {}
void ServiceHealth::Observe(TimePoint, const HealthEvidence&) {}
void ServiceHealth::Tick(TimePoint) {}
HealthVerdict ServiceHealth::Verdict(TargetId) const {
  return {.usable_slots = 1000};
}
std::vector<HealthEvent> ServiceHealth::TakeEvents() {
  return {};
}

}  // namespace pimentopin
