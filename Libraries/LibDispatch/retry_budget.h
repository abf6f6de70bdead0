#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Number of retries that a service may make within RetryBudget::kWindow.
struct RetryLimits {
  // Retries per first attempt.
  double fraction = 0.08;
  // Additional retries, so that a rarely used service can retry at all. The
  // allowance grows from zero during the first window, because an earlier
  // broker may have used up its own.
  double extra = 0.0;
  // Allowed beyond both limits; 0 if they must hold strictly.
  std::uint32_t minimum_per_second = 1;

  friend bool operator==(const RetryLimits&, const RetryLimits&) = default;
};

// Limits the retries within a sliding window.
class RetryBudget {
 public:
  static constexpr Duration kWindow = std::chrono::seconds(10);

  RetryBudget() = default;
  explicit RetryBudget(const RetryLimits& retry_limits) : limits(retry_limits) {}

  void RecordFirstAttempt(TimePoint now);
  // Counts a retry that was started without TryRetry(), for example in
  // fallback.
  void RecordRetry(TimePoint now);
  // Returns whether a retry is allowed.
  bool Allows(TimePoint now);
  // Returns whether a retry is allowed, and counts it if so.
  bool TryRetry(TimePoint now);

 private:
  static constexpr Duration kBucketDuration = std::chrono::milliseconds(100);
  static constexpr std::size_t kBucketCount = kWindow / kBucketDuration;
  static constexpr std::size_t kBucketsPerSecond = std::chrono::seconds(1) / kBucketDuration;

  struct Bucket {
    std::int64_t index = -1;
    std::uint32_t first_attempts = 0;
    std::uint32_t retries = 0;
  };

  Bucket& BucketAt(TimePoint now);

  RetryLimits limits;
  std::optional<TimePoint> started_at;
  std::array<Bucket, kBucketCount> buckets{};
};

}  // namespace pimentopin
