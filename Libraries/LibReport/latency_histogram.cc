#include "Libraries/LibReport/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace pimentopin {
namespace {

constexpr double kLowestSeconds = 1e-4;
constexpr double kHighestSeconds = 1e4;

// Boost numbers the cells from -1, which is the cell below the axis.
int CellIndex(std::size_t bucket) {
  return static_cast<int>(bucket) - 1;
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : buckets(std::make_tuple(Axis(kBucketCount - 2, kLowestSeconds, kHighestSeconds))) {}

void LatencyHistogram::Add(Duration duration) {
  // Clamped, because Boost would count zero and negative values, whose logarithm
  // is not a finite number, as above the axis.
  const double value = std::chrono::duration<double>(duration).count();
  this->buckets(std::max(value, kLowestSeconds / 2));
}

void LatencyHistogram::Add(const LatencyHistogram& other) {
  this->buckets += other.buckets;
}

std::uint64_t LatencyHistogram::count() const {
  std::uint64_t total = 0;
  for (const auto& [bucket, count] : this->BucketCounts()) {
    total += count;
  }
  return total;
}

std::optional<Duration> LatencyHistogram::Percentile(double fraction) const {
  const std::uint64_t total = this->count();
  if (total == 0) {
    return std::nullopt;
  }
  const auto rank = std::max<std::uint64_t>(
      1, static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(total))));
  std::uint64_t cumulative_count = 0;
  std::size_t percentile_bucket = 0;
  for (const auto& [bucket, count] : this->BucketCounts()) {
    cumulative_count += count;
    percentile_bucket = bucket;
    if (cumulative_count >= rank) {
      break;
    }
  }
  const double edge = percentile_bucket == kBucketCount - 1
                          ? kHighestSeconds
                          : this->buckets.axis().value(CellIndex(percentile_bucket) + 1);
  // Without the subtraction, a floating-point error in the edge would round the
  // result up by a microsecond.
  return Duration(static_cast<Duration::rep>(std::ceil(edge * 1e6 - 1e-3)));
}

std::map<std::size_t, std::uint64_t> LatencyHistogram::BucketCounts() const {
  std::map<std::size_t, std::uint64_t> counts;
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    const auto count = static_cast<std::uint64_t>(double(this->buckets.at(CellIndex(bucket))));
    if (count > 0) {
      counts.emplace(bucket, count);
    }
  }
  return counts;
}

std::optional<LatencyHistogram> LatencyHistogram::FromBucketCounts(
    const std::map<std::size_t, std::uint64_t>& counts) {
  LatencyHistogram result;
  for (const auto& [bucket, count] : counts) {
    if (bucket >= kBucketCount || count > kMaxBucketCount) {
      return std::nullopt;
    }
    result.buckets.at(CellIndex(bucket)) = count;
  }
  return result;
}

}  // namespace pimentopin
