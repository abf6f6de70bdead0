#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/dispatch_types.h"

namespace pimentopin {

enum class RequestPhase : std::uint8_t {
  // Neither waiting nor running; a transient phase between two decisions.
  kPlacing,
  kWaitingAtBroker,
  kWaitingLocally,
  // Waits until a target that holds this host off accepts requests again.
  kHeldOff,
  kRunning,
  kForwarding,
};

// State of a request from arrival to outcome.
struct RequestState {
  RequestDescription description;
  RequestPhase phase = RequestPhase::kPlacing;

  // Where the current attempt is placed: the service, or one of its cells.
  ServiceId place{};
  // Cells that had no room for the current attempt.
  std::vector<ServiceId> refused_by_cells;
  // Id of the attempt that waits for a slot, and the broker that received the
  // slot request.
  AttemptId pending_attempt{};
  HostId broker{};
  // When the slot was requested, or when the local queue last checked for a
  // broker. Moved forward after a pause of this process.
  TimePoint requested_at;
  // When the slot request was last sent.
  TimePoint last_sent_at;
  // Grants that could not be used, for example because the target was leaving.
  std::uint32_t unusable_grants = 0;

  // Attempt that is running or whose response is being forwarded.
  std::optional<AttemptId> running_attempt;
  // Attempt whose server error is held until a retry is granted or ruled out.
  std::optional<AttemptId> held_attempt;
  TimePoint held_at;

  std::uint32_t attempts_started = 0;
  std::vector<TargetId> excluded;
  // Targets that refused this request, if it is non-idempotent. It goes to others only.
  std::vector<TargetId> refused_by;
  // In phase kHeldOff, the time at which the hold-off ends.
  TimePoint resume_at;
  // At least one ended attempt may have been sent.
  bool may_have_been_sent = false;
  // At least one ended attempt may have run: it may have been sent and was not
  // shed.
  bool may_have_run = false;
  bool caller_disconnected = false;
  AttemptResult last_result = AttemptResult::kSuccess;

  // Whether another attempt counts as a retry. After attempts that never
  // reached a target it does not, and needs no retry budget.
  bool reached_target() const { return this->may_have_been_sent || this->held_attempt.has_value(); }

  friend bool operator==(const RequestState&, const RequestState&) = default;
};

enum class CancelReason : std::uint8_t {
  kNone,
  kCallerDisconnected,
  kDeadline,
  kReplaced,
  kWrongAnswer,
  kShed,
  // The host ends before the deadline; the target is not to blame.
  kHostEnd
};

// An attempt between its start and its end; may outlive its request.
struct AttemptState {
  RequestId request{};
  ServiceId service{};
  TargetId target{};
  OrganisationId organisation{};
  WorkClass work_class = WorkClass::kShort;
  RequestKind kind{};
  WorkKey work_key{};
  Fingerprint fingerprint{};
  // Broker that granted the slot or received the claim.
  std::optional<HostId> broker;
  CancelReason cancel_reason = CancelReason::kNone;
  TimePoint cancelled_at;
  // After a pause of this process, a response that arrived meanwhile may be read until this time.
  TimePoint readable_until;
  TimePoint deadline;
  // The response has been or is being forwarded to the caller.
  bool forwarded = false;

  friend bool operator==(const AttemptState&, const AttemptState&) = default;
};

}  // namespace pimentopin
