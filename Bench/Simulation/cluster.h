#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "Bench/Simulation/event_queue.h"
#include "Bench/Simulation/fake_target.h"
#include "Bench/Simulation/host_outlier_detector.h"
#include "Bench/Simulation/observer.h"
#include "Bench/Simulation/simulation_settings.h"
#include "Bench/Simulation/workload.h"
#include "Libraries/LibDispatch/host_dispatcher.h"
#include "Libraries/LibDispatch/slot_broker.h"
#include "Libraries/LibHealth/crash_fingerprint_registry.h"

namespace pimentopin::bench {

// Hosts with dispatchers and brokers, links, targets and callers in virtual
// time. The decision code is that of the daemon.
class Cluster {
 public:
  explicit Cluster(SimulationSettings simulation_settings);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Starts a workload now. The intended arrival time is that at the caller.
  void AddWorkload(const WorkloadSettings& workload);
  // One request from a random caller at a random host.
  void Submit(const WorkloadArrival& arrival, Fingerprint fingerprint);
  void RunFor(Duration duration);

  EventQueue& events() { return this->queue; }
  Observer& observer() { return this->observed; }
  ServiceId service(std::size_t index) const;
  std::size_t target_count(std::size_t service) const { return this->targets[service].size(); }
  FakeTarget& target(std::size_t service, std::size_t index) {
    return *this->targets[service][index];
  }
  HostId host(std::size_t index) const;
  DomainId domain(std::size_t index) const;
  DomainId domain_of(HostId host) const;
  // Broker that the hosts ask for the service; null before its first message.
  SlotBroker* broker(std::size_t service);
  std::uint32_t total_slots(std::size_t service) const;
  // Ejections of the target by the baseline detectors of all hosts together.
  std::uint64_t host_ejections(TargetId target) const;
  // Hosts whose baseline detectors leave fewer slots than the floor.
  std::size_t hosts_below_floor(std::size_t service) const;

  // Called for each attempt that a host starts.
  std::function<void(HostId host, TargetId target, WorkClass work_class)> on_start;
  std::function<void(const HealthEvent& event)> on_health_event;

 private:
  struct Host;
  struct Attempt {
    std::size_t host = 0;
    RequestId request{};
    FakeTarget* target = nullptr;
    WorkClass work_class = WorkClass::kShort;
    Fingerprint fingerprint{};
    TimePoint started;
    bool sent = false;
    bool forwarded = false;
    // The dispatcher holds the header back; the body is not read meanwhile.
    bool held = false;
    bool draining = false;
  };

  void CreateTargets();
  void CreateHosts();
  BrokerConfiguration BrokerFor(ServiceId service) const;
  SlotBroker& BrokerAt(Host& host, ServiceId service);
  void Tick(std::size_t host);
  void ExchangeFingerprints(Host& host);
  void Probe(std::size_t service, std::size_t target, std::size_t domain);
  void Apply(std::size_t host, const std::vector<DispatchAction>& actions);
  void Send(std::size_t from, const SendToHost& message);
  void SendAll(std::size_t from, const std::vector<SendToHost>& messages);
  void Deliver(std::size_t from, std::size_t to, const Message& message);
  void StartAttemptAt(std::size_t host, const StartAttempt& start);
  void ArriveAtTarget(AttemptId attempt);
  void OnAnswer(FakeTarget& target, const TargetJob& job, const TargetAnswer& answer);
  void ReceiveAnswer(AttemptId attempt, const TargetAnswer& answer);
  void CancelAttemptOf(AttemptId id);
  void EndAttempt(AttemptId id, AttemptResult result, bool draining);
  Duration LinkDelay(DomainId from, DomainId to) const;
  std::size_t HostIndex(HostId host) const { return this->host_indexes.at(host); }

  SimulationSettings settings;
  EventQueue queue;
  RandomSource random;
  Observer observed;
  std::vector<std::vector<std::unique_ptr<FakeTarget>>> targets;
  std::vector<std::unique_ptr<Host>> hosts;
  std::map<HostId, std::size_t> host_indexes;
  std::map<AttemptId, Attempt> attempts;
  // Reports of probes in flight.
  std::map<AttemptId, std::function<void(const TargetAnswer&)>> probes;
  std::map<RequestId, RequestDescription> descriptions;
  std::vector<std::unique_ptr<Workload>> workloads;
};

}  // namespace pimentopin::bench
