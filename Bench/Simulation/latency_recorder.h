#pragma once

#include <boost/histogram.hpp>

#include <cstdint>
#include <tuple>

#include "Libraries/LibCore/time.h"

namespace pimentopin::bench {

// Latencies in a logarithmic histogram with 0.8 % wide bins.
class LatencyRecorder {
 public:
  LatencyRecorder();

  void Record(Duration latency);
  // `share` in (0, 1); zero without samples. Interpolated within the bin.
  double QuantileMs(double share) const;
  double MeanMs() const;
  std::uint64_t count() const { return this->samples; }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> histogram;
  std::uint64_t samples = 0;
  double sum_ms = 0.0;
};

}  // namespace pimentopin::bench
