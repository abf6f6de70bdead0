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
#include "Libraries/LibHealth/crash_evidence.h"
#include "Libraries/LibHealth/ejection_schedule.h"
#include "Libraries/LibHealth/failure_repeats.h"
#include "Libraries/LibHealth/reachability.h"
#include "Libraries/LibHealth/target_evidence.h"
#include "Libraries/LibProtocol/slot_messages.h"

namespace pimentopin {

struct HealthTarget {
  TargetId target{};
  std::uint32_t slots = 1;
  bool leaving = false;

  friend bool operator==(const HealthTarget&, const HealthTarget&) = default;
};

// One outcome of an attempt or a probe at a target.
struct HealthEvidence {
  TargetId target{};
  HostId reporter{};
  DomainId reporter_domain{};
  WorkClass work_class = WorkClass::kShort;
  AttemptResult result = AttemptResult::kSuccess;
  Duration service_time{};
  Fingerprint fingerprint{};
  bool is_probe = false;
  // Factor by which the queue at the target is expected to have prolonged the
  // attempt; zero: unknown, and the service time proves nothing.
  double queue_factor = 1.0;

  friend bool operator==(const HealthEvidence&, const HealthEvidence&) = default;
};

// What the broker may do with a target now.
struct HealthVerdict {
  TargetState state = TargetState::kHealthy;
  // Slots that may be used now, after probation and ramp limits.
  std::uint32_t usable_slots = 0;
  std::vector<DomainId> unreachable_from;
  // Single hosts that cannot reach the target although their domain can.
  std::vector<HostId> unreachable_hosts;

  friend bool operator==(const HealthVerdict&, const HealthVerdict&) = default;
};

enum class HealthEventKind { kEjected, kProbation, kReinstatedForFloor, kReturned };

// For logs, metrics and reports.
struct HealthEvent {
  TimePoint at;
  TargetId target{};
  HealthEventKind kind = HealthEventKind::kEjected;
  // From the first evidence of the episode to the ejection.
  Duration detection_time{};

  friend bool operator==(const HealthEvent&, const HealthEvent&) = default;
};

// Judges the targets of one service by the relative evidence of all hosts and
// ejects only as far as the floor allows. Lives at the service's broker.
class ServiceHealth {
 public:
  ServiceHealth() = default;

  // Takes over a changed target set or floor; evidence of known targets stays.
  void Configure(TimePoint now, std::vector<HealthTarget> targets, std::uint32_t floor_slots);
  void Observe(TimePoint now, const HealthEvidence& evidence);
  // Advances ejection times, probation and ramps; call at least every 100 ms.
  void Tick(TimePoint now);

  HealthVerdict Verdict(TargetId target) const;
  // Events since the last call.
  std::vector<HealthEvent> TakeEvents();

 private:
  enum class Phase { kHealthy, kEjected, kProbation, kRamp };

  // An outcome that waits until the peers have had outcomes of their own.
  struct Pending {
    TimePoint at;
    // Value of Record::peer_outcomes from which on it is compared.
    std::uint64_t due = 0;
    WorkClass work_class = WorkClass::kShort;
    bool failed = false;
    // Failed by a death of the target.
    bool death = false;
    // Logarithm of the service time of a success, less the effect of queueing.
    std::optional<double> log_time;
  };

  struct Record {
    HealthTarget target;
    Phase phase = Phase::kHealthy;
    // End of the ejection, or start of probation or ramp.
    TimePoint phase_time;
    // End of an ejection that the floor cut short.
    TimePoint interrupted_until;
    // Agreeing outcomes in a row during probation and the sum of their log ratios.
    std::size_t agreements = 0;
    std::size_t disagreements = 0;
    double agreement_sum = 0.0;
    // Failed in probation.
    bool relapsed = false;
    // An ejection has been announced and not yet the return.
    bool was_ejected = false;
    std::optional<TimePoint> last_outcome;
    TargetEvidence evidence;
    Reachability reachability;
    EjectionSchedule schedule;
    // Outcomes of all other targets so far.
    std::uint64_t peer_outcomes = 0;
    std::deque<Pending> pending;
    TargetEvidence::FailureIncrements last_death;
  };

  Record* Find(TargetId target);
  const Record* Find(TargetId target) const;
  std::uint32_t UsableSlots(const Record& record) const;
  // Median over the other targets of their recent failure rate, if known.
  std::optional<double> PeerFailureRate(const Record& record) const;
  // Logarithm of the peers' usual service time, if known.
  std::optional<double> PeerServiceTime(TimePoint now,
                                        const Record& record,
                                        WorkClass work_class) const;
  void UpdateSpread(TimePoint now);

  void ObservePathFailure(TimePoint now, Record& record, const HealthEvidence& evidence);
  void ObserveLoss(TimePoint now, Record& record, const HealthEvidence& evidence);
  void ObserveContact(TimePoint now, Record& record, const HealthEvidence& evidence);
  // Enters an outcome and keeps it for the comparison with the peers.
  void AddOutcome(TimePoint now, Record& record, Pending outcome);
  void CompareDueOutcomes(TimePoint now, Record& record);
  void Compare(TimePoint now, Record& record, const Pending& outcome);
  void AdvanceProbation(TimePoint now, Record& record, const Pending& outcome);
  void MarkUnreachable(TimePoint now, Record& record, HostId host, DomainId domain);
  void ApplyPolicy(TimePoint now);
  void Eject(TimePoint now, Record& record);
  void Reinstate(TimePoint now, Record& record);
  void AddEvent(TimePoint now, const Record& record, HealthEventKind kind, Duration detection = {});

  std::vector<Record> records;
  std::map<TargetId, std::size_t> positions;
  std::uint32_t floor_slots = 0;
  bool configured = false;
  TimePoint last_update;
  // Spread of the service times per class, relative to an exponential one.
  std::array<double, TargetEvidence::kClasses> spread{1.0, 1.0};
  CrashEvidence crashes;
  FailureRepeats repeats;
  std::vector<HealthEvent> events;
};

}  // namespace pimentopin
