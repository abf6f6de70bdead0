#include "Libraries/LibHealth/ejection_schedule.h"

#include <algorithm>

namespace pimentopin {

Duration EjectionSchedule::Next(TimePoint now) {
  for (Duration quiet = now - this->quiet_since;
       quiet >= kQuietPeriod && this->next_length > kFirst; quiet -= kQuietPeriod) {
    this->next_length = std::max(kFirst, this->next_length / 2);
  }
  const Duration length = this->next_length;
  this->next_length = std::min(kMaximum, 2 * length);
  this->quiet_since = now + length;
  return length;
}

}  // namespace pimentopin
