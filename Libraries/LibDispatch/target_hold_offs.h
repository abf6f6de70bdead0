#pragma once

#include <map>
#include <optional>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Targets that asked this host to send nothing for some time, by a Retry-After in a refusal.
class TargetHoldOffs {
 public:
  // Longer requests are shortened to this, so that a faulty value excludes a target for minutes at
  // most.
  static constexpr Duration kMaxHoldOff = std::chrono::minutes(10);

  // Starts or extends the hold-off of the target; a shorter one than that in force is ignored.
  void HoldOff(TimePoint now, TargetId target, Duration duration);
  bool IsHeldOff(TimePoint now, TargetId target) const;
  // Time at which the hold-off ends; empty if there is none.
  std::optional<TimePoint> EndOf(TimePoint now, TargetId target) const;
  bool empty() const { return this->ends.empty(); }
  // Removes hold-offs that have ended.
  void Tick(TimePoint now);

 private:
  std::map<TargetId, TimePoint> ends;
};

}  // namespace pimentopin
