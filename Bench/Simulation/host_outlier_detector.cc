#include "Bench/Simulation/host_outlier_detector.h"

#include <algorithm>

namespace pimentopin::bench {
namespace {

constexpr std::uint32_t kConsecutiveFailureLimit = 5;
constexpr std::uint32_t kMinSamples = 10;
constexpr double kSlowFactor = 3.0;
constexpr double kMovingAverageWeight = 0.1;
constexpr Duration kBaseEjectionTime = std::chrono::seconds(30);

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
    state.consecutive_failures = 0;
  } else {
    ++state.consecutive_failures;
  }
  if (result == AttemptResult::kSuccess && work_class == WorkClass::kShort) {
    const auto service_time_us = static_cast<double>(service_time.count());
    state.mean_service_time_us =
        state.samples == 0
            ? service_time_us
            : state.mean_service_time_us +
                  kMovingAverageWeight * (service_time_us - state.mean_service_time_us);
    ++state.samples;
  }
  if (this->IsEjected(now, target) ||
      (state.consecutive_failures < kConsecutiveFailureLimit && !this->IsSlow(target))) {
    return;
  }
  const auto ejected =
      std::count_if(this->targets.begin(), this->targets.end(),
                    [now](const auto& entry) { return entry.second.ejected_until > now; });
  if (2 * (static_cast<std::size_t>(ejected) + 1) > this->targets.size()) {
    return;
  }
  ++state.ejections;
  state.ejected_until = now + kBaseEjectionTime * state.ejections;
  state.consecutive_failures = 0;
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
  if (state.samples < kMinSamples) {
    return false;
  }
  std::vector<double> other_means;
  for (const auto& [id, other] : this->targets) {
    if (id != target && other.samples >= kMinSamples) {
      other_means.push_back(other.mean_service_time_us);
    }
  }
  if (other_means.empty()) {
    return false;
  }
  std::nth_element(other_means.begin(),
                   other_means.begin() + static_cast<std::ptrdiff_t>(other_means.size() / 2),
                   other_means.end());
  return state.mean_service_time_us > kSlowFactor * other_means[other_means.size() / 2];
}

}  // namespace pimentopin::bench
