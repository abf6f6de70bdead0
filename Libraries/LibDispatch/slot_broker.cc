#include "Libraries/LibDispatch/slot_broker.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Libraries/LibCore/contains.h"
#include "Libraries/LibDispatch/affinity.h"

namespace pimentopin {
namespace {

// Hosts make optimistic starts only on views younger than 250 ms
// (ViewState::kMaxViewAge), so an unchanged view is repeated within that time
// while a host uses the service.
constexpr Duration kViewRepeatInterval = std::chrono::milliseconds(200);
// Hosts with waiting requests consider a broker failed after 100 ms without a
// message. In saturation the view does not change, so it is repeated for them.
constexpr Duration kWaitingViewRepeatInterval = std::chrono::milliseconds(40);
constexpr Duration kIdleViewRepeatInterval = std::chrono::seconds(1);
constexpr Duration kRecentActivity = std::chrono::seconds(1);
constexpr Duration kHostActivityTimeout = std::chrono::seconds(10);
// Maximum time for which a request waits for the target of its affinity key.
constexpr Duration kMaxAffinityWait = std::chrono::milliseconds(250);
// A tick delayed by more than this means that this process was paused and has
// not yet processed what hosts sent meanwhile.
constexpr Duration kPauseThreshold = std::chrono::milliseconds(50);
// Tick intervals while requests wait, and while only held slots and target
// health need updates. While hosts receive views, ticks follow
// PushInterval().
constexpr Duration kQueueTickInterval = std::chrono::milliseconds(10);
constexpr Duration kIdleTickInterval = std::chrono::seconds(1);
// With an order by priority, the queue may be long, and is checked less often than at each tick.
constexpr Duration kQueueCheckInterval = std::chrono::milliseconds(50);
// Such a queue holds what the slots serve in this many service times, about a second.
constexpr std::uint32_t kQueuedPerSlot = 4;
// Waiting requests that are considered for a free slot. Those beyond rarely differ in the targets
// that they may use.
constexpr std::size_t kMaxConsideredEntries = 200;
// Longest tick interval while hosts receive views that are sent less often.
constexpr Duration kMaxViewTickInterval = std::chrono::milliseconds(100);

// An attempt is overdue after this multiple of the mean service time. About 3 %
// of long-tailed work takes longer.
constexpr Duration::rep kOverdueFactor = 4;
constexpr Duration kMinOverdueTime = std::chrono::milliseconds(300);
constexpr Duration kOverdueCheckInterval = std::chrono::milliseconds(50);
// Added to the cost of an unreliable target, so that reliable ones are
// preferred.
constexpr double kUnreliableTargetCost = 1.0;
// A request waits for a reliable target for at most this time, and for at most
// this fraction of its time budget.
constexpr Duration kMaxReliableTargetWait = std::chrono::milliseconds(300);
constexpr Duration::rep kReliableTargetWaitBudgetDivisor = 5;

// Delay, relative to the request's work, from which a free slot is compared with slots that become
// free soon, and by which the latter must be better.
constexpr double kDelayedCompletion = 0.5;
constexpr double kSoonerCompletionMargin = 0.4;
// A request that is bound to a target early cannot use a slot that becomes free elsewhere, so it
// waits there for this fraction of the usual work at most.
constexpr double kMaxBoundWait = 0.35;
// Hosts that choose a target without the broker leave out targets that are slower than this.
constexpr double kMaxUnaskedSlowness = 1.5;

WorkTraits TraitsOf(const SlotRequest& request) {
  return {.work_class = request.work_class, .kind = request.kind, .key = request.work_key};
}

}  // namespace

SlotBroker::SlotBroker(BrokerConfiguration initial,
                       BrokerPolicy broker_policy,
                       std::shared_ptr<RetryBudget> shared_retries)
    : configuration(std::move(initial)),
      policy(broker_policy),
      queue([this](std::uint32_t priority) { return this->admission.MinimumShare(priority); }),
      retries(shared_retries ? std::move(shared_retries)
                             : std::make_shared<RetryBudget>(broker_policy.retry_limits)),
      long_share(broker_policy.long_headroom) {
  this->ConfigureHealth(TimePoint());
}

std::vector<SendToHost> SlotBroker::Configure(TimePoint now, BrokerConfiguration changed) {
  this->configuration = std::move(changed);
  const auto is_removed = [this](TargetId target) {
    return std::none_of(this->configuration.targets.begin(), this->configuration.targets.end(),
                        [target](const BrokerTarget& item) { return item.target == target; });
  };
  std::erase_if(this->draining, is_removed);
  this->rate_limits.RemoveTargets(is_removed);
  this->ranking.RemoveTargets(is_removed);
  this->target_work.RemoveTargets(is_removed);
  this->ConfigureHealth(now);
  Messages messages;
  this->RefuseExpired(now, messages);
  this->GrantQueued(now, messages);
  return messages;
}

void SlotBroker::ConfigureHealth(TimePoint now) {
  std::vector<HealthTarget> targets;
  for (const BrokerTarget& target : this->configuration.targets) {
    targets.push_back({.target = target.target,
                       .slots = target.slots,
                       .leaving = target.leaving || this->draining.contains(target.target)});
  }
  this->health.Configure(now, std::move(targets), this->configuration.floor_slots);
  this->RefreshCandidates();
}

SlotBroker::HostActivity& SlotBroker::RecordActivity(TimePoint now,
                                                     HostId host,
                                                     std::optional<DomainId> domain) {
  HostActivity& activity = this->hosts[host];
  activity.recent_requests = RecentRequests(now, activity);
  activity.last_active_at = now;
  activity.domain = domain.value_or(activity.domain);
  return activity;
}

double SlotBroker::RecentRequests(TimePoint now, const HostActivity& activity) {
  const double age = ToSeconds(now - activity.last_active_at);
  return activity.recent_requests * std::exp(-std::max(0.0, age));
}

bool SlotBroker::ReceivesViews(TimePoint now, const HostActivity& activity) const {
  return RecentRequests(now, activity) >= this->policy.view_min_request_rate;
}

SlotBroker::Candidate SlotBroker::MakeCandidate(const BrokerTarget& target) const {
  HealthStatus status = this->health.Status(target.target);
  status.usable_slots = std::min(status.usable_slots, target.slots);
  if (target.leaving || this->draining.contains(target.target)) {
    status.state = TargetState::kLeaving;
  }
  if (status.state == TargetState::kLeaving || status.state == TargetState::kEjected) {
    status.usable_slots = 0;
  }
  return {.target = target.target,
          .domain = target.domain,
          .slots = target.slots,
          .health_status = std::move(status)};
}

void SlotBroker::RefreshCandidates() {
  this->candidates.clear();
  for (const BrokerTarget& target : this->configuration.targets) {
    this->candidates.push_back(this->MakeCandidate(target));
  }
}

void SlotBroker::RefreshCandidate(TargetId target) {
  for (std::size_t index = 0; index < this->candidates.size(); ++index) {
    if (this->candidates[index].target == target) {
      this->candidates[index] = this->MakeCandidate(this->configuration.targets[index]);
      return;
    }
  }
}

const SlotBroker::Candidate* SlotBroker::FindCandidate(TargetId target) const {
  const auto position =
      std::find_if(this->candidates.begin(), this->candidates.end(),
                   [target](const Candidate& candidate) { return candidate.target == target; });
  return position == this->candidates.end() ? nullptr : &*position;
}

std::uint32_t SlotBroker::UsableSlots() const {
  std::uint32_t slots = 0;
  for (const Candidate& candidate : this->candidates) {
    slots += candidate.health_status.usable_slots;
  }
  return slots;
}

std::uint32_t SlotBroker::UnlimitedSlots() const {
  std::uint32_t slots = 0;
  for (const Candidate& candidate : this->candidates) {
    if (!this->rate_limits.IsLimited(candidate.target)) {
      slots += candidate.health_status.usable_slots;
    }
  }
  return slots;
}

double SlotBroker::TotalRateLimit() const {
  if (this->rate_limits.empty() || this->UnlimitedSlots() > 0) {
    return 0;
  }
  double rate = 0;
  for (const Candidate& candidate : this->candidates) {
    if (candidate.health_status.usable_slots > 0) {
      rate += this->rate_limits.Rate(candidate.target);
    }
  }
  return rate;
}

std::uint32_t SlotBroker::LongSlotLimit() const {
  const std::uint32_t usable = this->UsableSlots();
  if (this->policy.fixed_long_fraction > 0) {
    return std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(this->policy.fixed_long_fraction * usable));
  }
  return this->long_share.Limit(usable);
}

bool SlotBroker::IsAllowedFor(const Candidate& candidate, const QueueEntry& entry) const {
  const std::vector<TargetId>& allowed = entry.request.allowed;
  if ((!allowed.empty() && !Contains(allowed, candidate.target)) ||
      Contains(entry.request.forbidden, candidate.target)) {
    return false;
  }
  const HealthStatus& status = candidate.health_status;
  return !Contains(status.unreachable_from_domains, entry.domain) &&
         !Contains(status.unreachable_from_hosts, entry.host);
}

bool SlotBroker::IsUsableFor(const Candidate& candidate, const QueueEntry& entry) const {
  return candidate.health_status.usable_slots > 0 && this->IsAllowedFor(candidate, entry);
}

std::vector<const SlotBroker::Candidate*> SlotBroker::CandidatesFor(const QueueEntry& entry) const {
  std::vector<const Candidate*> untried;
  std::vector<const Candidate*> tried;
  for (const Candidate& candidate : this->candidates) {
    if (this->IsUsableFor(candidate, entry)) {
      (Contains(entry.request.excluded, candidate.target) ? tried : untried).push_back(&candidate);
    }
  }
  // Targets that already failed the request are used only if there are no
  // others.
  return untried.empty() ? tried : untried;
}

bool SlotBroker::HasFreeSlot(TimePoint now,
                             const Candidate& candidate,
                             WorkClass work_class) const {
  return this->rate_limits.MaySend(now, candidate.target) &&
         this->table.CountAt(candidate.target) < candidate.health_status.usable_slots &&
         (work_class == WorkClass::kShort || this->table.long_count() < this->LongSlotLimit());
}

bool SlotBroker::HasOvercommitRoom(TimePoint now,
                                   const Candidate& candidate,
                                   WorkClass work_class) {
  // Long work is never overcommitted, and no target whose slots are all held by
  // long work is, because the request would wait for a long time.
  if (work_class != WorkClass::kShort || this->rate_limits.IsLimited(candidate.target) ||
      candidate.health_status.state != TargetState::kHealthy ||
      this->table.LongCountAt(candidate.target) >= candidate.health_status.usable_slots ||
      this->table.CountAt(candidate.target) >=
          candidate.health_status.usable_slots + this->policy.overcommit_per_target) {
    return false;
  }
  if (this->policy.placement != Placement::kExpectedCompletion) {
    return true;
  }
  const ExpectedCompletion expected = this->Expect(now, candidate, {.work_class = work_class});
  return ToSeconds(expected.wait) <= kMaxBoundWait * ToSeconds(expected.work);
}

std::optional<TargetId> SlotBroker::ChooseTrial(TimePoint now, const QueueEntry& entry) {
  if (!this->trials.active(now)) {
    return std::nullopt;
  }
  const Candidate* longest_idle = nullptr;
  TimePoint last_start;
  for (const Candidate& candidate : this->candidates) {
    if (candidate.health_status.state != TargetState::kEjected ||
        this->table.CountAt(candidate.target) > 0 || !this->IsAllowedFor(candidate, entry) ||
        !this->rate_limits.MaySend(now, candidate.target) ||
        Contains(entry.request.excluded, candidate.target)) {
      continue;
    }
    const TimePoint candidate_start = this->ranking.LastStart(candidate.target);
    if (longest_idle == nullptr || candidate_start < last_start) {
      longest_idle = &candidate;
      last_start = candidate_start;
    }
  }
  return longest_idle != nullptr &&
                 this->trials.MayTry(now, entry.request, longest_idle->target, last_start)
             ? std::optional(longest_idle->target)
             : std::nullopt;
}

std::optional<TargetId> SlotBroker::ChooseTarget(TimePoint now, const QueueEntry& entry) {
  this->ObserveOverdue(now);
  if (const std::optional<TargetId> trial = this->ChooseTrial(now, entry)) {
    return trial;
  }
  std::vector<const Candidate*> usable = this->CandidatesFor(entry);
  const std::uint64_t key = entry.request.affinity_key;
  if (key != 0 && !usable.empty() && now - entry.arrived < kMaxAffinityWait) {
    const auto preferred = std::max_element(
        usable.begin(), usable.end(), [key](const Candidate* left, const Candidate* right) {
          return AffinityScore(key, left->target) < AffinityScore(key, right->target);
        });
    usable = {*preferred};
  }
  const bool may_wait = now - entry.arrived <
                        std::min<Duration>(kMaxReliableTargetWait,
                                           entry.request.budget / kReliableTargetWaitBudgetDivisor);
  std::vector<const Candidate*> reliable;
  const Candidate* best = nullptr;
  bool best_unreliable = false;
  std::pair<double, std::uint64_t> best_score;
  for (const Candidate* candidate : usable) {
    const bool unreliable =
        may_wait && this->ranking.IsUnreliable(now, entry.request, candidate->target);
    if (!unreliable) {
      reliable.push_back(candidate);
    }
    if (!this->HasFreeSlot(now, *candidate, entry.request.work_class)) {
      continue;
    }
    const std::pair score(
        this->CostOf(now, entry, *candidate) + (unreliable ? kUnreliableTargetCost : 0.0),
        StableHash(RawId(entry.request.attempt), RawId(candidate->target)));
    if (best == nullptr || score < best_score) {
      best = candidate;
      best_unreliable = unreliable;
      best_score = score;
    }
  }
  const bool worth_waiting = !reliable.empty() && best_unreliable;
  if (best != nullptr && !worth_waiting) {
    const std::optional<TargetId> sooner = this->ChooseSooner(now, entry, reliable, *best);
    return sooner ? sooner : best->target;
  }
  // A failing target responds at once, so it would take the queue before a reliable one is free.
  return this->ChooseOvercommitted(now, entry, reliable.empty() ? usable : reliable);
}

bool SlotBroker::HasPaused(TimePoint now) const {
  return this->expected_tick && now - *this->expected_tick > kPauseThreshold;
}

void SlotBroker::ObserveOverdue(TimePoint now) {
  if (this->HasPaused(now) || now - this->overdue_checked_at < kOverdueCheckInterval) {
    return;
  }
  this->overdue_checked_at = now;
  const auto limit = [this](WorkClass work_class) {
    const Duration mean = this->estimate.Mean(work_class);
    return mean == Duration::zero() ? Duration::max()
                                    : std::max<Duration>(mean * kOverdueFactor, kMinOverdueTime);
  };
  for (const TargetId target :
       this->table.TakeOverdueTargets(now, limit(WorkClass::kShort), limit(WorkClass::kLong))) {
    this->ranking.RecordOverdue(now, target);
  }
}

double SlotBroker::CostOf(TimePoint now, const QueueEntry& entry, const Candidate& candidate) {
  const RankedTarget ranked{.target = candidate.target,
                            .load = static_cast<double>(this->table.CountAt(candidate.target)) /
                                    candidate.health_status.usable_slots,
                            .delay = this->DelayOf(now, candidate, TraitsOf(entry.request)),
                            .same_domain = candidate.domain == entry.domain};
  return this->ranking.Cost(now, entry.request, ranked);
}

std::optional<double> SlotBroker::DelayOf(TimePoint now,
                                          const Candidate& candidate,
                                          const WorkTraits& traits) {
  switch (this->policy.placement) {
    case Placement::kLoad:
      return std::nullopt;
    case Placement::kLeastWork: {
      const Duration mean = this->target_work.estimate().Mean({.work_class = traits.work_class});
      const Duration outstanding = this->target_work.Outstanding(
          now, candidate.target, this->table.HoldersAt(candidate.target));
      return mean > Duration::zero()
                 ? ToSeconds(outstanding) / ToSeconds(mean) / candidate.health_status.usable_slots
                 : 0.0;
    }
    case Placement::kExpectedCompletion:
      return this->Expect(now, candidate, traits).RelativeDelay();
  }
  return std::nullopt;
}

ExpectedCompletion SlotBroker::Expect(TimePoint now,
                                      const Candidate& candidate,
                                      const WorkTraits& traits) {
  return this->target_work.Expect(now, candidate.target, candidate.health_status.usable_slots,
                                  this->table.HoldersAt(candidate.target), traits);
}

void SlotBroker::SetExpectation(TimePoint now, SlotHolder& holder) {
  if (this->policy.placement == Placement::kLoad) {
    return;
  }
  const Candidate* const candidate = this->FindCandidate(holder.target);
  if (candidate == nullptr) {
    return;
  }
  const ExpectedCompletion expected = this->Expect(now, *candidate, holder.work);
  holder.expected_wait = expected.wait;
  holder.stated_wait = expected.stated_wait;
  holder.expected_run = expected.Run();
  holder.slowness = expected.slowness;
}

std::optional<TargetId> SlotBroker::ChooseSooner(TimePoint now,
                                                 const QueueEntry& entry,
                                                 const std::vector<const Candidate*>& usable,
                                                 const Candidate& best) {
  if (this->policy.placement != Placement::kExpectedCompletion) {
    return std::nullopt;
  }
  const WorkTraits traits = TraitsOf(entry.request);
  const double limit = this->Expect(now, best, traits).RelativeDelay() - kSoonerCompletionMargin;
  if (limit < kDelayedCompletion - kSoonerCompletionMargin) {
    return std::nullopt;
  }
  const std::optional<TargetId> other = this->ChooseOvercommitted(now, entry, usable);
  const auto position =
      std::find_if(usable.begin(), usable.end(),
                   [&other](const Candidate* candidate) { return candidate->target == other; });
  return position != usable.end() && this->Expect(now, **position, traits).RelativeDelay() < limit
             ? other
             : std::nullopt;
}

std::optional<TargetId> SlotBroker::ChooseOvercommitted(
    TimePoint now,
    const QueueEntry& entry,
    const std::vector<const Candidate*>& usable) {
  const bool by_completion = this->policy.placement != Placement::kLoad;
  const WorkTraits traits = TraitsOf(entry.request);
  const Candidate* best = nullptr;
  // The lowest one is best.
  double best_score = 0;
  for (const Candidate* candidate : usable) {
    // A candidate with a free slot was skipped as unreliable.
    if (this->HasFreeSlot(now, *candidate, entry.request.work_class) ||
        !this->HasOvercommitRoom(now, *candidate, entry.request.work_class)) {
      continue;
    }
    const ExpectedCompletion expected =
        by_completion ? this->Expect(now, *candidate, traits) : ExpectedCompletion{};
    const std::uint32_t short_work =
        this->table.CountAt(candidate->target) - this->table.LongCountAt(candidate->target);
    const double score =
        by_completion ? ToSeconds(expected.Total()) : -static_cast<double>(short_work);
    if (best == nullptr || score < best_score) {
      best = candidate;
      best_score = score;
    }
  }
  return best != nullptr ? std::optional(best->target) : std::nullopt;
}

bool SlotBroker::CanGrantImmediately(TimePoint now, const QueueEntry& entry) {
  return this->queue.SizeOf(entry.request.work_class) == 0 &&
         this->ChooseTarget(now, entry).has_value();
}

std::uint32_t SlotBroker::QueueLimit() const {
  return this->policy.by_priority
             ? std::max(this->configuration.queue_limit, kQueuedPerSlot * this->UsableSlots())
             : this->configuration.queue_limit;
}

bool SlotBroker::QueueIsFull(WorkClass work_class) const {
  const std::uint32_t limit = this->QueueLimit();
  // Long work takes at most half of the queue, so that it cannot exclude short
  // work.
  return this->queue.size() >= limit ||
         (work_class == WorkClass::kLong && this->queue.SizeOf(work_class) >= (limit + 1) / 2);
}

std::uint32_t SlotBroker::SlotsFor(WorkClass work_class) const {
  const std::uint32_t usable = this->UnlimitedSlots();
  return work_class == WorkClass::kLong ? this->LongSlotLimit()
                                        : usable - std::min(usable, this->table.long_count());
}

Duration SlotBroker::PredictedWait(const SlotRequest& request) const {
  const std::size_t ahead = this->queue.CountAhead(request.work_class, request.organisation) + 1;
  const double rate_limit = this->TotalRateLimit();
  if (rate_limit > 0) {
    return FromSeconds(static_cast<double>(ahead) / rate_limit);
  }
  return this->estimate.PredictedWait(request.work_class, ahead,
                                      this->SlotsFor(request.work_class));
}

double SlotBroker::CapacityPerSecond(WorkClass work_class) const {
  const double rate_limit = this->TotalRateLimit();
  const Duration mean = this->estimate.Mean(work_class);
  if (rate_limit > 0 || this->table.size() == 0 || mean == Duration::zero()) {
    return rate_limit;
  }
  // The mean includes the wait in the queues of targets that hold more attempts than slots.
  const std::size_t held = work_class == WorkClass::kLong
                               ? this->table.long_count()
                               : this->table.size() - this->table.long_count();
  return static_cast<double>(std::max<std::size_t>(held, this->SlotsFor(work_class))) /
         ToSeconds(mean);
}

AdmissionCase SlotBroker::CaseOf(const SlotRequest& request,
                                 QueuePosition position,
                                 double capacity_per_s,
                                 Duration budget) const {
  const auto objective = this->configuration.objectives.find(request.kind);
  // The time that a retry has left until its objective is not known.
  const bool has_objective = objective != this->configuration.objectives.end() &&
                             !request.is_retry && request.excluded.empty();
  return {.attempt = request.attempt,
          .priority = request.priority,
          .position = position,
          .capacity_per_s = capacity_per_s,
          .service_time = this->estimate.Mean(request.work_class, request.kind),
          .budget = budget,
          .objective = has_objective ? objective->second : Duration::zero()};
}

AdmissionCase SlotBroker::CaseOf(const SlotRequest& request) const {
  return this->CaseOf(
      request, this->queue.PositionOf(request.work_class, request.organisation, request.priority),
      this->CapacityPerSecond(request.work_class), request.budget);
}

bool SlotBroker::IsTooLate(TimePoint now, const SlotRequest& request) const {
  if (!this->policy.by_priority) {
    return this->BudgetTooShort(request, this->PredictedWait(request), request.budget);
  }
  return this->admission.IsTooLate(now, this->CaseOf(request));
}

bool SlotBroker::BudgetTooShort(const SlotRequest& request, Duration wait, Duration budget) const {
  // Without outstanding work no new sample can correct the estimate, so it is
  // not applied.
  // A stated limit is no estimate.
  return (this->table.size() > 0 || this->TotalRateLimit() > 0) &&
         wait + this->ExpectedWork(request) > budget;
}

Duration SlotBroker::ExpectedWork(const SlotRequest& request) const {
  if (this->policy.placement == Placement::kLoad) {
    return this->estimate.Mean(request.work_class, request.kind);
  }
  // Requests that are all refused give no sample that could correct the mean of their key.
  return std::min(this->estimate.Mean(request.work_class),
                  this->target_work.estimate().Mean(TraitsOf(request)));
}

SlotRefusal SlotBroker::MakeRefusal(TimePoint now,
                                    const SlotRequest& request,
                                    RefusalReason reason) {
  Duration retry_after;
  if (this->policy.by_priority) {
    retry_after = this->admission.RetryAfter(now, this->CaseOf(request));
  } else {
    retry_after = std::max<Duration>(this->PredictedWait(request), kMinViewInterval);
  }
  return {.attempt = request.attempt,
          .service = request.service,
          .reason = reason,
          .retry_after = retry_after};
}

void SlotBroker::SendRefusal(TimePoint now,
                             HostId host,
                             const SlotRefusal& refusal,
                             Messages& messages) {
  this->trials.RecordOutcome(now, false);
  messages.push_back({host, refusal});
}

void SlotBroker::RefuseQueued(TimePoint now,
                              AttemptId attempt,
                              RefusalReason reason,
                              Messages& messages) {
  // Removed first, so that the request is not counted as waiting before itself.
  const std::optional<QueueEntry> removed = this->queue.Remove(attempt);
  this->SendRefusal(now, removed->host, this->MakeRefusal(now, removed->request, reason), messages);
}

std::optional<SlotRefusal> SlotBroker::Admit(TimePoint now,
                                             const QueueEntry& entry,
                                             Messages& messages) {
  const SlotRequest& request = entry.request;
  if (request.budget <= Duration::zero()) {
    return this->MakeRefusal(now, request, RefusalReason::kDeadline);
  }
  if (this->CandidatesFor(entry).empty()) {
    return this->MakeRefusal(now, request, RefusalReason::kNoTarget);
  }
  const bool immediate = this->CanGrantImmediately(now, entry);
  if (!immediate && this->IsTooLate(now, request)) {
    return this->MakeRefusal(now, request, RefusalReason::kOverload);
  }
  const bool full = !immediate && this->QueueIsFull(request.work_class);
  // An organisation that fills the queue must not exclude the others.
  const std::optional<AttemptId> evicted =
      full ? this->queue.EvictionCandidate(request.work_class, request.organisation,
                                           request.priority)
           : std::nullopt;
  if (full && !evicted) {
    return this->MakeRefusal(now, request, RefusalReason::kQueueFull);
  }
  if (request.is_retry && !this->retries->TryRetry(now)) {
    return this->MakeRefusal(now, request, RefusalReason::kRetryBudget);
  }
  if (evicted) {
    this->RefuseQueued(now, *evicted, RefusalReason::kQueueFull, messages);
  }
  return std::nullopt;
}

std::vector<SendToHost> SlotBroker::OnRequest(TimePoint now,
                                              HostId sender,
                                              DomainId sender_domain,
                                              const SlotRequest& request,
                                              bool fingerprint_blocked) {
  Messages messages;
  HostActivity& activity = this->RecordActivity(now, sender, sender_domain);
  if (const SlotHolder* holder = this->table.Find(request.attempt)) {
    // The host resends a request whose grant was lost.
    messages.push_back({sender, SlotGrant{.attempt = request.attempt,
                                          .service = request.service,
                                          .target = holder->target}});
    return messages;
  }
  if (this->queue.Contains(request.attempt)) {
    this->AcknowledgeQueued(now, sender, messages);
    return messages;
  }
  if (this->table.HasEndedRecently(request.attempt)) {
    return messages;
  }
  if (fingerprint_blocked) {
    messages.push_back({sender, this->MakeRefusal(now, request, RefusalReason::kCrashRequest)});
    return messages;
  }
  activity.recent_requests += 1.0;
  this->long_share.RecordArrival(now, request.work_class, this->estimate.Mean(request.work_class));
  QueueEntry entry{.request = request,
                   .host = sender,
                   .domain = sender_domain,
                   .arrived = now,
                   .deadline = now + request.budget};
  if (!this->policy.fair) {
    entry.request.organisation = OrganisationId{};
  }
  if (this->policy.by_priority) {
    this->admission.RecordArrival(now, request.priority);
  } else {
    entry.request.priority = 0;
  }
  if (const auto refusal = this->Admit(now, entry, messages)) {
    this->SendRefusal(now, sender, *refusal, messages);
    return messages;
  }
  this->queue.Push(std::move(entry));
  this->GrantQueued(now, messages);
  if (this->queue.Contains(request.attempt)) {
    this->AcknowledgeQueued(now, sender, messages);
  }
  return messages;
}

void SlotBroker::AcknowledgeQueued(TimePoint now, HostId host, Messages& messages) {
  this->NextSequence(now);
  std::optional<ServiceView> view;
  messages.push_back(this->MakeViewMessage(now, host, this->hosts[host], view));
}

Duration SlotBroker::PushInterval() const {
  const Duration interval =
      ViewInterval(this->configuration.targets.size(), this->policy.view_bytes_per_second);
  return this->policy.evidence_views_only ? std::max(interval, kEvidenceViewInterval) : interval;
}

bool SlotBroker::MaySendTargets(TimePoint now, const HostActivity& activity) const {
  const Duration interval = this->PushInterval();
  return this->ReceivesViews(now, activity) &&
         (interval <= kMinViewInterval || now - activity.targets_sent_at >= interval);
}

SendToHost SlotBroker::MakeViewMessage(TimePoint now,
                                       HostId host,
                                       HostActivity& activity,
                                       std::optional<ServiceView>& view) {
  activity.view_sent_at = now;
  if (!this->MaySendTargets(now, activity)) {
    return {host, this->ViewHeader()};
  }
  activity.targets_sent_at = now;
  activity.view_pending = false;
  if (!view) {
    view = this->ViewForHosts(now);
  }
  return {host, this->ViewForHost(host, activity, *view)};
}

std::vector<SendToHost> SlotBroker::OnCancel(TimePoint now,
                                             HostId sender,
                                             const SlotCancel& cancel) {
  this->RecordActivity(now, sender, std::nullopt);
  this->queue.Remove(cancel.attempt);
  // If a grant is in flight, the host returns it with a release. If the request
  // is still in flight, it must not be queued on arrival.
  if (this->table.Find(cancel.attempt) == nullptr) {
    this->table.Free(now, cancel.attempt);
  }
  return {};
}

std::vector<SendToHost> SlotBroker::OnClaim(TimePoint now,
                                            HostId sender,
                                            DomainId sender_domain,
                                            const SlotClaim& claim) {
  this->RecordActivity(now, sender, sender_domain).recent_requests += 1.0;
  SlotHolder holder{.host = sender,
                    .target = claim.target,
                    .work_class = claim.work_class,
                    .queue_factor = this->QueueFactor(claim.target, claim.work_class),
                    .work = {.work_class = claim.work_class, .key = claim.work_key}};
  this->SetExpectation(now, holder);
  if (this->table.Add(now, claim.attempt, holder)) {
    this->ranking.RecordStart(now, claim.target);
    this->rate_limits.RecordSend(now, claim.target);
    this->long_share.RecordArrival(now, claim.work_class, this->estimate.Mean(claim.work_class));
    if (claim.is_retry) {
      this->retries->RecordRetry(now);
    } else {
      this->retries->RecordFirstAttempt(now);
    }
  }
  return {};
}

std::vector<SendToHost> SlotBroker::OnRelease(TimePoint now,
                                              HostId sender,
                                              DomainId sender_domain,
                                              const SlotRelease& release) {
  this->RecordActivity(now, sender, sender_domain);
  if (release.target_draining && this->draining.insert(release.target).second) {
    this->ConfigureHealth(now);
  }
  if (release.request_rate_limit) {
    this->rate_limits.SetLimit(now, release.target, *release.request_rate_limit);
  }
  Messages messages;
  const SlotHolder* holder = this->table.Find(release.attempt);
  const bool known = holder != nullptr && holder->target == release.target;
  const bool already_released = holder == nullptr && this->table.HasEndedRecently(release.attempt);
  const double queue_factor = known ? holder->queue_factor : 1.0;
  const bool is_trial = known && holder->is_trial;
  if (known) {
    this->RecordWork(now, *holder, release);
  }
  if (holder == nullptr || known) {
    this->table.Free(now, release.attempt);
  }
  if (!already_released && release.result != AttemptResult::kCancelled) {
    if (release.result == AttemptResult::kSuccess) {
      this->estimate.Observe(release.work_class, release.kind, release.service_time);
    }
    const std::uint64_t changes_before = this->health.state_changes();
    this->ranking.RecordResult(now, release.target, release.result);
    if (release.result != AttemptResult::kShed &&
        release.result != AttemptResult::kConnectFailure) {
      this->trials.RecordOutcome(now, release.result == AttemptResult::kSuccess);
    }
    if (is_trial && release.result == AttemptResult::kSuccess) {
      this->health.EndEjection(now, release.target);
    }
    this->health.Observe(now, {.target = release.target,
                               .reporter = sender,
                               .reporter_domain = sender_domain,
                               .work_class = release.work_class,
                               .result = release.result,
                               .service_time = release.service_time,
                               .fingerprint = release.fingerprint,
                               .queue_factor = queue_factor});
    // A large service has hundreds of targets, and most results change the state of none of them.
    if (this->health.state_changes() == changes_before) {
      this->RefreshCandidate(release.target);
    } else {
      this->RefreshCandidates();
    }
  }
  this->GrantQueued(now, messages);
  return messages;
}

void SlotBroker::RecordWork(TimePoint now, const SlotHolder& holder, const SlotRelease& release) {
  if (this->policy.placement == Placement::kLoad) {
    return;
  }
  if (release.load) {
    this->target_work.RecordLoad(now, release.target, this->table.CountAt(release.target),
                                 *release.load);
  }
  // A report of its host tells less of an attempt than its release.
  SlotHolder ended = holder;
  ended.work = {.work_class = release.work_class, .kind = release.kind, .key = release.work_key};
  this->target_work.RecordEnd(now, ended, release.result, release.service_time);
}

std::vector<SendToHost> SlotBroker::OnReport(TimePoint now,
                                             HostId sender,
                                             DomainId sender_domain,
                                             const HostReport& report) {
  this->RecordActivity(now, sender, sender_domain);
  this->table.Reconcile(now, sender, report.outstanding);
  Messages messages;
  this->GrantQueued(now, messages);
  return messages;
}

void SlotBroker::OnProbe(TimePoint now, const HealthObservation& observation) {
  this->health.Observe(now, observation);
  this->RefreshCandidates();
}

std::vector<SendToHost> SlotBroker::OnHostUnreachable(TimePoint now, HostId host) {
  this->hosts.erase(host);
  std::vector<AttemptId> queued_attempts;
  for (const QueueEntry* entry : this->queue.All()) {
    if (entry->host == host) {
      queued_attempts.push_back(entry->request.attempt);
    }
  }
  for (const AttemptId attempt : queued_attempts) {
    this->queue.Remove(attempt);
  }
  this->table.FreeHost(now, host);
  Messages messages;
  this->GrantQueued(now, messages);
  return messages;
}

void SlotBroker::Grant(TimePoint now,
                       const QueueEntry& entry,
                       TargetId target,
                       Messages& messages) {
  const SlotRequest& request = entry.request;
  const bool is_trial = this->health.Status(target).state == TargetState::kEjected;
  SlotHolder holder{.host = entry.host,
                    .target = target,
                    .work_class = request.work_class,
                    .queue_factor = this->QueueFactor(target, request.work_class),
                    .is_trial = is_trial,
                    .work = TraitsOf(request)};
  this->SetExpectation(now, holder);
  this->table.Add(now, request.attempt, holder);
  this->ranking.RecordStart(now, target);
  this->rate_limits.RecordSend(now, target);
  if (is_trial) {
    this->trials.RecordTrial(now, request, target);
  }
  // An attempt that follows one that reached no target is not a retry, but the
  // request counts as one first attempt.
  if (!request.is_retry && request.excluded.empty()) {
    this->retries->RecordFirstAttempt(now);
    this->trials.RecordFirstAttempt(now);
  }
  messages.push_back(
      {entry.host,
       SlotGrant{.attempt = request.attempt, .service = request.service, .target = target}});
}

double SlotBroker::QueueFactor(TargetId target, WorkClass work_class) const {
  const Candidate* const candidate = this->FindCandidate(target);
  if (candidate == nullptr) {
    return 1.0;
  }
  // Short work waits for the slots that long work leaves free. The time that
  // long work waits for short work is negligible compared with its own service
  // time.
  const std::uint32_t long_work = this->table.LongCountAt(target);
  const std::uint32_t short_work = this->table.CountAt(target) - long_work;
  const bool is_long = work_class == WorkClass::kLong;
  const std::uint32_t attempts = (is_long ? long_work : short_work) + 1;
  const std::uint32_t slots =
      is_long ? candidate->slots : candidate->slots - std::min(candidate->slots, long_work);
  return slots == 0 ? 0.0 : std::max(1.0, static_cast<double>(attempts) / slots);
}

bool SlotBroker::LongWorkGoesFirst(TimePoint now) const {
  if (this->queue.SizeOf(WorkClass::kLong) == 0) {
    return false;
  }
  TimePoint oldest_long = TimePoint::max();
  TimePoint oldest_short = TimePoint::max();
  for (const QueueEntry* entry : this->queue.All()) {
    TimePoint& oldest = entry->request.work_class == WorkClass::kLong ? oldest_long : oldest_short;
    oldest = std::min(oldest, entry->arrived);
  }
  if (oldest_long == TimePoint::max()) {
    return false;
  }
  return this->policy.short_first ? now - oldest_long >= this->policy.max_long_bypass
                                  : oldest_long < oldest_short;
}

bool SlotBroker::GrantNext(TimePoint now, WorkClass work_class, Messages& messages) {
  // Without an ejected target there is nothing to try, and each entry of a long queue would be
  // compared with all targets at every message.
  const bool may_try =
      this->trials.active(now) &&
      std::any_of(this->candidates.begin(), this->candidates.end(), [](const Candidate& candidate) {
        return candidate.health_status.state == TargetState::kEjected;
      });
  const bool room =
      may_try || std::any_of(this->candidates.begin(), this->candidates.end(),
                             [&](const Candidate& candidate) {
                               return this->HasFreeSlot(now, candidate, work_class) ||
                                      this->HasOvercommitRoom(now, candidate, work_class);
                             });
  if (!room) {
    return false;
  }
  std::optional<AttemptId> attempt;
  std::optional<TargetId> target;
  std::size_t considered = 0;
  this->queue.VisitInServiceOrder(work_class, [&](const QueueEntry& entry) {
    const bool too_late =
        this->BudgetTooShort(entry.request, Duration::zero(), entry.deadline - now);
    target = too_late ? std::nullopt : this->ChooseTarget(now, entry);
    if (too_late || target) {
      attempt = entry.request.attempt;
    }
    return attempt || (this->policy.by_priority && ++considered == kMaxConsideredEntries);
  });
  if (!attempt) {
    return false;
  }
  if (target) {
    this->Grant(now, *this->queue.Dequeue(*attempt), *target, messages);
  } else {
    this->RefuseQueued(now, *attempt, RefusalReason::kDeadline, messages);
  }
  return true;
}

void SlotBroker::GrantQueued(TimePoint now, Messages& messages) {
  while (this->queue.size() > 0) {
    const bool long_first = this->LongWorkGoesFirst(now);
    const WorkClass first = long_first ? WorkClass::kLong : WorkClass::kShort;
    const WorkClass second = long_first ? WorkClass::kShort : WorkClass::kLong;
    if (!this->GrantNext(now, first, messages) && !this->GrantNext(now, second, messages)) {
      return;
    }
  }
}

void SlotBroker::RefuseExpired(TimePoint now, Messages& messages) {
  std::vector<std::pair<AttemptId, RefusalReason>> refused;
  const bool check_targets =
      !this->policy.by_priority || now - this->queue_checked_at >= kQueueCheckInterval;
  for (const QueueEntry* entry : this->queue.All()) {
    if (entry->deadline <= now ||
        this->BudgetTooShort(entry->request, Duration::zero(), entry->deadline - now)) {
      refused.emplace_back(entry->request.attempt, RefusalReason::kDeadline);
    } else if (check_targets && this->CandidatesFor(*entry).empty()) {
      refused.emplace_back(entry->request.attempt, RefusalReason::kNoTarget);
    }
  }
  for (const auto& [attempt, reason] : refused) {
    this->RefuseQueued(now, attempt, reason, messages);
  }
  if (!this->policy.by_priority || !check_targets) {
    return;
  }
  this->queue_checked_at = now;
  for (const WorkClass work_class : {WorkClass::kShort, WorkClass::kLong}) {
    for (const AttemptId attempt : this->HopelessAttempts(now, work_class)) {
      this->RefuseQueued(now, attempt, RefusalReason::kOverload, messages);
    }
  }
}

std::vector<AttemptId> SlotBroker::HopelessAttempts(TimePoint now, WorkClass work_class) const {
  std::vector<AttemptId> hopeless;
  const double capacity_per_s = this->CapacityPerSecond(work_class);
  // Entries that stay, by priority.
  std::map<std::uint32_t, std::size_t> kept;
  this->queue.VisitInServiceOrder(work_class, [&](const QueueEntry& entry) {
    const std::uint32_t priority = entry.request.priority;
    QueuePosition position{.equal = kept[priority]};
    for (auto more_urgent = kept.begin(); more_urgent->first < priority; ++more_urgent) {
      position.more_urgent += more_urgent->second;
    }
    const AdmissionCase waiting =
        this->CaseOf(entry.request, position, capacity_per_s, entry.deadline - now);
    if (this->admission.IsHopeless(now, waiting)) {
      hopeless.push_back(entry.request.attempt);
    } else {
      ++kept[priority];
    }
    return false;
  });
  return hopeless;
}

std::uint64_t SlotBroker::NextSequence(TimePoint now) {
  // Sequences start from the clock, so that the views of a restarted broker
  // replace those of its previous incarnation.
  const auto clock = static_cast<std::uint64_t>(now.time_since_epoch().count());
  this->sequence = std::max(this->sequence + 1, clock);
  return this->sequence;
}

std::vector<SendToHost> SlotBroker::Tick(TimePoint now) {
  if (this->HasPaused(now)) {
    this->table.ExtendTimeouts(now - *this->expected_tick);
  }
  this->expected_tick = now;
  this->health.Tick(now);
  this->RefreshCandidates();
  this->table.Expire(now);
  std::erase_if(this->hosts, [now](const auto& item) {
    return now - item.second.last_active_at > kHostActivityTimeout;
  });
  Messages messages;
  this->RefuseExpired(now, messages);
  this->GrantQueued(now, messages);
  this->PushViews(now, messages);
  return messages;
}

TimePoint SlotBroker::NextDeadline(TimePoint now) {
  TimePoint next = TimePoint::max();
  if (this->queue.size() > 0) {
    next = now + kQueueTickInterval;
  } else if (std::any_of(this->hosts.begin(), this->hosts.end(), [this, now](const auto& item) {
               return this->ReceivesViews(now, item.second);
             })) {
    next = now + std::min(this->PushInterval(), kMaxViewTickInterval);
  } else if (!this->hosts.empty() || this->table.size() > 0) {
    next = now + kIdleTickInterval;
  }
  // A tick that is overdue stays so: messages that are handled before it do not end the pause.
  if (!this->expected_tick || *this->expected_tick >= now) {
    this->expected_tick = next;
  }
  return next;
}

void SlotBroker::PushViews(TimePoint now, Messages& messages) {
  if (now - this->pushed_at >= this->PushInterval()) {
    ServiceView current = this->ViewForHosts(now);
    current.sequence = 0;
    if (current != this->last_pushed_view) {
      this->last_pushed_view = std::move(current);
      this->pushed_at = now;
      for (auto& [host, activity] : this->hosts) {
        activity.view_pending = true;
      }
    }
  }
  this->NextSequence(now);
  std::optional<ServiceView> view;
  std::set<HostId> waiting;
  for (const QueueEntry* entry : this->queue.All()) {
    waiting.insert(entry->host);
  }
  for (auto& [host, activity] : this->hosts) {
    const bool receives_views = this->ReceivesViews(now, activity);
    if (!waiting.contains(host) && !receives_views) {
      continue;
    }
    const Duration repeat_interval = waiting.contains(host) ? kWaitingViewRepeatInterval
                                     : now - activity.last_active_at < kRecentActivity
                                         ? std::max(kViewRepeatInterval, this->PushInterval())
                                         : std::max(kIdleViewRepeatInterval, this->PushInterval());
    const bool changed = activity.view_pending && this->MaySendTargets(now, activity);
    if (changed || now - activity.view_sent_at >= repeat_interval) {
      messages.push_back(this->MakeViewMessage(now, host, activity, view));
    }
  }
}

ServiceView SlotBroker::ViewForHost(HostId host,
                                    const HostActivity& activity,
                                    ServiceView view) const {
  for (std::size_t index = 0; index < this->candidates.size(); ++index) {
    if (Contains(this->candidates[index].health_status.unreachable_from_hosts, host)) {
      view.targets[index].unreachable_from.push_back(activity.domain);
    }
  }
  return view;
}

ServiceView SlotBroker::ViewForHosts(TimePoint now) const {
  ServiceView view = this->View();
  if (this->policy.placement != Placement::kExpectedCompletion) {
    return view;
  }
  for (TargetView& target : view.targets) {
    if (this->target_work.Slowness(now, target.target) > kMaxUnaskedSlowness) {
      target.free_slots = 0;
    }
  }
  return view;
}

std::vector<HealthEvent> SlotBroker::TakeHealthEvents() {
  return this->health.TakeEvents();
}

std::vector<SpeedChange> SlotBroker::TakeSpeedChanges(TimePoint now) {
  return this->target_work.TakeSpeedChanges(now);
}

ServiceView SlotBroker::ViewHeader() const {
  return {.service = this->configuration.service,
          .sequence = this->sequence,
          .queued = static_cast<std::uint32_t>(this->queue.size()),
          .active_hosts =
              static_cast<std::uint16_t>(std::clamp<std::size_t>(this->hosts.size(), 1, 65535))};
}

ServiceView SlotBroker::View() const {
  ServiceView view = this->ViewHeader();
  for (const Candidate& candidate : this->candidates) {
    const std::uint32_t usable = candidate.health_status.usable_slots;
    // A start without a grant would exceed the limit.
    const std::uint32_t used = this->rate_limits.IsLimited(candidate.target)
                                   ? usable
                                   : std::min(usable, this->table.CountAt(candidate.target));
    view.targets.push_back({.target = candidate.target,
                            .state = candidate.health_status.state,
                            .usable_slots = static_cast<std::uint16_t>(usable),
                            .free_slots = static_cast<std::uint16_t>(usable - used),
                            .unreachable_from = candidate.health_status.unreachable_from_domains});
  }
  return view;
}

}  // namespace pimentopin
