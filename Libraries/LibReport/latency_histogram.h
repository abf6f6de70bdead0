#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/unlimited_storage.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Histogram of durations on a logarithmic axis from 100 microseconds to 10,000
// seconds. With 40 buckets per decade, a percentile is at most 6 % above the
// exact value. All histograms have the same buckets, so they can be added.
class LatencyHistogram {
 public:
  // The first bucket counts durations below the axis, the last one those above.
  static constexpr std::size_t kBucketCount = 8 * 40 + 2;
  // Limits the counts read from stored summaries, so that sums cannot overflow.
  static constexpr std::uint64_t kMaxBucketCount = std::uint64_t{1} << 48;

  LatencyHistogram();

  void Add(Duration duration);
  void Add(const LatencyHistogram& other);

  std::uint64_t count() const;
  // Returns the upper edge of the bucket in which the given fraction (above 0, up
  // to 1) of the durations is reached, or the end of the axis for the last bucket.
  // Returns std::nullopt if the histogram is empty.
  std::optional<Duration> Percentile(double fraction) const;

  // Returns the non-zero counts by bucket.
  std::map<std::size_t, std::uint64_t> BucketCounts() const;
  // Restores a histogram. Returns std::nullopt if a bucket does not exist or a
  // count is above kMaxBucketCount.
  static std::optional<LatencyHistogram> FromBucketCounts(
      const std::map<std::size_t, std::uint64_t>& counts);

  friend bool operator==(const LatencyHistogram&, const LatencyHistogram&) = default;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

  // The storage widens its counters on demand; an unused bucket takes one byte.
  boost::histogram::histogram<std::tuple<Axis>> buckets;
};

}  // namespace pimentopin
