#include "Libraries/LibHost/dispatch_controller.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>

#include "Libraries/LibCore/json_log.h"
#include "Libraries/LibCore/rendezvous.h"

namespace pimentopin {
namespace {

constexpr std::size_t kMaxLoggedRequestsInProgress = 50;
constexpr Duration kFallbackLogInterval = std::chrono::seconds(1);
// Requests per second from which a host receives the views of a cell.
constexpr double kMinCellViewRate = 1;

bool IsLeaving(const SharedState& shared_state, TargetId target) {
  if (shared_state.leaving_targets.IsLeaving(target)) {
    return true;
  }
  const auto configuration = shared_state.configuration.Read();
  const Target* configured = configuration ? configuration->FindTarget(target) : nullptr;
  return configured == nullptr || configured->leaving;
}

DispatchSettings DispatcherSettings(const DispatchController::Settings& settings,
                                    SharedState& shared_state,
                                    BrokerRanker rank_brokers) {
  DispatchSettings result;
  result.rank_brokers = std::move(rank_brokers);
  result.self = settings.self;
  result.domain = IdFromName<DomainId>(settings.domain_name);
  result.retry_limits = settings.retry_limits;
  result.is_leaving = [&shared_state](TargetId target) { return IsLeaving(shared_state, target); };
  result.hold_off_end = [&shared_state](TimePoint now, TargetId target) {
    return shared_state.hold_offs.EndOf(now, target);
  };
  result.is_suspect = [&shared_state](Fingerprint fingerprint) {
    return shared_state.fingerprints.IsSuspect(fingerprint);
  };
  result.is_blocked = [&shared_state](Fingerprint fingerprint) {
    return shared_state.fingerprints.IsBlocked(fingerprint);
  };
  return result;
}

std::string_view RequestPhaseName(RequestPhase phase) {
  switch (phase) {
    case RequestPhase::kPlacing:
      return "placing";
    case RequestPhase::kWaitingAtBroker:
      return "waiting-at-broker";
    case RequestPhase::kWaitingLocally:
      return "waiting-locally";
    case RequestPhase::kHeldOff:
      return "held-off";
    case RequestPhase::kRunning:
      return "running";
    case RequestPhase::kForwarding:
      return "forwarding";
  }
  return "unknown";
}

std::string_view AttemptResultName(AttemptResult result) {
  switch (result) {
    case AttemptResult::kSuccess:
      return "success";
    case AttemptResult::kServerError:
      return "server-error";
    case AttemptResult::kWrongAnswer:
      return "wrong-answer";
    case AttemptResult::kConnectFailure:
      return "connect-failure";
    case AttemptResult::kConnectionLost:
      return "connection-lost";
    case AttemptResult::kTruncated:
      return "truncated";
    case AttemptResult::kTimeout:
      return "time-out";
    case AttemptResult::kShed:
      return "shed";
    case AttemptResult::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

ErrorResponse ClaimRefusal(ClaimDecision decision) {
  switch (decision) {
    case ClaimDecision::kAlreadyRun:
      return {409, Outcome::kTarget, "already-run",
              "the request with this key has already run; its response was too large to store"};
    case ClaimDecision::kInProgressOrLost:
      return {409, Outcome::kUnknown, "in-progress-or-lost",
              "an earlier request with this key is still running or its outcome was lost"};
    case ClaimDecision::kKeyReused:
      return {422, Outcome::kNotRun, "key-reused",
              "the idempotency key was used with a different request"};
    case ClaimDecision::kTableUnavailable:
    case ClaimDecision::kRun:
    case ClaimDecision::kReplay:
      break;
  }
  return {503, Outcome::kNotRun, "claim-unavailable",
          "the idempotency key could not be recorded; the request was not sent"};
}

ErrorResponse QuotaRefusal(const QuotaVerdict& verdict) {
  if (verdict.decision == QuotaDecision::kOverQuota) {
    return {429, Outcome::kNotRun, "quota", "the organisation has used up its quota",
            verdict.retry_after};
  }
  return {503, Outcome::kNotRun, "quota-unknown",
          "no host that grants the quota of the organisation could be reached",
          verdict.retry_after};
}

}  // namespace

DispatchController::DispatchController(ControlLoop& loop,
                                       SharedState& shared_state,
                                       PeerNetwork& peers,
                                       ClaimStore& claims,
                                       RandomSource& random,
                                       Settings settings)
    : loop(loop),
      shared_state(shared_state),
      peers(peers),
      claims(claims),
      random(random),
      settings(std::move(settings)),
      division(this->settings.cell_targets),
      dispatcher(DispatcherSettings(this->settings,
                                    shared_state,
                                    [this](ServiceId id, const std::vector<HostId>& hosts) {
                                      return this->RankBrokers(id, hosts);
                                    }),
                 random),
      retry_usage(this->settings.self,
                  RetryCounterId{random.Next()},
                  this->settings.broker_policy.retry_limits,
                  {.rank_brokers =
                       [this](ServiceId id, const std::vector<HostId>& hosts) {
                         return this->RankBrokers(id, hosts);
                       },
                   .limits_of =
                       [this](ServiceId id, const RetryLimits& limits) {
                         return ShareOf(limits, this->division.CellCountOf(id));
                       }}),
      alarm(loop.CreateAlarm([this] { this->Tick(); })) {
  shared_state.configuration.Observe(
      [this](const Configuration& configuration) { this->Configure(configuration); });
  shared_state.broker_candidates.Observe(
      [this](const std::vector<HostId>& hosts) { this->OnBrokerCandidates(hosts); });
  shared_state.members.Observe(
      [this](const std::vector<MemberRecord>& members) { this->OnMembers(members); });
  if (const auto hosts = shared_state.broker_candidates.Read()) {
    this->OnBrokerCandidates(*hosts);
  }
}

void DispatchController::AddBrokers(
    const DispatchService& dispatch,
    const Service& service,
    const std::map<RequestKind, Duration>& objectives,
    std::map<ServiceId, BrokerConfiguration>& configurations) const {
  const auto add = [&](const DispatchService& part) {
    BrokerConfiguration broker{
        .service = part.service, .floor_slots = part.floor_slots, .objectives = objectives};
    // Rounded up, so that no cell is without a queue.
    const std::size_t all = std::max<std::size_t>(dispatch.targets.size(), 1);
    const std::size_t own = dispatch.targets.empty() ? 1 : part.targets.size();
    broker.queue_limit = static_cast<std::uint32_t>((service.queue_limit * own + all - 1) / all);
    for (const DispatchService::Target& target : part.targets) {
      broker.targets.push_back({target.target, target.domain, target.slots,
                                IsLeaving(this->shared_state, target.target)});
    }
    configurations.emplace(part.service, std::move(broker));
  };
  // Hosts that do not divide the service yet use the broker of the whole.
  add(dispatch);
  for (const ServiceCell& cell : dispatch.cells) {
    add(CellAsService(dispatch, cell));
  }
}

void DispatchController::Configure(const Configuration& configuration) {
  std::vector<DispatchService> services;
  for (const Service& service : configuration.services) {
    DispatchService dispatch{.service = service.id(),
                             .floor_slots = configuration.FloorSlots(service)};
    for (const Target* target : configuration.TargetsOf(service.name)) {
      dispatch.targets.push_back(
          {target->id(), target->domain_id(), target->slots, target->connections});
    }
    services.push_back(std::move(dispatch));
  }
  this->division.Divide(services);
  std::map<RequestKind, Duration> objectives;
  for (const Route& route : configuration.routes) {
    if (route.latency_objective > Duration::zero()) {
      objectives.emplace(IdFromName<RequestKind>(route.name), route.latency_objective);
    }
  }
  std::map<ServiceId, BrokerConfiguration> next;
  for (std::size_t index = 0; index < services.size(); ++index) {
    this->AddBrokers(services[index], configuration.services[index], objectives, next);
  }
  this->broker_configurations = std::move(next);
  this->dispatcher.Configure(this->Now(), std::move(services));
  std::erase_if(this->brokers, [this](const auto& entry) {
    return !this->broker_configurations.contains(entry.first);
  });
  for (auto& [service, broker] : this->brokers) {
    this->Execute(broker->Configure(this->Now(), this->broker_configurations.at(service)));
  }
  this->Reschedule();
}

void DispatchController::RefreshLeavingTargets() {
  for (auto& [service, configuration] : this->broker_configurations) {
    const BrokerConfiguration before = configuration;
    for (BrokerTarget& target : configuration.targets) {
      target.leaving = IsLeaving(this->shared_state, target.target);
    }
    const auto broker = this->brokers.find(service);
    if (broker != this->brokers.end() && before != configuration) {
      this->Execute(broker->second->Configure(this->Now(), configuration));
    }
  }
  this->Reschedule();
}

void DispatchController::OnBrokerCandidates(const std::vector<HostId>& hosts) {
  // First, so that a new broker gets the counts before requests.
  this->Execute(this->retry_usage.SetMembers(this->Now(), hosts));
  this->Execute(this->dispatcher.SetMembers(this->Now(), hosts));
  this->Reschedule();
}

void DispatchController::OnMembers(const std::vector<MemberRecord>& members) {
  for (const MemberRecord& member : members) {
    if (member.state != MemberState::kUnreachable) {
      continue;
    }
    for (auto& [service, broker] : this->brokers) {
      this->Execute(broker->OnHostUnreachable(this->Now(), member.host));
    }
  }
  this->Reschedule();
}

void DispatchController::Submit(std::shared_ptr<Exchange> exchange) {
  exchange->description.request = RequestId{this->random.Next()};
  if (!this->settings.admit) {
    this->Start(exchange);
    return;
  }
  this->settings.admit(*exchange, [this, exchange](const QuotaVerdict& verdict) {
    if (verdict.decision == QuotaDecision::kAdmitted) {
      this->Start(exchange);
    } else {
      this->SendErrorResponse(*exchange, QuotaRefusal(verdict), RefusalReason::kNone);
    }
  });
}

void DispatchController::Start(const std::shared_ptr<Exchange>& exchange) {
  if (exchange->claim_key) {
    this->Claim(exchange);
    return;
  }
  this->Begin(exchange, std::nullopt);
}

void DispatchController::SetHostEnd(const HostEnd& end) {
  this->claims.LimitClaims(end.last_start);
  this->Execute(this->dispatcher.SetHostEnd(this->Now(), end));
  this->Reschedule();
}

void DispatchController::LogRequestsInProgress(TimePoint stop_started_at) {
  const TimePoint now = this->Now();
  std::size_t logged = 0;
  for (const auto& [id, request] : this->active) {
    if (logged++ == kMaxLoggedRequestsInProgress) {
      break;
    }
    const std::optional<RequestPhase> phase = this->dispatcher.PhaseOf(id);
    const Exchange& exchange = *request.exchange;
    Log(LogLevel::kWarning, "request_unfinished",
        {{"request_id", exchange.request_id},
         {"route", exchange.route},
         {"phase", phase ? RequestPhaseName(*phase) : ""},
         {"target", request.target},
         {"possible_runs", request.possible_runs},
         {"arrived_after_stop_ms", Milliseconds(exchange.arrived - stop_started_at)},
         {"remaining_ms", Milliseconds(exchange.description.deadline - now)}});
  }
}

void DispatchController::Claim(const std::shared_ptr<Exchange>& exchange) {
  const AttemptId claimant{this->random.Next()};
  this->claims.Claim(this->Now(), *exchange->claim_key, claimant, exchange->description.fingerprint,
                     exchange->description.deadline,
                     [this, exchange, claimant](const ClaimResult& result) {
                       this->OnClaimed(exchange, claimant, result);
                     });
}

void DispatchController::OnClaimed(const std::shared_ptr<Exchange>& exchange,
                                   AttemptId claimant,
                                   const ClaimResult& result) {
  if (result.decision == ClaimDecision::kRun) {
    this->Begin(exchange, claimant);
    return;
  }
  if (result.decision == ClaimDecision::kReplay) {
    this->Replay(*exchange, *result.response);
    return;
  }
  const std::optional<RefusalReason> limit =
      result.decision == ClaimDecision::kTableUnavailable
          ? this->dispatcher.LimitReached(this->Now(), exchange->description)
          : std::nullopt;
  this->SendErrorResponse(
      *exchange,
      limit ? ErrorResponseFor(FinishRequest{.refusal = *limit}) : ClaimRefusal(result.decision),
      limit.value_or(RefusalReason::kNone));
}

void DispatchController::Replay(const Exchange& exchange, const StoredResponse& response) {
  HttpHeaders headers = response.headers;
  headers.push_back({std::string(kOutcomeHeader), std::string(OutcomeName(Outcome::kTarget))});
  headers.push_back({std::string(kReplayedHeader), "true"});
  headers.push_back({std::string(kRequestIdHeader), exchange.request_id});
  exchange.responder->Respond(response.status, std::move(headers), response.body.value_or(""));
  this->Report(exchange,
               {.outcome = Outcome::kTarget, .reason = "replayed", .status = response.status});
}

void DispatchController::Begin(const std::shared_ptr<Exchange>& exchange,
                               std::optional<AttemptId> claimant) {
  const RequestId request = exchange->description.request;
  const ServiceId service = exchange->description.service;
  this->active.emplace(request,
                       ActiveRequest{.exchange = exchange,
                                     .claimant = claimant,
                                     .in_demand_peak = this->HasQueue(service),
                                     .arrived_during_long_work = this->HasLongWork(service)});
  exchange->responder->OnCallerDisconnect(
      [this, request] { this->loop.Post([this, request] { this->OnCallerDisconnect(request); }); });
  this->Execute(this->dispatcher.Begin(this->Now(), exchange->description));
  this->Reschedule();
}

void DispatchController::OnCallerDisconnect(RequestId request) {
  const auto found = this->active.find(request);
  if (found == this->active.end()) {
    return;
  }
  found->second.caller_disconnected = true;
  for (const auto& [attempt, transfer] : found->second.transfers) {
    transfer->DiscardBody();
  }
  // A keyed request that was sent continues, so that its outcome is stored for the caller's
  // retry.
  if (found->second.claimant && !found->second.transfers.empty()) {
    return;
  }
  this->Execute(this->dispatcher.OnCallerDisconnect(this->Now(), request));
  this->Reschedule();
}

void DispatchController::OnMessage(const Envelope& envelope) {
  const TimePoint now = this->Now();
  const HostId sender = envelope.sender;
  const DomainId domain = envelope.sender_domain;
  std::visit(
      [&](const auto& message) {
        using T = std::decay_t<decltype(message)>;
        if constexpr (std::is_same_v<T, SlotGrant>) {
          this->Execute(this->dispatcher.OnGrant(now, sender, message));
        } else if constexpr (std::is_same_v<T, SlotRefusal>) {
          this->Execute(this->dispatcher.OnRefusal(now, sender, message));
        } else if constexpr (std::is_same_v<T, ServiceView>) {
          this->dispatcher.OnView(now, sender, message);
          this->StoreView(message);
          this->PublishViews();
        } else if constexpr (std::is_same_v<T, SlotRequest>) {
          SlotBroker* broker = this->GetOrCreateBroker(message.service);
          if (broker == nullptr) {
            this->Execute(SendToHost{
                sender,
                SlotRefusal{message.attempt, message.service, RefusalReason::kNotBroker, {}}});
            return;
          }
          const bool blocked = this->shared_state.fingerprints.IsBlocked(message.fingerprint);
          this->Execute(broker->OnRequest(now, sender, domain, message, blocked));
        } else if constexpr (std::is_same_v<T, SlotCancel>) {
          if (SlotBroker* broker = this->GetOrCreateBroker(message.service)) {
            this->Execute(broker->OnCancel(now, sender, message));
          }
        } else if constexpr (std::is_same_v<T, SlotClaim>) {
          if (SlotBroker* broker = this->GetOrCreateBroker(message.service)) {
            this->Execute(broker->OnClaim(now, sender, domain, message));
          }
        } else if constexpr (std::is_same_v<T, SlotRelease>) {
          if (message.result == AttemptResult::kConnectionLost) {
            this->RecordCrash(this->division.WholeOf(message.service), message.fingerprint,
                              message.target, message.attempt);
          }
          if (message.result == AttemptResult::kSuccess) {
            this->shared_state.fingerprints.RecordSuccess(message.fingerprint);
          }
          if (SlotBroker* broker = this->GetOrCreateBroker(message.service)) {
            this->Execute(broker->OnRelease(now, sender, domain, message));
          }
        } else if constexpr (std::is_same_v<T, HostReport>) {
          if (SlotBroker* broker = this->GetOrCreateBroker(message.service)) {
            this->Execute(broker->OnReport(now, sender, domain, message));
          }
        } else if constexpr (std::is_same_v<T, RetryUsage>) {
          this->Execute(this->retry_usage.OnUsage(now, sender, message));
        } else if constexpr (std::is_same_v<T, ProbeReport>) {
          if (SlotBroker* broker = this->GetOrCreateBroker(message.service)) {
            broker->OnProbe(now, {.target = message.target,
                                  .reporter = sender,
                                  .reporter_domain = domain,
                                  .result = message.result,
                                  .service_time = message.service_time,
                                  .is_probe = true});
          }
        }
      },
      envelope.message);
  this->Reschedule();
}

void DispatchController::OnProbe(ServiceId service, const HealthObservation& observation) {
  const auto hosts = this->shared_state.broker_candidates.Read();
  if (!hosts || hosts->empty()) {
    return;
  }
  const ServiceId place = this->division.PlaceOf(service, observation.target);
  this->Execute(SendToHost{
      this->RankBrokers(place, *hosts).front(),
      ProbeReport{place, observation.target, observation.result, observation.service_time}});
}

SlotBroker* DispatchController::GetOrCreateBroker(ServiceId service) {
  const auto configuration = this->broker_configurations.find(service);
  if (configuration == this->broker_configurations.end()) {
    return nullptr;
  }
  auto found = this->brokers.find(service);
  if (found == this->brokers.end()) {
    std::vector<SendToHost> messages;
    std::shared_ptr<RetryBudget> retries = this->retry_usage.Open(this->Now(), service, messages);
    this->Execute(messages);
    BrokerPolicy policy = this->settings.broker_policy;
    if (this->division.DomainOf(service)) {
      // The views of a cell only tell what to avoid without a broker, and each host of the domain
      // needs that.
      policy.evidence_views_only = true;
      policy.view_min_request_rate = std::min(policy.view_min_request_rate, kMinCellViewRate);
    }
    found = this->brokers
                .emplace(service, std::make_unique<SlotBroker>(configuration->second, policy,
                                                               std::move(retries)))
                .first;
  }
  return found->second.get();
}

void DispatchController::Tick() {
  const TimePoint now = this->Now();
  this->LogFallbackStarts();
  this->Execute(this->dispatcher.Tick(now));
  this->Execute(this->retry_usage.Tick(now));
  for (auto& [service, broker] : this->brokers) {
    this->Execute(broker->Tick(now));
    for (const HealthEvent& event : broker->TakeHealthEvents()) {
      this->settings.on_health_event(this->division.WholeOf(service), event);
    }
    for (const SpeedChange& change : broker->TakeSpeedChanges(now)) {
      this->settings.on_speed_change(this->division.WholeOf(service), change);
    }
  }
  this->Reschedule();
}

void DispatchController::Reschedule() {
  const TimePoint now = this->Now();
  TimePoint next =
      std::min(this->dispatcher.NextDeadline(now), this->retry_usage.NextDeadline(now));
  for (auto& [service, broker] : this->brokers) {
    next = std::min(next, broker->NextDeadline(now));
  }
  this->alarm->Set(next);
}

void DispatchController::StoreView(const ServiceView& view) {
  ServiceView& known = this->views[view.service];
  std::vector<TargetView> targets = std::move(known.targets);
  known = view;
  if (known.targets.empty()) {
    known.targets = std::move(targets);
  }
}

void DispatchController::PublishViews() {
  std::vector<ServiceView> current;
  for (const auto& [id, view] : this->views) {
    const ServiceId service = this->division.WholeOf(id);
    const auto found = std::find_if(current.begin(), current.end(), [service](const auto& item) {
      return item.service == service;
    });
    if (found == current.end()) {
      current.push_back(view);
      current.back().service = service;
      continue;
    }
    found->queued += view.queued;
    found->targets.insert(found->targets.end(), view.targets.begin(), view.targets.end());
  }
  this->shared_state.views.Write(std::move(current));
}

void DispatchController::Execute(const std::vector<DispatchAction>& actions) {
  for (const DispatchAction& action : actions) {
    std::visit([this](const auto& concrete) { this->Execute(concrete); }, action);
  }
}

void DispatchController::Execute(const std::vector<SendToHost>& actions) {
  for (const SendToHost& action : actions) {
    this->Execute(action);
  }
}

void DispatchController::Execute(const SendToHost& action) {
  if (action.host != this->settings.self) {
    this->peers.Send(action.host, action.message);
    return;
  }
  // Posted, so that the dispatcher and brokers are not re-entered while their actions are
  // executed.
  this->loop.Post([this, message = action.message] {
    this->OnMessage(
        {this->settings.self, IdFromName<DomainId>(this->settings.domain_name), message});
  });
}

void DispatchController::Execute(const StartAttempt& action) {
  const auto found = this->active.find(action.request);
  const auto configuration = this->shared_state.configuration.Read();
  const Target* target = configuration ? configuration->FindTarget(action.target) : nullptr;
  if (found == this->active.end() || target == nullptr) {
    this->loop.Post([this, action] {
      this->Execute(this->dispatcher.OnAttemptEnd(this->Now(), action.attempt,
                                                  {.result = AttemptResult::kConnectFailure}));
      this->Reschedule();
    });
    return;
  }
  ActiveRequest& request = found->second;
  request.target = target->name;
  request.placed_by = action.placed_by;
  if (action.placed_by == PlacedBy::kFallback) {
    this->RecordFallbackStart(*request.exchange);
  }
  AttemptTransfer::Callbacks callbacks;
  callbacks.on_header = [this, action](const AttemptHeader& header) {
    this->loop.Post([this, action, header] {
      this->RecordTargetNotices(action.target, header.target_draining, header.retry_after);
      this->Execute(this->dispatcher.OnHeader(this->Now(), action.attempt, header));
      this->Reschedule();
    });
  };
  callbacks.on_end = [this, action](const AttemptEnd& end) {
    this->loop.Post([this, action, end] {
      this->OnAttemptEnd(action.request, action.attempt, action.target, end);
    });
  };
  TargetAttempt attempt{.attempt_id = action.attempt,
                        .instance = target->instance,
                        .remaining = std::max(action.deadline - this->Now(), Duration(1)),
                        .host_name = this->settings.host_name,
                        .domain_name = this->settings.domain_name};
  Log(LogLevel::kDebug, "attempt_started",
      {{"request_id", request.exchange->request_id},
       {"target", target->name},
       {"service", target->service},
       {"remaining_ms", Milliseconds(attempt.remaining)}});
  auto transfer = std::make_shared<AttemptTransfer>(
      request.exchange, std::move(attempt), *this->settings.dialect, this->settings.response_budget,
      std::move(callbacks));
  request.transfers[action.attempt] = transfer;
  this->attempts[action.attempt] = action.request;
  HttpClient& client =
      *this->settings.clients[RawId(action.attempt) % this->settings.clients.size()];
  transfer->Start(client, target->address);
}

void DispatchController::RecordFallbackStart(const Exchange& exchange) {
  if (this->settings.on_fallback_start) {
    this->settings.on_fallback_start(exchange.service);
  }
  ++this->unlogged_fallback_starts[exchange.service];
  this->LogFallbackStarts();
}

void DispatchController::LogFallbackStarts() {
  const TimePoint now = this->Now();
  if (now - this->fallback_logged_at < kFallbackLogInterval) {
    return;
  }
  for (const auto& [service, starts] : std::exchange(this->unlogged_fallback_starts, {})) {
    this->fallback_logged_at = now;
    Log(LogLevel::kWarning, "started_without_broker", {{"service", service}, {"starts", starts}});
  }
}

void DispatchController::Execute(const CancelAttempt& action) {
  const auto request = this->attempts.find(action.attempt);
  if (request == this->attempts.end()) {
    return;
  }
  const auto found = this->active.find(request->second);
  if (found != this->active.end() && found->second.transfers.contains(action.attempt)) {
    found->second.transfers.at(action.attempt)->Cancel();
  }
}

void DispatchController::Execute(const ForwardResponse& action) {
  const auto found = this->active.find(action.request);
  if (found == this->active.end() || !found->second.transfers.contains(action.attempt)) {
    return;
  }
  ActiveRequest& request = found->second;
  request.forwarded = request.transfers.at(action.attempt);
  if (request.caller_disconnected) {
    request.forwarded->DiscardBody();
    return;
  }
  request.forwarded->Forward();
}

void DispatchController::OnAttemptEnd(RequestId request,
                                      AttemptId attempt,
                                      TargetId target,
                                      const AttemptEnd& end) {
  const TimePoint now = this->Now();
  this->RecordTargetNotices(target, end.target_draining, Duration::zero());
  this->LogRateLimit(target, end.request_rate_limit);
  const auto found = this->active.find(request);
  if (found != this->active.end() && end.result != AttemptResult::kSuccess) {
    this->LogFailedAttempt(found->second, attempt, target, end);
  }
  if (found != this->active.end() && end.may_have_been_sent && end.result != AttemptResult::kShed) {
    ++found->second.possible_runs;
  }
  if (end.result == AttemptResult::kConnectionLost && found != this->active.end()) {
    const RequestDescription& description = found->second.exchange->description;
    this->RecordCrash(description.service, description.fingerprint, target, attempt);
  }
  if (end.result == AttemptResult::kSuccess && found != this->active.end()) {
    this->shared_state.fingerprints.RecordSuccess(found->second.exchange->description.fingerprint);
  }
  this->attempts.erase(attempt);
  this->Execute(this->dispatcher.OnAttemptEnd(now, attempt, end));
  this->Reschedule();
}

void DispatchController::LogFailedAttempt(const ActiveRequest& request,
                                          AttemptId attempt,
                                          TargetId target,
                                          const AttemptEnd& end) const {
  const auto configuration = this->shared_state.configuration.Read();
  const Target* const known = configuration ? configuration->FindTarget(target) : nullptr;
  const auto transfer = request.transfers.find(attempt);
  const AttemptTrace trace =
      transfer == request.transfers.end() ? AttemptTrace{} : transfer->second->Trace();
  Log(LogLevel::kInfo, "attempt_failed",
      {{"request_id", request.exchange->request_id},
       {"target", known != nullptr ? known->name : request.target},
       {"target_id", fmt::format("{:016x}", RawId(target))},
       {"address", known != nullptr ? known->address : ""},
       {"local_port", trace.connection.local_port},
       {"earlier_requests", trace.connection.earlier_requests},
       {"avoided_connections", trace.connection.avoided_connections},
       {"status", trace.status},
       {"named_request", NamedRequestName(trace.named_request)},
       {"result", AttemptResultName(end.result)},
       {"may_have_run", end.may_have_been_sent && end.result != AttemptResult::kShed},
       {"elapsed_ms", Milliseconds(end.service_time)}});
}

void DispatchController::RecordCrash(ServiceId service,
                                     Fingerprint fingerprint,
                                     TargetId target,
                                     AttemptId attempt) {
  const bool was_blocked = this->shared_state.fingerprints.IsBlocked(fingerprint);
  this->shared_state.fingerprints.RecordCrash(this->Now(), service, fingerprint, target, attempt);
  // The broker learns every crash from the release of the slot and refuses further attempts. All
  // hosts need to know only requests that are refused; connections are lost far more often.
  if (!was_blocked && this->shared_state.fingerprints.IsBlocked(fingerprint)) {
    this->settings.on_new_notice();
  }
}

void DispatchController::RecordTargetNotices(TargetId target, bool leaving, Duration retry_after) {
  const TimePoint now = this->Now();
  const auto configuration = this->shared_state.configuration.Read();
  const Target* const known = configuration ? configuration->FindTarget(target) : nullptr;
  const std::string name = known != nullptr ? known->name : "";
  if (leaving && this->shared_state.leaving_targets.MarkLeaving(now, target)) {
    Log(LogLevel::kInfo, "target_leaving", {{"target", name}, {"source", "response"}});
    // A registered target announces this in the store too, and its broker, which learns it from the
    // release of the slot, grants it to no other host.
    if (known != nullptr && !known->instance.empty()) {
      this->RefreshLeavingTargets();
    } else {
      this->settings.on_new_notice();
    }
  }
  if (retry_after > Duration::zero()) {
    this->shared_state.hold_offs.HoldOff(now, target, retry_after);
    Log(LogLevel::kInfo, "target_hold_off",
        {{"target", name}, {"retry_after_ms", Milliseconds(retry_after)}});
  }
}

void DispatchController::LogRateLimit(TargetId target, std::optional<double> limit) {
  if (!limit) {
    return;
  }
  const auto known = this->logged_rate_limits.find(target);
  if ((known == this->logged_rate_limits.end() ? 0 : known->second) == *limit) {
    return;
  }
  if (*limit > 0) {
    this->logged_rate_limits[target] = *limit;
  } else {
    this->logged_rate_limits.erase(known);
  }
  const auto configuration = this->shared_state.configuration.Read();
  const Target* const configured = configuration ? configuration->FindTarget(target) : nullptr;
  Log(LogLevel::kInfo, "target_rate_limit",
      {{"target", configured != nullptr ? configured->name : ""}, {"per_second", *limit}});
}

void DispatchController::Execute(const FinishRequest& action) {
  const auto found = this->active.find(action.request);
  if (found == this->active.end()) {
    return;
  }
  const ActiveRequest request = std::move(found->second);
  this->active.erase(found);
  this->SettleClaim(request, action);

  const Exchange& exchange = *request.exchange;
  FinishedRequest finished{.outcome = action.outcome,
                           .attempts = action.attempts,
                           .placed_by = request.placed_by,
                           .possible_runs = request.possible_runs,
                           .broken = action.abort_connection && !request.caller_disconnected,
                           .abandoned = request.caller_disconnected,
                           .in_demand_peak = request.in_demand_peak,
                           .arrived_during_long_work = request.arrived_during_long_work};
  if (action.outcome == Outcome::kTarget && request.forwarded) {
    if (!request.caller_disconnected) {
      request.forwarded->FinishResponse();
    }
    finished.status = request.forwarded->status_code();
    finished.target = request.target;
    this->Report(exchange, std::move(finished));
    return;
  }
  const ErrorResponse response = ErrorResponseFor(action);
  finished.status = response.StatusFor(*this->settings.dialect);
  if (action.abort_connection) {
    response.SendInPlaceOfStarted(*exchange.responder, exchange.request_id,
                                  *this->settings.dialect);
  } else {
    response.Send(*exchange.responder, exchange.request_id, *this->settings.dialect);
  }
  finished.refusal = RefusalReasonName(action.refusal);
  finished.reason = request.caller_disconnected ? "caller-gone" : response.reason;
  finished.target = request.target;
  this->Report(exchange, std::move(finished));
}

void DispatchController::SettleClaim(const ActiveRequest& request, const FinishRequest& finish) {
  if (!request.claimant) {
    return;
  }
  if (finish.outcome == Outcome::kTarget && request.forwarded) {
    this->claims.Complete(this->Now(), *request.claimant, request.forwarded->TakeStoredResponse());
  } else if (finish.outcome == Outcome::kNotRun) {
    this->claims.Release(this->Now(), *request.claimant);
  } else {
    this->claims.Abandon(*request.claimant);
  }
}

void DispatchController::SendErrorResponse(const Exchange& exchange,
                                           const ErrorResponse& response,
                                           RefusalReason refusal) {
  response.Send(*exchange.responder, exchange.request_id, *this->settings.dialect);
  this->Report(exchange, {.outcome = response.outcome,
                          .reason = response.reason,
                          .refusal = std::string(RefusalReasonName(refusal)),
                          .status = response.StatusFor(*this->settings.dialect)});
}

bool DispatchController::HasQueue(ServiceId service) const {
  return std::any_of(this->views.begin(), this->views.end(), [&](const auto& entry) {
    return this->division.WholeOf(entry.first) == service && entry.second.queued > 0;
  });
}

std::vector<HostId> DispatchController::RankBrokers(ServiceId id,
                                                    const std::vector<HostId>& hosts) const {
  const auto members = this->shared_state.members.Read();
  return this->division.RankBrokers(id, hosts, [&](HostId host, DomainId domain) {
    return members &&
           std::any_of(members->begin(), members->end(), [&](const MemberRecord& member) {
             return member.host == host && member.domain == domain;
           });
  });
}

bool DispatchController::HasLongWork(ServiceId service) const {
  return std::any_of(this->active.begin(), this->active.end(), [service](const auto& entry) {
    const RequestDescription& description = entry.second.exchange->description;
    return description.service == service && description.work_class == WorkClass::kLong;
  });
}

void DispatchController::Report(const Exchange& exchange, FinishedRequest finished) {
  const TimePoint now = this->Now();
  finished.request_id = exchange.request_id;
  finished.service = exchange.service;
  finished.route = exchange.route;
  finished.organisation = exchange.organisation;
  finished.caller = exchange.caller;
  finished.work_class = exchange.description.work_class;
  finished.idempotent = exchange.description.idempotent;
  finished.latency = now - exchange.arrived;
  finished.late = now > exchange.description.deadline;
  this->settings.on_finished(finished);
}

}  // namespace pimentopin
