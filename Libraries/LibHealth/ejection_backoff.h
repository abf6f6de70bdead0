#pragma once

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Exponential backoff of the ejections of a target: the duration starts at 10 s,
// doubles with each ejection up to 300 s and halves for each 10 min without one.
class EjectionBackoff {
 public:
  static constexpr Duration kInitialDuration = std::chrono::seconds(10);
  static constexpr Duration kMaxDuration = std::chrono::seconds(300);
  static constexpr Duration kDecayPeriod = std::chrono::minutes(10);

  // Returns the duration of an ejection that starts at `now` and advances the backoff.
  Duration NextDuration(TimePoint now);
  // Records that the target is back in full service; the time without ejection counts
  // from `now`.
  void RecordReturn(TimePoint now) { this->quiet_since = now; }

 private:
  Duration next_duration = kInitialDuration;
  TimePoint quiet_since;
};

}  // namespace pimentopin
