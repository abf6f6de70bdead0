#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// How many retries a service may get within RetryBudget::kWindow.
struct RetryLimits {
  // Per first attempt.
  double fraction = 0.08;
  // In addition, so that a rarely used service can retry at all. Grows from zero
  // during the first window, as an earlier broker may have used up its own.
  double extra = 0.0;
  // Allowed beyond both; 0 where the limits must hold strictly.
  std::uint32_t minimum_per_second = 1;

  friend bool operator==(const RetryLimits&, const RetryLimits&) = default;
};

// Limits retries in a sliding window.
class RetryBudget {
 public:
  static constexpr Duration kWindow = std::chrono::seconds(10);

  RetryBudget() = default;
  explicit RetryBudget(const RetryLimits& retry_limits) : limits(retry_limits) {}

  void RecordFirstAttempt(TimePoint now);
  // A retry that was started without asking, for example in fallback.
  void RecordRetry(TimePoint now);
  // Counts the retry if it is allowed.
  bool TryRetry(TimePoint now);

 private:
  static constexpr Duration kBucket = std::chrono::milliseconds(100);
  static constexpr std::size_t kBuckets = kWindow / kBucket;
  static constexpr std::size_t kBucketsPerSecond = std::chrono::seconds(1) / kBucket;

  struct Bucket {
    std::int64_t index = -1;
    std::uint32_t first_attempts = 0;
    std::uint32_t retries = 0;
  };

  Bucket& BucketAt(TimePoint now);

  RetryLimits limits;
  std::optional<TimePoint> started_at;
  std::array<Bucket, kBuckets> buckets{};
};

}  // namespace pimentopin
