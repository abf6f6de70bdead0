#include "Libraries/LibHost/metrics.h"

#include <fmt/format.h>

#include <iterator>

namespace pimentopin {
namespace {

// Two buckets per factor of 2 from 0.1 ms to about 100 s.
constexpr int kBucketCount = 40;
constexpr double kLowestSeconds = 1e-4;
constexpr double kHighestSeconds = 1e-4 * (1 << 20);

std::string FormatLabels(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

}  // namespace

void Metrics::IncrementCounter(std::string_view name,
                               std::string_view labels,
                               std::uint64_t increment) {
  const std::lock_guard lock(this->mutex);
  this->counters[{std::string(name), std::string(labels)}] += increment;
}

void Metrics::SetCounter(std::string_view name, std::string_view labels, std::uint64_t value) {
  const std::lock_guard lock(this->mutex);
  this->counters[{std::string(name), std::string(labels)}] = value;
}

void Metrics::SetGauge(std::string_view name, std::string_view labels, double value) {
  const std::lock_guard lock(this->mutex);
  this->gauges[{std::string(name), std::string(labels)}] = value;
}

void Metrics::ObserveLatency(std::string_view name, std::string_view labels, Duration latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  const std::lock_guard lock(this->mutex);
  const Key key{std::string(name), std::string(labels)};
  auto found = this->latencies.find(key);
  if (found == this->latencies.end()) {
    LatencySeries empty{boost::histogram::make_histogram(
        LatencyAxis(kBucketCount, kLowestSeconds, kHighestSeconds))};
    found = this->latencies.emplace(key, std::move(empty)).first;
  }
  found->second.histogram(seconds);
  found->second.sum_seconds += seconds;
  ++found->second.count;
}

void Metrics::AppendLatency(std::string& text, const Key& key, const LatencySeries& latency) const {
  const auto& [name, labels] = key;
  const std::string prefix = labels.empty() ? "" : labels + ",";
  const auto& axis = latency.histogram.axis();
  auto cumulative = static_cast<std::uint64_t>(latency.histogram.at(-1));
  for (int index = 0; index < axis.size(); ++index) {
    cumulative += static_cast<std::uint64_t>(latency.histogram.at(index));
    fmt::format_to(std::back_inserter(text), "{}_bucket{{{}le=\"{:.6g}\"}} {}\n", name, prefix,
                   axis.bin(index).upper(), cumulative);
  }
  fmt::format_to(std::back_inserter(text), "{}_bucket{{{}le=\"+Inf\"}} {}\n", name, prefix,
                 latency.count);
  fmt::format_to(std::back_inserter(text), "{}_sum{} {}\n{}_count{} {}\n", name,
                 FormatLabels(labels), latency.sum_seconds, name, FormatLabels(labels),
                 latency.count);
}

std::string Metrics::ToText() const {
  const std::lock_guard lock(this->mutex);
  std::string text;
  std::string last_name;
  const auto add_type = [&](const std::string& name, std::string_view type) {
    if (name != last_name) {
      fmt::format_to(std::back_inserter(text), "# TYPE {} {}\n", name, type);
      last_name = name;
    }
  };
  for (const auto& [key, value] : this->counters) {
    add_type(key.first, "counter");
    fmt::format_to(std::back_inserter(text), "{}{} {}\n", key.first, FormatLabels(key.second),
                   value);
  }
  for (const auto& [key, value] : this->gauges) {
    add_type(key.first, "gauge");
    fmt::format_to(std::back_inserter(text), "{}{} {}\n", key.first, FormatLabels(key.second),
                   value);
  }
  for (const auto& [key, latency] : this->latencies) {
    add_type(key.first, "histogram");
    this->AppendLatency(text, key, latency);
  }
  return text;
}

}  // namespace pimentopin
