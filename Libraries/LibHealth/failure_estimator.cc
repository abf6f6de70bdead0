#include "Libraries/LibHealth/failure_estimator.h"

#include <algorithm>
#include <cmath>

namespace pimentopin {
namespace {

// Failure rates of the two states: operators report one to two percent at good targets
// and about three quarters at failing ones.
constexpr double kGoodFailureRate = 0.02;
constexpr double kFailingFailureRate = 0.7;
// A missing response is about as likely to come from a broken path as from a failing
// target.
constexpr double kGoodNoResponseRate = 0.1;
// State transitions per second: a failure lasts about 8 s, and a quarter of the targets
// are failing at any time.
constexpr double kOnsetRatePerSecond = 0.04;
constexpr double kRecoveryRatePerSecond = 0.12;
constexpr double kStationaryFailingProbability =
    kOnsetRatePerSecond / (kOnsetRatePerSecond + kRecoveryRatePerSecond);
// Bounds on the estimate, so that a long series of equal outcomes does not make it
// insensitive to new ones.
constexpr double kMinFailingProbability = 0.005;
constexpr double kMaxFailingProbability = 0.98;

}  // namespace

double FailureEstimator::FailingProbability(TimePoint now) const {
  if (!this->observed_at) {
    return kStationaryFailingProbability;
  }
  const double seconds =
      std::max(0.0, std::chrono::duration<double>(now - *this->observed_at).count());
  const double decay = std::exp(-(kOnsetRatePerSecond + kRecoveryRatePerSecond) * seconds);
  return kStationaryFailingProbability +
         (this->failing_probability - kStationaryFailingProbability) * decay;
}

void FailureEstimator::Observe(TimePoint now, Outcome outcome) {
  const double prior = this->FailingProbability(now);
  double good_likelihood = 1.0 - kGoodFailureRate;
  double failing_likelihood = 1.0 - kFailingFailureRate;
  if (outcome == Outcome::kFailure) {
    good_likelihood = kGoodFailureRate;
    failing_likelihood = kFailingFailureRate;
  } else if (outcome == Outcome::kNoResponse) {
    good_likelihood = kGoodNoResponseRate;
    failing_likelihood = kFailingFailureRate;
  }
  const double marginal_likelihood = prior * failing_likelihood + (1.0 - prior) * good_likelihood;
  this->failing_probability = std::clamp(prior * failing_likelihood / marginal_likelihood,
                                         kMinFailingProbability, kMaxFailingProbability);
  this->observed_at = now;
}

double FailureEstimator::FailureProbability(TimePoint now) const {
  const double failing_probability_now = this->FailingProbability(now);
  return failing_probability_now * kFailingFailureRate +
         (1.0 - failing_probability_now) * kGoodFailureRate;
}

}  // namespace pimentopin
