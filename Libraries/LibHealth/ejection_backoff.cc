#include "Libraries/LibHealth/ejection_backoff.h"

#include <algorithm>

namespace pimentopin {

Duration EjectionBackoff::NextDuration(TimePoint now) {
  for (Duration quiet_time = now - this->quiet_since;
       quiet_time >= kDecayPeriod && this->next_duration > kInitialDuration;
       quiet_time -= kDecayPeriod) {
    this->next_duration = std::max(kInitialDuration, this->next_duration / 2);
  }
  const Duration duration = this->next_duration;
  this->next_duration = std::min(kMaxDuration, 2 * duration);
  this->quiet_since = now + duration;
  return duration;
}

}  // namespace pimentopin
