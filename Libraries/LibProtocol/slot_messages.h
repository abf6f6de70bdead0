#pragma once

#include <cstdint>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Messages between a host and the slot broker of a service.

enum class WorkClass : std::uint8_t { kShort, kLong };

// What a host saw of one attempt at a target.
enum class AttemptResult : std::uint8_t {
  // A whole answer that is not a server error.
  kSuccess,
  // A whole answer with a 5xx status other than a shed.
  kServerError,
  // Wrong attempt id, wrong length, wrong digest or malformed.
  kWrongAnswer,
  // No connection; no byte was sent.
  kConnectFailure,
  // The connection ended after sending and before an answer.
  kConnectionLost,
  // The answer ended before it was whole.
  kTruncated,
  // No answer within the deadline.
  kTimeout,
  // The target refused and states that it did not run the request.
  kShed,
  // The caller or the host gave up; says nothing about the target.
  kCancelled,
};

// Asks the broker for a slot.
struct SlotRequest {
  AttemptId attempt{};
  ServiceId service{};
  OrganisationId organisation{};
  CallerId caller{};
  WorkClass work_class = WorkClass::kShort;
  // What is left until the caller's deadline.
  Duration budget{};
  Fingerprint fingerprint{};
  bool is_retry = false;
  // Non-zero: prefer the target that rendezvous hashing selects for this key.
  std::uint64_t affinity_key = 0;
  // Targets that this caller may use; empty means every target of the service.
  std::vector<TargetId> allowed;
  // Targets that already failed this request.
  std::vector<TargetId> excluded;
  // May be sent again after an attempt that failed.
  bool idempotent = false;
  // The answer is large: targets in the failure domain of the sender are preferred.
  bool bulk = false;

  friend bool operator==(const SlotRequest&, const SlotRequest&) = default;
};

// Withdraws a SlotRequest whose caller went away or whose deadline passed.
struct SlotCancel {
  AttemptId attempt{};
  ServiceId service{};

  friend bool operator==(const SlotCancel&, const SlotCancel&) = default;
};

struct SlotGrant {
  AttemptId attempt{};
  ServiceId service{};
  TargetId target{};

  friend bool operator==(const SlotGrant&, const SlotGrant&) = default;
};

enum class RefusalReason : std::uint8_t {
  kNone,
  // The predicted wait exceeds the deadline budget.
  kOverload,
  kQueueFull,
  kDeadline,
  kRetryBudget,
  kCrashRequest,
  // No target that this caller may use accepts work.
  kNoTarget,
  // The receiver does not consider itself the broker of the service.
  kNotBroker,
};

// Says that the request was neither queued nor granted.
struct SlotRefusal {
  AttemptId attempt{};
  ServiceId service{};
  RefusalReason reason = RefusalReason::kNone;
  // When a new try is likely to succeed.
  Duration retry_after{};

  friend bool operator==(const SlotRefusal&, const SlotRefusal&) = default;
};

// Tells the broker that a host started an attempt without a grant.
struct SlotClaim {
  AttemptId attempt{};
  ServiceId service{};
  TargetId target{};
  OrganisationId organisation{};
  WorkClass work_class = WorkClass::kShort;
  bool is_retry = false;

  friend bool operator==(const SlotClaim&, const SlotClaim&) = default;
};

// Ends an attempt, granted or claimed, and carries the evidence about it.
struct SlotRelease {
  AttemptId attempt{};
  ServiceId service{};
  TargetId target{};
  OrganisationId organisation{};
  WorkClass work_class = WorkClass::kShort;
  AttemptResult result = AttemptResult::kSuccess;
  // From sending the request to the end of the answer.
  Duration service_time{};
  Fingerprint fingerprint{};
  // Set when the target announced in its answer that it is draining.
  bool target_draining = false;

  friend bool operator==(const SlotRelease&, const SlotRelease&) = default;
};

struct OutstandingAttempt {
  AttemptId attempt{};
  TargetId target{};
  WorkClass work_class = WorkClass::kShort;

  friend bool operator==(const OutstandingAttempt&, const OutstandingAttempt&) = default;
};

// Full list of a host's attempts of a service; corrects lost releases and lets
// a new broker rebuild its counts.
struct HostReport {
  ServiceId service{};
  std::vector<OutstandingAttempt> outstanding;

  friend bool operator==(const HostReport&, const HostReport&) = default;
};

enum class TargetState : std::uint8_t {
  kHealthy,
  // Receives a small share of the work until it proves itself or warms up.
  kProbation,
  kEjected,
  kLeaving,
};

struct TargetView {
  TargetId target{};
  TargetState state = TargetState::kHealthy;
  // Slots that may be used now, after ramp and probation limits.
  std::uint16_t usable_slots = 0;
  std::uint16_t free_slots = 0;
  // Failure domains whose hosts cannot reach the target.
  std::vector<DomainId> unreachable_from;

  friend bool operator==(const TargetView&, const TargetView&) = default;
};

// Broker's view of a service, pushed to hosts that use it often. Without targets
// it only tells a host whose requests wait that the broker is alive.
struct ServiceView {
  ServiceId service{};
  // Rises with every view of one broker incarnation; older ones are ignored.
  std::uint64_t sequence = 0;
  // Number of requests that wait at the broker.
  std::uint32_t queued = 0;
  // Hosts that use the service, for the fallback share of slots.
  std::uint16_t active_hosts = 1;
  std::vector<TargetView> targets;

  friend bool operator==(const ServiceView&, const ServiceView&) = default;
};

// Outcome of a probe, for the broker of the service.
struct ProbeReport {
  ServiceId service{};
  TargetId target{};
  AttemptResult result = AttemptResult::kSuccess;
  Duration service_time{};

  friend bool operator==(const ProbeReport&, const ProbeReport&) = default;
};

}  // namespace pimentopin
