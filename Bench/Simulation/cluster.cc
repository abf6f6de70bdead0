#include "Bench/Simulation/cluster.h"

#include <algorithm>
#include <string>
#include <utility>

#include "Libraries/LibCore/rendezvous.h"

namespace pimentopin::bench {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
constexpr Duration kGossipInterval = std::chrono::milliseconds(500);
constexpr std::size_t kGossipPeers = 3;
constexpr std::size_t kMaxGossipRecords = 20;
constexpr Duration kProbeInterval = std::chrono::seconds(3);
constexpr Duration kProbeTimeout = std::chrono::seconds(1);
constexpr std::uint32_t kConnectionsPerTarget = 300;

}  // namespace

struct Cluster::Host {
  HostId id{};
  DomainId domain{};
  std::unique_ptr<RandomSource> random;
  std::unique_ptr<HostDispatcher> dispatcher;
  std::map<ServiceId, std::unique_ptr<SlotBroker>> brokers;
  // Indexed by service.
  std::vector<HostOutlierDetector> outlier_detectors;
  CrashFingerprintRegistry crash_fingerprints;
  TimePoint next_gossip;
};

Cluster::Cluster(SimulationSettings simulation_settings)
    : settings(std::move(simulation_settings)), random(this->settings.seed) {
  this->CreateTargets();
  this->CreateHosts();
}

Cluster::~Cluster() = default;

ServiceId Cluster::service(std::size_t index) const {
  return IdFromName<ServiceId>(this->settings.services[index].name);
}

HostId Cluster::host(std::size_t index) const {
  return this->hosts[index]->id;
}

DomainId Cluster::domain(std::size_t index) const {
  return IdFromName<DomainId>("domain-" + std::to_string(index % this->settings.domains));
}

DomainId Cluster::domain_of(HostId host) const {
  return this->hosts[this->HostIndex(host)]->domain;
}

std::uint32_t Cluster::total_slots(std::size_t service) const {
  const SimulatedService& simulated = this->settings.services[service];
  return static_cast<std::uint32_t>(simulated.targets) * simulated.slots;
}

void Cluster::CreateTargets() {
  for (std::size_t service = 0; service < this->settings.services.size(); ++service) {
    const SimulatedService& simulated = this->settings.services[service];
    auto& created = this->targets.emplace_back();
    for (std::size_t index = 0; index < simulated.targets; ++index) {
      const std::string name = simulated.name + "-" + std::to_string(index);
      created.push_back(std::make_unique<SimulatedTarget>(
          this->event_queue, RandomSource(this->random.Next()), this->settings.target,
          IdFromName<TargetId>(name), this->domain(index), simulated.slots));
      SimulatedTarget& target = *created.back();
      target.on_run = [this](const TargetJob& job) { this->tracker.OnRunStarted(job.request); };
      target.on_response = [this, &target](const TargetJob& job, const TargetResponse& response) {
        this->OnTargetResponse(target, job, response);
      };
      for (std::size_t domain = 0; domain < this->settings.domains && this->settings.probes;
           ++domain) {
        const Duration first(
            this->random.Below(static_cast<std::uint64_t>(kProbeInterval.count())));
        this->event_queue.ScheduleAfter(
            first, [this, service, index, domain] { this->Probe(service, index, domain); });
      }
    }
  }
}

void Cluster::CreateHosts() {
  std::vector<DispatchService> services;
  for (std::size_t service = 0; service < this->settings.services.size(); ++service) {
    DispatchService description{.service = this->service(service),
                                .floor_slots = this->settings.services[service].floor_slots};
    for (const auto& target : this->targets[service]) {
      description.targets.push_back({.target = target->id(),
                                     .domain = target->domain(),
                                     .slots = target->slots(),
                                     .connections = kConnectionsPerTarget});
    }
    services.push_back(std::move(description));
  }
  std::vector<HostId> members;
  for (std::size_t index = 0; index < this->settings.hosts; ++index) {
    auto host = std::make_unique<Host>();
    Host* self = host.get();
    host->id = IdFromName<HostId>("host-" + std::to_string(index));
    host->domain = this->domain(index);
    host->random = std::make_unique<RandomSource>(this->random.Next());
    for (const DispatchService& service : services) {
      std::vector<TargetId> ids;
      for (const DispatchService::Target& target : service.targets) {
        ids.push_back(target.target);
      }
      host->outlier_detectors.emplace_back(std::move(ids));
    }
    DispatchSettings dispatch{
        .self = host->id,
        .domain = host->domain,
        .policy = this->settings.policy,
        .optimistic_starts = this->settings.optimistic_starts,
        .is_leaving =
            [this, self](TargetId target) {
              return this->settings.host_outlier_ejection &&
                     std::any_of(self->outlier_detectors.begin(), self->outlier_detectors.end(),
                                 [&](const HostOutlierDetector& detector) {
                                   return detector.IsEjected(this->event_queue.now(), target);
                                 });
            },
        .is_suspect =
            [self](Fingerprint fingerprint) {
              return self->crash_fingerprints.IsSuspect(fingerprint);
            },
        .is_blocked =
            [self](Fingerprint fingerprint) {
              return self->crash_fingerprints.IsBlocked(fingerprint);
            }};
    host->dispatcher = std::make_unique<HostDispatcher>(std::move(dispatch), *host->random);
    members.push_back(host->id);
    this->host_indexes[host->id] = index;
    this->hosts.push_back(std::move(host));
  }
  for (std::size_t index = 0; index < this->hosts.size(); ++index) {
    Host& host = *this->hosts[index];
    host.dispatcher->Configure(this->event_queue.now(), services);
    this->ExecuteActions(index, host.dispatcher->SetMembers(this->event_queue.now(), members));
    const auto offset = this->random.Below(static_cast<std::uint64_t>(kTickInterval.count()));
    this->event_queue.ScheduleAfter(Duration(offset), [this, index] { this->Tick(index); });
  }
}

BrokerConfiguration Cluster::BrokerConfigurationFor(ServiceId service) const {
  BrokerConfiguration configuration{.service = service};
  for (std::size_t index = 0; index < this->targets.size(); ++index) {
    if (this->service(index) != service) {
      continue;
    }
    configuration.floor_slots = this->settings.services[index].floor_slots;
    configuration.queue_limit = this->settings.services[index].queue_limit;
    for (const auto& target : this->targets[index]) {
      configuration.targets.push_back(
          {.target = target->id(), .domain = target->domain(), .slots = target->slots()});
    }
  }
  return configuration;
}

SlotBroker& Cluster::FindOrCreateBroker(Host& host, ServiceId service) {
  std::unique_ptr<SlotBroker>& broker = host.brokers[service];
  if (!broker) {
    broker =
        std::make_unique<SlotBroker>(this->BrokerConfigurationFor(service), this->settings.broker);
  }
  return *broker;
}

SlotBroker* Cluster::broker(std::size_t service) {
  std::vector<HostId> members;
  for (const auto& host : this->hosts) {
    members.push_back(host->id);
  }
  const ServiceId id = this->service(service);
  const HostId first = RendezvousRank(RawId(id), members).front();
  const auto& brokers = this->hosts[this->HostIndex(first)]->brokers;
  const auto broker = brokers.find(id);
  return broker == brokers.end() ? nullptr : broker->second.get();
}

std::uint64_t Cluster::host_ejections(TargetId target) const {
  std::uint64_t total = 0;
  for (const auto& host : this->hosts) {
    for (const HostOutlierDetector& detector : host->outlier_detectors) {
      total += detector.ejections(target);
    }
  }
  return total;
}

std::size_t Cluster::hosts_below_floor(std::size_t service) const {
  return static_cast<std::size_t>(
      std::count_if(this->hosts.begin(), this->hosts.end(), [&](const auto& host) {
        std::uint32_t usable = 0;
        for (const auto& target : this->targets[service]) {
          const bool ejected =
              host->outlier_detectors[service].IsEjected(this->event_queue.now(), target->id());
          usable += ejected ? 0 : target->slots();
        }
        return usable < this->settings.services[service].floor_slots;
      }));
}

void Cluster::AddWorkload(const WorkloadSettings& workload) {
  this->workloads.push_back(std::make_unique<Workload>(
      this->event_queue, workload, this->random.Next(), [this](const WorkloadArrival& arrival) {
        this->Submit(arrival, Fingerprint{this->random.Next()});
      }));
  this->workloads.back()->Start();
}

void Cluster::Submit(const WorkloadArrival& arrival, Fingerprint fingerprint) {
  const TimePoint intended_arrival = this->event_queue.now();
  RequestDescription request{.request = RequestId{this->random.Next()},
                             .service = arrival.service,
                             .caller = CallerId{RawId(arrival.organisation)},
                             .organisation = arrival.organisation,
                             .work_class = arrival.work_class,
                             .kind = arrival.kind,
                             .work_key = arrival.key,
                             .idempotent = arrival.idempotent,
                             .deadline = intended_arrival + arrival.deadline,
                             .fingerprint = fingerprint};
  for (std::size_t service = 0; service < this->targets.size(); ++service) {
    if (this->service(service) == arrival.service) {
      for (const auto& target : this->targets[service]) {
        request.allowed.push_back(target->id());
      }
    }
  }
  const std::size_t host = this->random.Below(this->hosts.size());
  if (arrival.work > Duration::zero()) {
    this->work[request.request] = arrival.work;
  }
  this->tracker.OnRequestSubmitted(request, intended_arrival);
  this->event_queue.ScheduleAfter(
      this->settings.link_delay_to_caller, [this, host, request = std::move(request)] {
        this->descriptions[request.request] = request;
        this->ExecuteActions(
            host, this->hosts[host]->dispatcher->Begin(this->event_queue.now(), request));
      });
}

void Cluster::RunFor(Duration duration) {
  this->event_queue.RunUntil(this->event_queue.now() + duration);
}

Duration Cluster::LinkDelay(DomainId from, DomainId to) const {
  return from == to ? this->settings.link_delay_in_domain
                    : this->settings.link_delay_between_domains;
}

void Cluster::Tick(std::size_t index) {
  Host& host = *this->hosts[index];
  const TimePoint now = this->event_queue.now();
  this->ExecuteActions(index, host.dispatcher->Tick(now));
  for (auto& [service, broker] : host.brokers) {
    this->SendAll(index, broker->Tick(now));
    for (const HealthEvent& event : broker->TakeHealthEvents()) {
      if (this->on_health_event) {
        this->on_health_event(event);
      }
    }
  }
  if (now >= host.next_gossip) {
    host.next_gossip = now + kGossipInterval;
    this->GossipFingerprints(host);
  }
  this->event_queue.ScheduleAfter(kTickInterval, [this, index] { this->Tick(index); });
}

void Cluster::GossipFingerprints(Host& host) {
  host.crash_fingerprints.Tick(this->event_queue.now());
  const auto records = host.crash_fingerprints.Records(this->event_queue.now(), kMaxGossipRecords);
  if (records.empty()) {
    return;
  }
  for (std::size_t count = 0; count < kGossipPeers; ++count) {
    Host* peer = this->hosts[host.random->Below(this->hosts.size())].get();
    this->event_queue.ScheduleAfter(
        this->LinkDelay(host.domain, peer->domain), [this, peer, records] {
          peer->crash_fingerprints.Merge(this->event_queue.now(), records);
        });
  }
}

void Cluster::Probe(std::size_t service, std::size_t index, std::size_t domain_index) {
  this->event_queue.ScheduleAfter(kProbeInterval, [this, service, index, domain_index] {
    this->Probe(service, index, domain_index);
  });
  SimulatedTarget& target = *this->targets[service][index];
  const DomainId domain = this->domain(domain_index);
  std::vector<HostId> candidates;
  for (const auto& host : this->hosts) {
    if (host->domain == domain) {
      candidates.push_back(host->id);
    }
  }
  if (candidates.empty()) {
    return;
  }
  const HostId prober = RendezvousRank(RawId(target.id()), candidates).front();
  const TimePoint started = this->event_queue.now();
  HealthObservation observation_template{
      .target = target.id(), .reporter = prober, .reporter_domain = domain, .is_probe = true};
  // The simulation has no message for probe results; a report reaches the broker
  // after one link delay.
  const auto report = [this, service, observation_template, started](AttemptResult result) {
    if (SlotBroker* current = this->broker(service)) {
      HealthObservation observation = observation_template;
      observation.result = result;
      observation.service_time = this->event_queue.now() - started;
      this->event_queue.ScheduleAfter(
          this->settings.link_delay_between_domains,
          [this, current, observation] { current->OnProbe(this->event_queue.now(), observation); });
    }
  };
  if (!target.AcceptsConnection(prober, domain)) {
    const Duration wait = target.is_running() ? this->settings.connect_timeout : Duration(1000);
    this->event_queue.ScheduleAfter(wait, [report] { report(AttemptResult::kConnectFailure); });
    return;
  }
  const TargetJob job{.attempt = AttemptId{this->random.Next()}, .is_probe = true};
  this->probes[job.attempt] = [report](const TargetResponse& response) { report(response.result); };
  this->event_queue.ScheduleAfter(this->LinkDelay(domain, target.domain()),
                                  [&target, job] { target.Submit(job); });
  this->event_queue.ScheduleAfter(kProbeTimeout, [this, &target, job, report] {
    if (this->probes.erase(job.attempt) > 0) {
      target.Cancel(job.attempt);
      report(AttemptResult::kTimeout);
    }
  });
}

void Cluster::ExecuteActions(std::size_t host, const std::vector<DispatchAction>& actions) {
  for (const DispatchAction& action : actions) {
    if (const auto* send = std::get_if<SendToHost>(&action)) {
      this->Send(host, *send);
    } else if (const auto* start = std::get_if<StartAttempt>(&action)) {
      this->HandleStartAttempt(host, *start);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      this->HandleCancelAttempt(cancel->attempt);
    } else if (const auto* forward = std::get_if<ForwardResponse>(&action)) {
      this->tracker.OnResponseForwarded(forward->request);
      const auto attempt = this->attempts.find(forward->attempt);
      if (attempt != this->attempts.end()) {
        attempt->second.forwarded = true;
        if (attempt->second.response_held) {
          this->event_queue.ScheduleAfter(Duration{}, [this, id = forward->attempt] {
            const auto held_attempt = this->attempts.find(id);
            if (held_attempt != this->attempts.end()) {
              this->EndAttempt(id, AttemptResult::kServerError, held_attempt->second.draining);
            }
          });
        }
      }
    } else if (const auto* finish = std::get_if<FinishRequest>(&action)) {
      this->descriptions.erase(finish->request);
      this->work.erase(finish->request);
      this->tracker.OnRequestFinished(
          *finish, this->event_queue.now() + this->settings.link_delay_to_caller);
    }
  }
}

void Cluster::SendAll(std::size_t from, const std::vector<SendToHost>& messages) {
  for (const SendToHost& message : messages) {
    this->Send(from, message);
  }
}

void Cluster::Send(std::size_t from, const SendToHost& message) {
  const std::size_t to = this->HostIndex(message.host);
  const Duration delay =
      from == to ? Duration{} : this->LinkDelay(this->hosts[from]->domain, this->hosts[to]->domain);
  this->event_queue.ScheduleAfter(
      delay, [this, from, to, payload = message.message] { this->Deliver(from, to, payload); });
}

void Cluster::Deliver(std::size_t from, std::size_t to, const Message& message) {
  const TimePoint now = this->event_queue.now();
  const HostId sender = this->hosts[from]->id;
  const DomainId domain = this->hosts[from]->domain;
  Host& host = *this->hosts[to];
  if (const auto* grant = std::get_if<SlotGrant>(&message)) {
    this->ExecuteActions(to, host.dispatcher->OnGrant(now, sender, *grant));
  } else if (const auto* refusal = std::get_if<SlotRefusal>(&message)) {
    this->ExecuteActions(to, host.dispatcher->OnRefusal(now, sender, *refusal));
  } else if (const auto* view = std::get_if<ServiceView>(&message)) {
    host.dispatcher->OnView(now, sender, *view);
  } else if (const auto* request = std::get_if<SlotRequest>(&message)) {
    this->SendAll(to, this->FindOrCreateBroker(host, request->service)
                          .OnRequest(now, sender, domain, *request,
                                     host.crash_fingerprints.IsBlocked(request->fingerprint)));
  } else if (const auto* cancel = std::get_if<SlotCancel>(&message)) {
    this->SendAll(to,
                  this->FindOrCreateBroker(host, cancel->service).OnCancel(now, sender, *cancel));
  } else if (const auto* claim = std::get_if<SlotClaim>(&message)) {
    this->SendAll(
        to, this->FindOrCreateBroker(host, claim->service).OnClaim(now, sender, domain, *claim));
  } else if (const auto* release = std::get_if<SlotRelease>(&message)) {
    this->SendAll(
        to,
        this->FindOrCreateBroker(host, release->service).OnRelease(now, sender, domain, *release));
  } else if (const auto* report = std::get_if<HostReport>(&message)) {
    this->SendAll(
        to, this->FindOrCreateBroker(host, report->service).OnReport(now, sender, domain, *report));
  }
}

void Cluster::HandleStartAttempt(std::size_t index, const StartAttempt& start) {
  SimulatedTarget* target = nullptr;
  for (const auto& service : this->targets) {
    for (const auto& candidate : service) {
      target = candidate->id() == start.target ? candidate.get() : target;
    }
  }
  const Host& host = *this->hosts[index];
  const RequestDescription& description = this->descriptions.at(start.request);
  this->attempts[start.attempt] = {.host = index,
                                   .request = start.request,
                                   .target = target,
                                   .work_class = description.work_class,
                                   .fingerprint = description.fingerprint,
                                   .started = this->event_queue.now()};
  this->tracker.OnAttemptStarted(start.request);
  if (this->on_attempt_start) {
    this->on_attempt_start(host.id, start.target, description.work_class);
  }
  const Duration delay = this->LinkDelay(host.domain, target->domain());
  if (!target->AcceptsConnection(host.id, host.domain)) {
    const Duration wait = target->is_running() ? this->settings.connect_timeout : 2 * delay;
    this->event_queue.ScheduleAfter(wait, [this, attempt = start.attempt] {
      this->EndAttempt(attempt, AttemptResult::kConnectFailure, false);
    });
    return;
  }
  this->event_queue.ScheduleAfter(
      delay, [this, attempt = start.attempt] { this->DeliverToTarget(attempt); });
}

void Cluster::DeliverToTarget(AttemptId id) {
  const auto position = this->attempts.find(id);
  if (position == this->attempts.end()) {
    return;
  }
  Attempt& attempt = position->second;
  if (!attempt.target->is_running()) {
    this->EndAttempt(id, AttemptResult::kConnectFailure, false);
    return;
  }
  attempt.sent = true;
  const auto known_work = this->work.find(attempt.request);
  attempt.target->Submit(
      {.attempt = id,
       .request = attempt.request,
       .work_class = attempt.work_class,
       .fingerprint = attempt.fingerprint,
       .work = known_work == this->work.end() ? Duration::zero() : known_work->second});
}

void Cluster::OnTargetResponse(SimulatedTarget& target,
                               const TargetJob& job,
                               const TargetResponse& response) {
  if (job.is_probe) {
    const auto probe = this->probes.find(job.attempt);
    if (probe != this->probes.end()) {
      const auto report = std::move(probe->second);
      this->probes.erase(probe);
      report(response);
    }
    return;
  }
  const auto attempt = this->attempts.find(job.attempt);
  if (attempt != this->attempts.end()) {
    this->event_queue.ScheduleAfter(
        this->LinkDelay(target.domain(), this->hosts[attempt->second.host]->domain),
        [this, id = job.attempt, response] { this->ReceiveResponse(id, response); });
  }
}

void Cluster::ReceiveResponse(AttemptId id, const TargetResponse& response) {
  const auto position = this->attempts.find(id);
  if (position == this->attempts.end()) {
    return;
  }
  const std::size_t host = position->second.host;
  if (response.result != AttemptResult::kConnectionLost) {
    const bool shed = response.result == AttemptResult::kShed;
    const int status = shed ? 503 : response.result == AttemptResult::kServerError ? 500 : 200;
    this->ExecuteActions(
        host, this->hosts[host]->dispatcher->OnHeader(
                  this->event_queue.now(), id,
                  {.status = status,
                   .shed = shed,
                   .wrong_attempt_id =
                       response.result == AttemptResult::kWrongAnswer && response.wrong_header}));
  }
  const auto after = this->attempts.find(id);
  if (after != this->attempts.end() && response.result == AttemptResult::kServerError &&
      !after->second.forwarded) {
    after->second.response_held = true;
    after->second.draining = response.draining;
    return;
  }
  this->EndAttempt(id, response.result, response.draining);
}

void Cluster::HandleCancelAttempt(AttemptId id) {
  this->event_queue.ScheduleAfter(Duration{}, [this, id] {
    const auto position = this->attempts.find(id);
    if (position == this->attempts.end()) {
      return;
    }
    Attempt& attempt = position->second;
    SimulatedTarget* target = attempt.target;
    this->event_queue.ScheduleAfter(
        this->LinkDelay(this->hosts[attempt.host]->domain, target->domain()),
        [target, id] { target->Cancel(id); });
    this->EndAttempt(id, AttemptResult::kCancelled, false);
  });
}

void Cluster::EndAttempt(AttemptId id, AttemptResult result, bool draining) {
  const auto position = this->attempts.find(id);
  if (position == this->attempts.end()) {
    return;
  }
  const Attempt attempt = position->second;
  this->attempts.erase(position);
  const TimePoint now = this->event_queue.now();
  Host& host = *this->hosts[attempt.host];
  const Duration service_time = now - attempt.started;
  if (result == AttemptResult::kWrongAnswer && attempt.forwarded) {
    this->tracker.OnBadResponseForwarded(attempt.request);
  }
  if (result == AttemptResult::kConnectionLost) {
    const auto description = this->descriptions.find(attempt.request);
    host.crash_fingerprints.RecordCrash(
        now, description == this->descriptions.end() ? ServiceId{} : description->second.service,
        attempt.fingerprint, attempt.target->id(), id);
  }
  for (std::size_t service = 0; service < this->targets.size(); ++service) {
    if (std::any_of(this->targets[service].begin(), this->targets[service].end(),
                    [&attempt](const auto& target) { return target.get() == attempt.target; })) {
      host.outlier_detectors[service].Observe(now, attempt.target->id(), attempt.work_class, result,
                                              service_time);
    }
  }
  this->ExecuteActions(attempt.host,
                       host.dispatcher->OnAttemptEnd(now, id,
                                                     {.result = result,
                                                      .may_have_been_sent = attempt.sent,
                                                      .service_time = service_time,
                                                      .target_draining = draining}));
  this->tracker.OnAttemptEnded(attempt.request);
}

}  // namespace pimentopin::bench
