#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/rendezvous.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibDispatch/retry_budget.h"
#include "Libraries/LibProtocol/envelope.h"

namespace pimentopin {

struct RequestDescription {
  RequestId request{};
  ServiceId service{};
  CallerId caller{};
  OrganisationId organisation{};
  WorkClass work_class = WorkClass::kShort;
  RequestKind kind{};
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  WorkKey work_key{};
  bool idempotent = false;
  // The response is large; targets in the host's failure domain are preferred.
  bool bulk = false;
  // Maximum number of attempts, the first one included.
  std::uint32_t max_attempts = 3;
  // The caller's deadline.
  TimePoint deadline;
  Fingerprint fingerprint{};
  // If not zero, requests with the same key prefer the same target.
  std::uint64_t affinity_key = 0;
  // Targets that the caller may use.
  std::vector<TargetId> allowed;

  friend bool operator==(const RequestDescription&, const RequestDescription&) = default;
};

enum class Outcome : std::uint8_t { kTarget, kNotRun, kUnknown };

// Limits that a host applies when it is about to end.
struct HostEnd {
  // No attempt starts and no request waits for a slot after this time.
  TimePoint last_start = TimePoint::max();
  // Attempts whose response has not begun are cancelled, so that their callers receive an answer.
  TimePoint last_answer = TimePoint::max();

  friend bool operator==(const HostEnd&, const HostEnd&) = default;
};

// Who chose the target of an attempt: the broker with a grant, this host by the broker's view, or
// this host without a broker.
enum class PlacedBy : std::uint8_t { kBroker, kOptimistic, kFallback };

constexpr std::string_view PlacedByName(PlacedBy placed_by) {
  switch (placed_by) {
    case PlacedBy::kBroker:
      return "broker";
    case PlacedBy::kOptimistic:
      return "optimistic";
    case PlacedBy::kFallback:
      return "fallback";
  }
  return "";
}

// Action: send the request to the target.
struct StartAttempt {
  RequestId request{};
  AttemptId attempt{};
  TargetId target{};
  TimePoint deadline;
  PlacedBy placed_by = PlacedBy::kBroker;

  friend bool operator==(const StartAttempt&, const StartAttempt&) = default;
};

// Action: close the attempt's connection.
struct CancelAttempt {
  AttemptId attempt{};

  friend bool operator==(const CancelAttempt&, const CancelAttempt&) = default;
};

// Action: forward the response of this attempt to the caller. Issued when its
// header has arrived and no retry will replace the response.
struct ForwardResponse {
  RequestId request{};
  AttemptId attempt{};

  friend bool operator==(const ForwardResponse&, const ForwardResponse&) = default;
};

// Action: the request has ended. With kTarget, the complete response was
// forwarded.
struct FinishRequest {
  RequestId request{};
  Outcome outcome = Outcome::kNotRun;
  RefusalReason refusal = RefusalReason::kNone;
  // Result of the last attempt; kSuccess if there was none.
  AttemptResult last_result = AttemptResult::kSuccess;
  std::uint32_t attempts = 0;
  // Close the caller's connection, because the forwarded response is
  // incomplete.
  bool abort_connection = false;
  Duration retry_after{};

  friend bool operator==(const FinishRequest&, const FinishRequest&) = default;
};

using DispatchAction =
    std::variant<SendToHost, StartAttempt, CancelAttempt, ForwardResponse, FinishRequest>;

struct AttemptHeader {
  int status = 0;
  // The target reports that it did not run the request.
  bool shed = false;
  bool wrong_attempt_id = false;
  bool target_draining = false;
  // Time for which the target wants no request from this host; zero if it states none.
  Duration retry_after{};

  friend bool operator==(const AttemptHeader&, const AttemptHeader&) = default;
};

struct AttemptEnd {
  AttemptResult result = AttemptResult::kSuccess;
  bool may_have_been_sent = false;
  Duration service_time{};
  bool target_draining = false;
  // Requests a second that the target accepts from all hosts together, as stated in its response;
  // zero if it states no limit, empty if there was no response.
  std::optional<double> request_rate_limit;
  // Load that the target stated in its response; empty if it stated none.
  std::optional<TargetLoad> load;

  friend bool operator==(const AttemptEnd&, const AttemptEnd&) = default;
};

// A part of a service: the targets of one failure domain, with a broker of its own.
struct ServiceCell {
  ServiceId id{};
  DomainId domain{};
  std::uint32_t floor_slots = 0;

  friend bool operator==(const ServiceCell&, const ServiceCell&) = default;
};

// Configuration of a service, or of one cell, as a host needs it.
struct DispatchService {
  ServiceId service{};
  std::uint32_t floor_slots = 0;
  struct Target {
    TargetId target{};
    DomainId domain{};
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    friend bool operator==(const Target&, const Target&) = default;
  };
  std::vector<Target> targets;
  // Empty if the service is not divided.
  std::vector<ServiceCell> cells;
  // Whether views may lead to starts without a grant.
  bool optimistic_starts = true;

  friend bool operator==(const DispatchService&, const DispatchService&) = default;
};

// Orders the hosts that may be the broker of a service or cell; the first one is preferred.
using BrokerRanker = std::function<std::vector<HostId>(ServiceId, const std::vector<HostId>&)>;

// How targets are chosen. All policies but kBrokered are baselines for
// comparison.
enum class DispatchPolicy { kBrokered, kLeastOutstanding, kRandom };

struct DispatchSettings {
  HostId self{};
  DomainId domain{};
  DispatchPolicy policy = DispatchPolicy::kBrokered;
  // Start attempts without a grant at targets that a recent view shows as free.
  // Only experiments turn this off.
  bool optimistic_starts = true;
  // Limits retries for which no broker is available.
  RetryLimits retry_limits;
  // Ranks by rendezvous hashing if it is not set.
  BrokerRanker rank_brokers;
  // These callbacks are called at each decision, so that the latest notices
  // apply.
  std::function<bool(TargetId)> is_leaving;
  // Time until which the target asked this host to send nothing; empty if it did not.
  std::function<std::optional<TimePoint>(TimePoint now, TargetId)> hold_off_end;
  std::function<bool(Fingerprint)> is_suspect;
  std::function<bool(Fingerprint)> is_blocked;

  std::vector<HostId> RankBrokers(ServiceId id, const std::vector<HostId>& hosts) const {
    return this->rank_brokers ? this->rank_brokers(id, hosts) : RendezvousRank(RawId(id), hosts);
  }
  // The following return false or nothing if their callback is not set.
  bool IsLeaving(TargetId target) const { return this->is_leaving && this->is_leaving(target); }
  std::optional<TimePoint> HoldOffEnd(TimePoint now, TargetId target) const {
    return this->hold_off_end ? this->hold_off_end(now, target) : std::nullopt;
  }
  bool IsSuspect(Fingerprint fingerprint) const {
    return this->is_suspect && this->is_suspect(fingerprint);
  }
  bool IsBlocked(Fingerprint fingerprint) const {
    return this->is_blocked && this->is_blocked(fingerprint);
  }
};

}  // namespace pimentopin
