#include "Libraries/LibDispatch/host_dispatcher.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Libraries/LibCore/contains.h"
#include "Libraries/LibCore/rendezvous.h"
#include "Libraries/LibDispatch/service_cells.h"

namespace pimentopin {
namespace {

// Time within which a broker must send its first message after a slot request.
constexpr Duration kFirstReplyTimeout = std::chrono::milliseconds(30);
// While requests wait, a broker pushes views every 20 ms, or every 40 ms if
// they do not change; after this time without one it is considered failed.
constexpr Duration kBrokerMessageTimeout = std::chrono::milliseconds(100);
// A slot request or a grant may be lost with its connection.
constexpr Duration kResendInterval = std::chrono::milliseconds(250);
constexpr Duration kReportInterval = std::chrono::seconds(1);
// A tick delayed by more than this means that this process was paused and has
// not yet processed the messages of brokers that arrived meanwhile.
constexpr Duration kPauseThreshold = std::chrono::milliseconds(50);
// An attempt whose server error is held occupies a slot while the retry waits
// for another one.
constexpr Duration kMaxResponseHold = std::chrono::milliseconds(50);
// A cancelled attempt ends almost immediately; after this time its end is
// considered lost.
constexpr Duration kAttemptEndTimeout = std::chrono::milliseconds(500);
// The same at the end of the host, which leaves no time to wait.
constexpr Duration kLastAttemptEndTimeout = std::chrono::milliseconds(100);
constexpr std::uint32_t kMaxUnusableGrants = 5;
constexpr std::size_t kMaxLocalQueueLength = 64;
// Time for which a cell that had no room for a request is not asked for others at most.
constexpr Duration kMaxFullTime = std::chrono::milliseconds(500);
constexpr Duration kFallbackRetryAfter = std::chrono::seconds(1);
// With more requests in progress, ticks are periodic, as a search for the next
// deadline would cost more.
constexpr std::size_t kMaxScannedRequests = 64;
constexpr Duration kTickInterval = std::chrono::milliseconds(10);
// If the limit of an attempt is found passed by more than this, the process was
// paused, and a response may have arrived that the client's thread, which was
// paused as well, has not read.
constexpr Duration kLateLimit = 2 * kTickInterval;
// Turn of that thread.
constexpr Duration kReadTurn = kTickInterval;

// Time at which the broker that the request waits for is considered
// unavailable.
TimePoint BrokerTimeoutAt(const BrokerSelector& broker_selector, const RequestState& state) {
  const std::optional<TimePoint> last_message_at = broker_selector.LastMessageAt(state.broker);
  return last_message_at && *last_message_at > state.requested_at
             ? *last_message_at + kBrokerMessageTimeout
             : state.requested_at + kFirstReplyTimeout;
}

// When a caller may return whose request the last allowed target refused. Targets refuse for short
// times, and a caller that is told to wait for most of the time that it has left does not return.
// The times of different requests differ, so that their callers do not return together.
Duration ShedRetryAfter(TimePoint now, const RequestDescription& request) {
  constexpr Duration::rep kEarliestDivisor = 8;
  const Duration earliest = (request.deadline - now) / kEarliestDivisor;
  const double part = HashFraction(RawId(request.request));
  return std::clamp<Duration>(earliest + std::chrono::duration_cast<Duration>(earliest * part),
                              Duration::zero(), kFallbackRetryAfter);
}

// Why no attempt may start after the start limit of a request.
RefusalReason LimitReason(TimePoint now, const RequestDescription& request) {
  return now >= request.deadline ? RefusalReason::kDeadline : RefusalReason::kHostEnd;
}

}  // namespace

HostDispatcher::HostDispatcher(DispatchSettings dispatch_settings, RandomSource& random_source)
    : settings(std::move(dispatch_settings)),
      random(random_source),
      chooser(this->settings, random_source) {}

DispatchServiceState* HostDispatcher::FindService(ServiceId service) {
  const auto position = this->services.find(service);
  return position == this->services.end() ? nullptr : &position->second;
}

RequestState* HostDispatcher::FindRequest(RequestId request) {
  const auto position = this->requests.find(request);
  return position == this->requests.end() ? nullptr : &position->second;
}

std::optional<RequestPhase> HostDispatcher::PhaseOf(RequestId request) const {
  const auto position = this->requests.find(request);
  return position == this->requests.end() ? std::nullopt : std::optional(position->second.phase);
}

RequestState* HostDispatcher::FindByPendingAttempt(AttemptId attempt) {
  const auto position = this->pending_attempts.find(attempt);
  return position == this->pending_attempts.end() ? nullptr : this->FindRequest(position->second);
}

AttemptId HostDispatcher::NewAttemptId() {
  return AttemptId{this->random.Next()};
}

void HostDispatcher::Configure(TimePoint /*now*/, std::vector<DispatchService> configured) {
  std::set<ServiceId> present;
  for (DispatchService& service : configured) {
    present.insert(service.service);
    for (const ServiceCell& cell : service.cells) {
      present.insert(cell.id);
      this->ConfigureService(CellAsService(service, cell));
    }
    this->ConfigureService(std::move(service));
  }
  // A removed service or cell keeps its state, without targets, because its requests
  // may still be in progress.
  for (auto& [id, state] : this->services) {
    if (!present.contains(id)) {
      state.configuration.targets.clear();
      state.configuration.cells.clear();
      state.cell_order.clear();
    }
  }
}

void HostDispatcher::ConfigureService(DispatchService service) {
  const auto [position, is_new] = this->services.try_emplace(service.service);
  DispatchServiceState& state = position->second;
  if (is_new) {
    state.retries = RetryBudget(this->settings.retry_limits);
  }
  state.configuration = std::move(service);
  state.own_results.RemoveTargets([&state](TargetId target) {
    const auto& targets = state.configuration.targets;
    return std::none_of(targets.begin(), targets.end(),
                        [target](const auto& item) { return item.target == target; });
  });
  state.broker_selector.SetRanking(
      this->settings.RankBrokers(state.configuration.service, this->members));
  // The other cells come in an order of this host's own, so that what one cell cannot take is
  // spread.
  std::vector<ServiceCell> cells = state.configuration.cells;
  std::sort(cells.begin(), cells.end(), [this](const ServiceCell& left, const ServiceCell& right) {
    const auto score = [this](const ServiceCell& cell) {
      return std::pair(cell.domain != this->settings.domain,
                       StableHash(RawId(this->settings.self), RawId(cell.id)));
    };
    return score(left) < score(right);
  });
  state.cell_order.clear();
  for (const ServiceCell& cell : cells) {
    state.cell_order.push_back(cell.id);
  }
}

bool HostDispatcher::IsUntriedCell(TimePoint now, const RequestState& state, ServiceId cell) const {
  const auto found = this->services.find(cell);
  return found != this->services.end() && !Contains(state.refused_by_cells, cell) &&
         this->chooser.HasUsableTarget(now, found->second, state);
}

bool HostDispatcher::HasOtherCell(TimePoint now, const RequestState& state) const {
  const auto service = this->services.find(state.description.service);
  return service != this->services.end() &&
         std::any_of(service->second.cell_order.begin(), service->second.cell_order.end(),
                     [&](ServiceId cell) {
                       return this->IsUntriedCell(now, state, cell) &&
                              this->services.at(cell).full_until <= now &&
                              this->services.at(cell).broker_selector.Current(now).has_value();
                     });
}

DispatchServiceState* HostDispatcher::ChoosePlace(TimePoint now, RequestState& state) {
  DispatchServiceState* service = this->FindService(state.description.service);
  state.place = state.description.service;
  if (service == nullptr || service->cell_order.empty()) {
    return service;
  }
  // The own domain's cell is asked even when it was full a moment ago: its answer is cheap and
  // depends on the request's deadline.
  const ServiceId own = service->cell_order.front();
  int best_rank = 4;
  for (const ServiceId cell : service->cell_order) {
    const DispatchServiceState& candidate = this->services.at(cell);
    const bool has_broker = candidate.broker_selector.Current(now).has_value();
    const bool has_room = cell == own || candidate.full_until <= now;
    const int rank = !this->IsUntriedCell(now, state, cell) ? 3
                     : !has_broker                          ? 2
                     : !has_room                            ? 1
                                                            : 0;
    if (rank < best_rank) {
      best_rank = rank;
      state.place = cell;
    }
    if (rank == 0) {
      break;
    }
  }
  return this->FindService(state.place);
}

std::vector<DispatchAction> HostDispatcher::SetMembers(TimePoint now,
                                                       std::vector<HostId> eligible_hosts) {
  this->members = std::move(eligible_hosts);
  this->chooser.SetHostCount(this->members.size());
  Actions actions;
  for (auto& [id, service] : this->services) {
    service.broker_selector.SetRanking(this->settings.RankBrokers(id, this->members));
    this->TickService(now, service, actions);
  }
  return actions;
}

std::vector<DispatchAction> HostDispatcher::SetHostEnd(TimePoint now, const HostEnd& end) {
  this->host_end = end;
  return this->Tick(now);
}

TimePoint HostDispatcher::StartLimit(const RequestDescription& request) const {
  return std::min(request.deadline, this->host_end.last_start);
}

TimePoint HostDispatcher::RunLimit(const RequestState& state) const {
  // Cancelling would break off a response that has begun, so it has until the host ends.
  return state.phase == RequestPhase::kForwarding
             ? state.description.deadline
             : std::min(state.description.deadline, this->host_end.last_answer);
}

TimePoint HostDispatcher::CancelTime(const RequestState& state, const AttemptState& attempt) const {
  return std::max(this->RunLimit(state), attempt.readable_until);
}

TimePoint HostDispatcher::FinishLimit(const RequestState& state,
                                      const AttemptState& attempt) const {
  const TimePoint limit = this->RunLimit(state);
  return std::max(limit, attempt.cancelled_at) +
         (limit < state.description.deadline ? kLastAttemptEndTimeout : kAttemptEndTimeout);
}

std::optional<RefusalReason> HostDispatcher::LimitReached(TimePoint now,
                                                          const RequestDescription& request) const {
  return now >= this->StartLimit(request) ? std::optional(LimitReason(now, request)) : std::nullopt;
}

std::vector<DispatchAction> HostDispatcher::Begin(TimePoint now,
                                                  const RequestDescription& request) {
  Actions actions;
  const auto [position, inserted] =
      this->requests.emplace(request.request, RequestState{.description = request});
  if (inserted) {
    this->PlaceNextAttempt(now, position->second, actions);
  }
  return actions;
}

void HostDispatcher::PlaceNextAttempt(TimePoint now, RequestState& state, Actions& actions) {
  const RequestDescription& description = state.description;
  if (const std::optional<RefusalReason> limit = this->LimitReached(now, description)) {
    this->ForwardHeldOrFinish(state, *limit, Duration::zero(), actions);
    return;
  }
  if (this->settings.IsBlocked(description.fingerprint)) {
    this->ForwardHeldOrFinish(state, RefusalReason::kCrashRequest, Duration::zero(), actions);
    return;
  }
  const bool brokered = this->settings.policy == DispatchPolicy::kBrokered;
  DispatchServiceState* service = this->ChoosePlace(now, state);
  const bool usable =
      service != nullptr && brokered && this->chooser.HasUsableTarget(now, *service, state);
  if (service == nullptr ||
      (!usable && this->chooser.AllowedTargets(*this->FindService(description.service), description)
                      .empty())) {
    this->ForwardHeldOrFinish(state, RefusalReason::kNoTarget, Duration::zero(), actions);
    return;
  }
  if (!brokered) {
    this->PlaceByBaselinePolicy(now, *service, state, actions);
    return;
  }
  if (!usable) {
    this->WaitForHoldOff(now, state, actions);
    return;
  }
  const std::optional<HostId> broker = service->broker_selector.Current(now);
  if (!broker) {
    this->PlaceInFallback(now, *service, state, actions);
    return;
  }
  const std::optional<TargetId> target =
      state.attempts_started == 0 ? this->chooser.ChooseOptimistic(now, *broker, *service, state)
                                  : std::nullopt;
  if (target) {
    this->Start(now, *service, state, this->NewAttemptId(), *target, broker, PlacedBy::kOptimistic,
                actions);
    actions.emplace_back(SendToHost{*broker, SlotClaim{.attempt = *state.running_attempt,
                                                       .service = state.place,
                                                       .target = *target,
                                                       .organisation = description.organisation,
                                                       .work_class = description.work_class,
                                                       .work_key = description.work_key}});
    return;
  }
  this->RequestSlot(now, *broker, *service, state, actions);
}

void HostDispatcher::WaitForHoldOff(TimePoint now, RequestState& state, Actions& actions) {
  const DispatchServiceState& service = *this->FindService(state.description.service);
  const std::optional<TimePoint> end = this->chooser.FirstHoldOffEnd(now, service, state);
  if (!end) {
    this->ForwardHeldOrFinish(state, RefusalReason::kShed, kFallbackRetryAfter, actions);
    return;
  }
  // A held response would occupy its slot meanwhile.
  if (state.held_attempt || *end >= state.description.deadline) {
    this->ForwardHeldOrFinish(state, RefusalReason::kHoldOff, *end - now, actions);
    return;
  }
  if (*end >= this->StartLimit(state.description)) {
    this->ForwardHeldOrFinish(state, RefusalReason::kHostEnd, Duration::zero(), actions);
    return;
  }
  state.phase = RequestPhase::kHeldOff;
  state.resume_at = *end;
}

void HostDispatcher::PlaceByBaselinePolicy(TimePoint now,
                                           DispatchServiceState& service,
                                           RequestState& state,
                                           Actions& actions) {
  if (state.reached_target() && !service.retries.TryRetry(now)) {
    this->ForwardHeldOrFinish(state, RefusalReason::kRetryBudget, Duration::zero(), actions);
    return;
  }
  const TargetId target = *this->chooser.ChooseBaseline(service, state);
  this->Start(now, service, state, this->NewAttemptId(), target, std::nullopt, PlacedBy::kFallback,
              actions);
}

void HostDispatcher::PlaceInFallback(TimePoint now,
                                     DispatchServiceState& service,
                                     RequestState& state,
                                     Actions& actions) {
  // Only a broker can limit the targets that a suspected crash request reaches.
  if (this->settings.IsSuspect(state.description.fingerprint)) {
    this->ForwardHeldOrFinish(state, RefusalReason::kCrashRequest, kFallbackRetryAfter, actions);
    return;
  }
  const std::optional<TargetId> target = this->chooser.ChooseFallback(now, service, state);
  if (!target) {
    this->ForwardHeldOrFinish(state, RefusalReason::kNoTarget, kFallbackRetryAfter, actions);
    return;
  }
  const bool at_limit = service.outstanding_total >= this->chooser.FallbackLimit(service);
  // An attempt whose response is held occupies a slot itself, so that the
  // request could wait for its own slot forever.
  if (at_limit && (state.held_attempt || service.local_queue.size() >= kMaxLocalQueueLength)) {
    this->ForwardHeldOrFinish(state, RefusalReason::kOverload, kFallbackRetryAfter, actions);
    return;
  }
  if (state.reached_target() && !service.retries.TryRetry(now)) {
    this->ForwardHeldOrFinish(state, RefusalReason::kRetryBudget, kFallbackRetryAfter, actions);
    return;
  }
  if (!at_limit) {
    this->Start(now, service, state, this->NewAttemptId(), *target, std::nullopt,
                PlacedBy::kFallback, actions);
    return;
  }
  state.phase = RequestPhase::kWaitingLocally;
  state.requested_at = now;
  state.pending_attempt = this->NewAttemptId();
  this->pending_attempts[state.pending_attempt] = state.description.request;
  SlotRequest waiting = this->MakeSlotRequest(now, service, state);
  // A host without a broker does not know what else the service is offered.
  waiting.priority = 0;
  service.local_queue.Push({.request = std::move(waiting),
                            .host = this->settings.self,
                            .domain = this->settings.domain,
                            .arrived = now,
                            .deadline = this->StartLimit(state.description)});
}

void HostDispatcher::StartFromLocalQueue(TimePoint now,
                                         DispatchServiceState& service,
                                         Actions& actions) {
  while (service.local_queue.size() > 0 &&
         service.outstanding_total < this->chooser.FallbackLimit(service)) {
    const AttemptId next = service.local_queue.All().front()->request.attempt;
    service.local_queue.Dequeue(next);
    RequestState* state = this->FindByPendingAttempt(next);
    this->pending_attempts.erase(next);
    if (state == nullptr) {
      continue;
    }
    state->phase = RequestPhase::kPlacing;
    const std::optional<TargetId> target = this->chooser.ChooseFallback(now, service, *state);
    if (target && now < this->StartLimit(state->description) &&
        !this->settings.IsBlocked(state->description.fingerprint)) {
      this->Start(now, service, *state, next, *target, std::nullopt, PlacedBy::kFallback, actions);
    } else {
      this->ForwardHeldOrFinish(
          *state, target ? LimitReason(now, state->description) : RefusalReason::kNoTarget,
          Duration::zero(), actions);
    }
  }
}

SlotRequest HostDispatcher::MakeSlotRequest(TimePoint now,
                                            const DispatchServiceState& service,
                                            const RequestState& state) const {
  const RequestDescription& description = state.description;
  // OnGrant() checks the target again, so that leaving targets need no list.
  std::vector<TargetId> allowed;
  if (!TargetChooser::MayUseAllTargets(service, description)) {
    allowed = this->chooser.AllowedTargets(service, description);
  }
  std::vector<TargetId> forbidden;
  for (const DispatchService::Target& target : service.configuration.targets) {
    // The broker does not know yet that a target leaves if it has granted it.
    const bool granted_while_leaving =
        Contains(state.excluded, target.target) && this->settings.IsLeaving(target.target);
    if (granted_while_leaving || this->chooser.IsForbidden(now, state, target.target)) {
      forbidden.push_back(target.target);
    }
  }
  return {.attempt = state.pending_attempt,
          .service = state.place,
          .organisation = description.organisation,
          .caller = description.caller,
          .work_class = description.work_class,
          .budget = this->StartLimit(state.description) - now,
          .fingerprint = description.fingerprint,
          .is_retry = state.reached_target(),
          .affinity_key = description.affinity_key,
          .allowed = std::move(allowed),
          .excluded = state.excluded,
          .idempotent = description.idempotent,
          .bulk = description.bulk,
          .forbidden = std::move(forbidden),
          .kind = description.kind,
          .priority = description.priority,
          .work_key = description.work_key};
}

void HostDispatcher::RequestSlot(TimePoint now,
                                 HostId broker,
                                 DispatchServiceState& service,
                                 RequestState& state,
                                 Actions& actions) {
  if (service.reported_to != broker && service.outstanding_total > 0) {
    this->SendReport(now, broker, service, actions);
  }
  state.phase = RequestPhase::kWaitingAtBroker;
  state.pending_attempt = this->NewAttemptId();
  state.broker = broker;
  state.requested_at = now;
  state.last_sent_at = now;
  this->pending_attempts[state.pending_attempt] = state.description.request;
  ++service.waiting_at_broker;
  actions.emplace_back(SendToHost{broker, this->MakeSlotRequest(now, service, state)});
}

void HostDispatcher::StopWaiting(DispatchServiceState& service,
                                 RequestState& state,
                                 bool notify_broker,
                                 Actions& actions) {
  if (state.phase == RequestPhase::kWaitingAtBroker) {
    --service.waiting_at_broker;
    if (notify_broker) {
      actions.emplace_back(SendToHost{
          state.broker, SlotCancel{.attempt = state.pending_attempt, .service = state.place}});
    }
  } else if (state.phase == RequestPhase::kWaitingLocally) {
    service.local_queue.Remove(state.pending_attempt);
  } else {
    return;
  }
  this->pending_attempts.erase(state.pending_attempt);
  state.phase = RequestPhase::kPlacing;
}

void HostDispatcher::Start(TimePoint now,
                           DispatchServiceState& service,
                           RequestState& state,
                           AttemptId attempt,
                           TargetId target,
                           std::optional<HostId> broker,
                           PlacedBy placed_by,
                           Actions& actions) {
  if (state.held_attempt) {
    this->Cancel(*state.held_attempt, CancelReason::kReplaced, actions);
    state.held_attempt.reset();
  }
  const RequestDescription& description = state.description;
  this->attempts.emplace(attempt, AttemptState{.request = description.request,
                                               .service = service.configuration.service,
                                               .target = target,
                                               .organisation = description.organisation,
                                               .work_class = description.work_class,
                                               .kind = description.kind,
                                               .work_key = description.work_key,
                                               .fingerprint = description.fingerprint,
                                               .broker = broker,
                                               .deadline = description.deadline});
  if (state.attempts_started == 0) {
    service.retries.RecordFirstAttempt(now);
  } else if (broker && state.reached_target()) {
    service.retries.RecordRetry(now);
  }
  ++state.attempts_started;
  state.running_attempt = attempt;
  state.phase = RequestPhase::kRunning;
  state.refused_by_cells.clear();
  ++service.outstanding[target];
  ++service.outstanding_total;
  service.view.RecordStart(target);
  service.rate_limits.RecordSend(now, target);
  actions.emplace_back(StartAttempt{.request = description.request,
                                    .attempt = attempt,
                                    .target = target,
                                    .deadline = description.deadline,
                                    .placed_by = placed_by});
}

void HostDispatcher::Cancel(AttemptId attempt, CancelReason reason, Actions& actions) {
  const auto position = this->attempts.find(attempt);
  if (position == this->attempts.end() || position->second.cancel_reason != CancelReason::kNone) {
    return;
  }
  position->second.cancel_reason = reason;
  actions.emplace_back(CancelAttempt{attempt});
}

void HostDispatcher::CancelRunning(TimePoint now,
                                   AttemptId attempt,
                                   CancelReason reason,
                                   Actions& actions) {
  this->attempts.at(attempt).cancelled_at = now;
  this->Cancel(attempt, reason, actions);
}

void HostDispatcher::ReturnGrant(HostId broker, const SlotGrant& grant, Actions& actions) {
  // The broker's host may know a new target earlier than this host. An unknown
  // target must not be reported as draining.
  const DispatchServiceState* const service = this->FindService(grant.service);
  const bool known =
      service != nullptr &&
      std::any_of(service->configuration.targets.begin(), service->configuration.targets.end(),
                  [&grant](const auto& item) { return item.target == grant.target; });
  const bool draining = known && this->settings.IsLeaving(grant.target);
  actions.emplace_back(SendToHost{broker, SlotRelease{.attempt = grant.attempt,
                                                      .service = grant.service,
                                                      .target = grant.target,
                                                      .result = AttemptResult::kCancelled,
                                                      .target_draining = draining}});
}

std::vector<DispatchAction> HostDispatcher::OnGrant(TimePoint now,
                                                    HostId sender,
                                                    const SlotGrant& grant) {
  Actions actions;
  DispatchServiceState* service = this->FindService(grant.service);
  if (service != nullptr) {
    service->broker_selector.OnMessageReceived(now, sender);
  }
  const auto known_attempt = this->attempts.find(grant.attempt);
  if (known_attempt != this->attempts.end() && known_attempt->second.target == grant.target &&
      known_attempt->second.broker == sender) {
    return actions;
  }
  RequestState* state = this->FindByPendingAttempt(grant.attempt);
  if (service == nullptr || state == nullptr || state->phase != RequestPhase::kWaitingAtBroker ||
      state->broker != sender || state->place != grant.service) {
    this->ReturnGrant(sender, grant, actions);
    return actions;
  }
  this->StopWaiting(*service, *state, false, actions);
  const RequestDescription& description = state->description;
  const bool too_late = now >= this->StartLimit(state->description);
  const bool blocked = this->settings.IsBlocked(description.fingerprint);
  const bool usable = Contains(this->chooser.UsableTargets(now, *service, *state), grant.target);
  if (!too_late && !blocked && usable) {
    this->Start(now, *service, *state, grant.attempt, grant.target, sender, PlacedBy::kBroker,
                actions);
    return actions;
  }
  this->ReturnGrant(sender, grant, actions);
  if (too_late || blocked) {
    this->ForwardHeldOrFinish(
        *state, too_late ? LimitReason(now, state->description) : RefusalReason::kCrashRequest,
        Duration::zero(), actions);
  } else if (++state->unusable_grants > kMaxUnusableGrants) {
    this->ForwardHeldOrFinish(*state, RefusalReason::kNoTarget, kFallbackRetryAfter, actions);
  } else {
    state->excluded.push_back(grant.target);
    this->PlaceNextAttempt(now, *state, actions);
  }
  return actions;
}

std::vector<DispatchAction> HostDispatcher::OnRefusal(TimePoint now,
                                                      HostId sender,
                                                      const SlotRefusal& refusal) {
  Actions actions;
  DispatchServiceState* service = this->FindService(refusal.service);
  if (service != nullptr) {
    service->broker_selector.OnMessageReceived(now, sender);
  }
  RequestState* state = this->FindByPendingAttempt(refusal.attempt);
  if (service == nullptr || state == nullptr || state->phase != RequestPhase::kWaitingAtBroker ||
      state->broker != sender || state->place != refusal.service) {
    return actions;
  }
  this->StopWaiting(*service, *state, false, actions);
  if (refusal.reason == RefusalReason::kNotBroker) {
    service->broker_selector.OnUnavailable(now, sender);
    this->PlaceNextAttempt(now, *state, actions);
    return actions;
  }
  const bool lacks_room =
      refusal.reason == RefusalReason::kOverload || refusal.reason == RefusalReason::kQueueFull ||
      refusal.reason == RefusalReason::kDeadline || refusal.reason == RefusalReason::kNoTarget;
  if (lacks_room && state->place != state->description.service) {
    service->full_until = now + std::min<Duration>(refusal.retry_after, kMaxFullTime);
    state->refused_by_cells.push_back(state->place);
    if (this->HasOtherCell(now, *state)) {
      this->PlaceNextAttempt(now, *state, actions);
      return actions;
    }
  }
  // The broker knows only the time that the end of this host leaves. After a failed attempt, the
  // failure is the reason that the caller is told.
  const bool lacks_time =
      refusal.reason == RefusalReason::kDeadline || refusal.reason == RefusalReason::kOverload;
  const bool limited_by_host =
      !state->may_have_run && this->StartLimit(state->description) < state->description.deadline;
  this->ForwardHeldOrFinish(
      *state, lacks_time && limited_by_host ? RefusalReason::kHostEnd : refusal.reason,
      refusal.retry_after, actions);
  return actions;
}

void HostDispatcher::OnView(TimePoint now, HostId sender, const ServiceView& view) {
  DispatchServiceState* service = this->FindService(view.service);
  if (service == nullptr || !service->broker_selector.IsCandidate(sender)) {
    return;
  }
  service->broker_selector.OnMessageReceived(now, sender);
  // A view without targets only shows that the broker is alive.
  if (view.targets.empty()) {
    return;
  }
  service->view.Accept(now, sender, service->broker_selector.Current(now) == sender, view);
}

bool HostDispatcher::MayRetry(TimePoint now, const RequestState& state) const {
  return !state.caller_disconnected && state.attempts_started < state.description.max_attempts &&
         now < this->StartLimit(state.description) &&
         (state.description.idempotent || !state.may_have_run);
}

std::vector<DispatchAction> HostDispatcher::OnHeader(TimePoint now,
                                                     AttemptId attempt,
                                                     const AttemptHeader& header) {
  Actions actions;
  const auto position = this->attempts.find(attempt);
  if (position == this->attempts.end() || position->second.cancel_reason != CancelReason::kNone ||
      position->second.forwarded) {
    return actions;
  }
  // The body of such a response is not forwarded and may never end.
  if (header.wrong_attempt_id || header.shed) {
    this->CancelRunning(now, attempt,
                        header.shed ? CancelReason::kShed : CancelReason::kWrongAnswer, actions);
    return actions;
  }
  RequestState* state = this->FindRequest(position->second.request);
  if (state == nullptr || state->running_attempt != attempt) {
    return actions;
  }
  const bool server_error = header.status >= 500;
  if (!server_error || !state->description.idempotent || !this->MayRetry(now, *state)) {
    this->Forward(*state, attempt, actions);
    return actions;
  }
  // The target has responded. The end of the attempt may be reported only after that of the next.
  state->may_have_been_sent = true;
  state->may_have_run = true;
  state->held_attempt = attempt;
  state->held_at = now;
  state->running_attempt.reset();
  state->phase = RequestPhase::kPlacing;
  state->excluded.push_back(position->second.target);
  state->last_result = AttemptResult::kServerError;
  this->PlaceNextAttempt(now, *state, actions);
  return actions;
}

void HostDispatcher::Forward(RequestState& state, AttemptId attempt, Actions& actions) {
  state.held_attempt.reset();
  state.running_attempt = attempt;
  state.phase = RequestPhase::kForwarding;
  this->attempts.at(attempt).forwarded = true;
  actions.emplace_back(ForwardResponse{.request = state.description.request, .attempt = attempt});
}

void HostDispatcher::SendRelease(TimePoint now,
                                 const AttemptState& attempt,
                                 AttemptId id,
                                 const AttemptEnd& end,
                                 Actions& actions) {
  if (this->settings.policy != DispatchPolicy::kBrokered) {
    return;
  }
  const SlotRelease release{.attempt = id,
                            .service = attempt.service,
                            .target = attempt.target,
                            .organisation = attempt.organisation,
                            .work_class = attempt.work_class,
                            .result = end.result,
                            .service_time = end.service_time,
                            .fingerprint = attempt.fingerprint,
                            .target_draining = end.target_draining,
                            .request_rate_limit = end.request_rate_limit,
                            .kind = attempt.kind,
                            .work_key = attempt.work_key,
                            .load = end.load};
  // The current broker needs the result even if another broker granted the
  // slot.
  const DispatchServiceState* service = this->FindService(attempt.service);
  const std::optional<HostId> current = service->broker_selector.Current(now);
  if (current) {
    actions.emplace_back(SendToHost{*current, release});
  }
  if (attempt.broker && attempt.broker != current) {
    actions.emplace_back(SendToHost{*attempt.broker, release});
  }
}

std::vector<DispatchAction> HostDispatcher::OnAttemptEnd(TimePoint now,
                                                         AttemptId attempt,
                                                         const AttemptEnd& end) {
  Actions actions;
  const auto position = this->attempts.find(attempt);
  if (position == this->attempts.end()) {
    return actions;
  }
  const AttemptState ended = position->second;
  this->attempts.erase(position);
  DispatchServiceState& service = *this->FindService(ended.service);
  --service.outstanding_total;
  if (--service.outstanding[ended.target] == 0) {
    service.outstanding.erase(ended.target);
  }
  if (end.request_rate_limit) {
    service.rate_limits.SetLimit(now, ended.target, *end.request_rate_limit);
  }

  AttemptEnd corrected_end = end;
  if (ended.cancel_reason == CancelReason::kWrongAnswer) {
    corrected_end.result = AttemptResult::kWrongAnswer;
  } else if (ended.cancel_reason == CancelReason::kShed) {
    corrected_end.result = AttemptResult::kShed;
  } else if (end.result == AttemptResult::kCancelled) {
    if (ended.cancel_reason == CancelReason::kDeadline) {
      corrected_end.result = AttemptResult::kTimeout;
    } else if (ended.cancel_reason == CancelReason::kReplaced) {
      corrected_end.result = AttemptResult::kServerError;
    }
  }
  service.own_results.RecordResult(now, ended.target, corrected_end.result);
  this->SendRelease(now, ended, attempt, corrected_end, actions);

  RequestState* state = this->FindRequest(ended.request);
  if (state != nullptr) {
    state->may_have_been_sent = state->may_have_been_sent || corrected_end.may_have_been_sent;
    state->may_have_run = state->may_have_run || (corrected_end.may_have_been_sent &&
                                                  corrected_end.result != AttemptResult::kShed);
    if (state->held_attempt == attempt) {
      state->held_attempt.reset();
    } else if (state->running_attempt == attempt) {
      state->running_attempt.reset();
      state->last_result = corrected_end.result;
      state->excluded.push_back(ended.target);
      if (corrected_end.result == AttemptResult::kShed && !state->description.idempotent) {
        state->refused_by.push_back(ended.target);
      }
      this->OnRequestAttemptEnd(now, *state, attempt, corrected_end, ended.forwarded, actions);
    }
  }
  this->StartFromLocalQueue(now, service, actions);
  return actions;
}

void HostDispatcher::OnRequestAttemptEnd(TimePoint now,
                                         RequestState& state,
                                         AttemptId attempt,
                                         const AttemptEnd& end,
                                         bool forwarded,
                                         Actions& actions) {
  const bool complete =
      end.result == AttemptResult::kSuccess || end.result == AttemptResult::kServerError;
  if (forwarded) {
    this->Finish(state, complete ? Outcome::kTarget : Outcome::kUnknown, RefusalReason::kNone,
                 Duration::zero(), actions);
    return;
  }
  state.phase = RequestPhase::kPlacing;
  if (end.result == AttemptResult::kSuccess) {
    // The response is complete although its header was not reported.
    actions.emplace_back(ForwardResponse{.request = state.description.request, .attempt = attempt});
    this->Finish(state, Outcome::kTarget, RefusalReason::kNone, Duration::zero(), actions);
    return;
  }
  if (end.result != AttemptResult::kCancelled && this->MayRetry(now, state)) {
    this->PlaceNextAttempt(now, state, actions);
    return;
  }
  const bool too_late = now >= this->StartLimit(state.description);
  const bool shed = end.result == AttemptResult::kShed;
  this->ForwardHeldOrFinish(state,
                            too_late ? LimitReason(now, state.description)
                            : shed   ? RefusalReason::kShed
                                     : RefusalReason::kNone,
                            shed && !too_late && !state.may_have_run
                                ? ShedRetryAfter(now, state.description)
                                : Duration::zero(),
                            actions);
}

Outcome HostDispatcher::OutcomeWithoutResponse(const RequestState& state) const {
  // An attempt that has not ended may have reached its target.
  const bool may_have_run = state.may_have_run || state.running_attempt || state.held_attempt;
  return may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
}

void HostDispatcher::ForwardHeldOrFinish(RequestState& state,
                                         RefusalReason reason,
                                         Duration retry_after,
                                         Actions& actions) {
  if (state.held_attempt && !state.caller_disconnected) {
    this->Forward(state, *state.held_attempt, actions);
    return;
  }
  this->Finish(state, this->OutcomeWithoutResponse(state), reason, retry_after, actions);
}

void HostDispatcher::Finish(RequestState& state,
                            Outcome outcome,
                            RefusalReason reason,
                            Duration retry_after,
                            Actions& actions) {
  const bool abort = state.phase == RequestPhase::kForwarding && outcome != Outcome::kTarget;
  if (state.held_attempt) {
    this->Cancel(*state.held_attempt, CancelReason::kReplaced, actions);
  }
  actions.emplace_back(FinishRequest{.request = state.description.request,
                                     .outcome = outcome,
                                     .refusal = reason,
                                     .last_result = state.last_result,
                                     .attempts = state.attempts_started,
                                     .abort_connection = abort,
                                     .retry_after = retry_after});
  this->requests.erase(RequestId{state.description.request});
}

std::vector<DispatchAction> HostDispatcher::OnCallerDisconnect(TimePoint /*now*/,
                                                               RequestId request) {
  Actions actions;
  RequestState* state = this->FindRequest(request);
  if (state == nullptr || state->caller_disconnected) {
    return actions;
  }
  state->caller_disconnected = true;
  if (state->running_attempt) {
    this->Cancel(*state->running_attempt, CancelReason::kCallerDisconnected, actions);
    return actions;
  }
  this->StopWaiting(*this->FindService(state->place), *state, true, actions);
  this->ForwardHeldOrFinish(*state, RefusalReason::kNone, Duration::zero(), actions);
  return actions;
}

std::vector<DispatchAction> HostDispatcher::Tick(TimePoint now) {
  Actions actions;
  const bool paused = this->expected_tick && now - *this->expected_tick > kPauseThreshold;
  this->expected_tick = now;
  std::vector<RequestId> ids;
  ids.reserve(this->requests.size());
  for (auto& [id, state] : this->requests) {
    if (paused) {
      state.requested_at = std::max(state.requested_at, now);
    }
    ids.push_back(id);
  }
  for (const RequestId id : ids) {
    if (RequestState* state = this->FindRequest(id)) {
      this->TickRequest(now, *state, actions);
    }
  }
  for (auto& [id, service] : this->services) {
    this->TickService(now, service, actions);
  }
  return actions;
}

TimePoint HostDispatcher::NextDeadline(TimePoint now) {
  TimePoint next = TimePoint::max();
  if (this->requests.size() > kMaxScannedRequests) {
    next = now + kTickInterval;
  } else {
    for (const auto& [id, state] : this->requests) {
      next = std::min(next, this->NextDeadlineOf(state));
    }
  }
  for (const auto& [id, service] : this->services) {
    if (service.outstanding_total > 0) {
      next = std::min(next, std::max(now, service.reported_at + kReportInterval));
    }
  }
  // A tick that is overdue stays so: messages that are handled before it do not end the pause.
  if (!this->expected_tick || *this->expected_tick >= now) {
    this->expected_tick = std::max(next, now);
  }
  return next;
}

TimePoint HostDispatcher::NextDeadlineOf(const RequestState& state) const {
  if (state.running_attempt) {
    const AttemptState& attempt = this->attempts.at(*state.running_attempt);
    return attempt.cancel_reason == CancelReason::kNone ? this->CancelTime(state, attempt)
                                                        : this->FinishLimit(state, attempt);
  }
  TimePoint next = this->StartLimit(state.description);
  if (state.held_attempt) {
    next = std::min(next, state.held_at + kMaxResponseHold);
  }
  if (state.phase == RequestPhase::kHeldOff) {
    return std::min(next, state.resume_at);
  }
  if (state.phase == RequestPhase::kWaitingLocally) {
    // Checks periodically whether a broker is available again.
    return std::min(next, state.requested_at + kResendInterval);
  }
  const DispatchServiceState& service = this->services.at(state.place);
  next = std::min(next, BrokerTimeoutAt(service.broker_selector, state));
  return std::min(next, state.last_sent_at + kResendInterval);
}

void HostDispatcher::TickRunning(TimePoint now, RequestState& state, Actions& actions) {
  AttemptState& attempt = this->attempts.at(*state.running_attempt);
  if (attempt.cancel_reason == CancelReason::kNone) {
    const TimePoint limit = this->RunLimit(state);
    // Once for a limit, as a host that pauses again and again must still end its attempts.
    if (now - limit > kLateLimit && attempt.readable_until < limit) {
      attempt.readable_until = now + kReadTurn;
    }
    if (now >= this->CancelTime(state, attempt)) {
      this->CancelRunning(
          now, *state.running_attempt,
          now >= state.description.deadline ? CancelReason::kDeadline : CancelReason::kHostEnd,
          actions);
    }
    return;
  }
  if (now >= this->FinishLimit(state, attempt)) {
    this->Finish(state, Outcome::kUnknown, LimitReason(now, state.description), Duration::zero(),
                 actions);
  }
}

void HostDispatcher::TickRequest(TimePoint now, RequestState& state, Actions& actions) {
  if (state.running_attempt) {
    this->TickRunning(now, state, actions);
    return;
  }
  if (now >= this->StartLimit(state.description)) {
    this->StopWaiting(*this->FindService(state.place), state, true, actions);
    if (now >= state.description.deadline) {
      this->Finish(state, this->OutcomeWithoutResponse(state), RefusalReason::kDeadline,
                   Duration::zero(), actions);
    } else {
      this->ForwardHeldOrFinish(state, RefusalReason::kHostEnd, Duration::zero(), actions);
    }
    return;
  }
  this->TickWaiting(now, state, actions);
}

void HostDispatcher::TickWaiting(TimePoint now, RequestState& state, Actions& actions) {
  DispatchServiceState& service = *this->FindService(state.place);
  if (state.held_attempt && now - state.held_at >= kMaxResponseHold) {
    this->StopWaiting(service, state, true, actions);
    this->ForwardHeldOrFinish(state, RefusalReason::kRetryBudget, Duration::zero(), actions);
    return;
  }
  if (state.phase == RequestPhase::kHeldOff) {
    if (now >= state.resume_at) {
      state.phase = RequestPhase::kPlacing;
      this->PlaceNextAttempt(now, state, actions);
    }
    return;
  }
  if (state.phase == RequestPhase::kWaitingLocally) {
    if (service.broker_selector.Current(now) || this->HasOtherCell(now, state)) {
      this->StopWaiting(service, state, false, actions);
      this->PlaceNextAttempt(now, state, actions);
    } else {
      state.requested_at = now;
    }
    return;
  }
  if (!service.broker_selector.IsCandidate(state.broker) ||
      now >= BrokerTimeoutAt(service.broker_selector, state)) {
    service.broker_selector.OnUnavailable(now, state.broker);
    this->StopWaiting(service, state, true, actions);
    this->PlaceNextAttempt(now, state, actions);
    return;
  }
  if (now - state.last_sent_at >= kResendInterval) {
    state.last_sent_at = now;
    actions.emplace_back(SendToHost{state.broker, this->MakeSlotRequest(now, service, state)});
  }
}

void HostDispatcher::TickService(TimePoint now, DispatchServiceState& service, Actions& actions) {
  if (this->settings.policy != DispatchPolicy::kBrokered) {
    return;
  }
  this->StartFromLocalQueue(now, service, actions);
  const std::optional<HostId> broker = service.broker_selector.Current(now);
  if (broker && service.outstanding_total > 0 &&
      (service.reported_to != broker || now - service.reported_at >= kReportInterval)) {
    this->SendReport(now, *broker, service, actions);
  } else if (!broker) {
    // Makes the next available broker receive a report immediately.
    service.reported_to.reset();
    service.reported_at = now;
  }
}

void HostDispatcher::SendReport(TimePoint now,
                                HostId broker,
                                DispatchServiceState& service,
                                Actions& actions) {
  HostReport report{.service = service.configuration.service};
  for (const auto& [id, attempt] : this->attempts) {
    if (attempt.service == report.service) {
      report.outstanding.push_back(
          {.attempt = id, .target = attempt.target, .work_class = attempt.work_class});
    }
  }
  service.reported_to = broker;
  service.reported_at = now;
  actions.emplace_back(SendToHost{broker, std::move(report)});
}

}  // namespace pimentopin
