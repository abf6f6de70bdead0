#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibProtocol/slot_messages.h"

namespace pimentopin {

// Number of retries that a service may make within RetryBudget::kWindow.
struct RetryLimits {
  // Retries per first attempt.
  double fraction = 0.08;
  // Additional retries, so that a rarely used service can retry at all. The
  // allowance grows from zero during the first window that is known, because an
  // earlier broker may have used up its own.
  double extra = 0.0;
  // Allowed beyond both limits; 0 if they must hold strictly.
  std::uint32_t minimum_per_second = 1;

  friend bool operator==(const RetryLimits&, const RetryLimits&) = default;
};

// Limits the retries of a service within a sliding window. Includes what other
// brokers of the service report that they have counted.
class RetryBudget {
 public:
  static constexpr Duration kWindow = std::chrono::seconds(10);

  RetryBudget() = default;
  // `counter_id` tells the counts of this budget from those of others.
  explicit RetryBudget(const RetryLimits& retry_limits, RetryCounterId counter_id = {})
      : limits(retry_limits), own_id(counter_id) {}

  void RecordFirstAttempt(TimePoint now);
  // Counts a retry that was started without TryRetry(), for example in
  // fallback.
  void RecordRetry(TimePoint now);
  // Returns whether a retry is allowed.
  bool Allows(TimePoint now);
  // Returns whether a retry is allowed, and counts it if so.
  bool TryRetry(TimePoint now);

  // Returns all counts of the last window.
  RetryUsage Usage(TimePoint now) const;
  // Returns the counts of this budget itself since then.
  RetryUsage OwnUsageSince(TimePoint now, TimePoint since) const;
  // Adds what another broker reports. A report that is repeated changes nothing.
  void Merge(TimePoint now, const RetryUsage& usage);
  // Whether attempts of the last window are known.
  bool HasUsage(TimePoint now) const;
  // To be called when others may have served meanwhile: if nothing of the last
  // window is known, the allowance grows from zero again.
  void Resume(TimePoint now);
  // Number of retries that this budget itself has counted.
  std::uint64_t own_retries() const { return this->own_retry_count; }

 private:
  static constexpr Duration kBucketDuration = std::chrono::milliseconds(100);
  static constexpr std::size_t kBucketCount = kWindow / kBucketDuration;
  static constexpr std::size_t kBucketsPerSecond = std::chrono::seconds(1) / kBucketDuration;
  // Processes that count for one service within a window.
  static constexpr std::size_t kMaxCounters = 8;

  struct Bucket {
    std::int64_t index = -1;
    RetryCounts counts;
  };
  struct Counter {
    // When the bucket with index zero began, by the clock of this host.
    TimePoint zero;
    std::array<Bucket, kBucketCount> buckets{};

    // Age of the bucket in buckets; empty if the bucket is not in the window.
    std::optional<std::int64_t> AgeOf(TimePoint now, const Bucket& bucket) const;
    bool IsEmpty(TimePoint now) const;
    RetryCounter Report(TimePoint now, RetryCounterId id, TimePoint since) const;
  };

  Bucket& BucketAt(TimePoint now);
  void MergeCounter(TimePoint now, const RetryCounter& reported);
  RetryUsage MakeUsage(TimePoint now) const;

  RetryLimits limits;
  RetryCounterId own_id{};
  // Since when all counts are known.
  std::optional<TimePoint> known_since;
  std::optional<TimePoint> changed_at;
  std::uint64_t own_retry_count = 0;
  Counter own;
  std::map<RetryCounterId, Counter> others;
};

}  // namespace pimentopin
