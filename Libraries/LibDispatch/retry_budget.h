#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Limits retries to a fraction of the first attempts in a sliding window, with
// a minimum rate so that a rarely used service can retry at all.
class RetryBudget {
 public:
  static constexpr Duration kWindow = std::chrono::seconds(10);
  static constexpr double kFraction = 0.08;
  static constexpr std::uint32_t kMinimumPerSecond = 1;

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

  std::array<Bucket, kBuckets> buckets{};
};

}  // namespace pimentopin
