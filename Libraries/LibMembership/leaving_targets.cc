#include "Libraries/LibMembership/leaving_targets.h"

#include <algorithm>

namespace pimentopin {
namespace {

// The transfer time of a notice delays the expiry that the receiver computes. An
// expiry that is later than the known one by at most this much belongs to the same
// notice; otherwise notices passed between hosts would extend each other forever.
constexpr Duration kExpiryTolerance = std::chrono::seconds(30);

}  // namespace

bool LeavingTargets::MarkLeaving(TimePoint now, TargetId target) {
  TimePoint& expires_at = this->expiries[target];
  const bool newly_leaving = expires_at <= now;
  expires_at = now + kRetention;
  return newly_leaving;
}

bool LeavingTargets::Merge(TimePoint now, const std::vector<LeavingTarget>& received) {
  bool changed = false;
  for (const LeavingTarget& entry : received) {
    // Otherwise two hosts would return an expiring notice to each other forever.
    if (entry.remaining <= kExpiryTolerance) {
      continue;
    }
    const TimePoint received_expiry = now + std::min(entry.remaining, kRetention);
    TimePoint& expires_at = this->expiries[entry.target];
    const bool known = expires_at > now;
    if (known && received_expiry <= expires_at + kExpiryTolerance) {
      continue;
    }
    changed = changed || !known;
    expires_at = received_expiry;
  }
  return changed;
}

void LeavingTargets::Tick(TimePoint now) {
  std::erase_if(this->expiries, [now](const auto& entry) { return entry.second <= now; });
}

bool LeavingTargets::IsLeaving(TargetId target) const {
  return this->expiries.contains(target);
}

std::vector<LeavingTarget> LeavingTargets::Notices(TimePoint now, std::size_t limit) const {
  std::vector<LeavingTarget> result;
  for (const auto& [target, expires_at] : this->expiries) {
    if (expires_at > now) {
      result.push_back({target, expires_at - now});
    }
  }
  std::sort(result.begin(), result.end(),
            [](const LeavingTarget& left, const LeavingTarget& right) {
              return left.remaining > right.remaining;
            });
  result.resize(std::min(result.size(), limit));
  return result;
}

}  // namespace pimentopin
