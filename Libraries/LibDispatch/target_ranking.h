#pragma once

#include <functional>
#include <map>
#include <optional>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/dispatch_types.h"
#include "Libraries/LibDispatch/shed_share.h"
#include "Libraries/LibHealth/failure_estimator.h"

namespace pimentopin {

// A target to rank, with its current load and location.
struct RankedTarget {
  TargetId target{};
  // Occupied fraction of the usable slots; may exceed 1.
  double load = 0;
  // Delay of the request's completion relative to its own work; if empty, the load counts instead.
  std::optional<double> delay;
  bool same_domain = false;
};

// Ranks the targets of one service by the expected cost of sending a request to
// them, based on the outcomes of earlier requests.
class TargetRanking {
 public:
  // Removes the history of the targets for which `is_removed` returns true.
  void RemoveTargets(const std::function<bool(TargetId)>& is_removed);
  void RecordStart(TimePoint now, TargetId target);
  // Time of the last request to the target; the epoch if there was none.
  TimePoint LastStart(TargetId target) const;
  void RecordResult(TimePoint now, TargetId target, AttemptResult result);
  // Records an attempt that lasts much longer than usual.
  void RecordOverdue(TimePoint now, TargetId target);

  // Expected cost of sending the request to the target; the lowest is best.
  double Cost(TimePoint now, const SlotRequest& request, const RankedTarget& candidate);
  // Whether the request should wait for another target rather than use this
  // one.
  bool IsUnreliable(TimePoint now, const SlotRequest& request, TargetId target);

 private:
  // Outcomes of the attempts at a target.
  struct History {
    FailureEstimator failure_estimator;
    ShedShare shed_share;
    TimePoint last_start;
    // Valid at `evaluated_at`.
    double failure_probability = 0;
    std::optional<TimePoint> evaluated_at;
  };

  void Observe(TimePoint now, TargetId target, FailureEstimator::Outcome outcome);
  // Returns the target's history with the failure probability at `now`.
  const History& Evaluate(TimePoint now, TargetId target);

  std::map<TargetId, History> histories;
};

}  // namespace pimentopin
