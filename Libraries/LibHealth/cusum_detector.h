#pragma once

#include <algorithm>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// One-sided cumulative sum (Page's test). The sum never drops below zero. The alarm is
// raised when the sum has reached the threshold and has been above zero for at least
// `minimum_rise_duration`.
class CusumDetector {
 public:
  explicit CusumDetector(double alarm_threshold, Duration minimum_rise_duration = {})
      : threshold(alarm_threshold), minimum_rise(minimum_rise_duration) {}

  void Add(TimePoint now, double increment) {
    if (this->sum <= 0.0) {
      this->rise_start = now;
    }
    this->last_added_at = now;
    // The cap bounds how much evidence of good health a recovered target needs to clear
    // the alarm.
    this->sum = std::clamp(this->sum + increment, 0.0, 1.5 * this->threshold);
  }
  // Subtracts evidence that proved to have another cause.
  void Retract(double increment) { this->sum = std::max(0.0, this->sum - increment); }
  // Resets the sum to `fraction` of the threshold (a head start).
  void Restart(TimePoint now, double fraction) {
    this->sum = fraction * this->threshold;
    this->rise_start = now;
  }

  bool alarmed() const {
    return this->sum >= this->threshold &&
           this->last_added_at - this->rise_start >= this->minimum_rise;
  }
  double value() const { return this->sum; }
  // Time at which the sum last rose from zero.
  TimePoint rising_since() const { return this->rise_start; }

 private:
  double threshold;
  Duration minimum_rise;
  double sum = 0.0;
  TimePoint last_added_at;
  TimePoint rise_start;
};

}  // namespace pimentopin
