#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibHealth/crash_attribution.h"
#include "Libraries/LibHealth/ejection_backoff.h"
#include "Libraries/LibHealth/reachability.h"
#include "Libraries/LibHealth/repeated_failure_filter.h"
#include "Libraries/LibHealth/target_outlier_detector.h"
#include "Libraries/LibProtocol/slot_messages.h"

namespace pimentopin {

struct HealthTarget {
  TargetId target{};
  std::uint32_t slots = 1;
  bool leaving = false;

  friend bool operator==(const HealthTarget&, const HealthTarget&) = default;
};

// Outcome of one attempt or probe at a target.
struct HealthObservation {
  TargetId target{};
  HostId reporter{};
  DomainId reporter_domain{};
  WorkClass work_class = WorkClass::kShort;
  AttemptResult result = AttemptResult::kSuccess;
  Duration service_time{};
  Fingerprint fingerprint{};
  bool is_probe = false;
  // Factor by which queueing at the target is expected to have prolonged the attempt.
  // Zero means unknown; the service time is ignored then.
  double queue_factor = 1.0;

  friend bool operator==(const HealthObservation&, const HealthObservation&) = default;
};

// Health of a target as seen by the slot broker.
struct HealthStatus {
  TargetState state = TargetState::kHealthy;
  // Slots that may be used now, after probation and ramp-up limits.
  std::uint32_t usable_slots = 0;
  // Failure domains whose hosts cannot reach the target.
  std::vector<DomainId> unreachable_from_domains;
  // Hosts that cannot reach the target although their failure domain can.
  std::vector<HostId> unreachable_from_hosts;

  friend bool operator==(const HealthStatus&, const HealthStatus&) = default;
};

enum class HealthEventKind { kEjected, kProbation, kReinstatedForFloor, kReturned };

// State change of a target, for logs, metrics and reports.
struct HealthEvent {
  TimePoint at;
  TargetId target{};
  HealthEventKind kind = HealthEventKind::kEjected;
  // Time from the first evidence of the fault to the ejection.
  Duration detection_time{};

  friend bool operator==(const HealthEvent&, const HealthEvent&) = default;
};

// Outlier detection for the targets of one service: compares each target with its peers
// by the observations of all hosts. An ejection must leave at least the floor, a minimum
// number of usable slots of the service. Owned by the service's broker.
class ServiceHealth {
 public:
  ServiceHealth() = default;

  // Applies a new target set and floor. The state of targets that remain is kept.
  // `floor_slots`: slots of the service that ejections must leave usable; 0 counts as 1.
  void Configure(TimePoint now, std::vector<HealthTarget> targets, std::uint32_t floor_slots);
  void Observe(TimePoint now, const HealthObservation& observation);
  // Ends the ejection of a target that has served a request meanwhile. Probation follows.
  void EndEjection(TimePoint now, TargetId target);
  // Advances ejections, probation and ramp-up. Must be called at least every 100 ms.
  void Tick(TimePoint now);

  HealthStatus Status(TargetId target) const;
  // Number of state changes so far.
  std::uint64_t state_changes() const { return this->state_change_count; }
  // Returns the events since the last call.
  std::vector<HealthEvent> TakeEvents();

 private:
  enum class Phase { kHealthy, kEjected, kProbation, kRamp };

  // An outcome whose comparison is deferred until the peers have had outcomes of their
  // own.
  struct PendingOutcome {
    TimePoint at;
    // Value of TargetRecord::peer_outcomes from which the outcome is compared.
    std::uint64_t due_peer_outcomes = 0;
    WorkClass work_class = WorkClass::kShort;
    bool failed = false;
    // The failure is a crash of the target.
    bool by_crash = false;
    // Logarithm of the service time of a success, corrected for queueing.
    std::optional<double> log_time;
  };

  struct TargetRecord {
    HealthTarget target;
    Phase phase = Phase::kHealthy;
    // In kEjected the end of the phase, in kProbation and kRamp its start. Unused in
    // kHealthy.
    TimePoint phase_boundary;
    // Original end of an ejection that was ended early to keep the floor. If the target
    // is ejected again before then, the ejection lasts until this time.
    TimePoint interrupted_ejection_end;
    // Consecutive successes in probation whose service time was not too long compared with
    // the peers, and the sum of their log ratios: logarithms of the service time over the
    // peers' typical one, divided by the relative spread.
    std::size_t consecutive_passes = 0;
    std::size_t probation_failures = 0;
    double passed_log_ratio_sum = 0.0;
    // Probation had too many failures; the target is ejected again unless the floor
    // prevents it.
    bool failed_probation = false;
    // An ejection event was emitted and the matching return event was not yet.
    bool awaiting_return_event = false;
    std::optional<TimePoint> last_outcome;
    TargetOutlierDetector detector;
    Reachability reachability;
    EjectionBackoff ejection_backoff;
    // Number of outcomes of all other targets so far.
    std::uint64_t peer_outcomes = 0;
    std::deque<PendingOutcome> pending_outcomes;
    // What the last crash added to the failure detectors. Retracted if the crash is later
    // attributed to a request.
    TargetOutlierDetector::FailureIncrements last_crash_increments;
  };

  TargetRecord* Find(TargetId target);
  const TargetRecord* Find(TargetId target) const;
  std::uint32_t UsableSlots(const TargetRecord& record) const;
  // Median of the failure rates of the other targets; std::nullopt if none has samples.
  std::optional<double> PeerFailureRate(const TargetRecord& record) const;
  // Logarithm of the typical service time of the peers; std::nullopt if there are too few
  // samples.
  std::optional<double> PeerLogServiceTime(TimePoint now,
                                           const TargetRecord& record,
                                           WorkClass work_class) const;
  void UpdateSpread(TimePoint now);

  void ObservePathFailure(TimePoint now,
                          TargetRecord& record,
                          const HealthObservation& observation);
  void ObserveLostConnection(TimePoint now,
                             TargetRecord& record,
                             const HealthObservation& observation);
  void ObserveResponse(TimePoint now, TargetRecord& record, const HealthObservation& observation);
  // Records an outcome and queues it for the comparison with the peers.
  void AddOutcome(TimePoint now, TargetRecord& record, PendingOutcome outcome);
  void CompareDueOutcomes(TimePoint now, TargetRecord& record);
  void CompareWithPeers(TimePoint now, TargetRecord& record, const PendingOutcome& outcome);
  void AdvanceProbation(TimePoint now, TargetRecord& record, const PendingOutcome& outcome);
  void MarkUnreachable(TimePoint now, TargetRecord& record, HostId host, DomainId domain);
  void ApplyPolicy(TimePoint now);
  void Eject(TimePoint now, TargetRecord& record);
  void StartProbation(TimePoint now, TargetRecord& record);
  void Reinstate(TimePoint now, TargetRecord& record);
  void AddEvent(TimePoint now,
                const TargetRecord& record,
                HealthEventKind kind,
                Duration detection = {});

  std::vector<TargetRecord> records;
  std::map<TargetId, std::size_t> positions;
  std::uint32_t floor_slots = 0;
  bool configured = false;
  TimePoint last_update;
  // Spread of the service times per work class, relative to an exponential
  // distribution; at least 1.
  std::array<double, TargetOutlierDetector::kWorkClassCount> relative_spreads{1.0, 1.0};
  CrashAttribution crash_attribution;
  RepeatedFailureFilter repeated_failures;
  std::uint64_t state_change_count = 0;
  std::vector<HealthEvent> events;
};

}  // namespace pimentopin
