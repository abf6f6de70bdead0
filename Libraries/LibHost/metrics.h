#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include <boost/histogram.hpp>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Counters, gauges and latency histograms of a host in the Prometheus text format. All
// functions may be called from any thread.
class Metrics {
 public:
  // `labels` is the text between the braces, for example service="parts".
  void IncrementCounter(std::string_view name,
                        std::string_view labels,
                        std::uint64_t increment = 1);
  // Sets a counter whose value is kept elsewhere.
  void SetCounter(std::string_view name, std::string_view labels, std::uint64_t value);
  void SetGauge(std::string_view name, std::string_view labels, double value);
  void ObserveLatency(std::string_view name, std::string_view labels, Duration latency);

  std::string ToText() const;

 private:
  using Key = std::pair<std::string, std::string>;
  using LatencyAxis =
      boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(LatencyAxis()));

  struct LatencySeries {
    Histogram histogram;
    double sum_seconds = 0;
    std::uint64_t count = 0;
  };

  void AppendLatency(std::string& text, const Key& key, const LatencySeries& latency) const;

  mutable std::mutex mutex;
  std::map<Key, std::uint64_t> counters;
  std::map<Key, double> gauges;
  std::map<Key, LatencySeries> latencies;
};

}  // namespace pimentopin
