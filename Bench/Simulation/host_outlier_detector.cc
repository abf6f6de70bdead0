#include "Bench/Simulation/host_outlier_detector.h"

#include <algorithm>

namespace pimentopin::bench {
namespace {

constexpr std::uint32_t kFailuresInRow = 5;
constexpr std::uint32_t kMinimumSamples = 10;
constexpr double kSlowFactor = 3.0;
constexpr double kMeanWeight = 0.1;
constexpr Duration kBaseEjection = std::chrono::seconds(30);

}  // namespace

HostOutlierDetector::HostOutlierDetector(std::vector<TargetId> service_targets) {
  for (const TargetId target : service_targets) {
    this->targets[target] = {};
  }
}

void HostOutlierDetector::Observe(TimePoint now,
                                  TargetId target,
                                  WorkClass work_class,
                                  AttemptResult result,
                                  Duration service_time) {
  if (result == AttemptResult::kCancelled || result == AttemptResult::kShed) {
    return;
  }
  State& state = this->targets[target];
  if (result == AttemptResult::kSuccess) {
    state.failures_in_row = 0;
  } else {
    ++state.failures_in_row;
  }
  if (result == AttemptResult::kSuccess && work_class == WorkClass::kShort) {
    const auto time = static_cast<double>(service_time.count());
    state.mean_time =
        state.samples == 0 ? time : state.mean_time + kMeanWeight * (time - state.mean_time);
    ++state.samples;
  }
  if (this->IsEjected(now, target) ||
      (state.failures_in_row < kFailuresInRow && !this->IsSlow(target))) {
    return;
  }
  const auto ejected =
      std::count_if(this->targets.begin(), this->targets.end(),
                    [now](const auto& entry) { return entry.second.ejected_until > now; });
  if (2 * (static_cast<std::size_t>(ejected) + 1) > this->targets.size()) {
    return;
  }
  ++state.ejections;
  state.ejected_until = now + kBaseEjection * state.ejections;
  state.failures_in_row = 0;
  state.samples = 0;
}

bool HostOutlierDetector::IsEjected(TimePoint now, TargetId target) const {
  const auto state = this->targets.find(target);
  return state != this->targets.end() && state->second.ejected_until > now;
}

std::uint32_t HostOutlierDetector::ejections(TargetId target) const {
  const auto state = this->targets.find(target);
  return state == this->targets.end() ? 0 : state->second.ejections;
}

bool HostOutlierDetector::IsSlow(TargetId target) const {
  const State& state = this->targets.at(target);
  if (state.samples < kMinimumSamples) {
    return false;
  }
  std::vector<double> others;
  for (const auto& [id, other] : this->targets) {
    if (id != target && other.samples >= kMinimumSamples) {
      others.push_back(other.mean_time);
    }
  }
  if (others.empty()) {
    return false;
  }
  std::nth_element(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2),
                   others.end());
  return state.mean_time > kSlowFactor * others[others.size() / 2];
}

}  // namespace pimentopin::bench
