#include "Libraries/LibHealth/target_evidence.h"

#include <algorithm>
#include <cmath>

namespace pimentopin {
namespace {

// For exponential service times the sums reach their thresholds by chance
// about once in exp(21.6) = 2.4e9 samples: the exponent t solves
// lnGamma(1 + t) = (reference - 0.367) t, which gives 1.2 for 0.45 and 3.6 for
// 1.1, times the thresholds below.
constexpr double kSensitiveTimeReference = 0.45;
constexpr double kSensitiveTimeThreshold = 18.0;
constexpr double kFastTimeReference = 1.1;
constexpr double kFastTimeThreshold = 6.0;
// When several hosts choose the same free target at once, its own queue delays
// a handful of requests together for up to 300 ms. In a simulated healthy hour
// such bursts ejected up to 49 targets.
constexpr Duration kShortestSlowness = std::chrono::milliseconds(500);
// A burst of 1 s during a demand peak ejected a target through the sensitive
// detector, which may take longer than the fast one.
constexpr Duration kShortestMildSlowness = std::chrono::milliseconds(1500);
// Bounds what one request can prove: the fast detector needs 3 samples. A bound
// of 2.5 cut off nearly half of the samples of a 10x slow target.
constexpr double kMaximumLogRatio = 3.2;

// Log-likelihood ratios of failure odds raised by these factors; a sum of 16
// is reached by chance about once in exp(16) outcomes at the peers' rate.
constexpr double kSensitiveOddsFactor = 10.0;
constexpr double kFastOddsFactor = 60.0;
constexpr double kFailureThreshold = 16.0;
// Peers without failures must not make a single failure decisive.
constexpr double kMinimumPeerRate = 0.005;
constexpr double kMaximumPeerRate = 0.9;
// Beyond this rate the peers are so close to failing always that a failure no
// longer tells targets apart.
constexpr double kCommonFailureRate = 0.6;
// Margin for the error of the peers' estimated rate.
constexpr double kPeerRateMargin = 1.5;

constexpr double kRecentWeight = 0.1;
constexpr double kFailureSeverity = 5.0;
constexpr double kDownSeverity = 6.0;
constexpr double kProbationHeadStart = 0.5;

CusumDetector SensitiveTimeDetector() {
  return CusumDetector(kSensitiveTimeThreshold, kShortestMildSlowness);
}

CusumDetector FastTimeDetector() {
  return CusumDetector(kFastTimeThreshold, kShortestSlowness);
}

double OutcomeIncrement(bool failed, double peer_rate, double odds_factor) {
  const double odds = odds_factor * peer_rate / (1.0 - peer_rate);
  const double sick_rate = odds / (1.0 + odds);
  return failed ? std::log(sick_rate / peer_rate) : std::log((1.0 - sick_rate) / (1.0 - peer_rate));
}

}  // namespace

TargetEvidence::TargetEvidence()
    : classes{ClassEvidence{{}, SensitiveTimeDetector(), FastTimeDetector()},
              ClassEvidence{{}, SensitiveTimeDetector(), FastTimeDetector()}},
      sensitive_failures(kFailureThreshold),
      fast_failures(kFailureThreshold) {}

void TargetEvidence::AddServiceTime(TimePoint now, WorkClass work_class, double log_time) {
  this->classes[static_cast<std::size_t>(work_class)].window.Add(now, log_time);
}

void TargetEvidence::CompareServiceTime(TimePoint now,
                                        WorkClass work_class,
                                        double log_ratio,
                                        double allowance) {
  ClassEvidence& evidence = this->classes[static_cast<std::size_t>(work_class)];
  const double bounded = std::min(log_ratio - allowance, kMaximumLogRatio);
  evidence.sensitive.Add(now, bounded - kSensitiveTimeReference);
  evidence.fast.Add(now, bounded - kFastTimeReference);
  evidence.recent_log_ratio +=
      kRecentWeight * (std::max(bounded, -kMaximumLogRatio) - evidence.recent_log_ratio);
}

TargetEvidence::FailureIncrements TargetEvidence::CompareOutcome(TimePoint now,
                                                                 bool failed,
                                                                 double peer_rate) {
  if (failed && peer_rate >= kCommonFailureRate) {
    return {};
  }
  const double rate = std::clamp(kPeerRateMargin * peer_rate, kMinimumPeerRate, kMaximumPeerRate);
  const FailureIncrements increments{OutcomeIncrement(failed, rate, kSensitiveOddsFactor),
                                     OutcomeIncrement(failed, rate, kFastOddsFactor)};
  this->sensitive_failures.Add(now, increments.sensitive);
  this->fast_failures.Add(now, increments.fast);
  return increments;
}

void TargetEvidence::Retract(const FailureIncrements& increments) {
  this->sensitive_failures.Retract(increments.sensitive);
  this->fast_failures.Retract(increments.fast);
}

void TargetEvidence::SetDown(TimePoint since) {
  if (!this->down) {
    this->down = true;
    this->down_since = since;
  }
}

void TargetEvidence::StartProbation(TimePoint now) {
  for (ClassEvidence& evidence : this->classes) {
    evidence.sensitive.Restart(now, kProbationHeadStart);
    evidence.fast.Restart(now, kProbationHeadStart);
  }
  this->sensitive_failures.Restart(now, kProbationHeadStart);
  this->fast_failures.Restart(now, kProbationHeadStart);
  this->down = false;
}

void TargetEvidence::Clear(TimePoint now) {
  for (ClassEvidence& evidence : this->classes) {
    evidence.sensitive.Restart(now, 0.0);
    evidence.fast.Restart(now, 0.0);
    evidence.recent_log_ratio = 0.0;
  }
  this->sensitive_failures.Restart(now, 0.0);
  this->fast_failures.Restart(now, 0.0);
  this->failures = {};
  this->down = false;
}

bool TargetEvidence::suspect() const {
  return this->down || this->sensitive_failures.alarmed() || this->fast_failures.alarmed() ||
         std::any_of(this->classes.begin(), this->classes.end(), [](const ClassEvidence& evidence) {
           return evidence.sensitive.alarmed() || evidence.fast.alarmed();
         });
}

double TargetEvidence::severity() const {
  if (this->down) {
    return kDownSeverity;
  }
  double slowness = 0.0;
  for (const ClassEvidence& evidence : this->classes) {
    slowness = std::max(slowness, evidence.recent_log_ratio);
  }
  return slowness + kFailureSeverity * this->failures.recent();
}

TimePoint TargetEvidence::EpisodeStart(TimePoint now) const {
  TimePoint start = now;
  const auto consider = [&start](const CusumDetector& detector) {
    if (detector.alarmed()) {
      start = std::min(start, detector.rising_since());
    }
  };
  for (const ClassEvidence& evidence : this->classes) {
    consider(evidence.sensitive);
    consider(evidence.fast);
  }
  consider(this->sensitive_failures);
  consider(this->fast_failures);
  return this->down ? std::min(start, this->down_since) : start;
}

const ServiceTimeWindow& TargetEvidence::window(WorkClass work_class) const {
  return this->classes[static_cast<std::size_t>(work_class)].window;
}

}  // namespace pimentopin
