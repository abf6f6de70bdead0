#pragma once

#include <map>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/retry_budget.h"
#include "Libraries/LibDispatch/unserved_share.h"
#include "Libraries/LibProtocol/slot_messages.h"

namespace pimentopin {

// Decides when a request may test an ejected target. Ejections outlast short faults. While a
// service cannot serve many of its requests, targets that have recovered must not stay idle.
class EjectionTrials {
 public:
  // An ejected target is not tested within this time after its last request.
  static constexpr Duration kInterval = std::chrono::milliseconds(1200);
  // The same after a test that failed, and for requests that cannot be retried. Faults that end by
  // themselves last some seconds.
  static constexpr Duration kLongInterval = std::chrono::seconds(4);

  // Records the end of a request or of an attempt.
  void RecordOutcome(TimePoint now, bool served) { this->unserved.Record(now, served); }
  void RecordFirstAttempt(TimePoint now);
  // True if ejected targets may be tested at all.
  bool active(TimePoint now) const { return this->unserved.IsHigh(now); }
  // Whether the request may go to an idle ejected target that last received one at `last_start`.
  bool MayTry(TimePoint now, const SlotRequest& request, TargetId target, TimePoint last_start);
  void RecordTrial(TimePoint now, const SlotRequest& request, TargetId target);

 private:
  RetryBudget& BudgetOf(const SlotRequest& request);

  UnservedShare unserved;
  // A failed trial of an idempotent request costs a retry, of another one the request.
  RetryBudget idempotent_trials{{.fraction = 0.05}};
  RetryBudget other_trials{{.fraction = 0.01}};
  // Time of the last test of each target.
  std::map<TargetId, TimePoint> last_trials;
};

}  // namespace pimentopin
