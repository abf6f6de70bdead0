#include "Libraries/LibDispatch/ejection_trials.h"

namespace pimentopin {

RetryBudget& EjectionTrials::BudgetOf(const SlotRequest& request) {
  return request.idempotent ? this->idempotent_trials : this->other_trials;
}

void EjectionTrials::RecordFirstAttempt(TimePoint now) {
  this->idempotent_trials.RecordFirstAttempt(now);
  this->other_trials.RecordFirstAttempt(now);
}

bool EjectionTrials::MayTry(TimePoint now,
                            const SlotRequest& request,
                            TargetId target,
                            TimePoint last_start) {
  const auto last_trial = this->last_trials.find(target);
  const bool recently_tried =
      last_trial != this->last_trials.end() && now - last_trial->second < kLongInterval;
  // A retry is mostly the last attempt of its request.
  return !request.is_retry && !recently_tried &&
         now - last_start >= (request.idempotent ? kInterval : kLongInterval) &&
         this->active(now) && this->BudgetOf(request).Allows(now);
}

void EjectionTrials::RecordTrial(TimePoint now, const SlotRequest& request, TargetId target) {
  std::erase_if(this->last_trials,
                [now](const auto& entry) { return now - entry.second >= kLongInterval; });
  this->last_trials[target] = now;
  this->BudgetOf(request).RecordRetry(now);
}

}  // namespace pimentopin
