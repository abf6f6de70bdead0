#pragma once

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Length of a target's ejections: 10 s, doubled per repeat up to 300 s, halved
// for each 10 min without an ejection.
class EjectionSchedule {
 public:
  static constexpr Duration kFirst = std::chrono::seconds(10);
  static constexpr Duration kMaximum = std::chrono::seconds(300);
  static constexpr Duration kQuietPeriod = std::chrono::minutes(10);

  // Length of an ejection that starts now.
  Duration Next(TimePoint now);
  // The target is in full service again; quiet time counts from here.
  void Returned(TimePoint now) { this->quiet_since = now; }

 private:
  Duration next_length = kFirst;
  TimePoint quiet_since;
};

}  // namespace pimentopin
