#include "Libraries/LibDispatch/slot_broker.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Libraries/LibCore/contains.h"
#include "Libraries/LibDispatch/affinity.h"

namespace pimentopin {
namespace {

constexpr Duration kViewInterval = std::chrono::milliseconds(20);
// Hosts start optimistically on views younger than 250 ms, so an unchanged view
// is repeated within that time while a host uses the service.
constexpr Duration kViewRepeat = std::chrono::milliseconds(200);
// Hosts whose requests wait take 100 ms without a message for a failed broker.
// In saturation the view does not change, so it is repeated for them.
constexpr Duration kWaitingViewRepeat = std::chrono::milliseconds(40);
constexpr Duration kIdleViewRepeat = std::chrono::seconds(1);
constexpr Duration kRecentUse = std::chrono::seconds(1);
constexpr Duration kUseWindow = std::chrono::seconds(10);
// Time for which a request waits for the target of its affinity key.
constexpr Duration kAffinityWait = std::chrono::milliseconds(250);
// A tick that is later than this follows a pause of the own process. Hosts'
// reports that arrived meanwhile are not processed yet.
constexpr Duration kPause = std::chrono::milliseconds(200);
// Between ticks while requests wait, while views change, and while only slots
// and the health of targets are to be followed.
constexpr Duration kQueueTick = std::chrono::milliseconds(10);
constexpr Duration kIdleTick = std::chrono::seconds(1);

// An attempt is overdue after this many times the usual service time. Work with
// a long tail takes longer in about 3 of 100 cases.
constexpr Duration::rep kOverdueFactor = 4;
constexpr Duration kLeastOverdue = std::chrono::milliseconds(300);
constexpr Duration kOverdueInterval = std::chrono::milliseconds(50);
// Added to the cost of a distrusted target, so that trusted ones come first.
constexpr double kDistrustCost = 1.0;
// A request waits for a trusted target for at most this time and part of its
// time budget.
constexpr Duration kTrustPatience = std::chrono::milliseconds(300);
constexpr Duration::rep kTrustBudgetPart = 5;

}  // namespace

SlotBroker::SlotBroker(BrokerConfiguration initial, BrokerPolicy broker_policy)
    : configuration(std::move(initial)),
      policy(broker_policy),
      retries(broker_policy.retry_limits),
      long_share(broker_policy.long_headroom) {
  this->ConfigureHealth(TimePoint());
}

std::vector<SendToHost> SlotBroker::Configure(TimePoint now, BrokerConfiguration changed) {
  this->configuration = std::move(changed);
  const auto is_gone = [this](TargetId target) {
    return std::none_of(this->configuration.targets.begin(), this->configuration.targets.end(),
                        [target](const BrokerTarget& item) { return item.target == target; });
  };
  std::erase_if(this->draining, is_gone);
  this->ranking.Forget(is_gone);
  this->ConfigureHealth(now);
  Messages messages;
  this->RefuseExpired(now, messages);
  this->Dispatch(now, messages);
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

SlotBroker::HostUse& SlotBroker::TouchHost(TimePoint now,
                                           HostId host,
                                           std::optional<DomainId> domain) {
  HostUse& use = this->hosts[host];
  use.recent_requests = RecentRequests(now, use);
  use.used_at = now;
  use.domain = domain.value_or(use.domain);
  return use;
}

double SlotBroker::RecentRequests(TimePoint now, const HostUse& use) {
  const double age = std::chrono::duration<double>(now - use.used_at).count();
  return use.recent_requests * std::exp(-std::max(0.0, age));
}

bool SlotBroker::ReceivesViews(TimePoint now, const HostUse& use) const {
  return RecentRequests(now, use) >= this->policy.view_rate;
}

void SlotBroker::RefreshCandidates() {
  this->candidates.clear();
  for (const BrokerTarget& target : this->configuration.targets) {
    HealthStatus verdict = this->health.Status(target.target);
    verdict.usable_slots = std::min(verdict.usable_slots, target.slots);
    if (target.leaving || this->draining.contains(target.target)) {
      verdict.state = TargetState::kLeaving;
    }
    if (verdict.state == TargetState::kLeaving || verdict.state == TargetState::kEjected) {
      verdict.usable_slots = 0;
    }
    this->candidates.push_back({.target = target.target,
                                .domain = target.domain,
                                .slots = target.slots,
                                .verdict = std::move(verdict)});
  }
}

std::uint32_t SlotBroker::UsableSlots() const {
  std::uint32_t slots = 0;
  for (const Candidate& candidate : this->candidates) {
    slots += candidate.verdict.usable_slots;
  }
  return slots;
}

std::uint32_t SlotBroker::LongLimit() const {
  const std::uint32_t usable = this->UsableSlots();
  if (this->policy.fixed_long_fraction > 0) {
    return std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(this->policy.fixed_long_fraction * usable));
  }
  return this->long_share.Limit(usable);
}

bool SlotBroker::IsUsableFor(const Candidate& candidate, const QueueEntry& entry) const {
  const std::vector<TargetId>& allowed = entry.request.allowed;
  if (!allowed.empty() && !Contains(allowed, candidate.target)) {
    return false;
  }
  const HealthStatus& verdict = candidate.verdict;
  return verdict.usable_slots > 0 && !Contains(verdict.unreachable_from, entry.domain) &&
         !Contains(verdict.unreachable_hosts, entry.host);
}

std::vector<const SlotBroker::Candidate*> SlotBroker::CandidatesFor(const QueueEntry& entry) const {
  std::vector<const Candidate*> fresh;
  std::vector<const Candidate*> tried;
  for (const Candidate& candidate : this->candidates) {
    if (this->IsUsableFor(candidate, entry)) {
      (Contains(entry.request.excluded, candidate.target) ? tried : fresh).push_back(&candidate);
    }
  }
  // A target that failed the request is used again only if there is no other.
  return fresh.empty() ? tried : fresh;
}

bool SlotBroker::HasRoom(const Candidate& candidate, WorkClass work_class) const {
  return this->table.CountAt(candidate.target) < candidate.verdict.usable_slots &&
         (work_class == WorkClass::kShort || this->table.long_count() < this->LongLimit());
}

bool SlotBroker::HasRoomAhead(const Candidate& candidate, WorkClass work_class) const {
  // Long work is never granted ahead, and nothing is granted ahead where only
  // long work runs: the request would wait for a long time.
  return work_class == WorkClass::kShort && candidate.verdict.state == TargetState::kHealthy &&
         this->table.LongCountAt(candidate.target) < candidate.verdict.usable_slots &&
         this->table.CountAt(candidate.target) <
             candidate.verdict.usable_slots + this->policy.ahead_per_target;
}

std::optional<TargetId> SlotBroker::ChooseTarget(TimePoint now, const QueueEntry& entry) {
  this->ObserveOverdue(now);
  std::vector<const Candidate*> usable = this->CandidatesFor(entry);
  const std::uint64_t key = entry.request.affinity_key;
  if (key != 0 && !usable.empty() && now - entry.arrived < kAffinityWait) {
    const auto preferred = std::max_element(
        usable.begin(), usable.end(), [key](const Candidate* left, const Candidate* right) {
          return AffinityScore(key, left->target) < AffinityScore(key, right->target);
        });
    usable = {*preferred};
  }
  const bool may_wait = now - entry.arrived <
                        std::min<Duration>(kTrustPatience, entry.request.budget / kTrustBudgetPart);
  bool any_trusted = false;
  const Candidate* best = nullptr;
  bool best_distrusted = false;
  std::pair<double, std::uint64_t> best_score;
  for (const Candidate* candidate : usable) {
    const bool distrusted =
        may_wait && this->ranking.IsDistrusted(now, entry.request, candidate->target);
    any_trusted = any_trusted || !distrusted;
    if (!this->HasRoom(*candidate, entry.request.work_class)) {
      continue;
    }
    const std::pair score(this->CostOf(now, entry, *candidate) + (distrusted ? kDistrustCost : 0.0),
                          StableHash(RawId(entry.request.attempt), RawId(candidate->target)));
    if (best == nullptr || score < best_score) {
      best = candidate;
      best_distrusted = distrusted;
      best_score = score;
    }
  }
  const bool worth_waiting = any_trusted && best_distrusted;
  return best != nullptr && !worth_waiting ? std::optional(best->target)
                                           : this->ChooseAhead(entry, usable);
}

void SlotBroker::ObserveOverdue(TimePoint now) {
  if (now - this->overdue_checked_at < kOverdueInterval) {
    return;
  }
  this->overdue_checked_at = now;
  const auto limit = [this](WorkClass work_class) {
    const Duration mean = this->estimate.Mean(work_class);
    return mean == Duration::zero() ? Duration::max()
                                    : std::max<Duration>(mean * kOverdueFactor, kLeastOverdue);
  };
  for (const TargetId target :
       this->table.TakeOverdue(now, limit(WorkClass::kShort), limit(WorkClass::kLong))) {
    this->ranking.RecordOverdue(now, target);
  }
}

double SlotBroker::CostOf(TimePoint now, const QueueEntry& entry, const Candidate& candidate) {
  const TargetUse use{.target = candidate.target,
                      .load = static_cast<double>(this->table.CountAt(candidate.target)) /
                              candidate.verdict.usable_slots,
                      .same_domain = candidate.domain == entry.domain};
  return this->ranking.Cost(now, entry.request, use);
}

std::optional<TargetId> SlotBroker::ChooseAhead(const QueueEntry& entry,
                                                const std::vector<const Candidate*>& usable) const {
  const Candidate* best = nullptr;
  std::uint32_t best_short = 0;
  for (const Candidate* candidate : usable) {
    const std::uint32_t short_work =
        this->table.CountAt(candidate->target) - this->table.LongCountAt(candidate->target);
    // One with a free slot was passed over because it is distrusted.
    if (!this->HasRoom(*candidate, entry.request.work_class) &&
        this->HasRoomAhead(*candidate, entry.request.work_class) &&
        (best == nullptr || short_work > best_short)) {
      best = candidate;
      best_short = short_work;
    }
  }
  return best != nullptr ? std::optional(best->target) : std::nullopt;
}

bool SlotBroker::CanStartAtOnce(TimePoint now, const QueueEntry& entry) {
  return this->queue.SizeOf(entry.request.work_class) == 0 &&
         this->ChooseTarget(now, entry).has_value();
}

bool SlotBroker::QueueIsFull(WorkClass work_class) const {
  const std::uint32_t limit = this->configuration.queue_limit;
  // Waiting long work takes at most half of the queue, so that it cannot keep
  // short work out.
  return this->queue.size() >= limit ||
         (work_class == WorkClass::kLong && this->queue.SizeOf(work_class) >= (limit + 1) / 2);
}

Duration SlotBroker::PredictedWait(const SlotRequest& request) const {
  const std::size_t ahead = this->queue.AheadOf(request.work_class, request.organisation) + 1;
  const std::uint32_t usable = this->UsableSlots();
  const std::uint32_t long_used = this->table.long_count();
  const std::uint32_t slots = request.work_class == WorkClass::kLong
                                  ? this->LongLimit()
                                  : usable - std::min(usable, long_used);
  return this->estimate.PredictedWait(request.work_class, ahead, slots);
}

bool SlotBroker::BudgetTooShort(const SlotRequest& request, Duration wait, Duration budget) const {
  // Without outstanding work the estimate cannot be corrected by a sample.
  return this->table.size() > 0 && wait + this->estimate.Mean(request.work_class) > budget;
}

SlotRefusal SlotBroker::Refusal(const SlotRequest& request, RefusalReason reason) const {
  return {.attempt = request.attempt,
          .service = request.service,
          .reason = reason,
          .retry_after = std::max<Duration>(this->PredictedWait(request), kViewInterval)};
}

std::optional<SlotRefusal> SlotBroker::Admit(TimePoint now,
                                             const QueueEntry& entry,
                                             Messages& messages) {
  const SlotRequest& request = entry.request;
  if (request.budget <= Duration::zero()) {
    return this->Refusal(request, RefusalReason::kDeadline);
  }
  if (this->CandidatesFor(entry).empty()) {
    return this->Refusal(request, RefusalReason::kNoTarget);
  }
  const bool at_once = this->CanStartAtOnce(now, entry);
  if (!at_once && this->BudgetTooShort(request, this->PredictedWait(request), request.budget)) {
    return this->Refusal(request, RefusalReason::kOverload);
  }
  const bool full = !at_once && this->QueueIsFull(request.work_class);
  // A full queue must not let the organisation that filled it keep others out.
  const std::optional<AttemptId> victim =
      full ? this->queue.VictimFor(request.work_class, request.organisation) : std::nullopt;
  if (full && !victim) {
    return this->Refusal(request, RefusalReason::kQueueFull);
  }
  if (request.is_retry && !this->retries.TryRetry(now)) {
    return this->Refusal(request, RefusalReason::kRetryBudget);
  }
  if (victim) {
    const std::optional<QueueEntry> removed = this->queue.Remove(*victim);
    messages.push_back({removed->host, this->Refusal(removed->request, RefusalReason::kQueueFull)});
  }
  return std::nullopt;
}

std::vector<SendToHost> SlotBroker::OnRequest(TimePoint now,
                                              HostId sender,
                                              DomainId sender_domain,
                                              const SlotRequest& request,
                                              bool fingerprint_blocked) {
  Messages messages;
  HostUse& use = this->TouchHost(now, sender, sender_domain);
  if (const SlotHolder* holder = this->table.Find(request.attempt)) {
    // The host repeats a request whose grant was lost.
    messages.push_back({sender, SlotGrant{.attempt = request.attempt,
                                          .service = request.service,
                                          .target = holder->target}});
    return messages;
  }
  if (this->queue.Contains(request.attempt)) {
    this->AcknowledgeQueued(now, sender, messages);
    return messages;
  }
  if (this->table.HasEnded(request.attempt)) {
    return messages;
  }
  if (fingerprint_blocked) {
    messages.push_back({sender, this->Refusal(request, RefusalReason::kCrashRequest)});
    return messages;
  }
  use.recent_requests += 1.0;
  this->long_share.RecordArrival(now, request.work_class, this->estimate.Mean(request.work_class));
  QueueEntry entry{.request = request,
                   .host = sender,
                   .domain = sender_domain,
                   .arrived = now,
                   .deadline = now + request.budget};
  if (!this->policy.fair) {
    entry.request.organisation = OrganisationId{};
  }
  if (const auto refusal = this->Admit(now, entry, messages)) {
    messages.push_back({sender, *refusal});
    return messages;
  }
  this->queue.Push(std::move(entry));
  this->Dispatch(now, messages);
  if (this->queue.Contains(request.attempt)) {
    this->AcknowledgeQueued(now, sender, messages);
  }
  return messages;
}

void SlotBroker::AcknowledgeQueued(TimePoint now, HostId host, Messages& messages) {
  HostUse& use = this->hosts[host];
  use.view_sent_at = now;
  ServiceView view = this->View();
  view.sequence = this->NextSequence(now);
  messages.push_back(this->ViewMessage(now, host, use, std::move(view)));
}

SendToHost SlotBroker::ViewMessage(TimePoint now,
                                   HostId host,
                                   const HostUse& use,
                                   ServiceView view) const {
  if (!this->ReceivesViews(now, use)) {
    view.targets.clear();
    return {host, std::move(view)};
  }
  return {host, this->ViewFor(host, use, std::move(view))};
}

std::vector<SendToHost> SlotBroker::OnCancel(TimePoint now,
                                             HostId sender,
                                             const SlotCancel& cancel) {
  this->TouchHost(now, sender, std::nullopt);
  this->queue.Remove(cancel.attempt);
  // If the grant is on its way, the host answers it with a release. The request
  // itself may still be on its way and must not be queued.
  if (this->table.Find(cancel.attempt) == nullptr) {
    this->table.Free(now, cancel.attempt);
  }
  return {};
}

std::vector<SendToHost> SlotBroker::OnClaim(TimePoint now,
                                            HostId sender,
                                            DomainId sender_domain,
                                            const SlotClaim& claim) {
  this->TouchHost(now, sender, sender_domain).recent_requests += 1.0;
  const bool added =
      this->table.Add(now, claim.attempt,
                      {.host = sender,
                       .target = claim.target,
                       .work_class = claim.work_class,
                       .queue_factor = this->QueueFactor(claim.target, claim.work_class)});
  if (added) {
    this->ranking.RecordStart(now, claim.target);
    this->long_share.RecordArrival(now, claim.work_class, this->estimate.Mean(claim.work_class));
    if (claim.is_retry) {
      this->retries.RecordRetry(now);
    } else {
      this->retries.RecordFirstAttempt(now);
    }
  }
  return {};
}

std::vector<SendToHost> SlotBroker::OnRelease(TimePoint now,
                                              HostId sender,
                                              DomainId sender_domain,
                                              const SlotRelease& release) {
  this->TouchHost(now, sender, sender_domain);
  if (release.target_draining && this->draining.insert(release.target).second) {
    this->ConfigureHealth(now);
  }
  Messages messages;
  const SlotHolder* holder = this->table.Find(release.attempt);
  const bool known = holder != nullptr && holder->target == release.target;
  const bool repeated = holder == nullptr && this->table.HasEnded(release.attempt);
  const double queue_factor = known ? holder->queue_factor : 1.0;
  if (holder == nullptr || known) {
    this->table.Free(now, release.attempt);
  }
  if (!repeated && release.result != AttemptResult::kCancelled) {
    if (release.result == AttemptResult::kSuccess) {
      this->estimate.Observe(release.work_class, release.service_time);
    }
    this->ranking.RecordResult(now, release.target, release.result);
    this->health.Observe(now, {.target = release.target,
                               .reporter = sender,
                               .reporter_domain = sender_domain,
                               .work_class = release.work_class,
                               .result = release.result,
                               .service_time = release.service_time,
                               .fingerprint = release.fingerprint,
                               .queue_factor = queue_factor});
    this->RefreshCandidates();
  }
  this->Dispatch(now, messages);
  return messages;
}

std::vector<SendToHost> SlotBroker::OnReport(TimePoint now,
                                             HostId sender,
                                             DomainId sender_domain,
                                             const HostReport& report) {
  this->TouchHost(now, sender, sender_domain);
  this->table.Reconcile(now, sender, report.outstanding);
  Messages messages;
  this->Dispatch(now, messages);
  return messages;
}

void SlotBroker::OnProbe(TimePoint now, const HealthObservation& evidence) {
  this->health.Observe(now, evidence);
  this->RefreshCandidates();
}

std::vector<SendToHost> SlotBroker::OnHostDead(TimePoint now, HostId host) {
  this->hosts.erase(host);
  std::vector<AttemptId> orphans;
  for (const QueueEntry* entry : this->queue.All()) {
    if (entry->host == host) {
      orphans.push_back(entry->request.attempt);
    }
  }
  for (const AttemptId attempt : orphans) {
    this->queue.Remove(attempt);
  }
  this->table.FreeHost(now, host);
  Messages messages;
  this->Dispatch(now, messages);
  return messages;
}

void SlotBroker::Grant(TimePoint now,
                       const QueueEntry& entry,
                       TargetId target,
                       Messages& messages) {
  const SlotRequest& request = entry.request;
  this->table.Add(now, request.attempt,
                  {.host = entry.host,
                   .target = target,
                   .work_class = request.work_class,
                   .queue_factor = this->QueueFactor(target, request.work_class)});
  this->ranking.RecordStart(now, target);
  // An attempt that reached no target is followed by one that is no retry, but
  // the request is counted once.
  if (!request.is_retry && request.excluded.empty()) {
    this->retries.RecordFirstAttempt(now);
  }
  messages.push_back(
      {entry.host,
       SlotGrant{.attempt = request.attempt, .service = request.service, .target = target}});
}

double SlotBroker::QueueFactor(TargetId target, WorkClass work_class) const {
  const auto position =
      std::find_if(this->candidates.begin(), this->candidates.end(),
                   [target](const Candidate& candidate) { return candidate.target == target; });
  if (position == this->candidates.end()) {
    return 1.0;
  }
  // Short work waits for the slots that long work leaves; what long work waits
  // for short work is negligible beside its own time.
  const std::uint32_t long_work = this->table.LongCountAt(target);
  const std::uint32_t short_work = this->table.CountAt(target) - long_work;
  const bool is_long = work_class == WorkClass::kLong;
  const std::uint32_t joined = (is_long ? long_work : short_work) + 1;
  const std::uint32_t slots =
      is_long ? position->slots : position->slots - std::min(position->slots, long_work);
  return slots == 0 ? 0.0 : std::max(1.0, static_cast<double>(joined) / slots);
}

bool SlotBroker::LongGoesFirst(TimePoint now) const {
  TimePoint oldest_long = TimePoint::max();
  TimePoint oldest_short = TimePoint::max();
  for (const QueueEntry* entry : this->queue.All()) {
    TimePoint& oldest = entry->request.work_class == WorkClass::kLong ? oldest_long : oldest_short;
    oldest = std::min(oldest, entry->arrived);
  }
  if (oldest_long == TimePoint::max()) {
    return false;
  }
  return this->policy.short_first ? now - oldest_long >= this->policy.long_pass_over
                                  : oldest_long < oldest_short;
}

bool SlotBroker::GrantNext(TimePoint now, WorkClass work_class, Messages& messages) {
  const bool room = std::any_of(
      this->candidates.begin(), this->candidates.end(), [&](const Candidate& candidate) {
        return this->HasRoom(candidate, work_class) || this->HasRoomAhead(candidate, work_class);
      });
  if (!room) {
    return false;
  }
  for (const QueueEntry* entry : this->queue.Ordered(work_class)) {
    const AttemptId attempt = entry->request.attempt;
    if (this->BudgetTooShort(entry->request, Duration::zero(), entry->deadline - now)) {
      const std::optional<QueueEntry> removed = this->queue.Remove(attempt);
      messages.push_back(
          {removed->host, this->Refusal(removed->request, RefusalReason::kDeadline)});
      return true;
    }
    if (const std::optional<TargetId> target = this->ChooseTarget(now, *entry)) {
      const std::optional<QueueEntry> taken = this->queue.Take(attempt);
      this->Grant(now, *taken, *target, messages);
      return true;
    }
  }
  return false;
}

void SlotBroker::Dispatch(TimePoint now, Messages& messages) {
  while (this->queue.size() > 0) {
    const bool long_first = this->LongGoesFirst(now);
    const WorkClass first = long_first ? WorkClass::kLong : WorkClass::kShort;
    const WorkClass second = long_first ? WorkClass::kShort : WorkClass::kLong;
    if (!this->GrantNext(now, first, messages) && !this->GrantNext(now, second, messages)) {
      return;
    }
  }
}

void SlotBroker::RefuseExpired(TimePoint now, Messages& messages) {
  std::vector<std::pair<AttemptId, RefusalReason>> refused;
  for (const QueueEntry* entry : this->queue.All()) {
    if (entry->deadline <= now ||
        this->BudgetTooShort(entry->request, Duration::zero(), entry->deadline - now)) {
      refused.emplace_back(entry->request.attempt, RefusalReason::kDeadline);
    } else if (this->CandidatesFor(*entry).empty()) {
      refused.emplace_back(entry->request.attempt, RefusalReason::kNoTarget);
    }
  }
  for (const auto& [attempt, reason] : refused) {
    const std::optional<QueueEntry> removed = this->queue.Remove(attempt);
    messages.push_back({removed->host, this->Refusal(removed->request, reason)});
  }
}

std::uint64_t SlotBroker::NextSequence(TimePoint now) {
  // Starting from the clock lets the views of a restarted broker replace those
  // of its earlier incarnation.
  const auto clock = static_cast<std::uint64_t>(now.time_since_epoch().count());
  this->sequence = std::max(this->sequence + 1, clock);
  return this->sequence;
}

std::vector<SendToHost> SlotBroker::Tick(TimePoint now) {
  if (this->expected_tick && now - *this->expected_tick > kPause) {
    this->table.ExtendTimeouts(now - *this->expected_tick);
  }
  this->expected_tick = now;
  this->health.Tick(now);
  this->RefreshCandidates();
  this->table.Expire(now);
  std::erase_if(this->hosts,
                [now](const auto& item) { return now - item.second.used_at > kUseWindow; });
  Messages messages;
  this->RefuseExpired(now, messages);
  this->Dispatch(now, messages);
  this->PushViews(now, messages);
  return messages;
}

TimePoint SlotBroker::NextDeadline(TimePoint now) {
  TimePoint next = TimePoint::max();
  if (this->queue.size() > 0) {
    next = now + kQueueTick;
  } else if (std::any_of(this->hosts.begin(), this->hosts.end(), [this, now](const auto& item) {
               return this->ReceivesViews(now, item.second);
             })) {
    next = now + kViewInterval;
  } else if (!this->hosts.empty() || this->table.size() > 0) {
    next = now + kIdleTick;
  }
  this->expected_tick = next;
  return next;
}

void SlotBroker::PushViews(TimePoint now, Messages& messages) {
  ServiceView view = this->View();
  view.sequence = 0;
  const bool changed = view != this->pushed && now - this->pushed_at >= kViewInterval;
  if (changed) {
    this->pushed = view;
    this->pushed_at = now;
    for (auto& [host, use] : this->hosts) {
      use.view_owed = true;
    }
  }
  view.sequence = this->NextSequence(now);
  std::set<HostId> waiting;
  for (const QueueEntry* entry : this->queue.All()) {
    waiting.insert(entry->host);
  }
  for (auto& [host, use] : this->hosts) {
    if (!waiting.contains(host) && !this->ReceivesViews(now, use)) {
      continue;
    }
    const Duration repeat = waiting.contains(host)           ? kWaitingViewRepeat
                            : now - use.used_at < kRecentUse ? kViewRepeat
                                                             : kIdleViewRepeat;
    if (use.view_owed || now - use.view_sent_at >= repeat) {
      use.view_owed = false;
      use.view_sent_at = now;
      messages.push_back(this->ViewMessage(now, host, use, view));
    }
  }
}

ServiceView SlotBroker::ViewFor(HostId host, const HostUse& use, ServiceView view) const {
  for (std::size_t index = 0; index < this->candidates.size(); ++index) {
    if (Contains(this->candidates[index].verdict.unreachable_hosts, host)) {
      view.targets[index].unreachable_from.push_back(use.domain);
    }
  }
  return view;
}

std::vector<HealthEvent> SlotBroker::TakeHealthEvents() {
  return this->health.TakeEvents();
}

ServiceView SlotBroker::View() const {
  ServiceView view{.service = this->configuration.service,
                   .sequence = this->sequence,
                   .queued = static_cast<std::uint32_t>(this->queue.size()),
                   .active_hosts = static_cast<std::uint16_t>(
                       std::clamp<std::size_t>(this->hosts.size(), 1, 65535))};
  for (const Candidate& candidate : this->candidates) {
    const std::uint32_t usable = candidate.verdict.usable_slots;
    const std::uint32_t used = std::min(usable, this->table.CountAt(candidate.target));
    view.targets.push_back({.target = candidate.target,
                            .state = candidate.verdict.state,
                            .usable_slots = static_cast<std::uint16_t>(usable),
                            .free_slots = static_cast<std::uint16_t>(usable - used),
                            .unreachable_from = candidate.verdict.unreachable_from});
  }
  return view;
}

}  // namespace pimentopin
