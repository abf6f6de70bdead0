#pragma once

#include <boost/histogram.hpp>

#include <cstdint>
#include <tuple>

#include "Libraries/LibCore/time.h"

namespace pimentopin::bench {

// Records latencies in a logarithmic histogram whose bins are 0.8 % wide.
class LatencyRecorder {
 public:
  LatencyRecorder();

  void Record(Duration latency);
  // Returns the latency at `quantile`, which is in (0, 1), interpolated within its
  // bin. Returns zero if there are no samples.
  double QuantileMs(double quantile) const;
  double MeanMs() const;
  std::uint64_t count() const { return this->samples; }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> histogram;
  std::uint64_t samples = 0;
  double sum_ms = 0.0;
};

}  // namespace pimentopin::bench
