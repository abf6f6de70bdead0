#include "Libraries/LibDispatch/target_ranking.h"

namespace pimentopin {
namespace {

// Weights of the expected harm of a choice. A failed non-idempotent request is
// lost, a failed idempotent one costs a retry; a full target costs a wait.
constexpr double kFailureCost = 1.0;
constexpr double kIdempotentFailureCost = 0.4;
constexpr double kLoadCost = 0.25;
// Crossing failure domains costs time, and for large answers bandwidth.
constexpr double kForeignDomainCost = 0.005;
constexpr double kForeignDomainBulkCost = 0.5;
// A target that has not served yet gets a request soon, to become known.
constexpr double kUnknownTargetBonus = 0.3;
// A target gets a request at least this often, unless it is likely to fail it.
// Without it, work gathers at the targets that served last, and of a large
// service less than the floor is in use within any 2 s. Idempotent work can be
// repeated, so it also finds out which targets have recovered.
constexpr Duration kRevisitInterval = std::chrono::milliseconds(1200);
constexpr double kNeglectedTargetBonus = 0.3;
constexpr double kRevisitBound = 0.33;
constexpr double kIdempotentRevisitBound = 0.6;
// Probability of failure above which a request waits for another target.
constexpr double kDistrust = 0.35;
constexpr double kIdempotentDistrust = 0.6;

// A failure of this attempt can be made good by another one. Most routes allow
// two, so that a retry is the last.
bool IsExpendable(const SlotRequest& request) {
  return request.idempotent && !request.is_retry && request.excluded.empty();
}

}  // namespace

void TargetRanking::Forget(const std::function<bool(TargetId)>& is_gone) {
  std::erase_if(this->histories, [&is_gone](const auto& item) { return is_gone(item.first); });
}

void TargetRanking::RecordStart(TimePoint now, TargetId target) {
  this->histories[target].last_start = now;
}

void TargetRanking::RecordResult(TimePoint now, TargetId target, AttemptResult result) {
  switch (result) {
    case AttemptResult::kSuccess:
      this->Observe(now, target, FailureEstimator::Outcome::kSuccess);
      return;
    case AttemptResult::kServerError:
    case AttemptResult::kWrongAnswer:
    case AttemptResult::kConnectionLost:
    case AttemptResult::kTruncated:
      this->Observe(now, target, FailureEstimator::Outcome::kFailure);
      return;
    case AttemptResult::kConnectFailure:
    case AttemptResult::kTimeout:
      this->Observe(now, target, FailureEstimator::Outcome::kNoResponse);
      return;
    case AttemptResult::kShed:
    case AttemptResult::kCancelled:
      return;
  }
}

void TargetRanking::RecordOverdue(TimePoint now, TargetId target) {
  this->Observe(now, target, FailureEstimator::Outcome::kNoResponse);
}

void TargetRanking::Observe(TimePoint now, TargetId target, FailureEstimator::Outcome outcome) {
  History& history = this->histories[target];
  history.odds.Observe(now, outcome);
  history.evaluated_at.reset();
}

const TargetRanking::History& TargetRanking::Evaluate(TimePoint now, TargetId target) {
  History& history = this->histories[target];
  if (history.evaluated_at != now) {
    history.evaluated_at = now;
    history.failure_probability = history.odds.FailureProbability(now);
  }
  return history;
}

double TargetRanking::Cost(TimePoint now, const SlotRequest& request, const TargetUse& use) {
  const History& history = this->Evaluate(now, use.target);
  const bool expendable = IsExpendable(request);
  const double distance = use.same_domain ? 0.0
                          : request.bulk  ? kForeignDomainBulkCost
                                          : kForeignDomainCost;
  const bool idle = use.load == 0;
  const bool unknown = idle && !history.odds.observed();
  const bool neglected =
      idle && now - history.last_start >= kRevisitInterval &&
      history.failure_probability < (expendable ? kIdempotentRevisitBound : kRevisitBound);
  return history.failure_probability * (expendable ? kIdempotentFailureCost : kFailureCost) +
         kLoadCost * use.load + distance - (unknown ? kUnknownTargetBonus : 0.0) -
         (neglected ? kNeglectedTargetBonus : 0.0);
}

bool TargetRanking::IsDistrusted(TimePoint now, const SlotRequest& request, TargetId target) {
  return this->Evaluate(now, target).failure_probability >
         (IsExpendable(request) ? kIdempotentDistrust : kDistrust);
}

}  // namespace pimentopin
