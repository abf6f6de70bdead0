#include "Libraries/LibHost/stop_admission.h"

#include <algorithm>

namespace pimentopin {

bool StopAdmission::Accepts(TimePoint now, const RequestDescription& request) const {
  if (this->grace == Duration::zero() ||
      request.deadline <= this->started_at + this->grace - kMargin) {
    return true;
  }
  // Most requests end long before their deadline. A caller may repeat an idempotent one that does
  // not.
  return request.idempotent && now - this->started_at <= this->grace / 2 - kMaxSignalDelay;
}

HostEnd StopAdmission::Limits() const {
  if (this->grace == Duration::zero()) {
    return {};
  }
  const TimePoint end = this->started_at + this->grace;
  return {.last_start = end - std::min<Duration>(kLastStartMargin, this->grace / 5),
          .last_answer = end - std::min<Duration>(kMargin, this->grace / 10)};
}

}  // namespace pimentopin
