#pragma once

#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/membership_messages.h"

namespace pimentopin {

// Targets that announced or were reported to be leaving. A notice lasts
// kRetention, so that a replaced target of the same name can return.
class LeavingTargets {
 public:
  static constexpr Duration kRetention = std::chrono::minutes(10);

  LeavingTargets() = default;

  // Returns true if the target was not known to be leaving.
  bool Mark(TimePoint now, TargetId target);
  bool Merge(TimePoint now, const std::vector<LeavingTarget>& notices);
  // The target itself states that it serves again, for example after a restart.
  void Clear(TargetId target);
  void Tick(TimePoint now);

  bool IsLeaving(TargetId target) const;
  std::vector<LeavingTarget> Notices(TimePoint now, std::size_t limit) const;
};

}  // namespace pimentopin
