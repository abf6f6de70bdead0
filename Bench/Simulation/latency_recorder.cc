#include "Bench/Simulation/latency_recorder.h"

namespace pimentopin::bench {
namespace {

constexpr unsigned kBins = 2000;
constexpr double kLowestMs = 0.05;
constexpr double kHighestMs = 600'000.0;

}  // namespace

LatencyRecorder::LatencyRecorder()
    : histogram(boost::histogram::make_histogram(Axis(kBins, kLowestMs, kHighestMs))) {}

void LatencyRecorder::Record(Duration latency) {
  const double milliseconds = static_cast<double>(latency.count()) / 1000.0;
  this->histogram(milliseconds);
  this->sum_ms += milliseconds;
  ++this->samples;
}

double LatencyRecorder::QuantileMs(double share) const {
  if (this->samples == 0) {
    return 0.0;
  }
  const double rank = share * static_cast<double>(this->samples);
  double below = 0.0;
  for (auto&& cell : boost::histogram::indexed(this->histogram, boost::histogram::coverage::all)) {
    const double inside = *cell;
    if (below + inside >= rank && inside > 0.0) {
      const double lower = cell.index() < 0 ? kLowestMs : cell.bin().lower();
      const double upper =
          cell.index() >= static_cast<int>(kBins) ? kHighestMs : cell.bin().upper();
      return lower + (upper - lower) * (rank - below) / inside;
    }
    below += inside;
  }
  return kHighestMs;
}

double LatencyRecorder::MeanMs() const {
  return this->samples == 0 ? 0.0 : this->sum_ms / static_cast<double>(this->samples);
}

}  // namespace pimentopin::bench
