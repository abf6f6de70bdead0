#pragma once

#include <optional>

#include "Libraries/LibCore/signal_timestamp.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/dispatch_types.h"

namespace pimentopin {

// Decides which requests a host accepts that the platform has told to stop and will end after
// `grace`. A request that is still running then would be cut off without an answer.
struct StopAdmission {
  // Left for the response to reach the caller.
  static constexpr Duration kMargin = std::chrono::milliseconds(300);
  // An attempt that starts later would hardly end before its response is due.
  static constexpr Duration kShortestAttempt = std::chrono::milliseconds(300);

  // The platform counts from a time between these two.
  TimePoint earliest_start;
  TimePoint latest_start;
  // Zero if the platform does not end the host.
  Duration grace{};
  // Time after the start in which idempotent requests that may outlast the grace are accepted; half
  // of the grace at most.
  Duration cuttable_request_window = Duration::max();
  // Time for which the host may be kept from running when a response is due.
  Duration longest_pause{};

  // These limits for a stop that a signal has begun or, without one, an operator at `drained_at`.
  // Empty if neither has.
  std::optional<StopAdmission> BegunBy(const std::optional<SignalTime>& signal,
                                       const std::optional<TimePoint>& drained_at) const;
  bool Accepts(TimePoint now, const RequestDescription& request) const;
  // Limits of the requests that have been accepted.
  HostEnd Limits() const;
  // The same after a pause that was longer than those before, or when one is no longer recent. What
  // is at work at a target keeps its time, and later requests get theirs: they were accepted
  // because of it.
  HostEnd RenewedLimits(const HostEnd& current) const;
  // A response that is written by then leaves before the host ends, whenever the stop began.
  TimePoint LastSafeAnswer() const;
  // The host waits until then for writes to the platform. Half of what is left of the grace after
  // the last answer remains for the end of the process.
  TimePoint LastWrite(TimePoint last_answer) const;

  friend bool operator==(const StopAdmission&, const StopAdmission&) = default;
};

}  // namespace pimentopin
