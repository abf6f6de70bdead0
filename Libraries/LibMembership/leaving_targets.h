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
  // MarkServing ignores calls within this time after a notice: a response that was
  // in transit when the target began to leave may still say that it serves.
  static constexpr Duration kStaleResponseWindow = std::chrono::seconds(5);

  LeavingTargets() = default;

  // Returns true if the target was not known to be leaving.
  bool MarkLeaving(TimePoint now, TargetId target);
  // Returns true if any target was not known to be leaving.
  bool Merge(TimePoint now, const std::vector<LeavingTarget>& notices);
  // Records that the target itself reported to serve again, for example after a
  // restart. Older notices that other hosts still send are ignored from then on.
  void MarkServing(TargetId target);
  // Removes expired notices.
  void Tick(TimePoint now);

  bool IsLeaving(TargetId target) const;
  // At most `limit` unexpired notices, the latest to expire first.
  std::vector<LeavingTarget> Notices(TimePoint now, std::size_t limit) const;

 private:
  struct Notice {
    TimePoint expires_at{};
    TimePoint received_at{};
    bool serving_again = false;
  };

  void AdvanceClock(TimePoint now);

  std::map<TargetId, Notice> notices;
  // The latest time passed to MarkLeaving, Merge or Tick. MarkServing uses it as the
  // current time.
  TimePoint latest_time{};
};

}  // namespace pimentopin
