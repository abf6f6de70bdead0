#include "Libraries/LibQuota/quota_bucket.h"

#include <algorithm>
#include <cmath>

namespace pimentopin {
namespace {

// Callers that are refused for longer give up.
constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);
// Beyond its share of the burst, as a part that is full gains nothing while others are empty, and
// each part may keep a fraction of a token. All parts together stay below the 20 requests by which
// the fleet may exceed a quota.
constexpr double kSpareTokens = 3.0;

}  // namespace

QuotaBucket::QuotaBucket(BootTimePoint now, const QuotaLimit& limit) : refilled_at(now) {
  this->SetLimit(now, limit);
}

void QuotaBucket::SetLimit(BootTimePoint now, const QuotaLimit& next) {
  this->Refill(now);
  this->limit = next;
  this->rate = next.requests_per_second / kQuotaParts;
  this->capacity = next.burst / kQuotaParts + kSpareTokens;
  this->level = std::min(this->level, this->capacity);
}

void QuotaBucket::Refill(BootTimePoint now) {
  const Duration elapsed = std::max(now - this->refilled_at, Duration::zero());
  const double tokens = this->rate * ToSeconds(elapsed);
  this->level = std::min(this->level + tokens, this->capacity);
  this->backlog = std::max(this->backlog - tokens, 0.0);
  this->refilled_at = std::max(this->refilled_at, now);
}

std::uint16_t QuotaBucket::Take(BootTimePoint now, std::uint16_t wanted) {
  this->Refill(now);
  const auto taken =
      static_cast<std::uint16_t>(std::min<double>(wanted, std::floor(std::max(this->level, 0.0))));
  this->level -= taken;
  this->backlog = std::min(this->backlog + wanted - taken, this->rate * ToSeconds(kMaxRetryAfter));
  return taken;
}

Duration QuotaBucket::RetryAfter(BootTimePoint now) {
  this->Refill(now);
  const double missing = std::max(1.0, this->backlog) - this->level;
  if (missing <= 0) {
    return Duration::zero();
  }
  if (missing >= this->rate * ToSeconds(kMaxRetryAfter)) {
    return kMaxRetryAfter;
  }
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / this->rate));
}

}  // namespace pimentopin
