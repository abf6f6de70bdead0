#pragma once

#include <algorithm>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// One-sided cumulative sum (Page's test): sums increments, never below zero,
// and raises an alarm at the threshold, once the sum has been above zero for
// `shortest_rise`.
class CusumDetector {
 public:
  explicit CusumDetector(double alarm_threshold, Duration shortest_rise = {})
      : threshold(alarm_threshold), minimum_rise(shortest_rise) {}

  void Add(TimePoint now, double increment) {
    if (this->sum <= 0.0) {
      this->rising_start = now;
    }
    this->last_increment = now;
    // The cap bounds the good evidence that a recovered target must collect.
    this->sum = std::clamp(this->sum + increment, 0.0, 1.5 * this->threshold);
  }
  // Takes back evidence that turned out to be about something else.
  void Retract(double increment) { this->sum = std::max(0.0, this->sum - increment); }
  // Starts again at `share` of the threshold (a head start).
  void Restart(TimePoint now, double share) {
    this->sum = share * this->threshold;
    this->rising_start = now;
  }

  bool alarmed() const {
    return this->sum >= this->threshold &&
           this->last_increment - this->rising_start >= this->minimum_rise;
  }
  double value() const { return this->sum; }
  // When the sum last left zero.
  TimePoint rising_since() const { return this->rising_start; }

 private:
  double threshold;
  Duration minimum_rise;
  double sum = 0.0;
  TimePoint last_increment;
  TimePoint rising_start;
};

}  // namespace pimentopin
