#include "Tests/LibDispatch/fleet_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pimentopin {
namespace {

constexpr Duration kLinkLatency = std::chrono::microseconds(1500);
constexpr Duration kTickInterval = std::chrono::milliseconds(10);
constexpr Duration kTargetLatency = std::chrono::microseconds(500);

Duration Exponential(RandomSource& random, Duration mean) {
  const double value = -std::log(1.0 - random.Unit()) * static_cast<double>(mean.count());
  return Duration(static_cast<Duration::rep>(value) + 1);
}

}  // namespace

struct FleetSimulation::Host {
  HostId id{};
  DomainId domain{};
  std::unique_ptr<RandomSource> random;
  std::unique_ptr<HostDispatcher> dispatcher;
  std::unique_ptr<SlotBroker> broker;
  TimePoint paused_until;
  std::deque<std::function<void()>> deferred;
};

struct FleetSimulation::Target {
  TargetId id{};
  std::uint32_t busy = 0;
  std::uint32_t busy_long = 0;
  std::deque<AttemptId> queue;
};

struct FleetSimulation::AttemptRun {
  std::size_t host = 0;
  StartAttempt start;
  WorkClass work_class = WorkClass::kShort;
  TimePoint started;
  bool sent = false;
  bool running = false;
  bool headers = false;
  bool forwarded = false;
  bool ended = false;
  AttemptResult final_result = AttemptResult::kSuccess;
};

FleetSimulation::FleetSimulation(FleetSettings fleet_settings)
    : settings(std::move(fleet_settings)), random(this->settings.seed) {
  DispatchService service{.service = this->service(), .floor_slots = 1};
  for (std::size_t index = 0; index < this->settings.targets; ++index) {
    const TargetId target = this->TargetAt(index);
    service.targets.push_back(
        {.target = target, .slots = this->settings.slots, .connections = 300});
    this->targets[target] = std::make_unique<Target>(Target{.id = target});
  }
  std::vector<HostId> members;
  for (std::size_t index = 0; index < this->settings.hosts; ++index) {
    auto host = std::make_unique<Host>();
    host->id = IdFromName<HostId>("host-" + std::to_string(index));
    host->domain = IdFromName<DomainId>("domain-" + std::to_string(index % 3));
    host->random = std::make_unique<RandomSource>(this->settings.seed * 1000 + index);
    host->dispatcher = std::make_unique<HostDispatcher>(
        DispatchSettings{
            .self = host->id,
            .domain = host->domain,
            .policy = this->settings.policy,
            .is_leaving = [this](TargetId target) { return this->leaving.contains(target); },
            .is_suspect =
                [this](Fingerprint fingerprint) { return this->suspects.contains(fingerprint); },
            .is_blocked =
                [this](Fingerprint fingerprint) { return this->blocked.contains(fingerprint); }},
        *host->random);
    members.push_back(host->id);
    this->hosts.push_back(std::move(host));
  }
  for (std::size_t index = 0; index < this->hosts.size(); ++index) {
    this->hosts[index]->dispatcher->Configure(this->time, {service});
    this->Apply(index, this->hosts[index]->dispatcher->SetMembers(this->time, members));
    this->Schedule(this->time + Duration(this->random.Below(10000)),
                   [this, index] { this->Tick(index); });
  }
}

FleetSimulation::~FleetSimulation() = default;

TargetId FleetSimulation::TargetAt(std::size_t index) const {
  return IdFromName<TargetId>("target-" + std::to_string(index));
}

ServiceId FleetSimulation::service() const {
  return IdFromName<ServiceId>("parts");
}

std::size_t FleetSimulation::IndexOf(HostId host) const {
  for (std::size_t index = 0; index < this->hosts.size(); ++index) {
    if (this->hosts[index]->id == host) {
      return index;
    }
  }
  return 0;
}

HostId FleetSimulation::BrokerHost() const {
  HostId best{};
  std::pair<std::uint64_t, std::uint64_t> best_score;
  for (const auto& host : this->hosts) {
    const std::pair score(StableHash(RawId(this->service()), RawId(host->id)), RawId(host->id));
    if (score > best_score) {
      best_score = score;
      best = host->id;
    }
  }
  return best;
}

SlotBroker& FleetSimulation::BrokerAt(std::size_t host) {
  std::unique_ptr<SlotBroker>& broker = this->hosts[host]->broker;
  if (!broker) {
    BrokerConfiguration configuration{.service = this->service(),
                                      .floor_slots = 1,
                                      .queue_limit = this->settings.queue_limit,
                                      .objectives = this->settings.objectives};
    for (std::size_t index = 0; index < this->settings.targets; ++index) {
      configuration.targets.push_back(
          {.target = this->TargetAt(index), .slots = this->settings.slots});
    }
    broker = std::make_unique<SlotBroker>(std::move(configuration), this->settings.broker);
  }
  return *broker;
}

void FleetSimulation::Schedule(TimePoint at, std::function<void()> run) {
  this->events.push({at, this->order++, std::move(run)});
}

void FleetSimulation::At(Duration at, std::function<void()> event) {
  this->Schedule(TimePoint(at), std::move(event));
}

void FleetSimulation::RunUntil(Duration end) {
  while (!this->events.empty() && this->events.top().at <= TimePoint(end)) {
    const Event event = this->events.top();
    this->events.pop();
    this->time = event.at;
    event.run();
  }
  this->time = TimePoint(end);
}

void FleetSimulation::RunOnHost(std::size_t host, std::function<void()> run) {
  Host& state = *this->hosts[host];
  if (this->time < state.paused_until) {
    state.deferred.push_back(std::move(run));
    return;
  }
  run();
}

void FleetSimulation::MaybePause(std::size_t host) {
  Host& state = *this->hosts[host];
  const FleetFaults& faults = this->settings.faults;
  if (this->time < state.paused_until || !this->Occurs(faults.pause / 10)) {
    return;
  }
  state.paused_until =
      this->time +
      Duration(1 + this->random.Below(static_cast<std::uint64_t>(faults.longest_pause.count())));
  this->Schedule(state.paused_until, [this, &state] {
    while (!state.deferred.empty()) {
      const std::function<void()> next = std::move(state.deferred.front());
      state.deferred.pop_front();
      next();
    }
  });
}

void FleetSimulation::Tick(std::size_t host) {
  this->MaybePause(host);
  this->RunOnHost(host, [this, host] {
    this->Apply(host, this->hosts[host]->dispatcher->Tick(this->time));
    if (this->hosts[host]->broker) {
      this->ApplyBroker(host, this->hosts[host]->broker->Tick(this->time));
    }
    // The next tick is scheduled here, so that ticks do not accumulate while
    // the host is paused.
    this->Schedule(this->time + kTickInterval, [this, host] { this->Tick(host); });
  });
}

void FleetSimulation::AddLoad(const FleetLoad& load) {
  const Duration mean(static_cast<Duration::rep>(1e6 / load.requests_per_second));
  this->Schedule(TimePoint(load.from) + Exponential(this->random, mean), [this, load, mean] {
    if (this->time >= TimePoint(load.until)) {
      return;
    }
    this->BeginRequest(load);
    FleetLoad remaining_load = load;
    remaining_load.from = this->time.time_since_epoch();
    this->AddLoad(remaining_load);
  });
}

void FleetSimulation::BeginRequest(const FleetLoad& load) {
  const std::size_t host = this->random.Below(this->hosts.size());
  RequestDescription request{
      .request = RequestId{this->random.Next()},
      .service = this->service(),
      .organisation = load.organisation,
      .work_class = this->Occurs(load.long_fraction) ? WorkClass::kLong : WorkClass::kShort,
      .kind = load.kind,
      .priority = load.priority,
      .idempotent = this->Occurs(load.idempotent_fraction),
      .deadline = this->time + load.deadline,
      .fingerprint = Fingerprint{this->random.Next()}};
  for (std::size_t index = 0; index < this->settings.targets; ++index) {
    request.allowed.push_back(this->TargetAt(index));
  }
  this->requests[request.request] = {
      .description = request, .host = this->hosts[host]->id, .started_at = this->time};
  this->RunOnHost(host, [this, host, request] {
    this->Apply(host, this->hosts[host]->dispatcher->Begin(this->time, request));
  });
}

void FleetSimulation::Apply(std::size_t host, const std::vector<DispatchAction>& actions) {
  for (const DispatchAction& action : actions) {
    if (const auto* send = std::get_if<SendToHost>(&action)) {
      this->Send(host, *send);
    } else if (const auto* start = std::get_if<StartAttempt>(&action)) {
      this->OnStart(host, *start);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      this->OnCancel(host, cancel->attempt);
    } else if (const auto* forward = std::get_if<ForwardResponse>(&action)) {
      this->OnForward(host, *forward);
    } else if (const auto* finish = std::get_if<FinishRequest>(&action)) {
      this->OnFinish(*finish);
    }
  }
}

void FleetSimulation::ApplyBroker(std::size_t host, const std::vector<SendToHost>& messages) {
  for (const SendToHost& message : messages) {
    this->Send(host, message);
  }
}

void FleetSimulation::Send(std::size_t from, const SendToHost& message) {
  const std::size_t to = this->IndexOf(message.host);
  if (std::holds_alternative<SlotClaim>(message.message)) {
    ++this->claim_count;
  }
  if (from == to) {
    this->Schedule(this->time, [this, from, to, content = message.message] {
      this->RunOnHost(to, [this, from, to, content] { this->Deliver(from, to, content); });
    });
    return;
  }
  const FleetFaults& faults = this->settings.faults;
  const int copies = (this->Occurs(faults.message_loss) ? 0 : 1) +
                     (this->Occurs(faults.message_duplication) ? 1 : 0);
  for (int copy = 0; copy < copies; ++copy) {
    Duration delay = kLinkLatency;
    if (faults.message_delay > Duration::zero()) {
      delay +=
          Duration(this->random.Below(static_cast<std::uint64_t>(faults.message_delay.count())));
    }
    this->Schedule(this->time + delay, [this, from, to, content = message.message] {
      this->RunOnHost(to, [this, from, to, content] { this->Deliver(from, to, content); });
    });
  }
}

void FleetSimulation::Deliver(std::size_t from, std::size_t to, const Message& message) {
  const HostId sender = this->hosts[from]->id;
  const DomainId domain = this->hosts[from]->domain;
  HostDispatcher& dispatcher = *this->hosts[to]->dispatcher;
  if (const auto* grant = std::get_if<SlotGrant>(&message)) {
    this->Apply(to, dispatcher.OnGrant(this->time, sender, *grant));
    return;
  }
  if (const auto* refusal = std::get_if<SlotRefusal>(&message)) {
    this->Apply(to, dispatcher.OnRefusal(this->time, sender, *refusal));
    return;
  }
  if (const auto* view = std::get_if<ServiceView>(&message)) {
    dispatcher.OnView(this->time, sender, *view);
    return;
  }
  if (this->disconnected_brokers.contains(this->hosts[to]->id)) {
    return;
  }
  SlotBroker& broker = this->BrokerAt(to);
  if (const auto* request = std::get_if<SlotRequest>(&message)) {
    this->ApplyBroker(to, broker.OnRequest(this->time, sender, domain, *request,
                                           this->blocked.contains(request->fingerprint)));
  } else if (const auto* cancel = std::get_if<SlotCancel>(&message)) {
    this->ApplyBroker(to, broker.OnCancel(this->time, sender, *cancel));
  } else if (const auto* claim = std::get_if<SlotClaim>(&message)) {
    this->ApplyBroker(to, broker.OnClaim(this->time, sender, domain, *claim));
  } else if (const auto* release = std::get_if<SlotRelease>(&message)) {
    this->ApplyBroker(to, broker.OnRelease(this->time, sender, domain, *release));
  } else if (const auto* report = std::get_if<HostReport>(&message)) {
    this->ApplyBroker(to, broker.OnReport(this->time, sender, domain, *report));
  }
}

void FleetSimulation::RecordViolation(const std::string& text) {
  this->violation_messages.push_back(text + " at " +
                                     std::to_string(this->time.time_since_epoch().count()) + " us");
}

void FleetSimulation::OnStart(std::size_t host, const StartAttempt& start) {
  ObservedRequest& request = this->requests.at(start.request);
  if (request.finishes > 0) {
    this->RecordViolation("attempt started after the end of its request");
  }
  if (this->time >= request.description.deadline) {
    this->RecordViolation("attempt started after the deadline");
  }
  if (this->leaving.contains(start.target)) {
    this->RecordViolation("attempt started at a leaving target");
  }
  if (this->blocked.contains(request.description.fingerprint)) {
    this->RecordViolation("attempt started for a blocked fingerprint");
  }
  if (!this->targets.contains(start.target)) {
    this->RecordViolation("attempt started at an unknown target");
    return;
  }
  if (++request.starts > 3) {
    this->RecordViolation("more than 3 attempts");
  }
  auto run = std::make_unique<AttemptRun>();
  run->host = host;
  run->start = start;
  run->work_class = request.description.work_class;
  run->started = this->time;
  if (!this->attempt_runs.emplace(start.attempt, std::move(run)).second) {
    this->RecordViolation("duplicate attempt id");
    return;
  }
  const AttemptId attempt = start.attempt;
  if (this->Occurs(this->settings.faults.connect_failure)) {
    this->Schedule(this->time + kTargetLatency,
                   [this, attempt] { this->EndAttempt(attempt, AttemptResult::kConnectFailure); });
    return;
  }
  this->Schedule(this->time + kTargetLatency, [this, attempt] { this->ReceiveAtTarget(attempt); });
  this->Schedule(start.deadline,
                 [this, attempt] { this->EndAttempt(attempt, AttemptResult::kTimeout); });
}

void FleetSimulation::ReceiveAtTarget(AttemptId attempt) {
  AttemptRun& run = *this->attempt_runs.at(attempt);
  if (run.ended) {
    return;
  }
  run.sent = true;
  ObservedRequest& request = this->requests.at(run.start.request);
  ++request.sent;
  if (!request.description.idempotent) {
    if (request.ran > 0) {
      this->RecordViolation("non-idempotent request sent after a target ran it");
    }
    if (!request.sent_to.insert(run.start.target).second) {
      this->RecordViolation("non-idempotent request sent twice to one target");
    }
  }
  if (this->Occurs(this->settings.faults.shed)) {
    this->SendHeader(attempt, {.status = 503, .shed = true});
    this->EndAttempt(attempt, AttemptResult::kShed);
    return;
  }
  ++request.ran;
  Target& target = *this->targets.at(run.start.target);
  target.queue.push_back(attempt);
  this->ServeNext(target);
}

void FleetSimulation::ServeNext(Target& target) {
  while (target.busy < this->settings.slots && !target.queue.empty()) {
    const AttemptId attempt = target.queue.front();
    target.queue.pop_front();
    AttemptRun& run = *this->attempt_runs.at(attempt);
    if (run.ended) {
      continue;
    }
    run.running = true;
    const bool is_long = run.work_class == WorkClass::kLong;
    ++target.busy;
    target.busy_long += is_long ? 1 : 0;
    std::uint32_t long_at_once = 0;
    for (const auto& [id, other] : this->targets) {
      long_at_once += other->busy_long;
    }
    this->max_long_running = std::max(this->max_long_running, long_at_once);
    const Duration service = Exponential(
        this->random, is_long ? this->settings.long_service : this->settings.short_service);
    const auto slowed = std::chrono::duration_cast<Duration>(service * this->slowdown);
    this->Schedule(this->time + slowed, [this, attempt] { this->Respond(attempt); });
  }
}

void FleetSimulation::Respond(AttemptId attempt) {
  AttemptRun& run = *this->attempt_runs.at(attempt);
  if (run.ended) {
    return;
  }
  const FleetFaults& faults = this->settings.faults;
  if (this->Occurs(faults.connection_lost)) {
    this->EndAttempt(attempt, AttemptResult::kConnectionLost);
  } else if (this->Occurs(faults.wrong_answer)) {
    this->SendHeader(attempt, {.status = 200, .wrong_attempt_id = true});
  } else if (this->Occurs(faults.server_error)) {
    run.final_result = AttemptResult::kServerError;
    this->SendHeader(attempt, {.status = 500});
    if (this->Occurs(faults.early_end)) {
      this->EndAttempt(attempt, AttemptResult::kServerError);
    }
  } else {
    run.final_result =
        this->Occurs(faults.truncated) ? AttemptResult::kTruncated : AttemptResult::kSuccess;
    this->SendHeader(attempt, {.status = 200});
  }
}

void FleetSimulation::SendHeader(AttemptId attempt, const AttemptHeader& header) {
  const std::size_t host = this->attempt_runs.at(attempt)->host;
  this->RunOnHost(host, [this, host, attempt, header] {
    this->Apply(host, this->hosts[host]->dispatcher->OnHeader(this->time, attempt, header));
  });
}

void FleetSimulation::EndAttempt(AttemptId attempt, AttemptResult result) {
  AttemptRun& run = *this->attempt_runs.at(attempt);
  if (run.ended) {
    return;
  }
  run.ended = true;
  Target& target = *this->targets.at(run.start.target);
  if (run.running) {
    --target.busy;
    target.busy_long -= run.work_class == WorkClass::kLong ? 1 : 0;
    this->ServeNext(target);
  }
  const std::size_t host = run.host;
  const AttemptEnd end{
      .result = result, .may_have_been_sent = run.sent, .service_time = this->time - run.started};
  this->RunOnHost(host, [this, host, attempt, end] {
    this->Apply(host, this->hosts[host]->dispatcher->OnAttemptEnd(this->time, attempt, end));
  });
}

void FleetSimulation::OnCancel(std::size_t /*host*/, AttemptId attempt) {
  // The end is reported asynchronously, as by the HTTP client.
  this->Schedule(this->time,
                 [this, attempt] { this->EndAttempt(attempt, AttemptResult::kCancelled); });
}

void FleetSimulation::OnForward(std::size_t /*host*/, const ForwardResponse& forward) {
  ObservedRequest& request = this->requests.at(forward.request);
  if (++request.forwards > 1) {
    this->RecordViolation("two responses forwarded for one request");
  }
  AttemptRun& run = *this->attempt_runs.at(forward.attempt);
  run.forwarded = true;
  const AttemptId attempt = forward.attempt;
  this->Schedule(this->time, [this, attempt] {
    this->EndAttempt(attempt, this->attempt_runs.at(attempt)->final_result);
  });
}

void FleetSimulation::OnFinish(const FinishRequest& finish) {
  ObservedRequest& request = this->requests.at(finish.request);
  if (++request.finishes > 1) {
    this->RecordViolation("request ended twice");
  }
  request.finish = finish;
  request.finished_at = this->time;
  if (finish.outcome == Outcome::kNotRun && request.ran > 0) {
    this->RecordViolation("outcome not-run although a target ran the request");
  }
  if (finish.outcome == Outcome::kTarget && request.forwards != 1) {
    this->RecordViolation("outcome target without a forwarded response");
  }
  if (finish.attempts != request.starts) {
    this->RecordViolation("wrong number of attempts reported");
  }
}

std::size_t FleetSimulation::broker_outstanding() const {
  std::size_t sum = 0;
  for (const auto& host : this->hosts) {
    sum += host->broker ? host->broker->outstanding() : 0;
  }
  return sum;
}

std::size_t FleetSimulation::broker_queued() const {
  std::size_t sum = 0;
  for (const auto& host : this->hosts) {
    sum += host->broker ? host->broker->queued() : 0;
  }
  return sum;
}

std::size_t FleetSimulation::broker_count() const {
  return static_cast<std::size_t>(
      std::count_if(this->hosts.begin(), this->hosts.end(),
                    [](const auto& host) { return host->broker != nullptr; }));
}

std::size_t FleetSimulation::requests_in_progress() const {
  std::size_t sum = 0;
  for (const auto& host : this->hosts) {
    sum += host->dispatcher->requests_in_progress();
  }
  return sum;
}

}  // namespace pimentopin
