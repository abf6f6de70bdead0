#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/membership_messages.h"

namespace pimentopin {

// Targets that announced, or were reported by other hosts, to be leaving. A notice
// expires after kRetention, so that a replacement of the same name can be used.
class LeavingTargets {
 public:
  static constexpr Duration kRetention = std::chrono::minutes(10);

  LeavingTargets() = default;

  // Returns true if the target was not known to be leaving.
  bool MarkLeaving(TimePoint now, TargetId target);
  // Returns true if any target was not known to be leaving.
  bool Merge(TimePoint now, const std::vector<LeavingTarget>& notices);
  // Removes expired notices.
  void Tick(TimePoint now);

  bool IsLeaving(TargetId target) const;
  // At most `limit` unexpired notices, the latest to expire first.
  std::vector<LeavingTarget> Notices(TimePoint now, std::size_t limit) const;

 private:
  // Expiry of the notice of each target.
  std::map<TargetId, TimePoint> expiries;
};

}  // namespace pimentopin
