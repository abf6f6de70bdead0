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
  this->AdvanceClock(now);
  Notice& notice = this->notices[target];
  const bool newly_leaving = notice.expires_at <= now || notice.serving_again;
  if (newly_leaving) {
    notice.received_at = now;
  }
  notice.expires_at = now + kRetention;
  notice.serving_again = false;
  return newly_leaving;
}

bool LeavingTargets::Merge(TimePoint now, const std::vector<LeavingTarget>& received) {
  this->AdvanceClock(now);
  bool changed = false;
  for (const LeavingTarget& entry : received) {
    // Otherwise two hosts would return an expiring notice to each other forever.
    if (entry.remaining <= kExpiryTolerance) {
      continue;
    }
    const TimePoint expires_at = now + std::min(entry.remaining, kRetention);
    Notice& notice = this->notices[entry.target];
    const bool known = notice.expires_at > now;
    if (known && expires_at <= notice.expires_at + kExpiryTolerance) {
      continue;
    }
    if (!known || notice.serving_again) {
      notice.received_at = now;
      changed = true;
    }
    notice.expires_at = expires_at;
    notice.serving_again = false;
  }
  return changed;
}

void LeavingTargets::MarkServing(TargetId target) {
  const auto found = this->notices.find(target);
  if (found != this->notices.end() &&
      this->latest_time - found->second.received_at >= kStaleResponseWindow) {
    found->second.serving_again = true;
  }
}

void LeavingTargets::Tick(TimePoint now) {
  this->AdvanceClock(now);
  std::erase_if(this->notices, [now](const auto& entry) { return entry.second.expires_at <= now; });
}

void LeavingTargets::AdvanceClock(TimePoint now) {
  this->latest_time = std::max(this->latest_time, now);
}

bool LeavingTargets::IsLeaving(TargetId target) const {
  const auto found = this->notices.find(target);
  return found != this->notices.end() && !found->second.serving_again;
}

std::vector<LeavingTarget> LeavingTargets::Notices(TimePoint now, std::size_t limit) const {
  std::vector<LeavingTarget> result;
  for (const auto& [target, notice] : this->notices) {
    if (!notice.serving_again && notice.expires_at > now) {
      result.push_back({target, notice.expires_at - now});
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
