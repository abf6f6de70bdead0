#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibDispatch/host_dispatcher.h"
#include "Libraries/LibDispatch/slot_broker.h"
#include "Libraries/LibHost/attempt_transfer.h"
#include "Libraries/LibHost/blackboard.h"
#include "Libraries/LibHost/control_loop.h"
#include "Libraries/LibHost/error_answer.h"
#include "Libraries/LibHost/exchange.h"
#include "Libraries/LibIdempotency/claim_store.h"
#include "Libraries/LibPeer/peer_network.h"

namespace pimentopin {

// Facts about a finished request for logs, metrics and reports.
struct FinishedRequest {
  std::string request_id;
  std::string service;
  // Empty if the path named the service.
  std::string route;
  std::string target;
  std::string organisation;
  std::string caller;
  WorkClass work_class = WorkClass::kShort;
  Outcome outcome = Outcome::kNotRun;
  std::string reason;
  // Of the caller's answer.
  int status = 0;
  std::uint32_t attempts = 0;
  // Attempts that may have been sent and were not shed.
  std::uint32_t possible_runs = 0;
  Duration latency{};
  bool idempotent = false;
  // The answer was cut off after it had started.
  bool broken = false;
  // The caller went away before the outcome.
  bool abandoned = false;
  // Ended after the caller's deadline.
  bool late = false;
  // At arrival, requests waited at the service's broker.
  bool in_demand_peak = false;
  // At arrival, this host had long work of the service in progress.
  bool beside_long_work = false;

  friend bool operator==(const FinishedRequest&, const FinishedRequest&) = default;
};

// Runs requests through HostDispatcher, SlotBroker and ClaimStore and carries
// out their actions. Everything runs on the control thread.
class DispatchController {
 public:
  struct Settings {
    HostId self{};
    std::string host_name;
    std::string domain_name;
    // Any of them carries an attempt; chosen by attempt id.
    std::vector<HttpClient*> clients;
    std::shared_ptr<const MessageDialect> dialect;
    BrokerPolicy broker_policy;
    // For retries that no broker was asked for.
    RetryLimits retry_limits;
    std::function<void(const FinishedRequest&)> on_finished;
    std::function<void(ServiceId, const HealthEvent&)> on_health_event;
    // There is a new leaving target or crash fingerprint to tell others of.
    std::function<void()> on_notice;
  };

  DispatchController(ControlLoop& loop,
                     Blackboard& board,
                     PeerNetwork& peers,
                     ClaimStore& claims,
                     RandomSource& random,
                     Settings settings);

  void Submit(std::shared_ptr<Exchange> exchange);
  // Handles the slot messages; others are ignored.
  void OnMessage(const Envelope& envelope);
  // A probe by this host; goes to the broker of the service.
  void OnProbe(ServiceId service, const HealthObservation& evidence);
  // Passes new leaving notices on to the brokers.
  void RefreshLeavingTargets();

  std::size_t requests_in_progress() const { return this->active.size(); }

 private:
  struct ActiveRequest {
    std::shared_ptr<Exchange> exchange;
    std::map<AttemptId, std::shared_ptr<AttemptTransfer>> transfers;
    // Name of the target of the last attempt.
    std::string target;
    // The attempt whose answer goes to the caller.
    std::shared_ptr<AttemptTransfer> forwarded;
    std::optional<AttemptId> claimant;
    bool caller_gone = false;
    std::uint32_t possible_runs = 0;
    bool in_demand_peak = false;
    bool beside_long_work = false;
  };

  void Configure(const Configuration& configuration);
  // Carries out what is due in the dispatcher and the brokers.
  void Tick();
  // Sets the alarm for what is due next.
  void Reschedule();
  void PublishViews();
  void OnDutyHosts(const std::vector<HostId>& hosts);
  void OnMembers(const std::vector<MemberRecord>& members);

  void Claim(const std::shared_ptr<Exchange>& exchange);
  void OnClaimed(const std::shared_ptr<Exchange>& exchange,
                 AttemptId claimant,
                 const ClaimResult& result);
  void Replay(const Exchange& exchange, const StoredResponse& outcome);
  void Begin(const std::shared_ptr<Exchange>& exchange, std::optional<AttemptId> claimant);
  void OnCallerGone(RequestId request);

  void Execute(const std::vector<DispatchAction>& actions);
  void Execute(const std::vector<SendToHost>& actions);
  void Execute(const SendToHost& action);
  void Execute(const StartAttempt& action);
  void Execute(const CancelAttempt& action);
  void Execute(const ForwardAnswer& action);
  void Execute(const FinishRequest& action);
  void OnAttemptEnd(RequestId request, AttemptId attempt, TargetId target, const AttemptEnd& end);

  void SettleClaim(const ActiveRequest& request, const FinishRequest& finish);
  void Answer(const Exchange& exchange, const ErrorAnswer& answer);
  // Fills in what the exchange knows and passes the facts on.
  void Report(const Exchange& exchange, FinishedRequest facts);
  bool HasLongWork(ServiceId service) const;
  // Null if the configuration does not name the service.
  SlotBroker* BrokerOf(ServiceId service);
  TimePoint Now() const { return SteadyNow(); }

  ControlLoop& loop;
  Blackboard& board;
  PeerNetwork& peers;
  ClaimStore& claims;
  RandomSource& random;
  const Settings settings;
  HostDispatcher dispatcher;
  std::map<ServiceId, std::unique_ptr<SlotBroker>> brokers;
  std::map<ServiceId, BrokerConfiguration> broker_configurations;
  std::map<RequestId, ActiveRequest> active;
  std::map<AttemptId, RequestId> attempts;
  std::map<ServiceId, ServiceView> views;
  std::unique_ptr<Alarm> alarm;
};

}  // namespace pimentopin
