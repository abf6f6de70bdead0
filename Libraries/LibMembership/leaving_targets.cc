#include "Libraries/LibMembership/leaving_targets.h"

#include <algorithm>

namespace pimentopin {
namespace {

// The transfer of a notice moves its computed end by the time it takes. An end
// that is later than the known one by less than this is the same notice, which
// keeps notices from prolonging themselves by going round.
constexpr Duration kTransferTolerance = std::chrono::seconds(30);

}  // namespace

bool LeavingTargets::Mark(TimePoint now, TargetId target) {
  this->Advance(now);
  Notice& notice = this->notices[target];
  const bool is_new = notice.expires_at <= now || notice.cleared;
  if (is_new) {
    notice.learned_at = now;
  }
  notice.expires_at = now + kRetention;
  notice.cleared = false;
  return is_new;
}

bool LeavingTargets::Merge(TimePoint now, const std::vector<LeavingTarget>& received) {
  this->Advance(now);
  bool changed = false;
  for (const LeavingTarget& entry : received) {
    // Otherwise two hosts would hand a notice that ends back and forth for ever.
    if (entry.remaining <= kTransferTolerance) {
      continue;
    }
    const TimePoint expires_at = now + std::min(entry.remaining, kRetention);
    Notice& notice = this->notices[entry.target];
    const bool known = notice.expires_at > now;
    if (known && expires_at <= notice.expires_at + kTransferTolerance) {
      continue;
    }
    if (!known || notice.cleared) {
      notice.learned_at = now;
      changed = true;
    }
    notice.expires_at = expires_at;
    notice.cleared = false;
  }
  return changed;
}

void LeavingTargets::Clear(TargetId target) {
  const auto found = this->notices.find(target);
  if (found != this->notices.end() && this->latest - found->second.learned_at >= kSettleTime) {
    found->second.cleared = true;
  }
}

void LeavingTargets::Tick(TimePoint now) {
  this->Advance(now);
  std::erase_if(this->notices, [now](const auto& entry) { return entry.second.expires_at <= now; });
}

void LeavingTargets::Advance(TimePoint now) {
  this->latest = std::max(this->latest, now);
}

bool LeavingTargets::IsLeaving(TargetId target) const {
  const auto found = this->notices.find(target);
  return found != this->notices.end() && !found->second.cleared;
}

std::vector<LeavingTarget> LeavingTargets::Notices(TimePoint now, std::size_t limit) const {
  std::vector<LeavingTarget> result;
  for (const auto& [target, notice] : this->notices) {
    if (!notice.cleared && notice.expires_at > now) {
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
