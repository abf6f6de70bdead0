#pragma once

#include <array>
#include <cstddef>
#include <vector>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Most recent service times of one target and work class, as natural logarithms of
// milliseconds.
class ServiceTimeWindow {
 public:
  static constexpr std::size_t kCapacity = 31;

  void Add(TimePoint now, double log_time);

  // Returns false if there is no sample or the last one is older than 10 min.
  bool usable(TimePoint now) const;
  // Median of the window. Requires a sample.
  double median() const { return this->cached_median; }
  // Logarithm of the ratio of the 90 % quantile to the median. Requires a sample.
  double LogP90ToMedian() const;
  // Appends the newest samples, at most `limit` of them.
  void AppendNewest(std::size_t limit, std::vector<double>& samples) const;
  std::size_t size() const { return this->count; }

 private:
  double Quantile(double probability) const;

  std::array<double, kCapacity> samples{};
  std::size_t next_index = 0;
  std::size_t count = 0;
  double cached_median = 0.0;
  TimePoint last_sample;
};

}  // namespace pimentopin
