#include "Libraries/LibDispatch/retry_budget.h"

#include <algorithm>

namespace pimentopin {

std::optional<std::int64_t> RetryBudget::Counter::AgeOf(TimePoint now, const Bucket& bucket) const {
  if (bucket.index < 0) {
    return std::nullopt;
  }
  const std::int64_t age = (now - this->zero) / kBucketDuration - bucket.index;
  return age < static_cast<std::int64_t>(kBucketCount) ? std::optional(age) : std::nullopt;
}

bool RetryBudget::Counter::IsEmpty(TimePoint now) const {
  return std::none_of(this->buckets.begin(), this->buckets.end(),
                      [&](const Bucket& bucket) { return this->AgeOf(now, bucket).has_value(); });
}

RetryCounter RetryBudget::Counter::Report(TimePoint now, RetryCounterId id, TimePoint since) const {
  std::optional<std::int64_t> first;
  std::int64_t last = 0;
  const auto is_reported = [&](const Bucket& bucket) {
    return this->AgeOf(now, bucket) && this->zero + (bucket.index + 1) * kBucketDuration > since;
  };
  for (const Bucket& bucket : this->buckets) {
    if (is_reported(bucket)) {
      first = std::min(first.value_or(bucket.index), bucket.index);
      last = std::max(last, bucket.index);
    }
  }
  RetryCounter report{.counter = id};
  if (!first) {
    return report;
  }
  report.first_interval = static_cast<std::uint64_t>(*first);
  report.age = now - (this->zero + *first * kBucketDuration);
  report.intervals.resize(static_cast<std::size_t>(last - *first + 1));
  for (const Bucket& bucket : this->buckets) {
    if (is_reported(bucket)) {
      report.intervals[static_cast<std::size_t>(bucket.index - *first)] = bucket.counts;
    }
  }
  return report;
}

RetryBudget::Bucket& RetryBudget::BucketAt(TimePoint now) {
  this->known_since = this->known_since.value_or(now);
  this->changed_at = now;
  const std::int64_t index = (now - this->own.zero) / kBucketDuration;
  Bucket& bucket = this->own.buckets[static_cast<std::size_t>(index) % kBucketCount];
  if (bucket.index != index) {
    bucket = Bucket{.index = index, .counts = {}};
  }
  return bucket;
}

void RetryBudget::RecordFirstAttempt(TimePoint now) {
  ++this->BucketAt(now).counts.first_attempts;
}

void RetryBudget::RecordRetry(TimePoint now) {
  ++this->BucketAt(now).counts.retries;
  ++this->own_retry_count;
}

bool RetryBudget::TryRetry(TimePoint now) {
  if (!this->Allows(now)) {
    return false;
  }
  this->RecordRetry(now);
  return true;
}

bool RetryBudget::Allows(TimePoint now) {
  this->BucketAt(now);
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_last_second = 0;
  const auto add = [&](const Counter& counter) {
    for (const Bucket& bucket : counter.buckets) {
      const std::optional<std::int64_t> age = counter.AgeOf(now, bucket);
      if (!age) {
        continue;
      }
      first_attempts += bucket.counts.first_attempts;
      retries += bucket.counts.retries;
      if (*age < static_cast<std::int64_t>(kBucketsPerSecond)) {
        retries_last_second += bucket.counts.retries;
      }
    }
  };
  add(this->own);
  for (const auto& [id, counter] : this->others) {
    add(counter);
  }
  const double known_for = static_cast<double>((now - *this->known_since).count()) /
                           static_cast<double>(Duration(kWindow).count());
  const double allowed = this->limits.fraction * static_cast<double>(first_attempts) +
                         this->limits.extra * std::clamp(known_for, 0.0, 1.0);
  const bool within_limits = static_cast<double>(retries + 1) <= allowed;
  return within_limits || retries_last_second < this->limits.minimum_per_second;
}

RetryUsage RetryBudget::MakeUsage(TimePoint now) const {
  return {.service = {},
          .asks = false,
          .known_for =
              this->known_since ? std::min(now - *this->known_since, kWindow) : Duration::zero(),
          .counters = {}};
}

RetryUsage RetryBudget::OwnUsageSince(TimePoint now, TimePoint since) const {
  RetryUsage usage = this->MakeUsage(now);
  RetryCounter report = this->own.Report(now, this->own_id, since);
  if (!report.intervals.empty()) {
    usage.counters.push_back(std::move(report));
  }
  return usage;
}

RetryUsage RetryBudget::Usage(TimePoint now) const {
  RetryUsage usage = this->OwnUsageSince(now, now - kWindow);
  for (const auto& [id, counter] : this->others) {
    RetryCounter report = counter.Report(now, id, now - kWindow);
    if (!report.intervals.empty() && usage.counters.size() < kMaxCounters) {
      usage.counters.push_back(std::move(report));
    }
  }
  return usage;
}

void RetryBudget::MergeCounter(TimePoint now, const RetryCounter& reported) {
  if (reported.counter == this->own_id || reported.intervals.empty() ||
      reported.intervals.size() > kBucketCount) {
    return;
  }
  if (!this->others.contains(reported.counter) && this->others.size() >= kMaxCounters) {
    return;
  }
  const auto first = static_cast<std::int64_t>(reported.first_interval);
  Counter& counter = this->others[reported.counter];
  counter.zero = now - reported.age - first * kBucketDuration;
  for (std::size_t offset = 0; offset < reported.intervals.size(); ++offset) {
    const std::int64_t index = first + static_cast<std::int64_t>(offset);
    Bucket& bucket = counter.buckets[static_cast<std::size_t>(index) % kBucketCount];
    if (bucket.index < index) {
      bucket = Bucket{.index = index, .counts = {}};
    }
    if (bucket.index == index) {
      const RetryCounts& counts = reported.intervals[offset];
      bucket.counts.first_attempts = std::max(bucket.counts.first_attempts, counts.first_attempts);
      bucket.counts.retries = std::max(bucket.counts.retries, counts.retries);
    }
  }
}

void RetryBudget::Merge(TimePoint now, const RetryUsage& usage) {
  std::erase_if(this->others, [now](const auto& item) { return item.second.IsEmpty(now); });
  for (const RetryCounter& reported : usage.counters) {
    this->MergeCounter(now, reported);
  }
  if (usage.known_for > Duration::zero()) {
    this->known_since = std::min(this->known_since.value_or(now),
                                 now - std::min<Duration>(usage.known_for, kWindow));
    this->changed_at = now;
  }
}

bool RetryBudget::HasUsage(TimePoint now) const {
  return !this->own.IsEmpty(now) ||
         std::any_of(this->others.begin(), this->others.end(),
                     [now](const auto& item) { return !item.second.IsEmpty(now); });
}

void RetryBudget::Resume(TimePoint now) {
  if (this->changed_at && now - *this->changed_at >= kWindow) {
    this->known_since.reset();
  }
}

}  // namespace pimentopin
