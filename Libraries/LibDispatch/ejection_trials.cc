#include "Libraries/LibDispatch/ejection_trials.h"

namespace pimentopin {
namespace {

// Faults that end by themselves last some seconds. A request that cannot be retried tests a target
// only after this time.
constexpr Duration kMinIdleTime = std::chrono::seconds(4);

}  // namespace

RetryBudget& EjectionTrials::BudgetOf(const SlotRequest& request) {
  return request.idempotent ? this->idempotent_trials : this->other_trials;
}

void EjectionTrials::RecordFirstAttempt(TimePoint now) {
  this->idempotent_trials.RecordFirstAttempt(now);
  this->other_trials.RecordFirstAttempt(now);
}

bool EjectionTrials::MayTry(TimePoint now, const SlotRequest& request, TimePoint last_start) {
  // A retry is mostly the last attempt of its request.
  return !request.is_retry && now - last_start >= (request.idempotent ? kInterval : kMinIdleTime) &&
         this->active(now) && this->BudgetOf(request).Allows(now);
}

void EjectionTrials::RecordTrial(TimePoint now, const SlotRequest& request) {
  this->BudgetOf(request).RecordRetry(now);
}

}  // namespace pimentopin
