#include "Libraries/LibHealth/service_health.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Libraries/LibHealth/ejection_policy.h"

namespace pimentopin {
namespace {

constexpr Duration kRampDuration = std::chrono::seconds(10);
constexpr std::size_t kProbationPasses = 5;
// A single failed outcome may be chance; two in one probation are rare at a healthy
// target.
constexpr std::size_t kProbationFailures = 2;
// A service time is normal up to 8x the peers' median (1 in 256 exponential service times
// is longer). A series of five passes in probation may average at most 2x. Both limits
// are log ratios.
constexpr double kMaxNormalLogRatio = 2.08;
constexpr double kMaxNormalMeanLogRatio = 0.7;
// When the peers fail this often, a failure in probation is not evidence against the
// target.
constexpr double kCommonProbationFailureRate = 0.5;
// A target in ramp-up may be 2x as slow as its peers (log ratio).
constexpr double kRampAllowance = 0.7;

// Probes only count for targets without an outcome of a real request for this long.
constexpr Duration kProbeSuppressionPeriod = std::chrono::seconds(5);

// Few samples per peer, so that the reference follows quickly when all targets slow
// down together.
constexpr std::size_t kNewestSamplesPerPeer = 5;
constexpr std::size_t kMinPeerSamples = 5;
// An outcome is compared after the peers have had this many outcomes each, on average.
// An immediate comparison made the first target to fail look faulty when a dependency
// shared by all targets failed.
constexpr std::uint64_t kOutcomesPerPeerBeforeComparison = 2;
constexpr Duration kMaxComparisonDelay = std::chrono::seconds(30);
// Bounds the cost of one comparison in large services.
constexpr std::size_t kMaxPeers = 32;
// Logarithm of the ratio of the 90 % quantile to the median of an exponential
// distribution.
constexpr double kExponentialLogP90ToMedian = 1.2;
constexpr double kMinServiceTimeMs = 1.0;

double LogServiceTime(Duration service_time) {
  const double milliseconds = static_cast<double>(service_time.count()) / 1000.0;
  return std::log(std::max(milliseconds, kMinServiceTimeMs));
}

// Corrects the service time for queueing, which otherwise makes a target look slow when
// several hosts choose it at once.
std::optional<double> QueueAdjustedLogTime(const HealthObservation& observation) {
  if (observation.queue_factor <= 0.0) {
    return std::nullopt;
  }
  return LogServiceTime(observation.service_time) - std::log(observation.queue_factor);
}

double Median(std::vector<double>& values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

void ServiceHealth::Configure(TimePoint now,
                              std::vector<HealthTarget> targets,
                              std::uint32_t new_floor_slots) {
  this->last_update = now;
  std::vector<TargetRecord> updated;
  std::map<TargetId, std::size_t> updated_positions;
  for (const HealthTarget& target : targets) {
    TargetRecord record;
    const TargetRecord* existing = this->Find(target.target);
    if (existing != nullptr) {
      record = *existing;
    }
    const bool is_new = existing == nullptr || (existing->target.leaving && !target.leaving);
    if (is_new && this->configured) {
      record.phase = Phase::kRamp;
      record.phase_boundary = now;
    }
    record.target = target;
    updated_positions[target.target] = updated.size();
    updated.push_back(std::move(record));
  }
  this->records = std::move(updated);
  this->positions = std::move(updated_positions);
  this->floor_slots = new_floor_slots;
  this->configured = true;
  this->ApplyPolicy(now);
}

void ServiceHealth::Observe(TimePoint now, const HealthObservation& observation) {
  this->last_update = now;
  TargetRecord* record = this->Find(observation.target);
  if (record == nullptr || observation.result == AttemptResult::kCancelled) {
    return;
  }
  const bool path_failure = observation.result == AttemptResult::kConnectFailure ||
                            observation.result == AttemptResult::kTimeout;
  if (observation.is_probe) {
    if (path_failure) {
      record->reachability.ExtendDomainMark(now, observation.reporter_domain);
    }
    if (record->last_outcome && now - *record->last_outcome < kProbeSuppressionPeriod) {
      return;
    }
  } else {
    record->last_outcome = now;
  }
  // Attempts that began before probation do not show whether the target has recovered.
  const TimePoint started_at = now - observation.service_time;
  if (record->phase == Phase::kEjected ||
      (record->phase == Phase::kProbation && started_at < record->phase_boundary)) {
    return;
  }

  switch (observation.result) {
    case AttemptResult::kShed:
      // A shed response only proves that the path works.
      record->reachability.RecordResponse(now, now - observation.service_time, observation.reporter,
                                          observation.reporter_domain);
      return;
    case AttemptResult::kCancelled:
      return;
    case AttemptResult::kConnectFailure:
    case AttemptResult::kTimeout:
      this->ObservePathFailure(now, *record, observation);
      break;
    case AttemptResult::kConnectionLost:
    case AttemptResult::kTruncated:
      this->ObserveLostConnection(now, *record, observation);
      break;
    case AttemptResult::kServerError:
    case AttemptResult::kWrongAnswer:
      this->ObserveResponse(now, *record, observation);
      if (this->repeated_failures.RecordFailure(now, observation.fingerprint)) {
        this->AddOutcome(now, *record, {.failed = true});
      }
      break;
    case AttemptResult::kSuccess:
      this->ObserveResponse(now, *record, observation);
      if (!observation.is_probe) {
        // A health endpoint may report success while requests fail, so a successful
        // probe only proves that the path works.
        this->repeated_failures.RecordSuccess(observation.fingerprint);
        this->AddOutcome(
            now, *record,
            {.work_class = observation.work_class, .log_time = QueueAdjustedLogTime(observation)});
      }
      break;
  }
  bool any_suspect = false;
  for (TargetRecord& other : this->records) {
    this->CompareDueOutcomes(now, other);
    any_suspect = any_suspect || other.detector.suspect() || other.failed_probation;
  }
  if (any_suspect) {
    this->ApplyPolicy(now);
  }
}

void ServiceHealth::Tick(TimePoint now) {
  this->last_update = now;
  this->crash_attribution.Tick(now);
  this->repeated_failures.Tick(now);
  this->UpdateSpread(now);
  for (TargetRecord& record : this->records) {
    record.reachability.Tick(now);
    if (record.reachability.IsDown(now)) {
      record.detector.SetDown(record.reachability.failing_since());
    }
    this->CompareDueOutcomes(now, record);
    if (record.phase == Phase::kEjected && now >= record.phase_boundary) {
      this->StartProbation(now, record);
    }
    if (record.phase == Phase::kRamp && now - record.phase_boundary >= kRampDuration) {
      record.phase = Phase::kHealthy;
      if (record.awaiting_return_event) {
        record.awaiting_return_event = false;
        record.ejection_backoff.RecordReturn(now);
        this->AddEvent(now, record, HealthEventKind::kReturned);
      }
    }
  }
  this->ApplyPolicy(now);
}

void ServiceHealth::EndEjection(TimePoint now, TargetId target) {
  TargetRecord* const record = this->Find(target);
  if (record != nullptr && record->phase == Phase::kEjected) {
    this->StartProbation(now, *record);
  }
}

void ServiceHealth::StartProbation(TimePoint now, TargetRecord& record) {
  ++this->state_change_count;
  record.phase = Phase::kProbation;
  record.phase_boundary = now;
  record.consecutive_passes = 0;
  record.probation_failures = 0;
  record.passed_log_ratio_sum = 0.0;
  record.detector.StartProbation(now);
  record.reachability.ForgetFailures();
  this->AddEvent(now, record, HealthEventKind::kProbation);
}

HealthStatus ServiceHealth::Status(TargetId target) const {
  const TargetRecord* record = this->Find(target);
  HealthStatus status;
  if (record == nullptr || record->target.leaving) {
    status.state = TargetState::kLeaving;
    return status;
  }
  switch (record->phase) {
    case Phase::kHealthy:
      status.state = TargetState::kHealthy;
      break;
    case Phase::kEjected:
      status.state = TargetState::kEjected;
      break;
    case Phase::kProbation:
    case Phase::kRamp:
      status.state = TargetState::kProbation;
      break;
  }
  status.usable_slots = this->UsableSlots(*record);
  status.unreachable_from_domains = record->reachability.unreachable_domains();
  status.unreachable_from_hosts = record->reachability.unreachable_hosts();
  return status;
}

std::vector<HealthEvent> ServiceHealth::TakeEvents() {
  return std::exchange(this->events, {});
}

ServiceHealth::TargetRecord* ServiceHealth::Find(TargetId target) {
  return const_cast<TargetRecord*>(std::as_const(*this).Find(target));
}

const ServiceHealth::TargetRecord* ServiceHealth::Find(TargetId target) const {
  const auto position = this->positions.find(target);
  return position == this->positions.end() ? nullptr : &this->records[position->second];
}

std::uint32_t ServiceHealth::UsableSlots(const TargetRecord& record) const {
  const std::uint32_t slots = record.target.slots;
  if (record.target.leaving || slots == 0) {
    return 0;
  }
  switch (record.phase) {
    case Phase::kHealthy:
      return slots;
    case Phase::kEjected:
      return 0;
    case Phase::kProbation:
      return 1;
    case Phase::kRamp:
      break;
  }
  const Duration elapsed =
      std::clamp(this->last_update - record.phase_boundary, Duration{}, kRampDuration);
  return 1 + static_cast<std::uint32_t>((slots - 1) * elapsed.count() / kRampDuration.count());
}

std::optional<double> ServiceHealth::PeerFailureRate(const TargetRecord& record) const {
  std::vector<double> rates;
  for (const TargetRecord& peer : this->records) {
    if (&peer != &record && peer.phase != Phase::kEjected &&
        peer.detector.failure_rate().has_samples()) {
      rates.push_back(peer.detector.failure_rate().reference());
    }
  }
  if (rates.empty()) {
    return std::nullopt;
  }
  return Median(rates);
}

std::optional<double> ServiceHealth::PeerLogServiceTime(TimePoint now,
                                                        const TargetRecord& record,
                                                        WorkClass work_class) const {
  std::vector<double> newest;
  std::vector<double> medians;
  const auto own_index = static_cast<std::size_t>(&record - this->records.data());
  for (std::size_t step = 1; step < this->records.size() && medians.size() < kMaxPeers; ++step) {
    const TargetRecord& peer = this->records[(own_index + step) % this->records.size()];
    const ServiceTimeWindow& window = peer.detector.window(work_class);
    if (peer.phase != Phase::kEjected && window.usable(now)) {
      window.AppendNewest(kNewestSamplesPerPeer, newest);
      medians.push_back(window.median());
    }
  }
  if (newest.size() < kMinPeerSamples) {
    return std::nullopt;
  }
  // The newest samples follow a common slowdown, and the medians of the longer windows
  // keep random variation in a few samples from making this target look slow.
  return std::max(Median(newest), Median(medians));
}

void ServiceHealth::UpdateSpread(TimePoint now) {
  for (std::size_t index = 0; index < this->relative_spreads.size(); ++index) {
    std::vector<double> spreads;
    for (const TargetRecord& record : this->records) {
      const ServiceTimeWindow& window = record.detector.window(static_cast<WorkClass>(index));
      if (window.usable(now) && window.size() == ServiceTimeWindow::kCapacity) {
        spreads.push_back(window.LogP90ToMedian());
      }
    }
    // Log ratios are divided by this value: the more the service times of a service vary,
    // the longer a service time must be, relative to the peers, to count as slow.
    this->relative_spreads[index] =
        spreads.empty() ? 1.0 : std::max(1.0, Median(spreads) / kExponentialLogP90ToMedian);
  }
}

void ServiceHealth::ObservePathFailure(TimePoint now,
                                       TargetRecord& record,
                                       const HealthObservation& observation) {
  if (observation.result == AttemptResult::kTimeout && !observation.is_probe) {
    // A timeout after a caller's short deadline is not evidence against the target.
    const auto peer_log_time = this->PeerLogServiceTime(now, record, observation.work_class);
    const auto relative_spread =
        this->relative_spreads[static_cast<std::size_t>(observation.work_class)];
    if (peer_log_time && LogServiceTime(observation.service_time) - *peer_log_time <
                             kMaxNormalLogRatio * relative_spread) {
      return;
    }
    if (!this->repeated_failures.RecordFailure(now, observation.fingerprint)) {
      return;
    }
  }
  record.reachability.RecordFailure(now, observation.reporter, observation.reporter_domain);
  this->MarkUnreachable(now, record, observation.reporter, observation.reporter_domain);
  if (record.reachability.IsDown(now)) {
    record.detector.SetDown(record.reachability.failing_since());
  }
  this->AdvanceProbation(now, record, {.failed = true});
}

void ServiceHealth::MarkUnreachable(TimePoint now,
                                    TargetRecord& record,
                                    HostId host,
                                    DomainId domain) {
  // If half of the targets cannot be reached from a host or domain, its own network
  // link is the more likely cause, and marks would only remove the remaining targets.
  const auto may_mark = [this](auto marked) {
    const auto count = std::count_if(this->records.begin(), this->records.end(), marked);
    return 2 * (static_cast<std::size_t>(count) + 1) <= this->records.size();
  };
  if (record.reachability.IsDomainFailing(now, domain) &&
      may_mark([domain](const TargetRecord& other) {
        return other.reachability.domain_unreachable(domain);
      })) {
    record.reachability.MarkDomainUnreachable(now, domain);
  }
  if (record.reachability.IsHostFailing(host) && may_mark([host](const TargetRecord& other) {
        return other.reachability.host_unreachable(host);
      })) {
    record.reachability.MarkHostUnreachable(now, host);
  }
}

void ServiceHealth::ObserveLostConnection(TimePoint now,
                                          TargetRecord& record,
                                          const HealthObservation& observation) {
  // A truncated response means that the request was already being answered. Only a
  // connection lost before the response suggests that the request caused the crash.
  const Fingerprint fingerprint = observation.result == AttemptResult::kConnectionLost
                                      ? observation.fingerprint
                                      : Fingerprint{};
  const CrashAttribution::Assessment assessment =
      this->crash_attribution.RecordLostConnection(now, record.target.target, fingerprint);
  for (const TargetId target : assessment.cleared_targets) {
    if (TargetRecord* other = this->Find(target)) {
      other->detector.Retract(std::exchange(other->last_crash_increments, {}));
      std::erase_if(other->pending_outcomes,
                    [](const PendingOutcome& outcome) { return outcome.by_crash; });
    }
  }
  if (assessment.counts_against_target) {
    record.last_crash_increments = {};
    this->AddOutcome(now, record, {.failed = true, .by_crash = true});
  }
}

void ServiceHealth::ObserveResponse(TimePoint now,
                                    TargetRecord& record,
                                    const HealthObservation& observation) {
  this->crash_attribution.RecordResponse(now, record.target.target);
  record.detector.ClearDown();
  const std::size_t confirmed_failures = record.reachability.RecordResponse(
      now, now - observation.service_time, observation.reporter, observation.reporter_domain);
  for (std::size_t failure = 0; failure < confirmed_failures; ++failure) {
    this->AddOutcome(now, record, {.failed = true});
  }
}

void ServiceHealth::AddOutcome(TimePoint now, TargetRecord& record, PendingOutcome outcome) {
  this->AdvanceProbation(now, record, outcome);
  record.detector.AddOutcome(outcome.failed);
  if (outcome.log_time) {
    record.detector.AddServiceTime(now, outcome.work_class, *outcome.log_time);
  }
  const std::size_t peers = std::min(this->records.size() - 1, kMaxPeers);
  outcome.at = now;
  outcome.due_peer_outcomes = record.peer_outcomes + kOutcomesPerPeerBeforeComparison * peers;
  record.pending_outcomes.push_back(outcome);
  for (TargetRecord& other : this->records) {
    other.peer_outcomes += &other == &record ? 0 : 1;
  }
}

void ServiceHealth::CompareDueOutcomes(TimePoint now, TargetRecord& record) {
  while (!record.pending_outcomes.empty()) {
    const PendingOutcome outcome = record.pending_outcomes.front();
    if (record.peer_outcomes < outcome.due_peer_outcomes &&
        now - outcome.at < kMaxComparisonDelay) {
      return;
    }
    record.pending_outcomes.pop_front();
    this->CompareWithPeers(now, record, outcome);
  }
}

void ServiceHealth::CompareWithPeers(TimePoint now,
                                     TargetRecord& record,
                                     const PendingOutcome& outcome) {
  if (const auto rate = this->PeerFailureRate(record)) {
    const auto increments = record.detector.CompareOutcome(outcome.at, outcome.failed, *rate);
    if (outcome.by_crash) {
      record.last_crash_increments = increments;
    }
  }
  if (!outcome.log_time) {
    return;
  }
  if (const auto peer_log_time = this->PeerLogServiceTime(now, record, outcome.work_class)) {
    const double relative_spread =
        this->relative_spreads[static_cast<std::size_t>(outcome.work_class)];
    const double allowance = record.phase == Phase::kRamp ? kRampAllowance : 0.0;
    record.detector.CompareServiceTime(outcome.at, outcome.work_class,
                                       (*outcome.log_time - *peer_log_time) / relative_spread,
                                       allowance);
  }
}

void ServiceHealth::AdvanceProbation(TimePoint now,
                                     TargetRecord& record,
                                     const PendingOutcome& outcome) {
  if (record.phase != Phase::kProbation) {
    return;
  }
  if (outcome.failed && this->PeerFailureRate(record).value_or(0.0) > kCommonProbationFailureRate) {
    return;
  }
  double log_ratio = 0.0;
  const auto peer_log_time = this->PeerLogServiceTime(now, record, outcome.work_class);
  if (outcome.log_time && peer_log_time) {
    log_ratio = (*outcome.log_time - *peer_log_time) /
                this->relative_spreads[static_cast<std::size_t>(outcome.work_class)];
  }
  const auto record_failure = [&record] {
    record.consecutive_passes = 0;
    record.passed_log_ratio_sum = 0.0;
    ++record.probation_failures;
    record.failed_probation = record.probation_failures >= kProbationFailures;
  };
  if (outcome.failed || log_ratio > kMaxNormalLogRatio) {
    record_failure();
    return;
  }
  ++record.consecutive_passes;
  record.passed_log_ratio_sum += log_ratio;
  if (record.consecutive_passes < kProbationPasses) {
    return;
  }
  if (record.passed_log_ratio_sum / static_cast<double>(kProbationPasses) >
      kMaxNormalMeanLogRatio) {
    record_failure();
    return;
  }
  record.phase = Phase::kRamp;
  record.phase_boundary = now;
  record.failed_probation = false;
}

void ServiceHealth::ApplyPolicy(TimePoint now) {
  std::vector<EjectionCandidate> candidates;
  std::vector<std::size_t> indexes;
  for (std::size_t index = 0; index < this->records.size(); ++index) {
    const TargetRecord& record = this->records[index];
    if (record.target.leaving) {
      continue;
    }
    indexes.push_back(index);
    candidates.push_back({.slots = record.target.slots,
                          .usable_slots = this->UsableSlots(record),
                          .ejected = record.phase == Phase::kEjected,
                          .suspect = record.detector.suspect() || record.failed_probation,
                          .severity = record.detector.severity()});
  }
  const EjectionPolicy policy(this->floor_slots);
  for (const EjectionDecision& decision : policy.Decide(std::move(candidates))) {
    TargetRecord& record = this->records[indexes[decision.index]];
    switch (decision.change) {
      case EjectionChange::kEject:
        this->Eject(now, record);
        break;
      case EjectionChange::kReinstate:
        this->Reinstate(now, record);
        break;
    }
  }
}

void ServiceHealth::Eject(TimePoint now, TargetRecord& record) {
  const Duration detection = now - record.detector.FaultStart(now);
  ++this->state_change_count;
  record.phase = Phase::kEjected;
  record.pending_outcomes.clear();
  // Resumes an ejection that the floor interrupted, which does not count as a
  // repetition.
  record.phase_boundary = now < record.interrupted_ejection_end
                              ? record.interrupted_ejection_end
                              : now + record.ejection_backoff.NextDuration(now);
  record.interrupted_ejection_end = {};
  record.failed_probation = false;
  record.awaiting_return_event = true;
  this->AddEvent(now, record, HealthEventKind::kEjected, detection);
}

void ServiceHealth::Reinstate(TimePoint now, TargetRecord& record) {
  ++this->state_change_count;
  if (record.phase == Phase::kEjected) {
    record.interrupted_ejection_end = record.phase_boundary;
    record.ejection_backoff.RecordReturn(now);
  }
  record.phase = Phase::kHealthy;
  record.failed_probation = false;
  if (record.awaiting_return_event) {
    record.awaiting_return_event = false;
    this->AddEvent(now, record, HealthEventKind::kReinstatedForFloor);
  }
}

void ServiceHealth::AddEvent(TimePoint now,
                             const TargetRecord& record,
                             HealthEventKind kind,
                             Duration detection) {
  this->events.push_back({now, record.target.target, kind, detection});
}

}  // namespace pimentopin
