#include "Libraries/LibDispatch/target_work.h"

#include <algorithm>
#include <cmath>

namespace pimentopin {
namespace {

// Bounds of the ratio of an attempt's duration to its expectation, so that single attempts of the
// long tail do not make a target look slow.
constexpr double kMinRatio = 0.1;
constexpr double kMaxRatio = 4.0;
// Time after which a ratio counts 1/e. A target that was started cold is fast after some seconds.
constexpr double kRatioMemorySeconds = 4.0;
// Weight of the assumption that a target is as fast as the others.
constexpr double kUsualSpeedWeight = 6.0;
// Differences within this are noise.
constexpr double kMinSlowness = 1.2;
constexpr double kMaxFastness = 0.83;
// Slowness from which operators are told.
constexpr double kReportedSlowness = 1.5;
constexpr Duration kSpeedChangeInterval = std::chrono::seconds(1);
// A stated load describes other brokers' attempts, which come and go.
constexpr double kStatementMemorySeconds = 1.0;
constexpr double kTrustGain = 0.05;
constexpr double kTrustLoss = 0.8;
constexpr double kMinRestUs = 1000.0;
// Rests change slowly in comparison with the rate of requests.
constexpr Duration kRateValidity = std::chrono::milliseconds(5);
constexpr double kMaxRelativeDelay = 4.0;

double Microseconds(Duration duration) {
  return static_cast<double>(duration.count());
}

}  // namespace

double ExpectedCompletion::RelativeDelay() const {
  if (this->work <= Duration::zero()) {
    return 0.0;
  }
  return std::min(kMaxRelativeDelay,
                  Microseconds(this->Total() - this->work) / Microseconds(this->work));
}

double TargetWork::DecayingAverage::WeightAt(TimePoint now) const {
  return this->weight *
         std::exp(-std::max(0.0, ToSeconds(now - this->updated_at)) / kRatioMemorySeconds);
}

void TargetWork::DecayingAverage::Add(TimePoint now, double value) {
  const double kept = this->weight > 0 ? this->WeightAt(now) / this->weight : 0.0;
  this->sum = this->sum * kept + value;
  this->weight = this->weight * kept + 1.0;
  this->updated_at = now;
}

void TargetWork::RemoveTargets(const std::function<bool(TargetId)>& is_removed) {
  std::erase_if(this->targets, [&is_removed](const auto& item) { return is_removed(item.first); });
}

double TargetWork::Slowness(TimePoint now, TargetId target) const {
  const auto found = this->targets.find(target);
  if (found == this->targets.end() || this->fleet_slowness.weight <= 0) {
    return 1.0;
  }
  const DecayingAverage& own = found->second.slowness;
  const double weight = own.WeightAt(now);
  if (weight <= 0) {
    return 1.0;
  }
  // Relative to all targets: if all slow down, none is slow.
  const double usual = this->fleet_slowness.sum / this->fleet_slowness.weight;
  const double relative =
      (own.sum / own.weight * weight / usual + kUsualSpeedWeight) / (weight + kUsualSpeedWeight);
  return relative >= kMinSlowness || relative <= kMaxFastness ? relative : 1.0;
}

std::vector<SpeedChange> TargetWork::TakeSpeedChanges(TimePoint now) {
  std::vector<SpeedChange> changes;
  if (now - this->changes_taken_at < kSpeedChangeInterval) {
    return changes;
  }
  this->changes_taken_at = now;
  for (auto& [target, state] : this->targets) {
    const double slowness = this->Slowness(now, target);
    const bool slow = slowness >= (state.reported_slow ? kMinSlowness : kReportedSlowness);
    if (slow != state.reported_slow) {
      state.reported_slow = slow;
      changes.push_back({.target = target, .slow = slow, .slowness = slowness});
    }
  }
  return changes;
}

double TargetWork::ForeignAttempts(TimePoint now, TargetId target) const {
  const auto found = this->targets.find(target);
  if (found == this->targets.end()) {
    return 0.0;
  }
  const State& state = found->second;
  return state.foreign_attempts * state.trust *
         std::exp(-std::max(0.0, ToSeconds(now - state.stated_at)) / kStatementMemorySeconds);
}

double TargetWork::EndRate(TimePoint now,
                           State& state,
                           std::uint32_t slots,
                           double slowness,
                           const std::vector<const SlotHolder*>& holders) {
  const SlotHolder* const oldest = holders.empty() ? nullptr : holders.front();
  if (state.rated_attempts == holders.size() && state.rated_oldest == oldest &&
      now - state.rated_at < kRateValidity) {
    return state.end_rate;
  }
  // The target runs its requests in the order in which they came, so the first ones are those that
  // run.
  double rate = 0;
  for (std::size_t index = 0; index < std::min<std::size_t>(holders.size(), slots); ++index) {
    const SlotHolder& holder = *holders[index];
    const Duration age =
        std::max<Duration>(now - holder.held_since - holder.expected_wait, Duration::zero());
    const double rest_us = Microseconds(this->work_estimate.Rest(
                               holder.work, FromMicroseconds(Microseconds(age) / slowness))) *
                           slowness;
    rate += 1.0 / std::max(rest_us, kMinRestUs);
  }
  state.end_rate = rate;
  state.rated_at = now;
  state.rated_attempts = holders.size();
  state.rated_oldest = oldest;
  return rate;
}

ExpectedCompletion TargetWork::Expect(TimePoint now,
                                      TargetId target,
                                      std::uint32_t slots,
                                      const std::vector<const SlotHolder*>& holders,
                                      const WorkTraits& traits) {
  ExpectedCompletion expected{.work = this->work_estimate.Mean(traits),
                              .slowness = this->Slowness(now, target)};
  const double foreign = this->ForeignAttempts(now, target);
  const double usable = std::max<std::uint32_t>(slots, 1);
  const double known = static_cast<double>(holders.size());
  const double ahead_of_known = std::max(0.0, known + 1.0 - usable);
  const double ahead_of_all = std::max(0.0, known + foreign + 1.0 - usable);
  if (ahead_of_all <= 0) {
    return expected;
  }
  const std::size_t running = std::min<std::size_t>(holders.size(), slots);
  double rate = this->EndRate(now, this->targets[target], slots, expected.slowness, holders);
  const double mean_us = std::max(
      Microseconds(this->work_estimate.Mean({.work_class = traits.work_class})) * expected.slowness,
      kMinRestUs);
  rate += std::min(foreign, usable - static_cast<double>(running)) / mean_us;
  if (rate <= 0) {
    return expected;
  }
  expected.wait = FromMicroseconds(ahead_of_known / rate);
  expected.stated_wait = FromMicroseconds(ahead_of_all / rate) - expected.wait;
  return expected;
}

Duration TargetWork::Outstanding(TimePoint now,
                                 TargetId target,
                                 const std::vector<const SlotHolder*>& holders) const {
  Duration sum{};
  for (const SlotHolder* holder : holders) {
    sum += this->work_estimate.Rest(holder->work, now - holder->held_since);
  }
  return FromMicroseconds(Microseconds(sum) * this->Slowness(now, target));
}

void TargetWork::RecordEnd(TimePoint now,
                           const SlotHolder& holder,
                           AttemptResult result,
                           Duration lasted) {
  const bool is_complete = result == AttemptResult::kSuccess;
  if (!is_complete && result != AttemptResult::kTimeout) {
    return;
  }
  const Duration expected = holder.expected_wait + holder.expected_run;
  if (holder.expected_run <= Duration::zero()) {
    if (is_complete) {
      this->work_estimate.Observe(holder.work, lasted);
    }
    return;
  }
  const double ratio = Microseconds(lasted) / Microseconds(expected);
  State& state = this->targets[holder.target];
  // The expectation contains the slowness at the start, which the average must not lose.
  const double slowness = std::clamp(ratio, kMinRatio, kMaxRatio) * holder.slowness;
  state.slowness.Add(now, slowness);
  this->fleet_slowness.Add(now, slowness);
  if (is_complete) {
    // Takes out the wait in the target's queue and the slowness of the target.
    this->work_estimate.Observe(
        holder.work, FromMicroseconds(Microseconds(holder.expected_run) / holder.slowness * ratio));
  }
  if (holder.stated_wait > Duration::zero()) {
    const bool waited = lasted >= expected + holder.stated_wait / 2;
    state.trust = waited ? std::min(1.0, state.trust + kTrustGain) : state.trust * kTrustLoss;
  }
}

void TargetWork::RecordLoad(TimePoint now,
                            TargetId target,
                            std::size_t known,
                            const TargetLoad& load) {
  const double stated = static_cast<double>(load.running) + static_cast<double>(load.waiting);
  State& state = this->targets[target];
  state.stated_at = now;
  state.foreign_attempts =
      std::clamp(stated - static_cast<double>(known), 0.0, 2.0 * static_cast<double>(load.slots));
}

}  // namespace pimentopin
