#include "Libraries/LibReport/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace pimentopin {
namespace {

constexpr double kLowestSeconds = 1e-4;
constexpr double kHighestSeconds = 1e4;

// Boost numbers the cell below the axis -1.
int CellOf(std::size_t bucket) {
  return static_cast<int>(bucket) - 1;
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : seconds(std::make_tuple(Axis(kBuckets - 2, kLowestSeconds, kHighestSeconds))) {}

void LatencyHistogram::Add(Duration duration) {
  // The logarithm of zero or less would count as above the axis.
  const double value = std::chrono::duration<double>(duration).count();
  this->seconds(std::max(value, kLowestSeconds / 2));
}

void LatencyHistogram::Add(const LatencyHistogram& other) {
  this->seconds += other.seconds;
}

std::uint64_t LatencyHistogram::count() const {
  std::uint64_t total = 0;
  for (const auto& [bucket, count] : this->Counts()) {
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
  std::uint64_t seen = 0;
  std::size_t last = 0;
  for (const auto& [bucket, count] : this->Counts()) {
    seen += count;
    last = bucket;
    if (seen >= rank) {
      break;
    }
  }
  const double edge =
      last == kBuckets - 1 ? kHighestSeconds : this->seconds.axis().value(CellOf(last) + 1);
  // Edges are computed in floating point; the error must not round up a whole microsecond.
  return Duration(static_cast<Duration::rep>(std::ceil(edge * 1e6 - 1e-3)));
}

std::map<std::size_t, std::uint64_t> LatencyHistogram::Counts() const {
  std::map<std::size_t, std::uint64_t> counts;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    const auto count = static_cast<std::uint64_t>(double(this->seconds.at(CellOf(bucket))));
    if (count > 0) {
      counts.emplace(bucket, count);
    }
  }
  return counts;
}

std::optional<LatencyHistogram> LatencyHistogram::FromCounts(
    const std::map<std::size_t, std::uint64_t>& counts) {
  LatencyHistogram histogram;
  for (const auto& [bucket, count] : counts) {
    if (bucket >= kBuckets || count > kMaxBucketCount) {
      return std::nullopt;
    }
    histogram.seconds.at(CellOf(bucket)) = count;
  }
  return histogram;
}

}  // namespace pimentopin
