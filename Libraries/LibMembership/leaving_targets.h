#pragma once

#include <cstddef>
#include <map>
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
  // A response that was on its way when the target began to leave may still say
  // that it serves; Clear ignores what follows a notice by less than this.
  static constexpr Duration kSettleTime = std::chrono::seconds(5);

  LeavingTargets() = default;

  // Returns true if the target was not known to be leaving.
  bool Mark(TimePoint now, TargetId target);
  // Returns true if any target was not known to be leaving.
  bool Merge(TimePoint now, const std::vector<LeavingTarget>& notices);
  // The target itself states that it serves again, for example after a restart.
  // Notices from before that other hosts still send are ignored from then on.
  void Clear(TargetId target);
  // Drops expired notices.
  void Tick(TimePoint now);

  bool IsLeaving(TargetId target) const;
  // The latest first.
  std::vector<LeavingTarget> Notices(TimePoint now, std::size_t limit) const;

 private:
  struct Notice {
    TimePoint expires_at{};
    TimePoint learned_at{};
    bool cleared = false;
  };

  void Advance(TimePoint now);

  std::map<TargetId, Notice> notices;
  // The latest time passed to any function.
  TimePoint latest{};
};

}  // namespace pimentopin
