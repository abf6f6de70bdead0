#pragma once

#include <optional>

#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Estimates the probability that a target fails its next request. The estimate reacts
// to single outcomes, so that requests move away from a failing target after its first
// failure. It is used to rank targets and never ejects one.
//
// The model is a two-state hidden Markov model: a good target fails rarely, a failing
// one mostly, and a target may change its state at any time.
class FailureEstimator {
 public:
  enum class Outcome {
    kSuccess,
    kFailure,
    // No response arrived; the network path may be the cause.
    kNoResponse,
  };

  void Observe(TimePoint now, Outcome outcome);
  double FailureProbability(TimePoint now) const;
  // Returns false before the first outcome.
  bool observed() const { return this->observed_at.has_value(); }

 private:
  double FailingProbability(TimePoint now) const;

  // Probability of the failing state after the last outcome.
  double failing_probability = 0.0;
  std::optional<TimePoint> observed_at;
};

}  // namespace pimentopin
