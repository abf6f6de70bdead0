#include "Libraries/LibHost/probe_controller.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/LibCore/rendezvous.h"

namespace pimentopin {
namespace {

// An isolated host learns only from the target itself that it is draining, and must do so
// within 3 s.
constexpr Duration kIsolatedProbeInterval = std::chrono::seconds(1);
constexpr Duration kProbeTimeout = std::chrono::seconds(1);

AttemptResult ProbeResult(int status, const TransferResult& result) {
  switch (result.error) {
    case TransferError::kNone:
      return status == 200 ? AttemptResult::kSuccess : AttemptResult::kServerError;
    case TransferError::kConnectFailure:
      return AttemptResult::kConnectFailure;
    case TransferError::kTimeout:
      return AttemptResult::kTimeout;
    case TransferError::kCancelled:
      return AttemptResult::kCancelled;
    case TransferError::kConnectionLost:
    case TransferError::kTruncated:
    case TransferError::kMalformed:
    case TransferError::kRejected:
      break;
  }
  return AttemptResult::kTruncated;
}

}  // namespace

ProbeController::ProbeController(ControlLoop& loop,
                                 SharedState& shared_state,
                                 HttpClient& client,
                                 Settings settings)
    : loop(loop), shared_state(shared_state), client(client), settings(std::move(settings)) {}

bool ProbeController::IsAssignedProber(const Target& target) const {
  const auto members = this->shared_state.members.Read();
  std::vector<HostId> domain_hosts;
  for (const MemberRecord& member : *members) {
    if (member.domain == this->settings.domain && member.state == MemberState::kAlive) {
      domain_hosts.push_back(member.host);
    }
  }
  const std::vector<HostId> ranked_hosts =
      RendezvousRank(RawId(target.id()), std::move(domain_hosts));
  return !ranked_hosts.empty() && ranked_hosts.front() == this->settings.self;
}

void ProbeController::Tick(TimePoint now) {
  const auto configuration = this->shared_state.configuration.Read();
  const auto readiness = this->shared_state.readiness.Read();
  if (!configuration || !readiness) {
    return;
  }
  const Duration interval = readiness->isolated ? kIsolatedProbeInterval : this->settings.interval;
  for (const Target& target : configuration->targets) {
    TimePoint& due = this->next_probe[target.id()];
    if (due > now + interval) {
      due = now;
    }
    if (due > now) {
      continue;
    }
    // The first probe of each target is delayed by a hash of its id, which spreads the
    // probes over the interval.
    const bool is_first = due == TimePoint();
    due = now + (is_first
                     ? Duration(RawId(target.id()) % static_cast<std::uint64_t>(interval.count()))
                     : interval);
    if (!is_first && !this->shared_state.hold_offs.IsHeldOff(now, target.id()) &&
        (readiness->isolated || this->IsAssignedProber(target))) {
      this->Probe(target);
    }
  }
}

void ProbeController::Probe(const Target& target) {
  HttpClientRequest request;
  request.method = "GET";
  const auto configuration = this->shared_state.configuration.Read();
  const Service* const service = configuration->FindService(target.service_id());
  request.url = "http://" + target.address + (service == nullptr ? "/" : service->health_path);
  request.headers = {{"Pimentopin-Host", this->settings.host_name},
                     {"Pimentopin-Host-Domain", this->settings.domain_name}};
  request.timeout = kProbeTimeout;
  // Responses to probes name no request, so each probe has a connection of its own.
  request.echoed_id = "";

  const auto status = std::make_shared<int>(0);
  TransferCallbacks callbacks;
  callbacks.on_headers = [this, target, status](int code, const HttpHeaders& headers) {
    *status = code;
    this->loop.Post([this, target, code, headers] { this->OnProbeHeaders(target, code, headers); });
    return true;
  };
  callbacks.on_body = [](const std::string&) {};
  callbacks.on_end = [this, target, status](const TransferResult& result) {
    this->loop.Post(
        [this, target, code = *status, result] { this->OnProbeEnd(target, code, result); });
  };
  this->client.Start(std::move(request), std::move(callbacks));
}

void ProbeController::OnProbeHeaders(const Target& target, int status, const HttpHeaders& headers) {
  const TimePoint now = SteadyNow();
  const TargetResponseInfo info = this->settings.dialect->InterpretProbe(status, headers);
  this->shared_state.hold_offs.HoldOff(now, target.id(), info.retry_after);
  // A target in state "serving" may still be leaving according to the host list or the
  // configuration, so responses never revoke a notice; notices only expire.
  if (info.leaving && this->shared_state.leaving_targets.MarkLeaving(now, target.id())) {
    this->settings.on_target_draining();
  }
}

void ProbeController::OnProbeEnd(const Target& target, int status, const TransferResult& result) {
  this->settings.on_observation(target.service_id(), {.target = target.id(),
                                                      .reporter = this->settings.self,
                                                      .reporter_domain = this->settings.domain,
                                                      .result = ProbeResult(status, result),
                                                      .service_time = result.elapsed,
                                                      .is_probe = true});
}

}  // namespace pimentopin
