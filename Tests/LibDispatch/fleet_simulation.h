#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibDispatch/host_dispatcher.h"
#include "Libraries/LibDispatch/slot_broker.h"

namespace pimentopin {

struct FleetFaults {
  double message_loss = 0;
  double message_duplication = 0;
  // Upper bound of an additional random delay, which reorders messages.
  Duration message_delay{};
  // Probability, per host and 100 ms, of a pause of up to `longest_pause`.
  double pause = 0;
  Duration longest_pause{};
  // Probabilities of the results of attempts.
  double connect_failure = 0;
  double connection_lost = 0;
  double server_error = 0;
  double shed = 0;
  double wrong_answer = 0;
  double truncated = 0;
  // Probability that an attempt with a server error ends while its response is
  // held.
  double early_end = 0;
};

struct FleetSettings {
  std::uint64_t seed = 1;
  std::size_t hosts = 8;
  std::size_t targets = 6;
  std::uint32_t slots = 3;
  std::uint32_t queue_limit = 200;
  Duration short_service = std::chrono::milliseconds(20);
  Duration long_service = std::chrono::milliseconds(600);
  DispatchPolicy policy = DispatchPolicy::kBrokered;
  BrokerPolicy broker;
  std::map<RequestKind, Duration> objectives;
  FleetFaults faults;
};

// Requests of one organisation with exponential inter-arrival times.
struct FleetLoad {
  OrganisationId organisation{};
  double requests_per_second = 0;
  double long_fraction = 0;
  double idempotent_fraction = 0;
  Duration deadline = std::chrono::seconds(2);
  std::uint32_t priority = 0;
  RequestKind kind{};
  Duration from{};
  Duration until{};
};

// Events of one request, as observed from outside the dispatchers.
struct ObservedRequest {
  RequestDescription description;
  HostId host{};
  TimePoint started_at;
  TimePoint finished_at;
  std::size_t starts = 0;
  // Number of attempts that reached a target, and of those that the target ran.
  std::size_t sent = 0;
  std::size_t ran = 0;
  // Targets that received the request.
  std::set<TargetId> sent_to;
  std::size_t forwards = 0;
  std::size_t finishes = 0;
  FinishRequest finish;
};

// Simulates hosts, brokers, a faulty network and targets in virtual time. The
// observed requests are recorded by the network and the targets, not by the
// dispatchers.
class FleetSimulation {
 public:
  explicit FleetSimulation(FleetSettings fleet_settings);
  ~FleetSimulation();

  void AddLoad(const FleetLoad& load);
  void At(Duration time, std::function<void()> event);
  void RunUntil(Duration end);

  // Stops injecting faults, so that all work can finish.
  void EndFaults() { this->settings.faults = {}; }
  // Multiplies the service times of requests that targets start from now on.
  void SetSlowdown(double factor) { this->slowdown = factor; }
  void SetLeaving(std::size_t target) { this->leaving.insert(this->TargetAt(target)); }
  void Suspect(Fingerprint fingerprint) { this->suspects.insert(fingerprint); }
  void Block(Fingerprint fingerprint) { this->blocked.insert(fingerprint); }
  // Stops delivering messages to the host's broker.
  void DisconnectBroker(HostId host) { this->disconnected_brokers.insert(host); }
  void ReconnectBroker(HostId host) { this->disconnected_brokers.erase(host); }
  HostId BrokerHost() const;

  const std::map<RequestId, ObservedRequest>& observed() const { return this->requests; }
  // Descriptions of the invariants violated so far.
  const std::vector<std::string>& violations() const { return this->violation_messages; }
  std::size_t broker_outstanding() const;
  std::size_t broker_queued() const;
  // Number of hosts that have acted as broker.
  std::size_t broker_count() const;
  std::size_t requests_in_progress() const;
  std::uint32_t max_concurrent_long() const { return this->max_long_running; }
  std::size_t claims() const { return this->claim_count; }
  TargetId TargetAt(std::size_t index) const;
  ServiceId service() const;
  TimePoint now() const { return this->time; }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(other.at, other.order) < std::pair(this->at, this->order);
    }
  };
  struct Host;
  struct Target;
  struct AttemptRun;

  void Schedule(TimePoint at, std::function<void()> run);
  void RunOnHost(std::size_t host, std::function<void()> run);
  void BeginRequest(const FleetLoad& load);
  void Tick(std::size_t host);
  void MaybePause(std::size_t host);
  void Apply(std::size_t host, const std::vector<DispatchAction>& actions);
  void ApplyBroker(std::size_t host, const std::vector<SendToHost>& messages);
  void Send(std::size_t from, const SendToHost& message);
  void Deliver(std::size_t from, std::size_t to, const Message& message);
  void OnStart(std::size_t host, const StartAttempt& start);
  void OnCancel(std::size_t host, AttemptId attempt);
  void OnForward(std::size_t host, const ForwardResponse& forward);
  void OnFinish(const FinishRequest& finish);
  void ReceiveAtTarget(AttemptId attempt);
  void ServeNext(Target& target);
  void Respond(AttemptId attempt);
  void SendHeader(AttemptId attempt, const AttemptHeader& header);
  void EndAttempt(AttemptId attempt, AttemptResult result);
  bool Occurs(double probability) { return this->random.Unit() < probability; }
  void RecordViolation(const std::string& text);
  SlotBroker& BrokerAt(std::size_t host);
  std::size_t IndexOf(HostId host) const;

  FleetSettings settings;
  RandomSource random;
  TimePoint time;
  std::uint64_t order = 0;
  std::priority_queue<Event> events;
  std::vector<std::unique_ptr<Host>> hosts;
  std::map<TargetId, std::unique_ptr<Target>> targets;
  std::map<AttemptId, std::unique_ptr<AttemptRun>> attempt_runs;
  std::map<RequestId, ObservedRequest> requests;
  std::set<TargetId> leaving;
  std::set<Fingerprint> suspects;
  std::set<Fingerprint> blocked;
  std::set<HostId> disconnected_brokers;
  std::vector<std::string> violation_messages;
  double slowdown = 1;
  std::uint32_t max_long_running = 0;
  std::size_t claim_count = 0;
};

}  // namespace pimentopin
