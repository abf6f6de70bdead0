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

// Distribution of durations on a logarithmic axis from 100 microseconds to
// 10,000 seconds with 40 buckets per decade: a percentile is at most 6 % above
// the true value. All histograms have the same buckets and can be added.
class LatencyHistogram {
 public:
  // Bucket 0 holds what is below the axis, the last one what is above it.
  static constexpr std::size_t kBuckets = 8 * 40 + 2;
  // No sum of counts may overflow, whatever a stored summary claims.
  static constexpr std::uint64_t kMaxBucketCount = std::uint64_t{1} << 48;

  LatencyHistogram();

  void Add(Duration duration);
  void Add(const LatencyHistogram& other);

  std::uint64_t count() const;
  // Upper edge of the bucket that holds the given fraction (above 0, up to 1)
  // of the durations; the end of the axis for durations beyond it. Absent if
  // the histogram is empty.
  std::optional<Duration> Percentile(double fraction) const;

  // Counts above zero by bucket, and the way back; absent if a bucket does not
  // exist or a count is out of range.
  std::map<std::size_t, std::uint64_t> Counts() const;
  static std::optional<LatencyHistogram> FromCounts(
      const std::map<std::size_t, std::uint64_t>& counts);

  friend bool operator==(const LatencyHistogram&, const LatencyHistogram&) = default;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

  // Cells grow with their counts, so that an unused one takes one byte.
  boost::histogram::histogram<std::tuple<Axis>> seconds;
};

}  // namespace pimentopin
