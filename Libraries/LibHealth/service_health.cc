#include "Libraries/LibHealth/service_health.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Libraries/LibHealth/ejection_policy.h"

namespace pimentopin {
namespace {

constexpr Duration kRampPeriod = std::chrono::seconds(10);
constexpr std::size_t kAgreementsToReturn = 5;
// One bad outcome may be chance; two in a row are rare at a healthy target.
constexpr std::size_t kDisagreementsToEject = 2;
// An outcome agrees with the peers up to 8x their median (1 in 256 exponential
// service times is longer), and five on average up to 2x.
constexpr double kAgreementLimit = 2.08;
constexpr double kAgreementMean = 0.7;
// When the peers fail this often, a failure in probation proves nothing.
constexpr double kCommonFailureRate = 0.5;
// A target that warms up may be 2x slow.
constexpr double kRampAllowance = 0.7;

// Probes count only for targets without a real outcome for this long.
constexpr Duration kProbeGap = std::chrono::seconds(5);

// Few samples per peer, so that the reference follows at once when all targets
// slow down together.
constexpr std::size_t kNewestPerPeer = 5;
constexpr std::size_t kMinimumPeerSamples = 5;
// An outcome is compared after the peers have had this many outcomes each, on
// average. Compared at once, the target that chance hits first looked sick when
// a dependency of all targets failed.
constexpr std::uint64_t kOutcomesPerPeer = 2;
constexpr Duration kLongestComparisonDelay = std::chrono::seconds(30);
// Bounds the cost of one comparison in large services.
constexpr std::size_t kMaximumPeers = 32;
// Distance of the 90 % quantile from the median of an exponential, as logarithm.
constexpr double kExponentialSpread = 1.2;
constexpr double kShortestServiceTimeMs = 1.0;

double LogServiceTime(Duration service_time) {
  const double milliseconds = static_cast<double>(service_time.count()) / 1000.0;
  return std::log(std::max(milliseconds, kShortestServiceTimeMs));
}

// Without this, hosts that choose the same target at once make it look slow.
std::optional<double> LogTimeOf(const HealthEvidence& evidence) {
  if (evidence.queue_factor <= 0.0) {
    return std::nullopt;
  }
  return LogServiceTime(evidence.service_time) - std::log(evidence.queue_factor);
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
  std::vector<Record> updated;
  std::map<TargetId, std::size_t> updated_positions;
  for (const HealthTarget& target : targets) {
    Record record;
    const Record* known = this->Find(target.target);
    if (known != nullptr) {
      record = *known;
    }
    const bool joins = known == nullptr || (known->target.leaving && !target.leaving);
    if (joins && this->configured) {
      record.phase = Phase::kRamp;
      record.phase_time = now;
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

void ServiceHealth::Observe(TimePoint now, const HealthEvidence& evidence) {
  this->last_update = now;
  Record* record = this->Find(evidence.target);
  if (record == nullptr || evidence.result == AttemptResult::kCancelled) {
    return;
  }
  const bool path_failure = evidence.result == AttemptResult::kConnectFailure ||
                            evidence.result == AttemptResult::kTimeout;
  if (evidence.is_probe) {
    if (path_failure) {
      record->reachability.ExtendDomainMark(now, evidence.reporter_domain);
    }
    if (record->last_outcome && now - *record->last_outcome < kProbeGap) {
      return;
    }
  } else {
    record->last_outcome = now;
  }
  // What still ends during an ejection began before it.
  if (record->phase == Phase::kEjected) {
    return;
  }

  switch (evidence.result) {
    case AttemptResult::kShed:
      // Shows a working path and nothing else.
      record->reachability.RecordContact(now, now - evidence.service_time, evidence.reporter,
                                         evidence.reporter_domain);
      return;
    case AttemptResult::kCancelled:
      return;
    case AttemptResult::kConnectFailure:
    case AttemptResult::kTimeout:
      this->ObservePathFailure(now, *record, evidence);
      break;
    case AttemptResult::kConnectionLost:
    case AttemptResult::kTruncated:
      this->ObserveLoss(now, *record, evidence);
      break;
    case AttemptResult::kServerError:
    case AttemptResult::kWrongAnswer:
      this->ObserveContact(now, *record, evidence);
      if (this->repeats.RecordFailure(now, evidence.fingerprint)) {
        this->AddOutcome(now, *record, {.failed = true});
      }
      break;
    case AttemptResult::kSuccess:
      this->ObserveContact(now, *record, evidence);
      if (!evidence.is_probe) {
        // A health endpoint may mislead: its successes show only the path.
        this->repeats.RecordSuccess(evidence.fingerprint);
        this->AddOutcome(now, *record,
                         {.work_class = evidence.work_class, .log_time = LogTimeOf(evidence)});
      }
      break;
  }
  bool suspicion = false;
  for (Record& other : this->records) {
    this->CompareDueOutcomes(now, other);
    suspicion = suspicion || other.evidence.suspect() || other.relapsed;
  }
  if (suspicion) {
    this->ApplyPolicy(now);
  }
}

void ServiceHealth::Tick(TimePoint now) {
  this->last_update = now;
  this->crashes.Tick(now);
  this->repeats.Tick(now);
  this->UpdateSpread(now);
  for (Record& record : this->records) {
    record.reachability.Tick(now);
    if (record.reachability.Down(now)) {
      record.evidence.SetDown(record.reachability.failing_since());
    }
    this->CompareDueOutcomes(now, record);
    if (record.phase == Phase::kEjected && now >= record.phase_time) {
      record.phase = Phase::kProbation;
      record.phase_time = now;
      record.agreements = 0;
      record.disagreements = 0;
      record.agreement_sum = 0.0;
      record.evidence.StartProbation(now);
      record.reachability.ForgetFailures();
      this->AddEvent(now, record, HealthEventKind::kProbation);
    }
    if (record.phase == Phase::kRamp && now - record.phase_time >= kRampPeriod) {
      record.phase = Phase::kHealthy;
      if (record.was_ejected) {
        record.was_ejected = false;
        record.schedule.Returned(now);
        this->AddEvent(now, record, HealthEventKind::kReturned);
      }
    }
  }
  this->ApplyPolicy(now);
}

HealthVerdict ServiceHealth::Verdict(TargetId target) const {
  const Record* record = this->Find(target);
  HealthVerdict verdict;
  if (record == nullptr || record->target.leaving) {
    verdict.state = TargetState::kLeaving;
    return verdict;
  }
  switch (record->phase) {
    case Phase::kHealthy:
      verdict.state = TargetState::kHealthy;
      break;
    case Phase::kEjected:
      verdict.state = TargetState::kEjected;
      break;
    case Phase::kProbation:
    case Phase::kRamp:
      verdict.state = TargetState::kProbation;
      break;
  }
  verdict.usable_slots = this->UsableSlots(*record);
  verdict.unreachable_from = record->reachability.unreachable_domains();
  verdict.unreachable_hosts = record->reachability.unreachable_hosts();
  return verdict;
}

std::vector<HealthEvent> ServiceHealth::TakeEvents() {
  return std::exchange(this->events, {});
}

ServiceHealth::Record* ServiceHealth::Find(TargetId target) {
  return const_cast<Record*>(std::as_const(*this).Find(target));
}

const ServiceHealth::Record* ServiceHealth::Find(TargetId target) const {
  const auto position = this->positions.find(target);
  return position == this->positions.end() ? nullptr : &this->records[position->second];
}

std::uint32_t ServiceHealth::UsableSlots(const Record& record) const {
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
      std::clamp(this->last_update - record.phase_time, Duration{}, kRampPeriod);
  return 1 + static_cast<std::uint32_t>((slots - 1) * elapsed.count() / kRampPeriod.count());
}

std::optional<double> ServiceHealth::PeerFailureRate(const Record& record) const {
  std::vector<double> rates;
  for (const Record& peer : this->records) {
    if (&peer != &record && peer.phase != Phase::kEjected &&
        peer.evidence.failure_rate().has_samples()) {
      rates.push_back(peer.evidence.failure_rate().reference());
    }
  }
  if (rates.empty()) {
    return std::nullopt;
  }
  return Median(rates);
}

std::optional<double> ServiceHealth::PeerServiceTime(TimePoint now,
                                                     const Record& record,
                                                     WorkClass work_class) const {
  std::vector<double> newest;
  std::vector<double> medians;
  const auto own = static_cast<std::size_t>(&record - this->records.data());
  for (std::size_t step = 1; step < this->records.size() && medians.size() < kMaximumPeers;
       ++step) {
    const Record& peer = this->records[(own + step) % this->records.size()];
    const ServiceTimeWindow& window = peer.evidence.window(work_class);
    if (peer.phase != Phase::kEjected && window.usable(now)) {
      window.AppendNewest(kNewestPerPeer, newest);
      medians.push_back(window.median());
    }
  }
  if (newest.size() < kMinimumPeerSamples) {
    return std::nullopt;
  }
  // The newest samples follow a common slowdown; the longer windows keep
  // chance in few samples from making this target look slow.
  return std::max(Median(newest), Median(medians));
}

void ServiceHealth::UpdateSpread(TimePoint now) {
  for (std::size_t index = 0; index < this->spread.size(); ++index) {
    std::vector<double> spreads;
    for (const Record& record : this->records) {
      const ServiceTimeWindow& window = record.evidence.window(static_cast<WorkClass>(index));
      if (window.usable(now) && window.size() == ServiceTimeWindow::kCapacity) {
        spreads.push_back(window.UpperSpread());
      }
    }
    // A service whose times vary more needs a greater ratio for the same proof.
    this->spread[index] =
        spreads.empty() ? 1.0 : std::max(1.0, Median(spreads) / kExponentialSpread);
  }
}

void ServiceHealth::ObservePathFailure(TimePoint now,
                                       Record& record,
                                       const HealthEvidence& evidence) {
  if (evidence.result == AttemptResult::kTimeout && !evidence.is_probe) {
    // A caller's short deadline says nothing about the target.
    const auto usual = this->PeerServiceTime(now, record, evidence.work_class);
    const auto scale = this->spread[static_cast<std::size_t>(evidence.work_class)];
    if (usual && LogServiceTime(evidence.service_time) - *usual < kAgreementLimit * scale) {
      return;
    }
    if (!this->repeats.RecordFailure(now, evidence.fingerprint)) {
      return;
    }
  }
  record.reachability.RecordFailure(now, evidence.reporter, evidence.reporter_domain);
  this->MarkUnreachable(now, record, evidence.reporter, evidence.reporter_domain);
  if (record.reachability.Down(now)) {
    record.evidence.SetDown(record.reachability.failing_since());
  }
  this->AdvanceProbation(now, record, {.failed = true});
}

void ServiceHealth::MarkUnreachable(TimePoint now, Record& record, HostId host, DomainId domain) {
  // If half of the targets cannot be reached from a place, its own link is the
  // likelier cause, and marks would only take the rest away.
  const auto may_mark = [this](auto marked) {
    const auto count = std::count_if(this->records.begin(), this->records.end(), marked);
    return 2 * (static_cast<std::size_t>(count) + 1) <= this->records.size();
  };
  if (record.reachability.DomainFails(now, domain) && may_mark([domain](const Record& other) {
        return other.reachability.domain_marked(domain);
      })) {
    record.reachability.MarkDomain(now, domain);
  }
  if (record.reachability.HostFails(host) &&
      may_mark([host](const Record& other) { return other.reachability.host_marked(host); })) {
    record.reachability.MarkHost(now, host);
  }
}

void ServiceHealth::ObserveLoss(TimePoint now, Record& record, const HealthEvidence& evidence) {
  // A truncated response was running already when the connection ended; only a
  // connection lost before a response suggests that the request is the cause.
  const Fingerprint fingerprint =
      evidence.result == AttemptResult::kConnectionLost ? evidence.fingerprint : Fingerprint{};
  const CrashEvidence::Assessment assessment =
      this->crashes.RecordLoss(now, record.target.target, fingerprint);
  for (const TargetId target : assessment.exonerated) {
    if (Record* other = this->Find(target)) {
      other->evidence.Retract(std::exchange(other->last_death, {}));
      std::erase_if(other->pending, [](const Pending& outcome) { return outcome.death; });
    }
  }
  if (assessment.counts) {
    record.last_death = {};
    this->AddOutcome(now, record, {.failed = true, .death = true});
  }
}

void ServiceHealth::ObserveContact(TimePoint now, Record& record, const HealthEvidence& evidence) {
  this->crashes.RecordContact(now, record.target.target);
  record.evidence.ClearDown();
  const std::size_t released = record.reachability.RecordContact(
      now, now - evidence.service_time, evidence.reporter, evidence.reporter_domain);
  for (std::size_t failure = 0; failure < released; ++failure) {
    this->AddOutcome(now, record, {.failed = true});
  }
}

void ServiceHealth::AddOutcome(TimePoint now, Record& record, Pending outcome) {
  this->AdvanceProbation(now, record, outcome);
  record.evidence.AddOutcome(outcome.failed);
  if (outcome.log_time) {
    record.evidence.AddServiceTime(now, outcome.work_class, *outcome.log_time);
  }
  const std::size_t peers = std::min(this->records.size() - 1, kMaximumPeers);
  outcome.at = now;
  outcome.due = record.peer_outcomes + kOutcomesPerPeer * peers;
  record.pending.push_back(outcome);
  for (Record& other : this->records) {
    other.peer_outcomes += &other == &record ? 0 : 1;
  }
}

void ServiceHealth::CompareDueOutcomes(TimePoint now, Record& record) {
  while (!record.pending.empty()) {
    const Pending outcome = record.pending.front();
    if (record.peer_outcomes < outcome.due && now - outcome.at < kLongestComparisonDelay) {
      return;
    }
    record.pending.pop_front();
    this->Compare(now, record, outcome);
  }
}

void ServiceHealth::Compare(TimePoint now, Record& record, const Pending& outcome) {
  if (const auto rate = this->PeerFailureRate(record)) {
    const auto increments = record.evidence.CompareOutcome(outcome.at, outcome.failed, *rate);
    if (outcome.death) {
      record.last_death = increments;
    }
  }
  if (!outcome.log_time) {
    return;
  }
  if (const auto usual = this->PeerServiceTime(now, record, outcome.work_class)) {
    const double scale = this->spread[static_cast<std::size_t>(outcome.work_class)];
    const double allowance = record.phase == Phase::kRamp ? kRampAllowance : 0.0;
    record.evidence.CompareServiceTime(outcome.at, outcome.work_class,
                                       (*outcome.log_time - *usual) / scale, allowance);
  }
}

void ServiceHealth::AdvanceProbation(TimePoint now, Record& record, const Pending& outcome) {
  if (record.phase != Phase::kProbation) {
    return;
  }
  if (outcome.failed && this->PeerFailureRate(record).value_or(0.0) > kCommonFailureRate) {
    return;
  }
  double ratio = 0.0;
  const auto usual = this->PeerServiceTime(now, record, outcome.work_class);
  if (outcome.log_time && usual) {
    ratio =
        (*outcome.log_time - *usual) / this->spread[static_cast<std::size_t>(outcome.work_class)];
  }
  const auto disagree = [&record] {
    record.agreements = 0;
    record.agreement_sum = 0.0;
    ++record.disagreements;
    record.relapsed = record.disagreements >= kDisagreementsToEject;
  };
  if (outcome.failed || ratio > kAgreementLimit) {
    disagree();
    return;
  }
  ++record.agreements;
  record.agreement_sum += ratio;
  if (record.agreements < kAgreementsToReturn) {
    return;
  }
  if (record.agreement_sum / static_cast<double>(kAgreementsToReturn) > kAgreementMean) {
    disagree();
    return;
  }
  record.phase = Phase::kRamp;
  record.phase_time = now;
  record.relapsed = false;
}

void ServiceHealth::ApplyPolicy(TimePoint now) {
  std::vector<EjectionCandidate> candidates;
  std::vector<std::size_t> indexes;
  for (std::size_t index = 0; index < this->records.size(); ++index) {
    const Record& record = this->records[index];
    if (record.target.leaving) {
      continue;
    }
    indexes.push_back(index);
    candidates.push_back({.slots = record.target.slots,
                          .usable_slots = this->UsableSlots(record),
                          .ejected = record.phase == Phase::kEjected,
                          .suspect = record.evidence.suspect() || record.relapsed,
                          .severity = record.evidence.severity()});
  }
  const EjectionPolicy policy(this->floor_slots);
  for (const EjectionDecision& decision : policy.Decide(std::move(candidates))) {
    Record& record = this->records[indexes[decision.index]];
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

void ServiceHealth::Eject(TimePoint now, Record& record) {
  const Duration detection = now - record.evidence.EpisodeStart(now);
  record.phase = Phase::kEjected;
  record.pending.clear();
  // The floor interrupted this ejection; it is not a repeat.
  record.phase_time =
      now < record.interrupted_until ? record.interrupted_until : now + record.schedule.Next(now);
  record.interrupted_until = {};
  record.relapsed = false;
  record.was_ejected = true;
  this->AddEvent(now, record, HealthEventKind::kEjected, detection);
}

void ServiceHealth::Reinstate(TimePoint now, Record& record) {
  if (record.phase == Phase::kEjected) {
    record.interrupted_until = record.phase_time;
    record.schedule.Returned(now);
  }
  record.phase = Phase::kHealthy;
  record.relapsed = false;
  if (record.was_ejected) {
    record.was_ejected = false;
    this->AddEvent(now, record, HealthEventKind::kReinstatedForFloor);
  }
}

void ServiceHealth::AddEvent(TimePoint now,
                             const Record& record,
                             HealthEventKind kind,
                             Duration detection) {
  this->events.push_back({now, record.target.target, kind, detection});
}

}  // namespace pimentopin
