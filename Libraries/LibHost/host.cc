#include "Libraries/LibHost/host.h"

#include <fmt/format.h>
#include <asio/signal_set.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>
#include <vector>

#include "Libraries/LibConfig/configuration_reader.h"
#include "Libraries/LibCore/json_log.h"
#include "Libraries/LibCore/pause_monitor.h"
#include "Libraries/LibCore/scoped_signal_mask.h"
#include "Libraries/LibCore/signal_timestamp.h"
#include "Libraries/LibHost/configuration_controller.h"
#include "Libraries/LibHost/control_loop.h"
#include "Libraries/LibHost/directory_controller.h"
#include "Libraries/LibHost/dispatch_controller.h"
#include "Libraries/LibHost/key_lease_controller.h"
#include "Libraries/LibHost/limits_in_force.h"
#include "Libraries/LibHost/metrics.h"
#include "Libraries/LibHost/operator_endpoint.h"
#include "Libraries/LibHost/platform_configuration_source.h"
#include "Libraries/LibHost/probe_controller.h"
#include "Libraries/LibHost/quota_controller.h"
#include "Libraries/LibHost/report_controller.h"
#include "Libraries/LibHost/request_reader.h"
#include "Libraries/LibHost/stop_admission.h"
#include "Libraries/LibHost/stop_progress.h"
#include "Libraries/LibHost/wall_clock.h"

namespace pimentopin {
namespace {

// 32 hosts with 8 kept connections and one for a probe each stay below a target's limit of 300
// connections. Connections in use have no limit of their own: brokers bound them by the slots of
// the target, which a configuration limits to its connections, and by a few overcommitted ones.
// FIXME: Derive the share from the configured limit and the number of hosts.
constexpr std::size_t kKeptConnectionsPerTarget = 8;
constexpr std::size_t kProbeConnectionsPerTarget = 1;
constexpr Duration kIsolationWindow = std::chrono::seconds(4);
constexpr Duration kHousekeepingInterval = std::chrono::seconds(1);
constexpr Duration kProbeTickInterval = std::chrono::milliseconds(100);
constexpr Duration kCommitRetryDelay = std::chrono::milliseconds(300);
// Longer texts from a request are cut in log lines.
constexpr std::size_t kMaxLoggedTextBytes = 128;
// Before the end of the grace, requests in progress are logged, as a killed process logs nothing.
constexpr Duration kUnfinishedLogMargin = std::chrono::milliseconds(200);
// The time of a stop signal is known this exactly while the process runs.
constexpr Duration kRunningCheckInterval = std::chrono::milliseconds(50);
constexpr Duration kShutdownPollInterval = std::chrono::milliseconds(2);
// Limits how long pending writes to the platform delay the exit, if the host's end does not.
constexpr Duration kFlushTimeout = std::chrono::seconds(2);

// A read of the configuration confirms it when it ends. With a limit on withdrawn keys, a read
// waits so shortly that a host which loses its contact can accept keys for more than half of the
// limit.
Duration ConfigurationPollTimeout(Duration key_revocation_time) {
  constexpr int kPollsPerRevocationTime = 8;
  return key_revocation_time == Duration::zero()
             ? Duration(StoreRelay::kConfigurationPollTimeout)
             : std::min<Duration>(StoreRelay::kConfigurationPollTimeout,
                                  key_revocation_time / kPollsPerRevocationTime);
}

std::uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

class HostProcess : public Host {
 public:
  HostProcess(HostSettings settings, PlatformAdapter platform_adapter)
      : settings(std::move(settings)),
        adapter(std::move(platform_adapter)),
        random(RandomSeed()),
        self(IdFromName<HostId>(this->settings.name)),
        domain(IdFromName<DomainId>(this->settings.domain)),
        signals(this->loop.context(), SIGTERM, SIGINT, SIGHUP) {}

  bool Start(Error& error);
  void Run() override;

 private:
  void CreateStore();
  void CreateKeyLease();
  bool CreatePeers(Error& error);
  void CreateDirectory();
  void CreateDispatch();
  bool CreateServers(Error& error);
  // Limits that apply unless the configuration sets its own.
  RequestLimits DefaultRequestLimits() const;
  void ApplyRequestLimits(const Configuration& active_configuration);
  void ScheduleTasks();
  void WaitForSignals();
  void OnPeerMessage(const Envelope& envelope);
  void OnCallerRequest(HttpServerRequest request, const std::shared_ptr<HttpResponder>& responder);
  // Records a request that the server refused itself.
  void OnServerRefusal(const RefusedRequest& refused);
  // Records what a caller has sent on a connection that the server had closed.
  void OnDiscardedInput(const DiscardedInput& discarded);
  // Unique within the fleet. Callable from any thread.
  std::string NewRequestId();
  void OnFinished(const FinishedRequest& finished);
  void OnHealthEvent(ServiceId service, const HealthEvent& event);
  void OnSpeedChange(ServiceId service, const SpeedChange& change);
  void OnClaimLost(const ClaimKey& key, AttemptId attempt);
  void OnSummaryDropped(const HostSummary& summary);
  void UpdateReadiness();
  // Publishes what the host holds for callers and targets.
  void RecordMemory();
  // The stop that has begun, if any. Callable from any thread.
  std::optional<StopAdmission> CurrentStop() const;
  void BeginShutdown();
  void RecordRunning();
  // Ends the requests in progress before the platform kills the host, which follows a signal only.
  void LimitToGrace();
  void RenewHostEnd();
  // Ends the shutdown delay when no request is started any more.
  void LimitDelay();
  void StopListening();
  void WaitForRequests();
  void Flush();
  // Until when the stopping host waits for writes to the platform.
  TimePoint LastWrite() const;
  // What the stopping host still waits for.
  nlohmann::json Outstanding() const;
  void LogUnfinished(TimePoint stop_started_at);
  // Logs a request that arrived after the signal and may be cut off by the end of the host.
  void LogCuttable(const Exchange& exchange, const StopAdmission& admission) const;

  const HostSettings settings;
  const PlatformAdapter adapter;
  RandomSource random;
  const HostId self;
  const DomainId domain;
  // Increases with each restart of a host of the same name.
  const std::uint64_t incarnation = WallClockMs();
  std::atomic<std::uint64_t> next_request_number = 1;

  ControlLoop loop;
  asio::signal_set signals;
  // The control thread may handle a signal late, while other threads accept requests.
  SignalTimestamp stop_signal{{SIGTERM, SIGINT}};
  PauseMonitor pauses{kRunningCheckInterval};
  SharedState shared_state;
  Metrics metrics;
  const std::shared_ptr<ResponseBudget> response_budget =
      std::make_shared<ResponseBudget>(this->settings.max_held_response_bytes);
  std::size_t logged_early_pauses = 0;
  bool shutting_down = false;
  // Of the active configuration.
  std::size_t configured_body_bytes = 0;
  // Limits of the requests in progress; unset before a signal.
  HostEnd host_end;
  // Set when an operator stops the host; read by the traffic threads.
  std::atomic<TimePoint> drained_at = TimePoint();
  StopProgress stop_progress;
  // Ends the shutdown delay.
  std::unique_ptr<Alarm> listening_end = this->loop.CreateAlarm([this] { this->StopListening(); });

  std::unique_ptr<HttpClient> platform_client;
  std::unique_ptr<PlatformStore> store;
  std::unique_ptr<ConfigurationStore> configuration_store;
  std::unique_ptr<PlatformConfigurationSource> platform_configuration_source;
  std::unique_ptr<ClaimStore> claims;
  std::unique_ptr<Alarm> claims_alarm;

  // Null if withdrawn keys have no time limit.
  std::unique_ptr<KeyLeaseController> key_lease;

  std::unique_ptr<PeerNetwork> peers;
  std::unique_ptr<DirectoryController> directory;
  std::unique_ptr<ConfigurationController> configuration;
  std::unique_ptr<QuotaController> quotas;
  std::unique_ptr<DispatchController> dispatch;
  std::unique_ptr<ProbeController> probes;
  std::unique_ptr<ReportController> reports;

  // Declared last, so that their threads, which use the members above, end first.
  std::unique_ptr<HttpClient> probe_client;
  std::unique_ptr<HttpClient> target_client;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<OperatorEndpoint> operator_endpoint;
};

bool HostProcess::Start(Error& error) {
  this->CreateStore();
  this->CreateKeyLease();
  if (!this->CreatePeers(error)) {
    return false;
  }
  this->CreateDirectory();
  this->CreateDispatch();
  if (!this->CreateServers(error)) {
    return false;
  }
  this->ScheduleTasks();
  Log(LogLevel::kInfo, "host_started",
      {{"name", this->settings.name},
       {"domain", this->settings.domain},
       {"caller_address", this->caller_server->address()},
       {"operator_address", this->operator_endpoint->address()},
       {"peer_address", this->peers->address()}});
  // Without the grace, a host that stops is killed while it works on requests; without the others,
  // the fleet may exceed the limits of the platform.
  Log(HasAllPlatformLimits(this->settings) ? LogLevel::kInfo : LogLevel::kWarning,
      "limits_in_force", LimitsInForce(this->settings));
  return true;
}

void HostProcess::CreateKeyLease() {
  if (this->settings.key_revocation_time == Duration::zero()) {
    return;
  }
  this->key_lease = std::make_unique<KeyLeaseController>(
      this->shared_state,
      KeyLeaseController::Settings{.revocation_time = this->settings.key_revocation_time,
                                   .call_store =
                                       [this](const std::function<void()>& done) {
                                         // Reads this host's own row.
                                         this->store->Read(
                                             std::string(kHostTable) + "/" + this->settings.name,
                                             [done](const auto&, const Error&) { done(); });
                                       },
                                   .clock = BootNow,
                                   .on_changed = [this] { this->UpdateReadiness(); }});
}

void HostProcess::CreateStore() {
  this->platform_client = HttpClient::Create(
      {.max_connections_per_address = 8, .keep_alive_idle_time = std::chrono::seconds(1)});
  this->store = this->adapter.create_store(
      *this->platform_client,
      {.base_url = this->settings.platform_url,
       .post = [this](std::function<void()> task) { this->loop.Post(std::move(task)); },
       .on_store_time =
           [this](BootTimePoint sent, BootTimePoint answered, StoreTimePoint at_store) {
             if (this->key_lease) {
               this->key_lease->OnStoreTime(sent, answered, at_store);
             }
           },
       .on_store_era = [this](StoreEra era) { this->quotas->OnStoreEra(era); }});
  this->configuration_store = std::make_unique<ConfigurationStore>(
      *this->store, *this->store, [this](std::function<void()> task) {
        this->loop.RunAfter(kCommitRetryDelay, std::move(task));
      });
  if (this->settings.platform_configuration) {
    this->platform_configuration_source = std::make_unique<PlatformConfigurationSource>(
        *this->store,
        PlatformConfigurationSource::Settings{
            .table = this->adapter.configuration_table,
            .key = this->adapter.configuration_key,
            .reader = this->adapter.read_configuration,
            .without_keys = this->adapter.without_keys,
            .on_confirmed =
                [this](const ConfigurationConfirmation& confirmation) {
                  if (this->key_lease) {
                    this->key_lease->OnConfirmed(confirmation);
                  }
                },
            .long_poll_timeout = ConfigurationPollTimeout(this->settings.key_revocation_time)});
  }
  this->claims_alarm = this->loop.CreateAlarm([this] { this->claims->Tick(SteadyNow()); });
  this->claims = std::make_unique<ClaimStore>(
      *this->store, [this](TimePoint when) { this->claims_alarm->Set(when); },
      [this](const ClaimKey& key, AttemptId attempt) { this->OnClaimLost(key, attempt); },
      [](const ClaimKey& key, const Findings& findings) {
        Log(LogLevel::kError, "claim_row_invalid",
            {{"service", key.service},
             {"organisation", key.organisation},
             {"key", key.key},
             {"findings", findings.ToText()}});
      });
}

bool HostProcess::CreatePeers(Error& error) {
  this->peers = PeerNetwork::Create(
      this->loop.context(), this->settings.peer_address, this->self, this->domain,
      [this](const Envelope& envelope) { this->OnPeerMessage(envelope); }, error);
  return this->peers != nullptr;
}

void HostProcess::CreateDirectory() {
  const bool from_platform = this->settings.platform_configuration;
  ConfigurationController::Settings configuration_settings{
      .self = this->self,
      .domain = this->domain,
      .parser =
          [this, from_platform](const ConfigurationDocument& document, Findings& findings) {
            return from_platform ? this->adapter.read_configuration(document.content, findings)
                                 : ReadConfiguration(document.content, document.revision, findings);
          },
      .accepts_commits = !from_platform,
      .clock = SteadyNow};
  ConfigurationSource& source =
      from_platform ? static_cast<ConfigurationSource&>(*this->platform_configuration_source)
                    : static_cast<ConfigurationSource&>(*this->configuration_store);
  this->configuration = std::make_unique<ConfigurationController>(
      this->loop, this->shared_state, *this->peers, source, *this->configuration_store,
      std::move(configuration_settings));

  DirectoryController::Settings directory_settings{
      .self = {.host = this->self,
               .name = this->settings.name,
               .address = this->peers->address(),
               .domain = this->domain,
               .incarnation = this->incarnation,
               .capacity = this->settings.capacity_millicores,
               .link_mbps = this->settings.link_mbps},
      .target_table = from_platform ? this->adapter.target_table : "",
      .read_target = this->adapter.read_target,
      .configuration_polled = !from_platform,
      .read_configuration =
          [this](const ReadNewestConfiguration& read, std::function<void(const Error&)> done) {
            this->configuration->ReadNewest(read, std::move(done));
          },
      .on_digest =
          [this](const StoreDigest& digest) {
            if (this->key_lease) {
              this->key_lease->OnDigest(digest);
            }
          },
      .confirmed_store_time =
          [this] { return this->key_lease ? this->key_lease->ConfirmedAt() : std::nullopt; },
      .on_revision_seen =
          [this](HostId host, std::uint64_t revision) {
            this->configuration->OnRevisionSeen(host, revision);
          },
      .on_targets_changed = [this] { this->UpdateReadiness(); },
      .on_notices_changed = [this] { this->dispatch->RefreshLeavingTargets(); }};
  this->directory = std::make_unique<DirectoryController>(
      this->loop, this->shared_state, *this->peers, *this->store, std::move(directory_settings));
  this->reports = std::make_unique<ReportController>(
      *this->store, this->settings.name, this->incarnation,
      [this](const HostSummary& summary) { this->OnSummaryDropped(summary); });
}

void HostProcess::CreateDispatch() {
  this->quotas = std::make_unique<QuotaController>(
      this->loop, this->shared_state, *this->peers, *this->store, this->metrics,
      QuotaController::Settings{.self = this->self,
                                .host_name = this->settings.name,
                                .domain = this->domain,
                                .incarnation = this->incarnation,
                                .starts_fleet = this->settings.starts_fleet});
  // Each probe opens a connection.
  this->probe_client =
      HttpClient::Create({.max_connections_per_address = kProbeConnectionsPerTarget,
                          .max_kept_connections_per_address = 0});
  // The dispatcher chooses a target for each request and takes another if one is slow. A request
  // that waited for a connection would stay with its target, and the dispatcher would take it for
  // running.
  this->target_client =
      HttpClient::Create({.max_connections_per_address = 0,
                          .max_kept_connections_per_address = kKeptConnectionsPerTarget});
  const RetryLimits fleet_limits{
      .fraction = this->settings.retry_fraction,
      .extra = this->settings.retry_extra,
      .minimum_per_second = this->settings.retry_extra > 0 ? std::uint32_t{0} : std::uint32_t{1}};
  // Without a broker, each host has only its own share of the fleet's retry budget.
  RetryLimits local_limits = fleet_limits;
  local_limits.extra = 0;
  BrokerPolicy policy;
  policy.view_min_request_rate = this->settings.view_rate;
  policy.by_priority = this->settings.queue_by_priority;
  policy.retry_limits = fleet_limits;
  policy.placement = this->settings.placement;
  DispatchController::Settings dispatch_settings{
      .self = this->self,
      .host_name = this->settings.name,
      .domain_name = this->settings.domain,
      .clients = {this->target_client.get()},
      .dialect = this->adapter.dialect,
      .response_budget = this->response_budget,
      .broker_policy = policy,
      .cell_targets = this->settings.cell_targets,
      .retry_limits = local_limits,
      .on_finished = [this](const FinishedRequest& finished) { this->OnFinished(finished); },
      .on_health_event = [this](ServiceId service,
                                const HealthEvent& event) { this->OnHealthEvent(service, event); },
      .on_speed_change = [this](
                             ServiceId service,
                             const SpeedChange& change) { this->OnSpeedChange(service, change); },
      .on_fallback_start =
          [this](const std::string& service) {
            this->metrics.IncrementCounter("pimentopin_starts_without_broker_total",
                                           "service=\"" + service + "\"");
          },
      .on_new_notice = [this] { this->directory->BroadcastNotices(); },
      .admit =
          [this](const Exchange& exchange, QuotaController::Decided decided) {
            this->quotas->Admit(exchange, std::move(decided));
          }};
  this->dispatch = std::make_unique<DispatchController>(this->loop, this->shared_state,
                                                        *this->peers, *this->claims, this->random,
                                                        std::move(dispatch_settings));
  ProbeController::Settings probe_settings{
      .self = this->self,
      .domain = this->domain,
      .host_name = this->settings.name,
      .domain_name = this->settings.domain,
      .interval = this->settings.probe_interval,
      .dialect = this->adapter.dialect,
      .on_observation =
          [this](ServiceId service, const HealthObservation& observation) {
            this->dispatch->OnProbe(service, observation);
          },
      .on_target_draining = [this] { this->directory->BroadcastNotices(); }};
  this->probes = std::make_unique<ProbeController>(this->loop, this->shared_state,
                                                   *this->probe_client, std::move(probe_settings));
  this->shared_state.configuration.Observe([this](const Configuration& active_configuration) {
    if (this->key_lease) {
      this->key_lease->SetActiveRevision(active_configuration.revision);
    }
    this->directory->SetConfigurationRevision(active_configuration.revision);
    this->ApplyRequestLimits(active_configuration);
    this->UpdateReadiness();
  });
  this->shared_state.readiness.Write(Readiness{});
  this->shared_state.views.Write({});
}

bool HostProcess::CreateServers(Error& error) {
  OperatorEndpoint::Settings operator_settings{
      .address = this->settings.operator_address,
      .host_name = this->settings.name,
      .domain_name = this->settings.domain,
      .on_drain = [this] { this->BeginShutdown(); },
      .requests_in_progress = [this] { return this->dispatch->requests_in_progress(); },
      .is_stopping = [this] { return this->CurrentStop().has_value(); }};
  this->operator_endpoint = OperatorEndpoint::Create(
      this->loop, this->shared_state, *this->configuration, *this->configuration_store,
      *this->store, this->metrics, std::move(operator_settings), error);
  if (!this->operator_endpoint) {
    return false;
  }
  this->caller_server = HttpServer::Create(
      {.address = this->settings.caller_address,
       .threads = this->settings.traffic_threads,
       .limits = this->DefaultRequestLimits(),
       .max_concurrent_requests = this->settings.max_concurrent_requests,
       .max_held_body_bytes = this->settings.max_held_body_bytes,
       .on_refusal = [this](const RefusedRequest& refused) { this->OnServerRefusal(refused); },
       .on_discarded_input =
           [this](const DiscardedInput& discarded) { this->OnDiscardedInput(discarded); }},
      [this](HttpServerRequest request, const std::shared_ptr<HttpResponder>& responder) {
        this->OnCallerRequest(std::move(request), responder);
      },
      error);
  return this->caller_server != nullptr;
}

RequestLimits HostProcess::DefaultRequestLimits() const {
  return {.max_body_bytes = this->settings.max_body_bytes};
}

void HostProcess::ApplyRequestLimits(const Configuration& active_configuration) {
  const RequestLimits limits =
      active_configuration.request_limits.value_or(this->DefaultRequestLimits());
  this->caller_server->SetLimits(limits);
  // The active configuration also changes with the registered targets.
  const bool is_new =
      std::exchange(this->configured_body_bytes, limits.max_body_bytes) != limits.max_body_bytes;
  if (is_new && limits.max_body_bytes > this->settings.max_body_bytes) {
    Log(LogLevel::kWarning, "request_limit_lowered",
        {{"limit", "max_body_bytes"},
         {"configured", limits.max_body_bytes},
         {"in_force", this->settings.max_body_bytes}});
  }
}

void HostProcess::ScheduleTasks() {
  if (this->settings.probe_interval > Duration::zero()) {
    this->loop.RunPeriodically(kProbeTickInterval, [this] { this->probes->Tick(SteadyNow()); });
  }
  this->loop.RunPeriodically(kHousekeepingInterval, [this] {
    this->reports->Tick(SteadyNow());
    if (this->key_lease) {
      this->key_lease->Tick();
    }
    this->UpdateReadiness();
    this->RecordMemory();
  });
  this->loop.RunPeriodically(kRunningCheckInterval, [this] { this->RecordRunning(); });
  this->directory->Start();
}

void HostProcess::OnPeerMessage(const Envelope& envelope) {
  this->directory->OnMessage(envelope);
  if (const auto* offer = std::get_if<ConfigurationOffer>(&envelope.message)) {
    this->configuration->OnRevisionSeen(envelope.sender, offer->revision);
  } else if (const auto* request = std::get_if<ConfigurationRequest>(&envelope.message)) {
    this->configuration->OnRequest(envelope.sender, *request);
  } else if (const auto* document = std::get_if<ConfigurationDocument>(&envelope.message)) {
    this->configuration->OnDocument(*document, DocumentSource::kPeer);
  } else if (const auto* compressed =
                 std::get_if<CompressedConfigurationDocument>(&envelope.message)) {
    this->configuration->OnCompressedDocument(*compressed);
  } else if (std::holds_alternative<QuotaRequest>(envelope.message) ||
             std::holds_alternative<QuotaReply>(envelope.message)) {
    this->quotas->OnMessage(envelope);
  } else {
    this->dispatch->OnMessage(envelope);
  }
}

void HostProcess::OnCallerRequest(HttpServerRequest request,
                                  const std::shared_ptr<HttpResponder>& responder) {
  std::string request_id = this->adapter.dialect->CallerRequestId(request.headers);
  if (request_id.empty()) {
    request_id = this->NewRequestId();
  }
  const auto [active_configuration, keys_confirmed] =
      ReadActiveConfiguration(this->shared_state, BootNow);
  ErrorResponse refusal{503, Outcome::kNotRun, "no-configuration",
                        "this host has no configuration yet"};
  std::optional<Exchange> exchange;
  if (active_configuration) {
    exchange = ReadRequest(*active_configuration, *this->adapter.dialect, request, request_id,
                           SteadyNow(), keys_confirmed, refusal);
  }
  const std::optional<StopAdmission> admission = this->CurrentStop();
  if (exchange && admission && !admission->Accepts(SteadyNow(), exchange->description)) {
    request = std::move(exchange->request);
    exchange.reset();
    refusal = {503, Outcome::kNotRun, "stopping",
               "this host will have stopped before the request can end"};
  }
  if (!exchange) {
    this->metrics.IncrementCounter("pimentopin_refused_requests_total",
                                   "reason=\"" + refusal.reason + "\"");
    Log(LogLevel::kInfo, "request_refused",
        {{"request_id", request_id},
         {"reason", refusal.reason},
         {"message", refusal.message},
         {"status", refusal.StatusFor(*this->adapter.dialect)},
         {"host", FindHeader(request.headers, "Host").substr(0, kMaxLoggedTextBytes)},
         {"path", request.path.substr(0, kMaxLoggedTextBytes)},
         {"revision", active_configuration ? active_configuration->revision : 0}});
    refusal.Send(*responder, request_id, *this->adapter.dialect);
    return;
  }
  exchange->request_id = std::move(request_id);
  if (admission) {
    this->LogCuttable(*exchange, *admission);
  }
  exchange->responder = responder;
  auto shared = std::make_shared<Exchange>(std::move(*exchange));
  this->loop.Post([this, shared] { this->dispatch->Submit(shared); });
}

void HostProcess::OnServerRefusal(const RefusedRequest& refused) {
  this->metrics.IncrementCounter("pimentopin_refused_requests_total",
                                 "reason=\"" + refused.refusal.reason + "\"");
  Log(LogLevel::kInfo, "request_refused",
      {{"reason", refused.refusal.reason},
       {"message", refused.refusal.message},
       {"status", refused.refusal.status},
       {"earlier_requests", refused.earlier_requests},
       {"response_sent", refused.response_sent}});
}

void HostProcess::OnDiscardedInput(const DiscardedInput& discarded) {
  this->metrics.IncrementCounter("pimentopin_discarded_input_total", "");
  nlohmann::json line = {{"bytes", discarded.bytes},
                         {"arrived_after_close_ms", Milliseconds(discarded.arrived_after_close)},
                         {"ended_after_close_ms", Milliseconds(discarded.ended_after_close)}};
  if (const std::optional<StopAdmission> stop = this->CurrentStop()) {
    line["after_stop_ms"] = Milliseconds(SteadyNow() - stop->earliest_start);
  }
  Log(LogLevel::kInfo, "input_discarded", line);
}

std::string HostProcess::NewRequestId() {
  return fmt::format("{}-{:x}-{}", this->settings.name, this->incarnation,
                     this->next_request_number.fetch_add(1));
}

void HostProcess::OnFinished(const FinishedRequest& finished) {
  const std::string service = "service=\"" + finished.service + "\"";
  const std::string outcome =
      service + ",outcome=\"" + std::string(OutcomeName(finished.outcome)) + "\"";
  this->metrics.IncrementCounter("pimentopin_requests_total", outcome);
  this->metrics.ObserveLatency("pimentopin_request_seconds", service, finished.latency);
  if (finished.attempts > 1) {
    this->metrics.IncrementCounter("pimentopin_retries_total", service, finished.attempts - 1);
  }
  this->reports->OnFinished(finished);
  Log(LogLevel::kInfo, "request_finished",
      {{"request_id", finished.request_id},
       {"service", finished.service},
       {"route", finished.route},
       {"caller", finished.caller},
       {"target", finished.target},
       {"outcome", OutcomeName(finished.outcome)},
       {"reason", finished.reason},
       {"refusal", finished.refusal},
       {"status", finished.status},
       {"attempts", finished.attempts},
       {"placed_by", finished.placed_by ? PlacedByName(*finished.placed_by) : ""},
       {"latency_us", finished.latency.count()}});
}

void HostProcess::OnHealthEvent(ServiceId service, const HealthEvent& event) {
  const auto active_configuration = this->shared_state.configuration.Read();
  const Service* configured_service = active_configuration->FindService(service);
  const Target* target = active_configuration->FindTarget(event.target);
  if (configured_service == nullptr || target == nullptr) {
    return;
  }
  constexpr std::array<std::string_view, 4> kEventNames = {
      "target_ejected", "target_on_probation", "target_reinstated_for_floor", "target_returned"};
  const std::string_view name = kEventNames.at(static_cast<std::size_t>(event.kind));
  Log(LogLevel::kWarning, name,
      {{"service", configured_service->name},
       {"target", target->name},
       {"detection_ms", Milliseconds(event.detection_time)}});
  this->metrics.IncrementCounter(
      "pimentopin_health_events_total",
      "event=\"" + std::string(name) + "\",service=\"" + configured_service->name + "\"");
  this->reports->OnHealthEvent(configured_service->name, event);
}

void HostProcess::OnSpeedChange(ServiceId service, const SpeedChange& change) {
  const auto active_configuration = this->shared_state.configuration.Read();
  const Service* configured_service = active_configuration->FindService(service);
  const Target* target = active_configuration->FindTarget(change.target);
  if (configured_service == nullptr || target == nullptr) {
    return;
  }
  const std::string_view name = change.slow ? "target_slow" : "target_no_longer_slow";
  Log(LogLevel::kInfo, name,
      {{"service", configured_service->name},
       {"target", target->name},
       {"slowness", change.slowness}});
  this->metrics.IncrementCounter(
      "pimentopin_target_speed_changes_total",
      "event=\"" + std::string(name) + "\",service=\"" + configured_service->name + "\"");
}

void HostProcess::OnClaimLost(const ClaimKey& key, AttemptId attempt) {
  this->metrics.IncrementCounter("pimentopin_lost_claims_total", "service=\"" + key.service + "\"");
  this->reports->OnClaimByOtherAttempt(key.service);
  Log(LogLevel::kWarning, "claim_lost",
      {{"service", key.service},
       {"organisation", key.organisation},
       {"key", key.key},
       {"attempt", static_cast<std::uint64_t>(attempt)}});
}

void HostProcess::OnSummaryDropped(const HostSummary& summary) {
  const std::uint64_t periods = summary.sequence - summary.first_sequence + 1;
  this->metrics.IncrementCounter("pimentopin_dropped_report_periods_total", "", periods);
  Log(LogLevel::kWarning, "summary_dropped", {{"key", summary.Key()}, {"periods", periods}});
}

void HostProcess::UpdateReadiness() {
  const auto active_configuration = this->shared_state.configuration.Read();
  const Readiness next{.has_configuration = active_configuration != nullptr,
                       .has_targets = this->directory->HasTargets(),
                       .keys_unconfirmed = active_configuration && this->key_lease &&
                                           active_configuration->requires_keys &&
                                           !this->key_lease->accepts_keys(),
                       .isolated = !this->directory->HasContactWithin(kIsolationWindow),
                       .shutting_down = this->shutting_down};
  const auto before = this->shared_state.readiness.Read();
  if (before && before->ready() != next.ready()) {
    Log(LogLevel::kInfo, next.ready() ? "host_ready" : "host_not_ready",
        {{"has_configuration", next.has_configuration},
         {"has_targets", next.has_targets},
         {"keys_unconfirmed", next.keys_unconfirmed},
         {"isolated", next.isolated},
         {"shutting_down", next.shutting_down}});
  }
  this->shared_state.readiness.Write(next);
  this->metrics.SetGauge(
      "pimentopin_configuration_revision", "",
      active_configuration ? static_cast<double>(active_configuration->revision) : 0.0);
}

void HostProcess::RecordMemory() {
  const std::size_t held_responses = this->response_budget->held_bytes();
  const std::size_t early_pauses = this->response_budget->early_pauses();
  this->metrics.SetGauge("pimentopin_held_request_body_bytes", "",
                         static_cast<double>(this->caller_server->held_body_bytes()));
  this->metrics.SetGauge("pimentopin_held_response_bytes", "", static_cast<double>(held_responses));
  const std::size_t pauses = early_pauses - std::exchange(this->logged_early_pauses, early_pauses);
  if (pauses == 0) {
    return;
  }
  this->metrics.IncrementCounter("pimentopin_responses_paused_early_total", "", pauses);
  Log(LogLevel::kWarning, "responses_paused_early",
      {{"pauses", pauses},
       {"held_bytes", held_responses},
       {"max_bytes", this->settings.max_held_response_bytes},
       {"max_bytes_per_response", this->response_budget->MaxPerResponse()}});
}

void HostProcess::Run() {
  const ScopedSignalMask handled_signals(SIG_UNBLOCK, {SIGTERM, SIGINT, SIGHUP});
  this->WaitForSignals();
  this->loop.Run();
}

void HostProcess::WaitForSignals() {
  this->signals.async_wait([this](const asio::error_code& error, int number) {
    if (error) {
      return;
    }
    if (number == SIGHUP) {
      Log(LogLevel::kInfo, "reload_requested",
          {{"note", "settings are command-line flags and take effect at the next start"}});
    } else {
      this->LimitToGrace();
      this->BeginShutdown();
    }
    this->WaitForSignals();
  });
}

std::optional<StopAdmission> HostProcess::CurrentStop() const {
  const TimePoint drained_at = this->drained_at;
  const StopAdmission limits{.grace = this->settings.shutdown_grace,
                             .cuttable_request_window = this->settings.cuttable_request_window,
                             .longest_pause = this->pauses.longest()};
  return limits.BegunBy(this->stop_signal.first(),
                        drained_at == TimePoint() ? std::nullopt : std::optional(drained_at));
}

void HostProcess::RecordRunning() {
  const TimePoint now = SteadyNow();
  this->stop_signal.RecordRunning(now);
  this->pauses.Tick(now);
  if (this->host_end != HostEnd{}) {
    this->RenewHostEnd();
  }
}

void HostProcess::BeginShutdown() {
  if (std::exchange(this->shutting_down, true)) {
    return;
  }
  this->stop_progress.Enter(StopPhase::kDelay);
  const TimePoint now = SteadyNow();
  this->drained_at = now;
  const StopAdmission admission = *this->CurrentStop();
  Log(LogLevel::kInfo, "shutdown_started",
      {{"requests_in_progress", this->dispatch->requests_in_progress()},
       {"signal_delay_ms", Milliseconds(now - admission.earliest_start)},
       {"longest_pause_ms", Milliseconds(admission.longest_pause)}});
  this->UpdateReadiness();
  this->directory->SetLeaving();
  this->quotas->SetLeaving();
  this->caller_server->DisableKeepAlive();
  // Load balancers need the delay from when they can see that the host is not ready.
  const Duration remaining = std::max(this->host_end.last_start - now, Duration::zero());
  this->listening_end->Set(now + std::min(this->settings.shutdown_delay, remaining));
}

void HostProcess::LimitToGrace() {
  if (this->host_end != HostEnd{}) {
    return;
  }
  const StopAdmission stop = *this->CurrentStop();
  this->host_end = stop.Limits();
  this->dispatch->SetHostEnd(this->host_end);
  this->LimitDelay();
  const TimePoint now = SteadyNow();
  if (stop.grace == Duration::zero()) {
    return;
  }
  Log(LogLevel::kInfo, "grace_started",
      {{"signal_delay_ms", Milliseconds(now - stop.earliest_start)},
       {"longest_pause_ms", Milliseconds(stop.longest_pause)},
       {"last_start_ms", Milliseconds(this->host_end.last_start - stop.earliest_start)},
       {"last_answer_ms", Milliseconds(this->host_end.last_answer - stop.earliest_start)},
       {"grace_ms", Milliseconds(stop.grace)}});
  // A connection that stays open can delay the exit, which reports the last period, until the host
  // is killed. Requests that end later form another period.
  this->loop.RunAfter(std::max(this->host_end.last_start - now, Duration::zero()),
                      [this] { this->reports->Close(SteadyNow()); });
  const Duration remaining = stop.earliest_start + stop.grace - now;
  this->loop.RunAfter(std::max(remaining - kUnfinishedLogMargin, Duration::zero()),
                      [this, stop] { this->LogUnfinished(stop.earliest_start); });
}

void HostProcess::RenewHostEnd() {
  const HostEnd renewed = this->CurrentStop()->RenewedLimits(this->host_end);
  if (renewed != this->host_end) {
    this->host_end = renewed;
    this->dispatch->SetHostEnd(renewed);
    this->LimitDelay();
  }
}

void HostProcess::LimitDelay() {
  if (this->stop_progress.phase() == StopPhase::kDelay && this->shutting_down) {
    this->listening_end->Set(this->host_end.last_start);
  }
}

nlohmann::json HostProcess::Outstanding() const {
  return {{"requests_in_progress", this->dispatch->requests_in_progress()},
          {"server_requests", this->caller_server->requests_in_progress()},
          {"open_connections", this->caller_server->open_connections()},
          {"pending_claims", this->claims->pending_writes()},
          {"pending_reports", this->reports->pending_writes()}};
}

void HostProcess::LogUnfinished(TimePoint stop_started_at) {
  const StopPhase phase = this->stop_progress.phase();
  const TimePoint now = SteadyNow();
  nlohmann::json line = this->Outstanding();
  line["phase"] = StopPhaseName(phase);
  line["phase_ms"] = Milliseconds(now - this->stop_progress.BeganAt(phase));
  line["after_stop_ms"] = Milliseconds(now - stop_started_at);
  line["longest_pause_ms"] = Milliseconds(this->pauses.longest());
  Log(LogLevel::kWarning, "shutdown_unfinished", line);
  this->dispatch->LogRequestsInProgress(stop_started_at);
}

void HostProcess::LogCuttable(const Exchange& exchange, const StopAdmission& admission) const {
  const TimePoint last_answer = admission.LastSafeAnswer();
  if (admission.grace == Duration::zero() || exchange.description.deadline <= last_answer) {
    return;
  }
  Log(LogLevel::kInfo, "request_may_outlast_host",
      {{"request_id", exchange.request_id},
       {"route", exchange.route},
       {"arrived_after_stop_ms", Milliseconds(exchange.arrived - admission.earliest_start)},
       {"deadline_ms", Milliseconds(exchange.description.deadline - exchange.arrived)},
       {"last_answer_ms", Milliseconds(last_answer - exchange.arrived)}});
}

void HostProcess::StopListening() {
  this->stop_progress.Enter(StopPhase::kListener);
  const bool has_end = this->host_end != HostEnd{};
  this->caller_server->StopListening(has_end ? std::optional(this->host_end.last_answer)
                                             : std::nullopt);
  this->stop_progress.Enter(StopPhase::kRequests);
  Log(LogLevel::kInfo, "listening_stopped", this->Outstanding());
  this->WaitForRequests();
}

void HostProcess::WaitForRequests() {
  // From then on no request is started. What has been written is delivered by the kernel.
  const bool leaves_connections = SteadyNow() >= this->host_end.last_answer;
  // The server closes idle connections; one that is still open may carry a request that is
  // not counted yet.
  if (this->dispatch->requests_in_progress() > 0 ||
      this->caller_server->requests_in_progress() > 0 ||
      (this->caller_server->open_connections() > 0 && !leaves_connections)) {
    this->loop.RunAfter(kShutdownPollInterval, [this] { this->WaitForRequests(); });
    return;
  }
  this->stop_progress.Enter(StopPhase::kWrites);
  this->claims->BeginFlush(SteadyNow());
  this->reports->Close(SteadyNow());
  Log(LogLevel::kInfo, "requests_ended", this->Outstanding());
  this->Flush();
}

TimePoint HostProcess::LastWrite() const {
  const TimePoint began = this->stop_progress.BeganAt(StopPhase::kWrites);
  const TimePoint limit = began + kFlushTimeout;
  // A signal may follow an operator's drain while the host waits.
  return this->host_end == HostEnd{}
             ? limit
             : std::min(limit, this->CurrentStop()->LastWrite(this->host_end.last_answer));
}

void HostProcess::Flush() {
  this->reports->Flush(SteadyNow());
  const std::size_t pending = this->claims->pending_writes() + this->reports->pending_writes();
  if (pending > 0 && SteadyNow() < this->LastWrite()) {
    this->loop.RunAfter(kShutdownPollInterval, [this] { this->Flush(); });
    return;
  }
  this->stop_progress.Enter(StopPhase::kEnd);
  nlohmann::json line = this->stop_progress.EndedPhases();
  line["unconfirmed_writes"] = pending;
  line["longest_pause_ms"] = Milliseconds(this->pauses.longest());
  Log(pending == 0 ? LogLevel::kInfo : LogLevel::kWarning, "shutdown_complete", line);
  this->loop.Stop();
}

}  // namespace

std::unique_ptr<Host> Host::Create(HostSettings settings, PlatformAdapter adapter, Error& error) {
  auto host = std::make_unique<HostProcess>(std::move(settings), std::move(adapter));
  if (!host->Start(error)) {
    return nullptr;
  }
  return host;
}

}  // namespace pimentopin
