#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
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
};

}  // namespace pimentopin
