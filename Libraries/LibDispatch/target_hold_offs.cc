#include "Libraries/LibDispatch/target_hold_offs.h"

#include <algorithm>

namespace pimentopin {

void TargetHoldOffs::HoldOff(TimePoint now, TargetId target, Duration duration) {
  if (duration <= Duration::zero()) {
    return;
  }
  TimePoint& end = this->ends[target];
  end = std::max(end, now + std::min(duration, kMaxHoldOff));
}

bool TargetHoldOffs::IsHeldOff(TimePoint now, TargetId target) const {
  return this->EndOf(now, target).has_value();
}

std::optional<TimePoint> TargetHoldOffs::EndOf(TimePoint now, TargetId target) const {
  const auto found = this->ends.find(target);
  return found != this->ends.end() && found->second > now ? std::optional(found->second)
                                                          : std::nullopt;
}

void TargetHoldOffs::Tick(TimePoint now) {
  std::erase_if(this->ends, [now](const auto& entry) { return entry.second <= now; });
}

}  // namespace pimentopin
