#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"

namespace pimentopin {

// Messages between hosts and the slot broker of a service.

enum class WorkClass : std::uint8_t { kShort, kLong };

// Requests of one kind are expected to take about the same time. Hosts derive it from the route;
// zero if there is none.
enum class RequestKind : std::uint64_t {};

// Requests with one key look alike: route, method, organisation, size and the start of the path.
// Finer than RequestKind; zero if unknown.
enum class WorkKey : std::uint64_t {};

// Load that a target stated in a response: requests that it runs, requests in its queue, and the
// number that it runs at a time.
struct TargetLoad {
  std::uint16_t running = 0;
  std::uint16_t waiting = 0;
  std::uint16_t slots = 0;

  friend bool operator==(const TargetLoad&, const TargetLoad&) = default;
};

// Result of one attempt at a target, as observed by the host.
enum class AttemptResult : std::uint8_t {
  // A complete response that is not a server error.
  kSuccess,
  // A complete response with a 5xx status other than a shed request.
  kServerError,
  // A response that is malformed or has the wrong attempt id, length or digest.
  kWrongAnswer,
  // Connecting failed; no byte of the request was sent.
  kConnectFailure,
  // The connection was lost after sending the request and before the response.
  kConnectionLost,
  // The response ended before it was complete.
  kTruncated,
  // No response within the deadline.
  kTimeout,
  // The target refused the request and states that it did not execute it.
  kShed,
  // The caller or the host cancelled the attempt; no evidence about the target.
  kCancelled,
};

// Requests a slot from the broker.
struct SlotRequest {
  AttemptId attempt{};
  ServiceId service{};
  OrganisationId organisation{};
  CallerId caller{};
  WorkClass work_class = WorkClass::kShort;
  // Time until the caller's deadline.
  Duration budget{};
  Fingerprint fingerprint{};
  bool is_retry = false;
  // If not zero, the target that rendezvous hashing selects for this key is
  // preferred.
  std::uint64_t affinity_key = 0;
  // Targets that this caller may use; empty if it may use all targets of the service.
  std::vector<TargetId> allowed;
  // Targets that already failed this request.
  std::vector<TargetId> excluded;
  // The request may be retried after a failed attempt.
  bool idempotent = false;
  // The response is expected to be large; targets in the failure domain of the sender
  // are preferred.
  bool bulk = false;
  // Targets that must not receive the request, even if there is no other: those that hold the
  // sender off, and those that refused a non-idempotent request before.
  std::vector<TargetId> forbidden;
  RequestKind kind{};
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  WorkKey work_key{};

  friend bool operator==(const SlotRequest&, const SlotRequest&) = default;
};

// Cancels a SlotRequest whose caller disconnected or whose deadline passed.
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
  // The predicted wait exceeds the time until the deadline.
  kOverload,
  kQueueFull,
  kDeadline,
  kRetryBudget,
  kCrashRequest,
  // None of the targets that this caller may use accepts requests.
  kNoTarget,
  // The receiver does not consider itself the broker of the service.
  kNotBroker,
  // The following are decided by the host itself and not sent to other hosts.
  // The last target that was allowed refused the request.
  kShed,
  // All targets asked this host to hold off until after the deadline.
  kHoldOff,
  // The host ends before the request can.
  kHostEnd,
};

// Tells the host that its request was refused: it is neither queued nor granted.
struct SlotRefusal {
  AttemptId attempt{};
  ServiceId service{};
  RefusalReason reason = RefusalReason::kNone;
  // Time after which a retry is likely to succeed.
  Duration retry_after{};

  friend bool operator==(const SlotRefusal&, const SlotRefusal&) = default;
};

// Informs the broker of an attempt that a host started without a grant.
struct SlotClaim {
  AttemptId attempt{};
  ServiceId service{};
  TargetId target{};
  OrganisationId organisation{};
  WorkClass work_class = WorkClass::kShort;
  bool is_retry = false;
  WorkKey work_key{};

  friend bool operator==(const SlotClaim&, const SlotClaim&) = default;
};

// Releases the slot of a granted or claimed attempt and reports the attempt's
// result.
struct SlotRelease {
  AttemptId attempt{};
  ServiceId service{};
  TargetId target{};
  OrganisationId organisation{};
  WorkClass work_class = WorkClass::kShort;
  AttemptResult result = AttemptResult::kSuccess;
  // Time from sending the request to the end of the response.
  Duration service_time{};
  Fingerprint fingerprint{};
  // True if the target stated in its response that it is draining.
  bool target_draining = false;
  // Requests a second that the target accepts from all hosts together, as stated in its response;
  // zero if it states no limit, empty if there was no response.
  std::optional<double> request_rate_limit;
  RequestKind kind{};
  WorkKey work_key{};
  // Empty if the response stated none.
  std::optional<TargetLoad> load;

  friend bool operator==(const SlotRelease&, const SlotRelease&) = default;
};

struct OutstandingAttempt {
  AttemptId attempt{};
  TargetId target{};
  WorkClass work_class = WorkClass::kShort;

  friend bool operator==(const OutstandingAttempt&, const OutstandingAttempt&) = default;
};

// All outstanding attempts of a host at a service. Lets the broker free slots whose
// release was lost, and a new broker rebuild its counts.
struct HostReport {
  ServiceId service{};
  std::vector<OutstandingAttempt> outstanding;

  friend bool operator==(const HostReport&, const HostReport&) = default;
};

enum class TargetState : std::uint8_t {
  kHealthy,
  // Receives a small share of the requests until it has proved healthy or has warmed
  // up.
  kProbation,
  kEjected,
  kLeaving,
};

struct TargetView {
  TargetId target{};
  TargetState state = TargetState::kHealthy;
  // Slots that may be used now, limited by ramp-up and probation.
  std::uint16_t usable_slots = 0;
  std::uint16_t free_slots = 0;
  // Failure domains whose hosts cannot reach the target.
  std::vector<DomainId> unreachable_from;

  friend bool operator==(const TargetView&, const TargetView&) = default;
};

// The broker's view of a service, pushed to hosts that use the service often. A view
// without targets only tells a host with queued requests that the broker is alive.
struct ServiceView {
  ServiceId service{};
  // Increases with every view of one broker incarnation. Hosts ignore older views.
  std::uint64_t sequence = 0;
  // Number of requests queued at the broker.
  std::uint32_t queued = 0;
  // Number of hosts that use the service. Determines the share of the slots that each
  // host may use as a fallback without the broker.
  std::uint16_t active_hosts = 1;
  std::vector<TargetView> targets;

  friend bool operator==(const ServiceView&, const ServiceView&) = default;
};

// Attempts that the broker of a service counted in one interval.
struct RetryCounts {
  std::uint32_t first_attempts = 0;
  std::uint32_t retries = 0;

  friend bool operator==(const RetryCounts&, const RetryCounts&) = default;
};

// Identifies one process that counts. A restarted host is another one.
enum class RetryCounterId : std::uint64_t {};

// Counts of one process in consecutive intervals. They only grow, so that the larger one of two
// reports of an interval is the newer one.
struct RetryCounter {
  RetryCounterId counter{};
  // Number of the first interval, the same in all messages.
  std::uint64_t first_interval = 0;
  // Time since the first interval began.
  Duration age{};
  std::vector<RetryCounts> intervals;

  friend bool operator==(const RetryCounter&, const RetryCounter&) = default;
};

// Tells another host that is, or may become, the broker of a service which attempts count
// towards the retry budget.
struct RetryUsage {
  ServiceId service{};
  // The sender asks for what the receiver knows.
  bool asks = false;
  // Time for which the sender knows all counts.
  Duration known_for{};
  std::vector<RetryCounter> counters;

  friend bool operator==(const RetryUsage&, const RetryUsage&) = default;
};

// Reports the result of a health probe to the broker of the service.
struct ProbeReport {
  ServiceId service{};
  TargetId target{};
  AttemptResult result = AttemptResult::kSuccess;
  Duration service_time{};

  friend bool operator==(const ProbeReport&, const ProbeReport&) = default;
};

}  // namespace pimentopin
