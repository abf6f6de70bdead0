#include "Bench/Simulation/latency_recorder.h"

namespace pimentopin::bench {
namespace {

constexpr unsigned kBinCount = 2000;
constexpr double kMinimumMs = 0.05;
constexpr double kMaximumMs = 600'000.0;

}  // namespace

LatencyRecorder::LatencyRecorder()
    : histogram(boost::histogram::make_histogram(Axis(kBinCount, kMinimumMs, kMaximumMs))) {}

void LatencyRecorder::Record(Duration latency) {
  const double milliseconds = static_cast<double>(latency.count()) / 1000.0;
  this->histogram(milliseconds);
  this->sum_ms += milliseconds;
  ++this->samples;
}

double LatencyRecorder::QuantileMs(double quantile) const {
  if (this->samples == 0) {
    return 0.0;
  }
  const double rank = quantile * static_cast<double>(this->samples);
  double cumulative_count = 0.0;
  for (auto&& cell : boost::histogram::indexed(this->histogram, boost::histogram::coverage::all)) {
    const double bin_count = *cell;
    if (cumulative_count + bin_count >= rank && bin_count > 0.0) {
      const double lower = cell.index() < 0 ? kMinimumMs : cell.bin().lower();
      const double upper =
          cell.index() >= static_cast<int>(kBinCount) ? kMaximumMs : cell.bin().upper();
      return lower + (upper - lower) * (rank - cumulative_count) / bin_count;
    }
    cumulative_count += bin_count;
  }
  return kMaximumMs;
}

double LatencyRecorder::MeanMs() const {
  return this->samples == 0 ? 0.0 : this->sum_ms / static_cast<double>(this->samples);
}

}  // namespace pimentopin::bench
