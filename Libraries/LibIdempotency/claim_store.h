#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Libraries/LibCore/findings.h"
#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibHttp/http_message.h"
#include "Libraries/LibPlatform/table_store.h"

namespace pimentopin {

// Response of a target, stored for repetitions of a request with an idempotency key.
struct StoredResponse {
  int status = 0;
  HttpHeaders headers;
  // Absent if the body was larger than ClaimStore::kMaxStoredBodyBytes.
  std::optional<std::string> body;

  friend bool operator==(const StoredResponse&, const StoredResponse&) = default;
};

enum class ClaimDecision {
  // This host holds the claim and may send the request once.
  kRun,
  // `response` holds the stored response.
  kReplay,
  // The request completed earlier, but its response was too large to store.
  kAlreadyRun,
  // Another attempt holds the claim; it is still running or its result was lost.
  kInProgressOrLost,
  // The key was used with a different request.
  kKeyReused,
  // The table did not reply in time; the request must not be sent.
  kTableUnavailable,
};

struct ClaimResult {
  ClaimDecision decision = ClaimDecision::kTableUnavailable;
  std::optional<StoredResponse> response;

  friend bool operator==(const ClaimResult&, const ClaimResult&) = default;
};

struct ClaimKey {
  std::string service;
  std::string organisation;
  // Value of the caller's Idempotency-Key header.
  std::string key;

  friend bool operator==(const ClaimKey&, const ClaimKey&) = default;
};

// Runs each non-idempotent request with an idempotency key at most once, by conditional
// writes to a table. Runs on the control thread and does not depend on leases or
// membership.
//
// Each write of a row states the expected version of the row and fails if the row has
// another one. A write whose reply was lost may still be applied later. To release a claim
// whose write may still be applied, `released` is written with the same expected version,
// so that whichever write is applied first makes the other one fail. If that was the claim,
// `released` is then written over it.
class ClaimStore {
 public:
  static constexpr std::size_t kMaxStoredBodyBytes = 32 * 1024;
  // A claim without a known result after this time ends with kTableUnavailable.
  static constexpr Duration kClaimTimeout = std::chrono::milliseconds(1500);
  // Limits on the number of writes and the bytes of values in one call of the table.
  static constexpr std::size_t kMaxBatchWrites = 128;
  static constexpr std::size_t kMaxBatchBytes = 512 * 1024;
  // Claims that arrive within this time are sent in one batch.
  static constexpr Duration kBatchDelay = std::chrono::milliseconds(5);
  // Longest time between two tries.
  static constexpr Duration kMaxRetryDelay = std::chrono::seconds(5);
  // The same while the host waits for its writes.
  static constexpr Duration kFlushRetryDelay = std::chrono::milliseconds(100);

  // Arranges a call of Tick at `when` or soon after. Of several times requested before that
  // call, only the earliest counts. Must not call Tick itself.
  using TickScheduler = std::function<void(TimePoint when)>;

  // Called when the row of a request that ran names another attempt that may have run it, too.
  // The table has then lost or replaced the claim.
  using ClaimLossHandler = std::function<void(const ClaimKey& key, AttemptId attempt)>;

  // Called when the row of a claimed key is not a valid one. The claim ends with kInProgressOrLost.
  using InvalidRowHandler = std::function<void(const ClaimKey& key, const Findings& findings)>;

  ClaimStore(TableStore& table,
             TickScheduler schedule_tick,
             ClaimLossHandler on_claim_lost,
             InvalidRowHandler on_invalid_row);

  // Claims the key and calls `callback` once. After kRun, the claim must be ended with
  // Complete, Release or Abandon. `attempt` must be unique over the fleet. A claim without a known
  // result at `limit` ends with kTableUnavailable.
  void Claim(TimePoint now,
             const ClaimKey& key,
             AttemptId attempt,
             Fingerprint fingerprint,
             TimePoint limit,
             std::function<void(const ClaimResult&)> callback);
  // Applies a limit to the claims in progress and all later ones.
  void LimitClaims(TimePoint limit);
  // Schedules a write that stores the response of the request that ran; the next Tick sends
  // it. Retries while the table is unavailable. No effect unless the claim is held.
  void Complete(TimePoint now, AttemptId attempt, StoredResponse response);
  // Schedules a write that frees the key of a request that was not sent; the next Tick sends
  // it. Retries while the table is unavailable. No effect unless the claim is held.
  void Release(TimePoint now, AttemptId attempt);
  // Drops a request that was sent and whose result is unknown: the row stays claimed
  // forever. No effect unless the claim is held.
  void Abandon(AttemptId attempt);
  // From now on, failed calls are repeated every kFlushRetryDelay. Call when the host only waits
  // for its writes in order to end.
  void BeginFlush(TimePoint now);
  // Sends batched writes and retries. While writes are pending, the TickScheduler is asked for
  // the next call, which is every kBatchDelay.
  void Tick(TimePoint now);
  // Number of unconfirmed writes; must be zero before a clean exit.
  std::size_t pending_writes() const;

 private:
  enum class Phase { kClaiming, kHeld, kReleasing, kCompleting };
  enum class Step { kWrite, kRead, kWaiting };

  struct Entry {
    ClaimKey key;
    std::string row_key;
    Fingerprint fingerprint{};
    std::function<void(const ClaimResult&)> callback;
    StoredResponse response;
    // Time at which the claim ends if it has no result.
    TimePoint limit{};
    Phase phase = Phase::kClaiming;
    // The next operation, or the one in flight.
    Step step = Step::kWrite;
    // Version that the next write replaces. While claiming and releasing, no earlier
    // claim write can apply any more.
    StoreVersion expected_version;
    // Rises with each operation; the reply to an earlier one is ignored.
    std::uint64_t operation_id = 0;
    TimePoint sent_at{};
    TimePoint not_before{};
    std::uint32_t consecutive_failures = 0;
  };

  // Schedules the step for the first Tick at or after `at`.
  void StartStep(Entry& entry, Phase phase, Step step, TimePoint at);
  void SendWrites(TimePoint now);
  void SendRead(TimePoint now, AttemptId attempt, Entry& entry);
  std::string RowValue(AttemptId attempt, const Entry& entry) const;
  void OnWritten(AttemptId attempt, std::uint64_t operation_id, const WriteResult& result);
  void OnRead(AttemptId attempt, std::uint64_t operation_id, const TableRow& row);
  void OnReadWhileClaiming(AttemptId attempt, const TableRow& row);
  void OnFailure(AttemptId attempt, std::uint64_t operation_id);
  void ReportDecision(AttemptId attempt, ClaimResult result);
  Entry* Find(AttemptId attempt, std::uint64_t operation_id);

  TableStore& table;
  const TickScheduler schedule_tick;
  const ClaimLossHandler on_claim_lost;
  const InvalidRowHandler on_invalid_row;
  std::map<AttemptId, Entry> entries;
  TimePoint common_limit = TimePoint::max();
  Duration max_retry_delay = kMaxRetryDelay;
  // Time of the last call; replies of the table carry no time.
  TimePoint last_call_at{};
  // Expires with this object, so that later callbacks of the table have no effect.
  std::shared_ptr<ClaimStore*> alive;
};

}  // namespace pimentopin
