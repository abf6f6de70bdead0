#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "Bench/Simulation/event_queue.h"
#include "Bench/Simulation/host_outlier_detector.h"
#include "Bench/Simulation/request_tracker.h"
#include "Bench/Simulation/simulated_target.h"
#include "Bench/Simulation/simulation_settings.h"
#include "Bench/Simulation/workload.h"
#include "Libraries/LibDispatch/host_dispatcher.h"
#include "Libraries/LibDispatch/slot_broker.h"
#include "Libraries/LibHealth/crash_fingerprint_registry.h"

namespace pimentopin::bench {

// Discrete-event simulation of hosts, links, targets and callers in virtual time.
// The dispatchers, brokers and health checks are the production code.
class Cluster {
 public:
  explicit Cluster(SimulationSettings simulation_settings);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Starts a workload at the current virtual time. The intended arrival time of a
  // request is the time at which the caller sends it.
  void AddWorkload(const WorkloadSettings& workload);
  // Sends one request to a random host.
  void Submit(const WorkloadArrival& arrival, Fingerprint fingerprint);
  void RunFor(Duration duration);

  EventQueue& events() { return this->event_queue; }
  RequestTracker& request_tracker() { return this->tracker; }
  ServiceId service(std::size_t index) const;
  std::size_t target_count(std::size_t service) const { return this->targets[service].size(); }
  SimulatedTarget& target(std::size_t service, std::size_t index) {
    return *this->targets[service][index];
  }
  HostId host(std::size_t index) const;
  DomainId domain(std::size_t index) const;
  DomainId domain_of(HostId host) const;
  // Active broker of the service, or null before it has received a message.
  SlotBroker* broker(std::size_t service);
  std::uint32_t total_slots(std::size_t service) const;
  // Total ejections of the target by the per-host outlier detectors.
  std::uint64_t host_ejections(TargetId target) const;
  // Number of hosts whose outlier detectors leave fewer usable slots than the floor.
  std::size_t hosts_below_floor(std::size_t service) const;

  // Called when a host starts an attempt.
  std::function<void(HostId host, TargetId target, WorkClass work_class)> on_attempt_start;
  std::function<void(const HealthEvent& event)> on_health_event;

 private:
  struct Host;
  struct Attempt {
    std::size_t host = 0;
    RequestId request{};
    SimulatedTarget* target = nullptr;
    WorkClass work_class = WorkClass::kShort;
    Fingerprint fingerprint{};
    TimePoint started;
    bool sent = false;
    bool forwarded = false;
    // The dispatcher has deferred the response, so the body is not read yet.
    bool response_held = false;
    bool draining = false;
  };

  void CreateTargets();
  void CreateHosts();
  BrokerConfiguration BrokerConfigurationFor(ServiceId service) const;
  SlotBroker& FindOrCreateBroker(Host& host, ServiceId service);
  void Tick(std::size_t host);
  void GossipFingerprints(Host& host);
  void Probe(std::size_t service, std::size_t target, std::size_t domain);
  void ExecuteActions(std::size_t host, const std::vector<DispatchAction>& actions);
  void Send(std::size_t from, const SendToHost& message);
  void SendAll(std::size_t from, const std::vector<SendToHost>& messages);
  void Deliver(std::size_t from, std::size_t to, const Message& message);
  void HandleStartAttempt(std::size_t host, const StartAttempt& start);
  void DeliverToTarget(AttemptId attempt);
  void OnTargetResponse(SimulatedTarget& target,
                        const TargetJob& job,
                        const TargetResponse& response);
  void ReceiveResponse(AttemptId attempt, const TargetResponse& response);
  void HandleCancelAttempt(AttemptId id);
  void EndAttempt(AttemptId id, AttemptResult result, bool draining);
  Duration LinkDelay(DomainId from, DomainId to) const;
  std::size_t HostIndex(HostId host) const { return this->host_indexes.at(host); }

  SimulationSettings settings;
  EventQueue event_queue;
  RandomSource random;
  RequestTracker tracker;
  std::vector<std::vector<std::unique_ptr<SimulatedTarget>>> targets;
  std::vector<std::unique_ptr<Host>> hosts;
  std::map<HostId, std::size_t> host_indexes;
  std::map<AttemptId, Attempt> attempts;
  // Callbacks of the probes in flight.
  std::map<AttemptId, std::function<void(const TargetResponse&)>> probes;
  std::map<RequestId, RequestDescription> descriptions;
  // Work of the requests whose arrival states it.
  std::map<RequestId, Duration> work;
  std::vector<std::unique_ptr<Workload>> workloads;
};

}  // namespace pimentopin::bench
