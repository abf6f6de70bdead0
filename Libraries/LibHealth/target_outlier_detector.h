#pragma once

#include <array>
#include <cstddef>

#include "Libraries/LibCore/time.h"
#include "Libraries/LibHealth/cusum_detector.h"
#include "Libraries/LibHealth/failure_rate.h"
#include "Libraries/LibHealth/service_time_window.h"
#include "Libraries/LibProtocol/slot_messages.h"

namespace pimentopin {

// Detects that one target performs worse than its peers. Detectors come in pairs: a
// sensitive one for mild faults and a fast one for severe faults.
class TargetOutlierDetector {
 public:
  static constexpr std::size_t kWorkClassCount = 2;

  TargetOutlierDetector();

  void AddServiceTime(TimePoint now, WorkClass work_class, double log_time);
  // `log_ratio`: logarithm of the service time over the peers' median, in units of the
  // usual spread. `allowance` is subtracted for a target in ramp-up.
  void CompareServiceTime(TimePoint now, WorkClass work_class, double log_ratio, double allowance);
  // Adds the outcome to the target's own failure rate, which serves as a reference for
  // its peers.
  void AddOutcome(bool failed) { this->failures.Add(failed); }
  // `peer_rate`: failure rate of the peers. Returns the increments, for Retract.
  struct FailureIncrements {
    double sensitive = 0.0;
    double fast = 0.0;
  };
  FailureIncrements CompareOutcome(TimePoint now, bool failed, double peer_rate);
  void Retract(const FailureIncrements& increments);
  // No host can reach the target.
  void SetDown(TimePoint since);
  void ClearDown() { this->down = false; }

  // Restarts the detectors at half of their thresholds, so that a target that is still
  // faulty is detected with less evidence.
  void StartProbation(TimePoint now);
  // Discards all evidence after the fault is over.
  void Clear(TimePoint now);

  bool suspect() const;
  // Current impact per request, comparable between targets: one unit is about 3x slow
  // or 20 % failures. Does not grow with the number of requests.
  double severity() const;
  // Time at which the evidence of an alarmed detector began; `now` if there is none.
  TimePoint FaultStart(TimePoint now) const;

  const ServiceTimeWindow& window(WorkClass work_class) const;
  const FailureRate& failure_rate() const { return this->failures; }

 private:
  struct ClassState {
    ServiceTimeWindow window;
    CusumDetector sensitive;
    CusumDetector fast;
    double recent_log_ratio = 0.0;
  };

  std::array<ClassState, kWorkClassCount> classes;
  FailureRate failures;
  CusumDetector sensitive_failures;
  CusumDetector fast_failures;
  bool down = false;
  TimePoint down_since;
};

}  // namespace pimentopin
