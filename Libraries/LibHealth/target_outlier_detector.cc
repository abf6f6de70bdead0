#include "Libraries/LibHealth/target_outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace pimentopin {
namespace {

// For exponential service times, a sum reaches its threshold by chance about once in
// exp(21.6) = 2.4e9 samples: the exponent t solves lnGamma(1 + t) = (reference - 0.367)
// t, which gives 1.2 for 0.45 and 3.6 for 1.1, multiplied by the thresholds below.
// References and thresholds are log ratios.
constexpr double kSensitiveTimeReference = 0.45;
constexpr double kSensitiveTimeThreshold = 18.0;
constexpr double kFastTimeReference = 1.1;
constexpr double kFastTimeThreshold = 6.0;
// When several hosts choose the same free target at once, queueing delays a handful of
// requests together for up to 300 ms. In a simulated hour without faults, such bursts
// ejected up to 49 targets.
constexpr Duration kMinSlowDuration = std::chrono::milliseconds(500);
// A burst of 1 s during a demand peak ejected a target through the sensitive detector,
// which may take longer than the fast one.
constexpr Duration kMinMildSlowDuration = std::chrono::milliseconds(1500);
// Bounds the contribution of one request: the fast detector needs 3 samples. A bound of
// 2.5 truncated nearly half of the samples of a 10x slow target.
constexpr double kMaxLogRatio = 3.2;

// Factors on the odds of failure for the log-likelihood ratios. A sum of 16 is reached
// by chance about once in exp(16) outcomes at the peers' rate.
constexpr double kSensitiveOddsFactor = 10.0;
constexpr double kFastOddsFactor = 60.0;
constexpr double kFailureThreshold = 16.0;
// Keeps a single failure from being decisive when the peers have none.
constexpr double kMinPeerFailureRate = 0.005;
constexpr double kMaxPeerFailureRate = 0.9;
// Above this rate the peers fail so often that a failure no longer distinguishes
// targets.
constexpr double kCommonFailureRate = 0.6;
// Margin for the estimation error of the peers' rate.
constexpr double kPeerFailureRateMargin = 1.5;

constexpr double kLogRatioWeight = 0.1;
constexpr double kSeverityPerFailureRate = 5.0;
constexpr double kDownSeverity = 6.0;
constexpr double kProbationHeadStart = 0.5;

CusumDetector SensitiveTimeDetector() {
  return CusumDetector(kSensitiveTimeThreshold, kMinMildSlowDuration);
}

CusumDetector FastTimeDetector() {
  return CusumDetector(kFastTimeThreshold, kMinSlowDuration);
}

double OutcomeIncrement(bool failed, double peer_rate, double odds_factor) {
  const double odds = odds_factor * peer_rate / (1.0 - peer_rate);
  const double faulty_rate = odds / (1.0 + odds);
  return failed ? std::log(faulty_rate / peer_rate)
                : std::log((1.0 - faulty_rate) / (1.0 - peer_rate));
}

}  // namespace

TargetOutlierDetector::TargetOutlierDetector()
    : classes{ClassState{{}, SensitiveTimeDetector(), FastTimeDetector()},
              ClassState{{}, SensitiveTimeDetector(), FastTimeDetector()}},
      sensitive_failures(kFailureThreshold),
      fast_failures(kFailureThreshold) {}

void TargetOutlierDetector::AddServiceTime(TimePoint now, WorkClass work_class, double log_time) {
  this->classes[static_cast<std::size_t>(work_class)].window.Add(now, log_time);
}

void TargetOutlierDetector::CompareServiceTime(TimePoint now,
                                               WorkClass work_class,
                                               double log_ratio,
                                               double allowance) {
  ClassState& state = this->classes[static_cast<std::size_t>(work_class)];
  const double bounded_ratio = std::min(log_ratio - allowance, kMaxLogRatio);
  state.sensitive.Add(now, bounded_ratio - kSensitiveTimeReference);
  state.fast.Add(now, bounded_ratio - kFastTimeReference);
  state.recent_log_ratio +=
      kLogRatioWeight * (std::max(bounded_ratio, -kMaxLogRatio) - state.recent_log_ratio);
}

TargetOutlierDetector::FailureIncrements TargetOutlierDetector::CompareOutcome(TimePoint now,
                                                                               bool failed,
                                                                               double peer_rate) {
  if (failed && peer_rate >= kCommonFailureRate) {
    return {};
  }
  const double reference_rate =
      std::clamp(kPeerFailureRateMargin * peer_rate, kMinPeerFailureRate, kMaxPeerFailureRate);
  const FailureIncrements increments{OutcomeIncrement(failed, reference_rate, kSensitiveOddsFactor),
                                     OutcomeIncrement(failed, reference_rate, kFastOddsFactor)};
  this->sensitive_failures.Add(now, increments.sensitive);
  this->fast_failures.Add(now, increments.fast);
  return increments;
}

void TargetOutlierDetector::Retract(const FailureIncrements& increments) {
  this->sensitive_failures.Retract(increments.sensitive);
  this->fast_failures.Retract(increments.fast);
}

void TargetOutlierDetector::SetDown(TimePoint since) {
  if (!this->down) {
    this->down = true;
    this->down_since = since;
  }
}

void TargetOutlierDetector::StartProbation(TimePoint now) {
  for (ClassState& state : this->classes) {
    state.sensitive.Restart(now, kProbationHeadStart);
    state.fast.Restart(now, kProbationHeadStart);
  }
  this->sensitive_failures.Restart(now, kProbationHeadStart);
  this->fast_failures.Restart(now, kProbationHeadStart);
  this->down = false;
}

void TargetOutlierDetector::Clear(TimePoint now) {
  for (ClassState& state : this->classes) {
    state.sensitive.Restart(now, 0.0);
    state.fast.Restart(now, 0.0);
    state.recent_log_ratio = 0.0;
  }
  this->sensitive_failures.Restart(now, 0.0);
  this->fast_failures.Restart(now, 0.0);
  this->failures = {};
  this->down = false;
}

bool TargetOutlierDetector::suspect() const {
  return this->down || this->sensitive_failures.alarmed() || this->fast_failures.alarmed() ||
         std::any_of(this->classes.begin(), this->classes.end(), [](const ClassState& state) {
           return state.sensitive.alarmed() || state.fast.alarmed();
         });
}

double TargetOutlierDetector::severity() const {
  if (this->down) {
    return kDownSeverity;
  }
  double slowness = 0.0;
  for (const ClassState& state : this->classes) {
    slowness = std::max(slowness, state.recent_log_ratio);
  }
  return slowness + kSeverityPerFailureRate * this->failures.recent();
}

TimePoint TargetOutlierDetector::FaultStart(TimePoint now) const {
  TimePoint start = now;
  const auto consider = [&start](const CusumDetector& detector) {
    if (detector.alarmed()) {
      start = std::min(start, detector.rising_since());
    }
  };
  for (const ClassState& state : this->classes) {
    consider(state.sensitive);
    consider(state.fast);
  }
  consider(this->sensitive_failures);
  consider(this->fast_failures);
  return this->down ? std::min(start, this->down_since) : start;
}

const ServiceTimeWindow& TargetOutlierDetector::window(WorkClass work_class) const {
  return this->classes[static_cast<std::size_t>(work_class)].window;
}

}  // namespace pimentopin
