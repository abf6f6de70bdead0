#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Libraries/LibCore/identifiers.h"
#include "Libraries/LibCore/time.h"
#include "Libraries/LibHttp/http_message.h"
#include "Libraries/LibPlatform/table_store.h"

namespace pimentopin {

// Answer of a target as kept for repeats of a keyed request.
struct StoredOutcome {
  int status = 0;
  HttpHeaders headers;
  // Absent if the body was larger than ClaimLedger::kMaxStoredBodyBytes.
  std::optional<std::string> body;

  friend bool operator==(const StoredOutcome&, const StoredOutcome&) = default;
};

enum class ClaimDecision {
  // This host holds the claim and may send the request once.
  kRun,
  // `outcome` holds the stored answer.
  kReplay,
  // Finished earlier, but the answer was too large to keep.
  kAlreadyRun,
  // Claimed by another attempt that has not finished, or was lost.
  kInProgressOrLost,
  // The key was used with another request.
  kKeyReused,
  // The table did not answer; nothing was sent.
  kTableUnavailable,
};

struct ClaimResult {
  ClaimDecision decision = ClaimDecision::kTableUnavailable;
  std::optional<StoredOutcome> outcome;

  friend bool operator==(const ClaimResult&, const ClaimResult&) = default;
};

struct ClaimKey {
  std::string service;
  std::string organisation;
  // The caller's Idempotency-Key.
  std::string key;

  friend bool operator==(const ClaimKey&, const ClaimKey&) = default;
};

// At-most-once execution of keyed non-idempotent work by conditional writes.
// Runs on the control thread; depends on neither leases nor membership.
//
// Every write of a row names the version that it replaces. A write whose answer
// was lost may take effect at any later time, but not after another write of
// the row did: a possible claim is therefore given up by writing `released` over
// the version that the claim was to replace.
class ClaimLedger {
 public:
  static constexpr std::size_t kMaxStoredBodyBytes = 32 * 1024;
  // A claim that is not known by then ends with kTableUnavailable.
  static constexpr Duration kClaimTimeout = std::chrono::milliseconds(1500);
  // Writes and bytes of values in one call of the table.
  static constexpr std::size_t kMaxBatchWrites = 128;
  static constexpr std::size_t kMaxBatchBytes = 512 * 1024;

  explicit ClaimLedger(TableStore& table);

  // Calls back once; kRun obliges the caller to end with Complete, Release or
  // Abandon. The attempt id must be unique over the fleet.
  void Claim(TimePoint now,
             const ClaimKey& key,
             AttemptId claimant,
             Fingerprint fingerprint,
             std::function<void(const ClaimResult&)> callback);
  // The request ran; its outcome is stored, with retries while the table is down.
  void Complete(TimePoint now, AttemptId claimant, StoredOutcome outcome);
  // Nothing was sent; the key becomes free, with retries while the table is down.
  void Release(TimePoint now, AttemptId claimant);
  // Sent with unknown outcome: the row stays claimed for good.
  void Abandon(AttemptId claimant);
  // Call every 5 ms: sends batched writes and retries.
  void Tick(TimePoint now);
  // Writes not yet confirmed; zero before a clean exit.
  std::size_t pending_writes() const;

 private:
  enum class Phase { kClaiming, kHeld, kReleasing, kCompleting };
  enum class Step { kWrite, kRead, kWaiting };

  struct Entry {
    std::string row_key;
    Fingerprint fingerprint{};
    std::function<void(const ClaimResult&)> callback;
    StoredOutcome outcome;
    TimePoint started_at{};
    Phase phase = Phase::kClaiming;
    // The next operation, or the one that is on its way.
    Step step = Step::kWrite;
    // Version that the next write replaces. While claiming and releasing, no
    // earlier claim write can take effect any more.
    std::uint64_t expected_version = 0;
    // Counts operations; the answer to an earlier one is ignored.
    std::uint64_t operation = 0;
    TimePoint sent_at{};
    TimePoint next_try{};
    std::uint32_t failures = 0;
  };

  void Begin(Entry& entry, Phase phase, Step step, TimePoint at);
  void SendWrites(TimePoint now);
  void SendRead(TimePoint now, AttemptId claimant, Entry& entry);
  std::string RowValue(AttemptId claimant, const Entry& entry) const;
  void OnWritten(AttemptId claimant, std::uint64_t operation, const WriteResult& result);
  void OnRow(AttemptId claimant, std::uint64_t operation, const TableRow& row);
  void OnRowWhileClaiming(AttemptId claimant, const TableRow& row);
  void OnFailure(AttemptId claimant, std::uint64_t operation);
  void Decide(AttemptId claimant, ClaimResult result);
  Entry* Find(AttemptId claimant, std::uint64_t operation);

  TableStore& table;
  std::map<AttemptId, Entry> entries;
  // The time of the last call; answers of the table come without one.
  TimePoint latest{};
  // Callbacks of the table that outlive the ledger have no effect.
  std::shared_ptr<ClaimLedger*> alive;
};

}  // namespace pimentopin
