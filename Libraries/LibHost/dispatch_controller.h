#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibCore/random_source.h"
#include "Libraries/LibDispatch/host_dispatcher.h"
#include "Libraries/LibDispatch/retry_usage_exchange.h"
#include "Libraries/LibDispatch/service_cells.h"
#include "Libraries/LibDispatch/slot_broker.h"
#include "Libraries/LibHost/attempt_transfer.h"
#include "Libraries/LibHost/control_loop.h"
#include "Libraries/LibHost/error_response.h"
#include "Libraries/LibHost/exchange.h"
#include "Libraries/LibHost/shared_state.h"
#include "Libraries/LibIdempotency/claim_store.h"
#include "Libraries/LibPeer/peer_network.h"
#include "Libraries/LibQuota/quota_client.h"

namespace pimentopin {

// Result of a request, for logs, metrics and reports.
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
  // Why no further attempt was made; empty if the response of the last one was forwarded.
  std::string refusal;
  // Status code of the response to the caller.
  int status = 0;
  std::uint32_t attempts = 0;
  // How the target of the last attempt was chosen.
  std::optional<PlacedBy> placed_by;
  // Attempts that may have been sent and were not shed.
  std::uint32_t possible_runs = 0;
  Duration latency{};
  bool idempotent = false;
  // The response was cut off after it had started.
  bool broken = false;
  // The caller disconnected before the outcome was known.
  bool abandoned = false;
  // Finished after the caller's deadline.
  bool late = false;
  // Requests were queued at the service's broker on arrival.
  bool in_demand_peak = false;
  // This host had long requests of the service in progress on arrival.
  bool arrived_during_long_work = false;

  friend bool operator==(const FinishedRequest&, const FinishedRequest&) = default;
};

// Runs requests through HostDispatcher, SlotBroker and ClaimStore and executes their
// actions. Everything runs on the control thread.
class DispatchController {
 public:
  struct Settings {
    HostId self{};
    std::string host_name;
    std::string domain_name;
    // Attempts are distributed over the clients by attempt id.
    std::vector<HttpClient*> clients;
    std::shared_ptr<const HttpDialect> dialect;
    std::shared_ptr<ResponseBudget> response_budget =
        std::make_shared<ResponseBudget>(ResponseBudget::kDefaultMaxBytes);
    BrokerPolicy broker_policy;
    // Number of targets from which a service is divided into cells; 0 divides none.
    std::size_t cell_targets = 0;
    // For retries without a broker's permission.
    RetryLimits retry_limits;
    std::function<void(const FinishedRequest&)> on_finished;
    std::function<void(ServiceId, const HealthEvent&)> on_health_event;
    std::function<void(ServiceId, const SpeedChange&)> on_speed_change;
    // Called for each attempt that starts without a broker, with the name of the service.
    std::function<void(const std::string&)> on_fallback_start;
    // Called when there is a new leaving target or crash fingerprint to broadcast.
    std::function<void()> on_new_notice;
    // Calls `decided` once, at once or later, with whether the quota of the organisation admits
    // the request. Empty if there are no quotas.
    std::function<void(const Exchange&, std::function<void(const QuotaVerdict&)> decided)> admit;
  };

  DispatchController(ControlLoop& loop,
                     SharedState& shared_state,
                     PeerNetwork& peers,
                     ClaimStore& claims,
                     RandomSource& random,
                     Settings settings);

  void Submit(std::shared_ptr<Exchange> exchange);
  // Handles messages about slots, views, host reports, retries and probes; ignores others.
  void OnMessage(const Envelope& envelope);
  // Sends the result of a probe by this host to the broker of the service.
  void OnProbe(ServiceId service, const HealthObservation& observation);
  // Applies new leaving notices to the brokers.
  void RefreshLeavingTargets();

  // Limits all requests to the remaining lifetime of the host.
  void SetHostEnd(const HostEnd& end);
  // Logs each request in progress, up to a limit. `stop_started_at` is when the host began to stop.
  void LogRequestsInProgress(TimePoint stop_started_at);

  std::size_t requests_in_progress() const { return this->active.size(); }

 private:
  struct ActiveRequest {
    std::shared_ptr<Exchange> exchange;
    std::map<AttemptId, std::shared_ptr<AttemptTransfer>> transfers;
    // Name of the target of the last attempt.
    std::string target;
    std::optional<PlacedBy> placed_by;
    // The attempt whose response is sent to the caller.
    std::shared_ptr<AttemptTransfer> forwarded;
    std::optional<AttemptId> claimant;
    bool caller_disconnected = false;
    std::uint32_t possible_runs = 0;
    bool in_demand_peak = false;
    bool arrived_during_long_work = false;
  };

  void Configure(const Configuration& configuration);
  // Runs the work that is due in the dispatcher and the brokers.
  void Tick();
  // Sets the alarm to the next deadline of the dispatcher and the brokers.
  void Reschedule();
  // A view without targets does not replace the known targets.
  void StoreView(const ServiceView& view);
  void PublishViews();
  void OnBrokerCandidates(const std::vector<HostId>& hosts);
  void OnMembers(const std::vector<MemberRecord>& members);

  // Begins a request that its quota admits.
  void Start(const std::shared_ptr<Exchange>& exchange);
  void Claim(const std::shared_ptr<Exchange>& exchange);
  void OnClaimed(const std::shared_ptr<Exchange>& exchange,
                 AttemptId claimant,
                 const ClaimResult& result);
  void Replay(const Exchange& exchange, const StoredResponse& response);
  void Begin(const std::shared_ptr<Exchange>& exchange, std::optional<AttemptId> claimant);
  void OnCallerDisconnect(RequestId request);

  void Execute(const std::vector<DispatchAction>& actions);
  void Execute(const std::vector<SendToHost>& actions);
  void Execute(const SendToHost& action);
  void Execute(const StartAttempt& action);
  void Execute(const CancelAttempt& action);
  void Execute(const ForwardResponse& action);
  void Execute(const FinishRequest& action);
  void RecordFallbackStart(const Exchange& exchange);
  // Logs the starts without a broker since the last lines, at most once a second.
  void LogFallbackStarts();
  void LogFailedAttempt(const ActiveRequest& request,
                        AttemptId attempt,
                        TargetId target,
                        const AttemptEnd& end) const;
  void RecordCrash(ServiceId service, Fingerprint fingerprint, TargetId target, AttemptId attempt);
  // Records what a target stated about itself in a response.
  void RecordTargetNotices(TargetId target, bool leaving, Duration retry_after);
  // Logs the limit that a target stated in a response if it has changed; zero if it stated none.
  void LogRateLimit(TargetId target, std::optional<double> limit);
  void OnAttemptEnd(RequestId request, AttemptId attempt, TargetId target, const AttemptEnd& end);

  void SettleClaim(const ActiveRequest& request, const FinishRequest& finish);
  // `refusal` is why no attempt was made, if a limit of the request is the reason.
  void SendErrorResponse(const Exchange& exchange,
                         const ErrorResponse& response,
                         RefusalReason refusal);
  // Adds the properties of the exchange and calls on_finished.
  void Report(const Exchange& exchange, FinishedRequest finished);
  bool HasLongWork(ServiceId service) const;
  // Whether requests were queued at a broker of the service when it sent its last view.
  bool HasQueue(ServiceId service) const;
  std::vector<HostId> RankBrokers(ServiceId id, const std::vector<HostId>& hosts) const;
  // Adds the configurations of the brokers of a service and its cells.
  void AddBrokers(const DispatchService& dispatch,
                  const Service& service,
                  const std::map<RequestKind, Duration>& objectives,
                  std::map<ServiceId, BrokerConfiguration>& configurations) const;
  // Null if the configuration does not have the service.
  SlotBroker* GetOrCreateBroker(ServiceId service);
  TimePoint Now() const { return SteadyNow(); }

  ControlLoop& loop;
  SharedState& shared_state;
  PeerNetwork& peers;
  ClaimStore& claims;
  RandomSource& random;
  const Settings settings;
  ServiceDivision division;
  HostDispatcher dispatcher;
  RetryUsageExchange retry_usage;
  std::map<ServiceId, std::unique_ptr<SlotBroker>> brokers;
  std::map<ServiceId, BrokerConfiguration> broker_configurations;
  std::map<RequestId, ActiveRequest> active;
  std::map<AttemptId, RequestId> attempts;
  std::map<ServiceId, ServiceView> views;
  std::unique_ptr<Alarm> alarm;
  // By name of the service.
  std::map<std::string, std::uint64_t> unlogged_fallback_starts;
  TimePoint fallback_logged_at;
  // Limits that targets stated last, for the log.
  std::map<TargetId, double> logged_rate_limits;
};

}  // namespace pimentopin
