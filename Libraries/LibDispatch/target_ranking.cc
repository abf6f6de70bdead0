#include "Libraries/LibDispatch/target_ranking.h"

namespace pimentopin {
namespace {

// Weights of the expected cost. A failed non-idempotent request is lost, a
// failed idempotent one costs a retry, and a fully loaded target costs waiting
// time.
constexpr double kFailureCost = 1.0;
constexpr double kIdempotentFailureCost = 0.4;
constexpr double kLoadCost = 0.25;
// The load still counts a little beside the delay: attempts may be on their way that the broker
// does not know of.
constexpr double kDelayCost = 0.25;
constexpr double kLoadBesideDelayCost = 0.05;
// A request that a target sheds needs another attempt, which the retry budget may not allow.
constexpr double kShedCost = 0.4;
// Crossing failure domains costs time, and bandwidth for large responses.
constexpr double kRemoteDomainCost = 0.005;
constexpr double kRemoteDomainBulkCost = 0.5;
// Sends a request to a new target soon, so that its reliability becomes known.
constexpr double kNewTargetBonus = 0.3;
// A target receives a request at least this often, unless its failure
// probability is too high. Otherwise work concentrates on the targets that
// served last, and a large service uses less than its floor within any 2 s.
// Idempotent work can be retried, so it also tests which targets have
// recovered.
constexpr Duration kRevisitInterval = std::chrono::milliseconds(1200);
constexpr double kRevisitBonus = 0.3;
constexpr double kMaxRevisitFailureProbability = 0.33;
constexpr double kMaxIdempotentRevisitFailureProbability = 0.6;
// Failure probability above which a request waits for another target.
constexpr double kUnreliableProbability = 0.35;
constexpr double kIdempotentUnreliableProbability = 0.6;

// Whether another attempt can follow if this one fails. Most routes allow two
// attempts, so a retry is the last one.
bool HasRetryLeft(const SlotRequest& request) {
  return request.idempotent && !request.is_retry && request.excluded.empty();
}

}  // namespace

void TargetRanking::RemoveTargets(const std::function<bool(TargetId)>& is_removed) {
  std::erase_if(this->histories,
                [&is_removed](const auto& item) { return is_removed(item.first); });
}

void TargetRanking::RecordStart(TimePoint now, TargetId target) {
  this->histories[target].last_start = now;
}

TimePoint TargetRanking::LastStart(TargetId target) const {
  const auto found = this->histories.find(target);
  return found == this->histories.end() ? TimePoint() : found->second.last_start;
}

void TargetRanking::RecordResult(TimePoint now, TargetId target, AttemptResult result) {
  switch (result) {
    case AttemptResult::kSuccess:
      this->histories[target].shed_share.Record(now, false);
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
      this->histories[target].shed_share.Record(now, true);
      return;
    case AttemptResult::kCancelled:
      return;
  }
}

void TargetRanking::RecordOverdue(TimePoint now, TargetId target) {
  this->Observe(now, target, FailureEstimator::Outcome::kNoResponse);
}

void TargetRanking::Observe(TimePoint now, TargetId target, FailureEstimator::Outcome outcome) {
  History& history = this->histories[target];
  history.failure_estimator.Observe(now, outcome);
  history.evaluated_at.reset();
}

const TargetRanking::History& TargetRanking::Evaluate(TimePoint now, TargetId target) {
  History& history = this->histories[target];
  if (history.evaluated_at != now) {
    history.evaluated_at = now;
    history.failure_probability = history.failure_estimator.FailureProbability(now);
  }
  return history;
}

double TargetRanking::Cost(TimePoint now,
                           const SlotRequest& request,
                           const RankedTarget& candidate) {
  const History& history = this->Evaluate(now, candidate.target);
  const bool has_retry_left = HasRetryLeft(request);
  const double domain_cost = candidate.same_domain ? 0.0
                             : request.bulk        ? kRemoteDomainBulkCost
                                                   : kRemoteDomainCost;
  const double load_cost =
      candidate.delay ? kDelayCost * *candidate.delay + kLoadBesideDelayCost * candidate.load
                      : kLoadCost * candidate.load;
  const bool idle = candidate.load == 0;
  const bool is_new = idle && !history.failure_estimator.observed();
  const bool revisit_due =
      idle && now - history.last_start >= kRevisitInterval &&
      history.failure_probability < (has_retry_left ? kMaxIdempotentRevisitFailureProbability
                                                    : kMaxRevisitFailureProbability);
  return history.failure_probability * (has_retry_left ? kIdempotentFailureCost : kFailureCost) +
         kShedCost * history.shed_share.At(now) + load_cost + domain_cost -
         (is_new ? kNewTargetBonus : 0.0) - (revisit_due ? kRevisitBonus : 0.0);
}

bool TargetRanking::IsUnreliable(TimePoint now, const SlotRequest& request, TargetId target) {
  return this->Evaluate(now, target).failure_probability >
         (HasRetryLeft(request) ? kIdempotentUnreliableProbability : kUnreliableProbability);
}

}  // namespace pimentopin
