#pragma once

#include <functional>
#include <map>
#include <optional>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/dispatch_types.h"
#include "Libraries/LibHealth/failure_estimator.h"

namespace pimentopin {

// What the choice of a target depends on, beside the target's history.
struct TargetUse {
  TargetId target{};
  // Occupied part of the usable slots; may exceed 1.
  double load = 0;
  bool same_domain = false;
};

// Ranks the targets of one service by the harm that a request has to expect
// from them, learned from the outcomes of earlier requests.
class TargetRanking {
 public:
  // Forgets the targets for which `is_gone` is true.
  void Forget(const std::function<bool(TargetId)>& is_gone);
  void RecordStart(TimePoint now, TargetId target);
  void RecordResult(TimePoint now, TargetId target, AttemptResult result);
  // An attempt that lasts much longer than usual.
  void RecordOverdue(TimePoint now, TargetId target);

  // Expected harm of sending the request to the target; the least is best.
  double Cost(TimePoint now, const SlotRequest& request, const TargetUse& use);
  // True if the request had better wait for another target than use this one.
  bool IsDistrusted(TimePoint now, const SlotRequest& request, TargetId target);

 private:
  // What became of the starts on a target.
  struct History {
    FailureEstimator odds;
    TimePoint last_start;
    // As of `evaluated_at`.
    double failure_probability = 0;
    std::optional<TimePoint> evaluated_at;
  };

  void Observe(TimePoint now, TargetId target, FailureEstimator::Outcome outcome);
  // The target's history with its probability of failure at `now`.
  const History& Evaluate(TimePoint now, TargetId target);

  std::map<TargetId, History> histories;
};

}  // namespace pimentopin
