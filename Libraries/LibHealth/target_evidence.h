#pragma once

#include <array>
#include <cstddef>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibHealth/cusum_detector.h"
#include "Libraries/LibHealth/failure_rate.h"
#include "Libraries/LibHealth/service_time_window.h"
#include "Libraries/LibProtocol/slot_messages.h"

namespace pimentopin {

// Evidence that one target is sick, relative to its peers. Detectors come in
// pairs: a sensitive one for mild and a fast one for gross faults.
class TargetEvidence {
 public:
  static constexpr std::size_t kClasses = 2;

  TargetEvidence();

  void AddServiceTime(TimePoint now, WorkClass work_class, double log_time);
  // `log_ratio`: logarithm of service time over the peers' median, in units of
  // the usual spread. `allowance` is subtracted for a target that warms up.
  void CompareServiceTime(TimePoint now, WorkClass work_class, double log_ratio, double allowance);
  // Enters the outcome into the own failure rate, which peers are compared with.
  void AddOutcome(bool failed) { this->failures.Add(failed); }
  // `peer_rate`: failure rate of the peers. Returns the increments, for Retract.
  struct FailureIncrements {
    double sensitive = 0.0;
    double fast = 0.0;
  };
  FailureIncrements CompareOutcome(TimePoint now, bool failed, double peer_rate);
  void Retract(const FailureIncrements& increments);
  // Every path to the target fails.
  void SetDown(TimePoint since);
  void ClearDown() { this->down = false; }

  // Detectors start again at half of their thresholds, so that a target that
  // is still sick is recognised with less evidence.
  void StartProbation(TimePoint now);
  // Forgets the evidence of an episode that is over.
  void Clear(TimePoint now);

  bool suspect() const;
  // Harm per request now, comparable between targets: a unit is about 3x slow
  // or 20 % failures. Does not grow with the number of requests.
  double severity() const;
  // When the evidence of an alarmed detector began; `now` if there is none.
  TimePoint EpisodeStart(TimePoint now) const;

  const ServiceTimeWindow& window(WorkClass work_class) const;
  const FailureRate& failure_rate() const { return this->failures; }

 private:
  struct ClassEvidence {
    ServiceTimeWindow window;
    CusumDetector sensitive;
    CusumDetector fast;
    double recent_log_ratio = 0.0;
  };

  std::array<ClassEvidence, kClasses> classes;
  FailureRate failures;
  CusumDetector sensitive_failures;
  CusumDetector fast_failures;
  bool down = false;
  TimePoint down_since;
};

}  // namespace pimentopin
