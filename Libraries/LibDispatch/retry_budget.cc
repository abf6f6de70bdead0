#include "Libraries/LibDispatch/retry_budget.h"

#include <algorithm>

namespace pimentopin {

RetryBudget::Bucket& RetryBudget::BucketAt(TimePoint now) {
  this->started_at = this->started_at.value_or(now);
  const std::int64_t index = now.time_since_epoch() / kBucketDuration;
  Bucket& bucket = this->buckets[static_cast<std::size_t>(index) % kBucketCount];
  if (bucket.index != index) {
    bucket = Bucket{.index = index};
  }
  return bucket;
}

void RetryBudget::RecordFirstAttempt(TimePoint now) {
  ++this->BucketAt(now).first_attempts;
}

void RetryBudget::RecordRetry(TimePoint now) {
  ++this->BucketAt(now).retries;
}

bool RetryBudget::TryRetry(TimePoint now) {
  if (!this->Allows(now)) {
    return false;
  }
  this->RecordRetry(now);
  return true;
}

bool RetryBudget::Allows(TimePoint now) {
  const std::int64_t newest = this->BucketAt(now).index;
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_last_second = 0;
  for (const Bucket& bucket : this->buckets) {
    const std::int64_t age = newest - bucket.index;
    if (bucket.index < 0 || age < 0 || age >= static_cast<std::int64_t>(kBucketCount)) {
      continue;
    }
    first_attempts += bucket.first_attempts;
    retries += bucket.retries;
    if (age < static_cast<std::int64_t>(kBucketsPerSecond)) {
      retries_last_second += bucket.retries;
    }
  }
  const double age = static_cast<double>((now - *this->started_at).count()) /
                     static_cast<double>(Duration(kWindow).count());
  const double allowed = this->limits.fraction * static_cast<double>(first_attempts) +
                         this->limits.extra * std::clamp(age, 0.0, 1.0);
  const bool within_limits = static_cast<double>(retries + 1) <= allowed;
  return within_limits || retries_last_second < this->limits.minimum_per_second;
}

}  // namespace pimentopin
