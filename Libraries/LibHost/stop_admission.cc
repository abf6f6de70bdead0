#include "Libraries/LibHost/stop_admission.h"

#include <algorithm>

namespace pimentopin {

std::optional<StopAdmission> StopAdmission::BegunBy(
    const std::optional<SignalTime>& signal,
    const std::optional<TimePoint>& drained_at) const {
  if (!signal && !drained_at) {
    return std::nullopt;
  }
  StopAdmission stop = *this;
  stop.earliest_start = signal ? signal->sent_after : *drained_at;
  stop.latest_start = signal ? signal->sent_before : *drained_at;
  // Nothing ends a host that only an operator stops.
  stop.grace = signal ? this->grace : Duration::zero();
  return stop;
}

bool StopAdmission::Accepts(TimePoint now, const RequestDescription& request) const {
  if (this->grace == Duration::zero() || request.deadline <= this->LastSafeAnswer()) {
    return true;
  }
  // Most requests end long before their deadline. A caller may repeat an idempotent one that does
  // not.
  return request.idempotent &&
         now - this->earliest_start <
             std::min<Duration>(this->grace / 2, this->cuttable_request_window);
}

TimePoint StopAdmission::LastSafeAnswer() const {
  const Duration margin = std::min<Duration>(kMargin, this->grace / 10) + this->longest_pause;
  return this->earliest_start + this->grace - std::min<Duration>(margin, this->grace / 6);
}

TimePoint StopAdmission::LastWrite(TimePoint last_answer) const {
  if (this->grace == Duration::zero()) {
    return TimePoint::max();
  }
  const Duration left = this->earliest_start + this->grace - last_answer;
  return last_answer + std::max<Duration>(left, Duration::zero()) / 2;
}

HostEnd StopAdmission::Limits() const {
  if (this->grace == Duration::zero()) {
    return {};
  }
  const TimePoint last_safe_answer = this->LastSafeAnswer();
  // Targets have at least the first five sixths of the grace for their work, so that a host that
  // does not know when the stop began does not break off work for which there is time.
  return {.last_start = last_safe_answer - std::min<Duration>(kShortestAttempt, this->grace / 10),
          .last_answer = std::max(last_safe_answer, this->latest_start + this->grace * 5 / 6)};
}

HostEnd StopAdmission::RenewedLimits(const HostEnd& current) const {
  const HostEnd next = this->Limits();
  return {.last_start = std::min(current.last_start, next.last_start),
          .last_answer = std::max(current.last_answer, next.last_answer)};
}

}  // namespace pimentopin
