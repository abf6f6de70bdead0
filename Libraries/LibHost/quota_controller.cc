#include "Libraries/LibHost/quota_controller.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "Libraries/LibCore/json_log.h"

namespace pimentopin {
namespace {

constexpr const char* kTable = "quota-parts";
// A request waits for a token for an eighth of the time that it has left, and no longer than four
// holders may take to answer.
constexpr Duration kMaxWait = 4 * QuotaClient::kReplyTimeout;
constexpr int kWaitDivisor = 8;
// Refusals end if there is none for so long.
constexpr Duration kRefusalGap = std::chrono::seconds(5);
constexpr std::size_t kMaxLabelledOrganisations = 100;

std::string_view EventName(QuotaPartEvent event) {
  switch (event) {
    case QuotaPartEvent::kAcquired:
      return "quota_part_acquired";
    case QuotaPartEvent::kLost:
      return "quota_part_lost";
    case QuotaPartEvent::kReleased:
      return "quota_part_released";
    case QuotaPartEvent::kRowUnreadable:
      return "quota_part_row_unreadable";
    case QuotaPartEvent::kReclaimed:
      return "quota_part_reclaimed";
  }
  return "unknown";
}

// Rows by part; rows with other keys are ignored.
HostQuotas::Rows RowsOf(const FeedBatch& batch) {
  HostQuotas::Rows rows;
  for (const FeedRow& row : batch.rows) {
    std::size_t part = 0;
    const char* const end = row.key.data() + row.key.size();
    const auto parsed = std::from_chars(row.key.data(), end, part);
    if (parsed.ec == std::errc() && parsed.ptr == end && part < rows.size() && !row.removed) {
      rows[part] = {.version = row.version, .value = row.value};
    }
  }
  return rows;
}

}  // namespace

QuotaController::QuotaController(ControlLoop& loop,
                                 SharedState& shared_state,
                                 PeerNetwork& peers,
                                 PlatformStore& store,
                                 Metrics& metrics,
                                 Settings controller_settings)
    : loop(loop),
      shared_state(shared_state),
      peers(peers),
      store(store),
      metrics(metrics),
      settings(std::move(controller_settings)),
      quotas(this->settings),
      alarm(loop.CreateAlarm([this] { this->Tick(); })),
      refusals_alarm(loop.CreateAlarm([this] { this->EndRefusals(); })) {
  shared_state.configuration.Observe(
      [this](const Configuration& configuration) { this->Configure(configuration); });
  shared_state.broker_candidates.Observe(
      [this](const std::vector<HostId>& /*hosts*/) { this->UpdateCandidates(); });
  shared_state.readiness.Observe(
      [this](const Readiness& /*readiness*/) { this->UpdateCandidates(); });
}

void QuotaController::Configure(const Configuration& configuration) {
  // The active configuration also changes with the registered targets.
  if (std::exchange(this->configured_revision, configuration.revision) == configuration.revision) {
    return;
  }
  QuotaLimits limits;
  for (const Organisation& organisation : configuration.organisations) {
    if (organisation.requests_per_second > 0) {
      limits[organisation.id()] = {organisation.requests_per_second, organisation.burst};
    }
  }
  this->Execute(this->quotas.Configure(BootNow(), limits));
}

void QuotaController::UpdateCandidates() {
  const auto hosts = this->shared_state.broker_candidates.Read();
  const auto members = this->shared_state.members.Read();
  const auto readiness = this->shared_state.readiness.Read();
  // Until the tables have been read, every starting host is its own only candidate.
  if (!hosts || !members || !readiness || !readiness->has_targets) {
    return;
  }
  std::vector<QuotaCandidate> candidates;
  for (const MemberRecord& member : *members) {
    if (std::find(hosts->begin(), hosts->end(), member.host) != hosts->end()) {
      candidates.push_back({member.host, member.domain});
    }
  }
  this->Execute(this->quotas.SetCandidates(BootNow(), candidates));
}

void QuotaController::OnStoreEra(StoreEra era) {
  this->Execute(this->quotas.OnStoreEra(BootNow(), era));
}

void QuotaController::SetLeaving() {
  this->Execute(this->quotas.SetLeaving(BootNow()));
}

void QuotaController::Admit(const Exchange& exchange, Decided decided) {
  const RequestDescription& description = exchange.description;
  if (!this->quotas.IsLimited(description.organisation)) {
    decided({description.request, QuotaDecision::kAdmitted, {}});
    return;
  }
  const Duration remaining = std::max(description.deadline - SteadyNow(), Duration::zero());
  this->waiting[description.request] = {exchange.organisation, std::move(decided)};
  this->Execute(this->quotas.Admit(BootNow(), description.request, description.organisation,
                                   std::min(remaining / kWaitDivisor, kMaxWait)));
}

void QuotaController::OnMessage(const Envelope& envelope) {
  if (const auto* request = std::get_if<QuotaRequest>(&envelope.message)) {
    this->Execute(this->quotas.OnRequest(BootNow(), envelope.sender, *request));
  } else if (const auto* reply = std::get_if<QuotaReply>(&envelope.message)) {
    this->Execute(this->quotas.OnReply(BootNow(), envelope.sender, *reply));
  }
}

void QuotaController::Tick() {
  this->Execute(this->quotas.Tick(BootNow()));
}

void QuotaController::Execute(const HostQuotaActions& actions) {
  for (const HostQuotaAction& action : actions) {
    std::visit([this](const auto& concrete) { this->Execute(concrete); }, action);
  }
  const BootTimePoint now = BootNow();
  const BootTimePoint due = this->quotas.NextDeadline(now);
  if (due != BootTimePoint::max()) {
    this->alarm->Set(SteadyNow() + std::max(due - now, Duration::zero()));
  }
}

void QuotaController::Execute(const SendToHost& action) {
  if (const auto* reply = std::get_if<QuotaReply>(&action.message)) {
    this->metrics.IncrementCounter("pimentopin_quota_granted_total", "", reply->granted);
  }
  if (action.host != this->settings.self) {
    this->peers.Send(action.host, action.message);
    return;
  }
  this->loop.Post([this, message = action.message] {
    this->OnMessage({this->settings.self, this->settings.domain, message});
  });
}

void QuotaController::Execute(const QuotaVerdict& action) {
  const auto found = this->waiting.extract(action.request);
  if (found.empty()) {
    return;
  }
  if (action.decision == QuotaDecision::kAdmitted) {
    this->metrics.IncrementCounter("pimentopin_quota_admitted_total", "");
  } else {
    this->RecordRefusal(found.mapped().organisation, action);
  }
  // Posted, so that the decisions are not re-entered while their actions are executed. A request
  // counts as admitted when its token was used, so it must not start much later.
  this->loop.Post([decided = found.mapped().decided, action] { decided(action); });
}

void QuotaController::Execute(const ReadQuotaParts& /*action*/) {
  const BootTimePoint sent_at = BootNow();
  this->store.List(
      kTable, [this, sent_at](const std::optional<FeedBatch>& batch, const Error& error) {
        if (!batch) {
          Log(LogLevel::kDebug, "quota_parts_unread", {{"error", error.message}});
        }
        this->Execute(this->quotas.OnRows(BootNow(), sent_at,
                                          batch ? std::optional(RowsOf(*batch)) : std::nullopt,
                                          batch ? batch->store_time : std::nullopt));
      });
}

void QuotaController::Execute(const WriteQuotaPartRow& action) {
  this->store.Write(
      {{.key = std::string(kTable) + "/" + std::to_string(action.part),
        .expected_version = action.write.expected_version,
        .value = action.write.value}},
      [this, part = action.part](const std::optional<std::vector<WriteResult>>& results,
                                 const Error& error) {
        if (!results) {
          Log(LogLevel::kDebug, "quota_part_unwritten", {{"part", part}, {"error", error.message}});
        }
        this->Execute(this->quotas.OnWritten(
            BootNow(), part, results ? std::optional(results->front()) : std::nullopt));
      });
}

void QuotaController::Execute(const QuotaPartChange& action) {
  const std::size_t held = this->quotas.parts_held(BootNow());
  this->metrics.SetGauge("pimentopin_quota_parts_held", "", static_cast<double>(held));
  const bool expected = action.event == QuotaPartEvent::kAcquired ||
                        action.event == QuotaPartEvent::kReleased ||
                        action.event == QuotaPartEvent::kReclaimed;
  Log(expected ? LogLevel::kInfo : LogLevel::kWarning, EventName(action.event),
      {{"part", action.part}, {"parts_held", held}});
}

void QuotaController::RecordRefusal(const std::string& organisation, const QuotaVerdict& verdict) {
  const TimePoint now = SteadyNow();
  const bool over_quota = verdict.decision == QuotaDecision::kOverQuota;
  auto label = this->refusal_labels.find(organisation);
  if (label == this->refusal_labels.end() &&
      this->refusal_labels.size() < kMaxLabelledOrganisations) {
    std::string text = organisation;
    std::replace_if(
        text.begin(), text.end(), [](char byte) { return byte == '"' || byte == '\\'; }, '_');
    label = this->refusal_labels.emplace(organisation, std::move(text)).first;
  }
  this->metrics.IncrementCounter(
      "pimentopin_quota_refused_total",
      "organisation=\"" + (label == this->refusal_labels.end() ? "other" : label->second) +
          "\",reason=\"" + (over_quota ? "quota" : "quota-unknown") + "\"");
  const auto [refused, is_new] = this->refusals.try_emplace(organisation, Refusals{.began = now});
  refused->second.last = now;
  ++refused->second.count;
  if (is_new) {
    Log(LogLevel::kWarning, "quota_refusals_started",
        {{"organisation", organisation},
         {"reason", over_quota ? "quota" : "quota-unknown"},
         {"retry_after_ms", Milliseconds(verdict.retry_after)}});
    this->refusals_alarm->Set(now + kRefusalGap);
  }
}

void QuotaController::EndRefusals() {
  const TimePoint now = SteadyNow();
  TimePoint next = TimePoint::max();
  for (auto refused = this->refusals.begin(); refused != this->refusals.end();) {
    if (now - refused->second.last < kRefusalGap) {
      next = std::min(next, refused->second.last + kRefusalGap);
      ++refused;
      continue;
    }
    Log(LogLevel::kInfo, "quota_refusals_ended",
        {{"organisation", refused->first},
         {"refused", refused->second.count},
         {"lasted_ms", Milliseconds(refused->second.last - refused->second.began)}});
    refused = this->refusals.erase(refused);
  }
  this->refusals_alarm->Set(next);
}

}  // namespace pimentopin
