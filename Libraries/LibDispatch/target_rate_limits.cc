#include "Libraries/LibDispatch/target_rate_limits.h"

#include <algorithm>

namespace pimentopin {

void TargetRateLimits::SetLimit(TimePoint now, TargetId target, double rate) {
  if (rate <= 0) {
    this->limits.erase(target);
    return;
  }
  const Duration interval = FromSeconds(std::min(1 / rate, ToSeconds(kMaxInterval)));
  const auto [limit, is_new] =
      this->limits.try_emplace(target, Limit{.interval = interval, .last_sent_at = now});
  limit->second.interval = interval;
}

void TargetRateLimits::RecordSend(TimePoint now, TargetId target) {
  const auto limit = this->limits.find(target);
  if (limit != this->limits.end()) {
    limit->second.last_sent_at = now;
  }
}

void TargetRateLimits::RemoveTargets(const std::function<bool(TargetId)>& is_removed) {
  std::erase_if(this->limits, [&](const auto& entry) { return is_removed(entry.first); });
}

double TargetRateLimits::Rate(TargetId target) const {
  const auto limit = this->limits.find(target);
  return limit == this->limits.end() ? 0 : 1 / ToSeconds(limit->second.interval);
}

bool TargetRateLimits::MaySend(TimePoint now, TargetId target, std::size_t senders) const {
  const auto limit = this->limits.find(target);
  return limit == this->limits.end() ||
         now - limit->second.last_sent_at >=
             limit->second.interval * static_cast<Duration::rep>(senders);
}

}  // namespace pimentopin
